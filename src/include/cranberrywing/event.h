/// \file
/// Every event that a driver delivers to the reducer. Together with effect.h
/// this is the whole seam between the decision core and its surroundings: a
/// driver for another transport or clock needs these two headers only.
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

/// Counts the attempts of one request, from 1.
using AttemptNumber = std::uint32_t;

namespace event {

/// Time has passed. Drivers deliver one every kTickInterval.
struct Tick
{};
inline constexpr Milliseconds kTickInterval{ 10 };

/// A caller's whole request was read.
struct RequestArrived
{
  RequestId mRequest{};
  CallerId mCaller{};
  /// Bearer key; empty if none came. Dropped once the account is known.
  std::string mKey;
  RequestContentPtr mContent;
  std::string mIdempotencyKey;
  std::string mTicket;
  /// The caller's own limit from arrival to answer; zero if none was given.
  Duration mTimeout{};
};

/// The caller's connection ended before its answer.
struct RequestCancelled
{
  RequestId mRequest{};
};

/// A backend server's whole, well-formed answer arrived.
struct BackendResponded
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  AnswerContentPtr mAnswer;
  /// From dispatch to the answer's last byte.
  Duration mLatency{};
};

enum class FailureStage : std::uint8_t
{
  /// No byte of the request was handed to the network.
  BeforeFirstByte,
  /// A byte may have reached the backend server.
  AfterFirstByte,
};

enum class FailureKind : std::uint8_t
{
  Connect,
  Timeout,
  /// The connection ended before the answer did.
  Reset,
  MalformedAnswer,
  /// The server said with Cranberrywing-Not-Run that it refused before running
  /// the request (shed load, draining).
  Shed,
  /// A whole answer with a 5xx status. Drivers deliver it as BackendResponded;
  /// the pipeline reports it to BackendHealth under this kind.
  ServerError,
};

struct BackendFailed
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  FailureStage mStage = FailureStage::AfterFirstByte;
  FailureKind mKind = FailureKind::Reset;
  /// Wait that a shedding server asked for; zero if none.
  Duration mRetryAfter{};
};

/// Result of ProbeBackend.
struct HealthReported
{
  BackendId mBackend;
  bool mHealthy = false;
  /// Whether the server says that it is leaving.
  bool mDraining = false;
};

struct LoadReport
{
  /// From 0 to 1; above 1 when overloaded.
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

/// A connection to the peer could not be made or broke.
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
/// notification: the watch is alive and nothing was missed.
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

/// The platform's list, whole, as last read. It lags.
struct VmListReceived
{
  std::vector<VmListEntry> mEntries;
};

/// A caller asks which VMs to use.
struct LookupArrived
{
  RequestId mLookup{};
  /// Host byte order IPv4 address of the client.
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

/// An operator's change of the settings, already authorised and checked for
/// syntax by the driver.
struct EditRequested
{
  AdminRequestId mRequest{};
  SettingsEdit mEdit;
};

/// The process was told to stop.
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
