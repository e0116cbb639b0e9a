/// \file
/// The effects that the reducer returns to a driver, as plain data. A driver
/// executes effects in order and makes no decisions of its own.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cranberrywing/event.h"
#include "cranberrywing/http_types.h"
#include "cranberrywing/message.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/store.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

namespace effect {

/// Sends the request to a backend server exactly once. The driver replies with
/// BackendResponded or BackendFailed for the same request and attempt.
struct Dispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
  RequestContentPtr mContent;
  /// Time left, sent along with the request. The driver reports a failure of
  /// kind Timeout when it has passed.
  Duration mTimeout{};
};

/// Closes the attempt's connection. No further event is delivered for it.
struct CancelDispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
};

/// Sends a backend server's answer to the caller.
struct Respond
{
  RequestId mRequest{};
  AnswerContentPtr mAnswer;
  /// Whether this is the stored answer of an earlier execution.
  bool mReplayed = false;
  /// Whether to close the caller's connection after the answer.
  bool mCloseAfter = false;
};

/// Sends an error to the caller.
struct Refuse
{
  RequestId mRequest{};
  Refusal mRefusal;
  bool mCloseAfter = false;
};

/// A VM's address as given to callers.
struct LookupVm
{
  VmId mVm;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Replies to LookupArrived.
struct AnswerLookup
{
  RequestId mLookup{};
  std::vector<LookupVm> mVms;
  Duration mLifetime{};
};

/// Replies to TicketRequested with a ticket, or, if the ticket is empty, with
/// a VM that can issue one.
struct AnswerTicket
{
  RequestId mRequest{};
  std::string mTicket;
  Duration mLifetime{};
  LookupVm mOwner;
};

enum class Transport : std::uint8_t
{
  /// One datagram; may be lost, duplicated or reordered.
  Datagram,
  /// Reliable and ordered while the connection lasts.
  Stream,
};

struct SendMessage
{
  VmId mTo;
  /// Address of a peer that membership does not know yet; empty otherwise.
  std::string mAddress;
  std::uint16_t mPort = 0;
  Transport mTransport = Transport::Datagram;
  Message mMessage;
};

/// Calls the store. The driver replies with StoreReplied for the same
/// identifier.
struct CallStore
{
  StoreCallId mCall;
  StoreCall mRequest;
};

/// Watches the key range [mKey, mRangeEnd), starting at a store revision.
/// Replaces an earlier watch with the same identifier.
struct WatchStore
{
  StoreCallId mWatch;
  std::string mKey;
  std::string mRangeEnd;
  std::int64_t mFromRevision = 0;
};

struct CancelWatch
{
  StoreCallId mWatch;
};

/// Queries the server's health and load endpoints. The driver replies with
/// HealthReported and, if the server reports load, LoadReported.
struct ProbeBackend
{
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Closes idle pooled connections to a server that is draining or was removed.
struct CloseBackendConnections
{
  BackendId mBackend;
};

/// Replies to EditRequested.
struct AnswerEdit
{
  AdminRequestId mRequest{};
  ResultCode mCode = ResultCode::Ok;
  /// The accepted revision, or the newest known one on a conflict.
  Revision mRevision;
  std::string mMessage;
};

/// Reports that a new configuration is active on this VM.
struct ConfigurationInForce
{
  SettingsSnapshotPtr mSnapshot;
};

struct Field
{
  std::string mName;
  std::string mValue;
};

/// Adds an entry to the timeline and writes it as one key=value log line. Names
/// are snake_case; values never contain a caller's key.
struct RecordTimeline
{
  std::string mName;
  std::vector<Field> mFields;
};

/// Ends the process: the drain is complete.
struct Exit
{};

} // namespace effect

using Effect = std::variant<effect::Dispatch,
                            effect::CancelDispatch,
                            effect::Respond,
                            effect::Refuse,
                            effect::AnswerLookup,
                            effect::AnswerTicket,
                            effect::SendMessage,
                            effect::CallStore,
                            effect::WatchStore,
                            effect::CancelWatch,
                            effect::ProbeBackend,
                            effect::CloseBackendConnections,
                            effect::AnswerEdit,
                            effect::ConfigurationInForce,
                            effect::RecordTimeline,
                            effect::Exit>;

/// Effects of one event, in the order of execution.
using EffectList = std::vector<Effect>;

} // namespace cranberrywing
