/// \file
/// Events and effects of the gateway: the complete interface between the
/// Gateway reducer and the driver that performs I/O. Events and effects that
/// the daemon's own reducer also uses are shared with it (event.h, effect.h).
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/gateway/policy.h"
#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::gateway {

/// Entry of a VM in the store, with the addresses at which it is reached.
struct VmRecord
{
  VmId mVm;
  Incarnation mIncarnation;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  std::string mAddress;
  /// TCP port for callers.
  std::uint16_t mCallerPort = 0;
  /// UDP port for messages of other VMs.
  std::uint16_t mPeerPort = 0;
  bool mIsLeaving = false;
  /// Rate of the VM's link in Mbit/s; zero if unknown.
  double mLinkMbps = 0;
};

/// Where a VM's copy of the store can be read.
struct RelayEndpoint
{
  VmId mVm;
  std::string mAddress;
  /// Both TCP port of the copy and UDP port for messages.
  std::uint16_t mPort = 0;
};

/// State of this VM's own store follower.
struct StoreProgress
{
  StorePosition mPosition;
  /// StoreFollower::ConfirmedAt.
  std::optional<TimePoint> mConfirmedAt;
  /// StoreCarry::Digest.
  std::uint64_t mCarriedDigest = 0;

  bool operator==(const StoreProgress&) const = default;
};

/// A request for the changes that another VM knows.
struct StorePull
{
  RelayEndpoint mFrom;
  StorePosition mAfter;
  /// Whether the answer may be of any size. VMs have slower links than the
  /// store, which therefore serves large changes unless it cannot be reached.
  bool mMayBeLarge = false;
};

enum class PullResult : std::uint8_t
{
  Applied,
  Failed,
  /// The other VM has the changes, but they should be read from the store.
  TooLarge,
};

namespace event {

using cranberrywing::event::BackendFailed;
using cranberrywing::event::FailureKind;
using cranberrywing::event::FailureStage;
using cranberrywing::event::PeerMessageReceived;
using cranberrywing::event::Tick;

/// A caller's request has been read completely.
struct RequestArrived
{
  RequestId mRequest{};
  /// Content as it is forwarded to a backend server, without the API key.
  RequestContentPtr mContent;
  std::string mHost;
  std::string mKey;
  /// Name of the object that the request refers to; empty if none is given.
  std::string mObject;
  /// Identifier of the request in logs.
  std::string mTrace;
  /// Time that the caller waits for the answer; zero if not stated.
  Duration mTimeBudget{};
};

/// The caller's connection was closed before the answer was sent.
struct RequestCancelled
{
  RequestId mRequest{};
};

enum class ReplyKind : std::uint8_t
{
  /// Complete, and verified to be the server's answer to this request.
  Answer,
  /// The server refused before running the request.
  NotRun,
  /// Another server uses the address; it did not run the request.
  WrongServer,
  /// Complete, but not verified to be the server's answer to this request.
  Unverified,
};

/// Which use of which connection carried an answer, for logs.
struct ConnectionTrace
{
  /// Port of this VM's end; zero if not known.
  std::uint16_t mLocalPort = 0;
  /// Number of the exchange on the connection; the first is 1.
  std::uint64_t mUse = 0;
};

/// A backend server's answer to a Dispatch effect has been read completely.
struct BackendReplied
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  ReplyKind mKind = ReplyKind::Answer;
  AnswerContentPtr mAnswer;
  std::optional<LoadSample> mLoad;
  /// Requests per second that the server accepts from all VMs together; nullopt
  /// if the answer states no limit.
  std::optional<double> mRateLimit;
  /// Whether the answer states that the server is leaving.
  bool mIsLeaving = false;
  /// Time for which a server that refused the request wants nothing from this
  /// VM.
  std::optional<Duration> mWait;
  /// Time from the dispatch to the last byte of the answer.
  Duration mLatency{};
  ConnectionTrace mConnection;
};

/// Result of a ProbeBackend effect.
struct BackendProbed
{
  BackendId mBackend;
  /// ProbeBackend::mLifetime; nullopt for the server's present process.
  std::optional<std::uint64_t> mLifetime;
  /// Whether the server has answered at all.
  bool mHasAnswered = false;
  bool mIsHealthy = false;
  std::optional<LoadSample> mLoad;
  /// As the members of BackendReplied.
  std::optional<double> mRateLimit;
  bool mIsLeaving = false;
  std::optional<Duration> mWait;
  /// Remaining cold-start time that the server reports; nullopt if it reports
  /// none.
  std::optional<Duration> mColdTimeLeft;
};

/// Result of a CheckServer effect.
struct ServerChecked
{
  BackendId mBackend;
  /// Whether a connection was opened.
  bool mIsReached = false;
};

