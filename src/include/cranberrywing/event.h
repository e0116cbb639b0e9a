/// \file
/// The events that a driver delivers to the reducer. Together with effect.h
/// this is the complete interface of the decision core: a driver for another
/// transport or clock needs only these two headers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cranberrywing/http_types.h"
#include "cranberrywing/message.h"
#include "cranberrywing/settings_edit.h"
#include "cranberrywing/store.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Number of an attempt of a request, starting at 1.
using AttemptNumber = std::uint32_t;

namespace event {

/// Timer event, delivered every kTickInterval.
struct Tick
{};
inline constexpr Milliseconds kTickInterval{ 10 };

/// A caller's request was read completely.
struct RequestArrived
{
  RequestId mRequest{};
  CallerId mCaller{};
  /// Bearer key, or empty. Not retained once the account is known.
  std::string mKey;
  RequestContentPtr mContent;
  std::string mIdempotencyKey;
  std::string mTicket;
  /// Time limit from arrival to answer that the caller asked for; zero if none.
  Duration mTimeout{};
};

/// The caller's connection was closed before the answer was sent.
struct RequestCancelled
{
  RequestId mRequest{};
};

/// A backend server's complete and well-formed answer was received.
struct BackendResponded
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  AnswerContentPtr mAnswer;
  /// Time from dispatch to the answer's last byte.
  Duration mLatency{};
};

enum class FailureStage : std::uint8_t
{
  /// No byte of the request was passed to the network.
  BeforeFirstByte,
  /// A byte may have reached the backend server.
  AfterFirstByte,
};

enum class FailureKind : std::uint8_t
{
  Connect,
  Timeout,
  /// The connection was closed before the answer was complete.
  Reset,
  MalformedAnswer,
  /// The server refused the request before running it, for instance to shed
  /// load or while draining, and said so with the Cranberrywing-Not-Run header.
  Shed,
  /// A complete answer with a 5xx status. Drivers deliver it as
  /// BackendResponded; RequestPipeline reports it to BackendHealth as this
  /// kind.
  ServerError,
};

/// An attempt ended without a complete answer.
struct BackendFailed
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  FailureStage mStage = FailureStage::AfterFirstByte;
  FailureKind mKind = FailureKind::Reset;
  /// Delay that a server asked for when it shed the request; zero if none.
  Duration mRetryAfter{};
};

/// Health as reported by ProbeBackend.
struct HealthReported
{
  BackendId mBackend;
  bool mHealthy = false;
  /// Whether the server reports that it is draining.
  bool mDraining = false;
  /// Whether the server has answered at all.
  bool mHasAnswered = false;
};

struct LoadReport
{
  /// Fraction of the capacity in use; above 1 when overloaded.
  double mUtilization = 0;
  double mRequestsPerSecond = 0;
  std::uint32_t mInFlight = 0;
};

struct LoadReported
{
  BackendId mBackend;
  LoadReport mReport;
};

struct PeerMessageReceived
{
  VmIncarnation mFrom;
  Message mMessage;
};

/// A connection to the peer could not be opened, or was lost.
struct PeerUnreachable
{
  VmId mVm;
};

struct StoreReplied
{
  StoreCallId mCall;
  Result<StoreReply> mReply;
};

/// A watched range changed. An event without entries is a progress
/// notification: the watch is active and all changes have been delivered.
struct StoreWatchFired
{
  StoreCallId mWatch;
  std::vector<StoreEntry> mEntries;
  std::int64_t mStoreRevision = 0;
};

struct VmListEntry
{
  VmId mVm;
  bool mLeaving = false;
};

/// The platform's complete VM list as last read. It may be out of date.
struct VmListReceived
{
  std::vector<VmListEntry> mEntries;
};

/// A caller asks which VMs to send requests to.
struct LookupArrived
{
  RequestId mLookup{};
  /// IPv4 address of the client in host byte order.
  std::uint32_t mClientAddress = 0;
  AccountId mAccount;
  RouteId mRoute;
  std::string mIdempotencyKey;
};

/// A caller asks for an execution ticket.
struct TicketRequested
{
  RequestId mRequest{};
  std::string mKey;
  RouteId mRoute;
};

/// An operator's settings change. The driver has already authorized it and
/// checked its syntax.
struct EditRequested
{
  AdminRequestId mRequest{};
  SettingsEdit mEdit;
};

/// The process was asked to shut down; starts a drain.
struct ShutdownRequested
{};

} // namespace event

using Event = std::variant<event::Tick,
                           event::RequestArrived,
                           event::RequestCancelled,
                           event::BackendResponded,
                           event::BackendFailed,
                           event::HealthReported,
                           event::LoadReported,
                           event::PeerMessageReceived,
                           event::PeerUnreachable,
                           event::StoreReplied,
                           event::StoreWatchFired,
                           event::VmListReceived,
                           event::LookupArrived,
                           event::TicketRequested,
                           event::EditRequested,
                           event::ShutdownRequested>;

} // namespace cranberrywing
