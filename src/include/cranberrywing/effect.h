/// \file
/// Every effect that the reducer asks of a driver, as plain data. A driver
/// carries effects out in order and makes no decision of its own.
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

/// Send the request to a backend server, once. Answered by BackendResponded
/// or BackendFailed with the same request and attempt.
struct Dispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
  RequestContentPtr mContent;
  /// Time left, sent with the request; the driver reports Timeout after it.
  Duration mTimeout{};
};

/// Close the attempt's connection; no event follows for the attempt.
struct CancelDispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
};

/// Give a backend server's answer to the caller.
struct Respond
{
  RequestId mRequest{};
  AnswerContentPtr mAnswer;
  /// Whether this is a kept answer of an earlier execution.
  bool mReplayed = false;
  /// Whether the caller's connection is to be closed after the answer.
  bool mCloseAfter = false;
};

struct Refuse
{
  RequestId mRequest{};
  Refusal mRefusal;
  bool mCloseAfter = false;
};

struct LookupVm
{
  VmId mVm;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct AnswerLookup
{
  RequestId mLookup{};
  std::vector<LookupVm> mVms;
  Duration mLifetime{};
};

struct AnswerTicket
{
  RequestId mRequest{};
  std::string mTicket;
  Duration mLifetime{};
  LookupVm mOwner;
};

enum class Transport : std::uint8_t
{
  /// One datagram; may be lost, doubled or reordered.
  Datagram,
  /// Reliable and ordered while the connection lasts.
  Stream,
};

struct SendMessage
{
  VmId mTo;
  /// Address for peers that membership does not know yet; else empty.
  std::string mAddress;
  std::uint16_t mPort = 0;
  Transport mTransport = Transport::Datagram;
  Message mMessage;
};

/// Answered by StoreReplied with the same identifier.
struct CallStore
{
  StoreCallId mCall;
  StoreCall mRequest;
};

/// Watch [mKey, mRangeEnd) from a store revision on. Replaces an earlier
/// watch with the same identifier.
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

/// Ask the server's health and load endpoints; answered by HealthReported
/// and, if it reports load, LoadReported.
struct ProbeBackend
{
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Close idle pooled connections to a server that is leaving or gone.
struct CloseBackendConnections
{
  BackendId mBackend;
};

struct AnswerEdit
{
  AdminRequestId mRequest{};
  ResultCode mCode = ResultCode::Ok;
  /// The accepted revision, or the newest known one on a conflict.
  Revision mRevision;
  std::string mMessage;
};

/// A new configuration is in force on this VM.
struct ConfigurationInForce
{
  SettingsSnapshotPtr mSnapshot;
};

struct Field
{
  std::string mName;
  std::string mValue;
};

/// One entry of the time line and one key=value log line. Names are
/// snake_case; values never hold a caller's key.
struct RecordTimeline
{
  std::string mName;
  std::vector<Field> mFields;
};

/// The planned stop is complete.
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

/// Effects of one event, in the order in which they are to be carried out.
using EffectList = std::vector<Effect>;

} // namespace cranberrywing