/// A configuration was read from the store. Older revisions are ignored.
struct PolicyReceived
{
  PolicyPtr mPolicy;
};

/// A backend server's registration was added or changed.
struct BackendRegistered
{
  BackendEntry mEntry;
};

/// A backend server's registration was removed.
struct BackendRemoved
{
  BackendId mBackend;
};

/// An operator evacuated a failure domain, or ended the evacuation.
struct EvacuationChanged
{
  FailureDomainId mFailureDomain;
  bool mIsEvacuated = false;
};

/// A VM's leased entry was added or changed.
struct VmRegistered
{
  VmRecord mRecord;
};

/// A VM's permanent roster entry was read. The VM has run at some time and may
/// have stopped since.
struct RosterVmFound
{
  VmRecord mRecord;
};

/// A VM's leased entry expired or was removed.
struct VmRemoved
{
  VmId mVm;
};

/// All registrations found by the initial listing of the store were delivered.
struct RegistrationsComplete
{};

/// State of this VM's store follower; delivered when it has changed.
struct StoreProgressed
{
  StoreProgress mProgress;
};

/// A PullStoreChanges effect has ended.
struct StorePullEnded
{
  PullResult mResult = PullResult::Failed;
};

/// A graceful shutdown of the process was requested.
struct StopRequested
{};

} // namespace event

using Event = std::variant<event::Tick,
                           event::RequestArrived,
                           event::RequestCancelled,
                           event::BackendReplied,
                           event::BackendFailed,
                           event::BackendProbed,
                           event::ServerChecked,
                           event::PeerMessageReceived,
                           event::PolicyReceived,
                           event::BackendRegistered,
                           event::BackendRemoved,
                           event::EvacuationChanged,
                           event::VmRegistered,
                           event::RosterVmFound,
                           event::VmRemoved,
                           event::RegistrationsComplete,
                           event::StoreProgressed,
                           event::StorePullEnded,
                           event::StopRequested>;

namespace effect {

using cranberrywing::effect::CancelDispatch;
using cranberrywing::effect::Exit;
using cranberrywing::effect::RecordTimeline;
using cranberrywing::effect::Refuse;
using cranberrywing::effect::Respond;
using cranberrywing::effect::SendMessage;

/// Sends the request to a backend server, once. The driver answers with
/// BackendReplied or BackendFailed for the same request and attempt.
struct Dispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
  RequestContentPtr mContent;
  /// Account that is passed on to the server; empty on public routes.
  AccountId mAccount;
  /// Time left until the caller's deadline, passed on to the server.
  Duration mTimeBudget{};
  /// Time after which the driver reports BackendFailed with Timeout.
  Duration mTimeout{};
};

/// Starts a health check; the driver answers with BackendProbed.
struct ProbeBackend
{
  BackendId mBackend;
  /// Backend::mLifetimeHash of the process that is probed.
  std::uint64_t mLifetime = 0;
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::string mHealthPath;
};

/// Opens a new connection to a server and closes it, without sending a request;
/// the driver answers with ServerChecked.
struct CheckServer
{
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Closes idle connections to a server that is draining or was removed.
struct CloseBackendConnections
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Sets how this VM follows the store.
struct FollowStore
{
  StoreFollowing mFollowing = StoreFollowing::Eager;
  /// See StoreFollower::SetConfirming.
  bool mIsConfirming = true;

  bool operator==(const FollowStore&) const = default;
};

/// Reads the store's changes once although this VM does not follow it.
struct ReadStore
{};

/// Reads another VM's copy of the store and applies the changes. The driver
/// answers with StorePullEnded.
struct PullStoreChanges
{
  StorePull mPull;
};

/// Marks this VM as leaving in its store entry.
struct AnnounceLeaving
{};

/// Closes persistent caller connections after their pending answers, without
/// reading further requests.
struct CloseCallerConnections
{};

/// Applies new limits for caller connections.
struct ApplyCallerLimits
{
  CallerLimits mLimits;
};

} // namespace effect

using Effect = std::variant<effect::Dispatch,
                            effect::CancelDispatch,
                            effect::Respond,
                            effect::Refuse,
                            effect::SendMessage,
                            effect::ProbeBackend,
                            effect::CheckServer,
                            effect::CloseBackendConnections,
                            effect::FollowStore,
                            effect::ReadStore,
                            effect::PullStoreChanges,
                            effect::AnnounceLeaving,
                            effect::CloseCallerConnections,
                            effect::ApplyCallerLimits,
                            effect::RecordTimeline,
                            effect::Exit>;

/// Effects, in the order in which the driver has to carry them out.
using EffectList = std::vector<Effect>;

} // namespace cranberrywing::gateway
