/// \file
/// Events and effects of the gateway: the whole seam between its decisions
/// and a driver. Effects that the fleet's own reducer knows are shared with it
/// (effect.h).
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/gateway/policy.h"

namespace cranberrywing::gateway {

/// A VM's entry in the store: how the others reach it.
struct VmRecord
{
  VmId mVm;
  Incarnation mIncarnation;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  std::string mAddress;
  /// Port for callers.
  std::uint16_t mCallerPort = 0;
  /// Port for datagrams of other VMs.
  std::uint16_t mPeerPort = 0;
  bool mIsLeaving = false;
};

namespace event {

using cranberrywing::event::BackendFailed;
using cranberrywing::event::FailureKind;
using cranberrywing::event::FailureStage;
using cranberrywing::event::PeerMessageReceived;
using cranberrywing::event::Tick;

/// A caller's whole request was read.
struct RequestArrived
{
  RequestId mRequest{};
  /// Content as it goes to a backend server, without the key.
  RequestContentPtr mContent;
  std::string mHost;
  std::string mKey;
  /// Object that the request is about; empty if none is named.
  std::string mObject;
  /// Identifies the request in logs.
  std::string mTrace;
  /// Time that the caller waits for the answer; zero if it does not tell.
  Duration mTimeBudget{};
};

/// The caller's connection ended before its answer.
struct RequestCancelled
{
  RequestId mRequest{};
};

enum class ReplyKind : std::uint8_t
{
  /// The server's own answer, complete and proven to belong to the request.
  Answer,
  /// The server refused before running the request.
  NotRun,
  /// Another server has the address; it did not run the request.
  WrongServer,
  /// Complete, but not proven to be the server's answer to this request.
  Unverified,
};

struct BackendReplied
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  ReplyKind mKind = ReplyKind::Answer;
  AnswerContentPtr mAnswer;
  std::optional<LoadSample> mLoad;
  /// From dispatch to the answer's last byte.
  Duration mLatency{};
};

/// Result of a ProbeBackend effect.
struct BackendProbed
{
  BackendId mBackend;
  bool mIsHealthy = false;
  std::optional<LoadSample> mLoad;
  /// How much longer it says that it is cold; nullopt if it does not tell.
  std::optional<Duration> mColdTimeLeft;
};

struct PolicyReceived
{
  PolicyPtr mPolicy;
};

struct BackendRegistered
{
  BackendEntry mEntry;
};

struct BackendRemoved
{
  BackendId mBackend;
};

struct EvacuationChanged
{
  FailureDomainId mFailureDomain;
  bool mIsEvacuated = false;
};

struct VmRegistered
{
  VmRecord mRecord;
};

/// A VM that ran at some time, from its entry that does not lapse.
struct RosterVmFound
{
  VmRecord mRecord;
};

struct VmRemoved
{
  VmId mVm;
};

/// All registrations that the store held were delivered.
struct RegistrationsComplete
{};

/// The process was told to stop.
struct StopRequested
{};

} // namespace event

using Event = std::variant<event::Tick,
                           event::RequestArrived,
                           event::RequestCancelled,
                           event::BackendReplied,
                           event::BackendFailed,
                           event::BackendProbed,
                           event::PeerMessageReceived,
                           event::PolicyReceived,
                           event::BackendRegistered,
                           event::BackendRemoved,
                           event::EvacuationChanged,
                           event::VmRegistered,
                           event::RosterVmFound,
                           event::VmRemoved,
                           event::RegistrationsComplete,
                           event::StopRequested>;

namespace effect {

using cranberrywing::effect::CancelDispatch;
using cranberrywing::effect::Exit;
using cranberrywing::effect::RecordTimeline;
using cranberrywing::effect::Refuse;
using cranberrywing::effect::Respond;
using cranberrywing::effect::SendMessage;

/// Send the request to a backend server, once. Answered by BackendReplied or
/// BackendFailed with the same request and attempt.
struct Dispatch
{
  RequestId mRequest{};
  AttemptNumber mAttempt = 0;
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
  RequestContentPtr mContent;
  /// Account that the server is told; empty on public routes.
  AccountId mAccount;
  /// Time left, told to the server.
  Duration mTimeBudget{};
  /// After it the driver reports Timeout.
  Duration mTimeout{};
};

/// Ask for the server's health; answered by BackendProbed.
struct ProbeBackend
{
  BackendId mBackend;
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::string mHealthPath;
};

/// Close idle connections to a server that is leaving or gone.
struct CloseBackendConnections
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Other VMs are to learn from the store that this one leaves.
struct AnnounceLeaving
{};

/// Take no further request from kept connections once each has its answers.
struct CloseCallerConnections
{};

/// Limits towards callers changed.
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
                            effect::CloseBackendConnections,
                            effect::AnnounceLeaving,
                            effect::CloseCallerConnections,
                            effect::ApplyCallerLimits,
                            effect::RecordTimeline,
                            effect::Exit>;

/// In the order in which they are to be carried out.
using EffectList = std::vector<Effect>;

} // namespace cranberrywing::gateway
