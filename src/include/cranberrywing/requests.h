/// \file
/// Request pipeline: passes each caller's request through the checks in order
/// (route, API key, request block, rate limit, at-most-once execution, queue,
/// region, backend server) and returns its outcome to the caller.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/backend_health.h"
#include "cranberrywing/backend_selector.h"
#include "cranberrywing/crash_guard.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/executions.h"
#include "cranberrywing/fair_queue.h"
#include "cranberrywing/keys.h"
#include "cranberrywing/offers.h"
#include "cranberrywing/rate_limiter.h"
#include "cranberrywing/retry_policy.h"

namespace cranberrywing {

/// The components that the pipeline uses, in the order of its checks. All must
/// outlive the pipeline.
struct PipelineComponents
{
  KeyTable& mKeys;
  CrashGuard& mCrashGuard;
  RateLimiter& mRates;
  Executions& mExecutions;
  FairQueue& mQueue;
  OfferBook& mOffers;
  BackendSelector& mSelector;
  BackendHealth& mHealth;
  RetryPolicy& mRetries;
};

/// Callbacks of RequestPipeline to other components.
struct PipelineHooks
{
  /// Whether this VM's view of withdrawn API keys is recent enough to rely on.
  std::function<bool(TimePoint)> mIsKeyViewCurrent;
  /// Whether callers' connections are to be closed after each answer.
  std::function<bool()> mClosesConnections;
  /// Latest deadline that a request may have while this VM drains; nullopt
  /// otherwise.
  std::function<std::optional<TimePoint>()> mLatestDeadline;
  /// Address of a VM to give to callers, or nullopt if the VM is not usable.
  std::function<std::optional<effect::LookupVm>(const VmId&)> mFindVm;
  /// Any usable VM that owns a slot, to redirect ticket requests to.
  std::function<std::optional<VmId>()> mFindAnyOwner;
  /// Whether requests may be forwarded to the VM. It may be leaving.
  std::function<bool(const VmId&)> mCanForward;
  /// Whether no other VM can have taken over the slot; see
  /// SlotTable::IsConfirmedOwner.
  std::function<bool(std::uint32_t, TimePoint)> mIsConfirmedOwner;
};

/// Counters since process start, for metrics and reports.
struct PipelineCounters
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mReplayed = 0;
  std::uint64_t mRetried = 0;
  std::uint64_t mForwarded = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mCancelled = 0;
  std::unordered_map<std::uint16_t, std::uint64_t> mRefusedByCode;
};

/// Tracks all requests in flight of this VM's callers and those forwarded by
/// other VMs. Not thread-safe; owned by the reducer.
class RequestPipeline
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    RegionId mRegion;
  };

  RequestPipeline(Options aOptions,
                  PipelineComponents aComponents,
                  PipelineHooks aHooks);

  /// Applies new settings. Refuses waiting requests whose API key has been
  /// withdrawn and closes their callers' connections.
  void Apply(SettingsSnapshotPtr aSettings, TimePoint aNow, EffectList& aOut);

  void OnRequest(const event::RequestArrived& aEvent,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnCancelled(const event::RequestCancelled& aEvent,
                   TimePoint aNow,
                   EffectList& aOut);
  void OnResponded(const event::BackendResponded& aEvent,
                   TimePoint aNow,
                   EffectList& aOut);
  void OnFailed(const event::BackendFailed& aEvent,
                TimePoint aNow,
                EffectList& aOut);
  void OnTicketRequested(const event::TicketRequested& aEvent,
                         TimePoint aNow,
                         EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedRequest& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedAnswer& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedRefusal& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnPeerUnreachable(const VmId& aVm, TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  /// Refuses all requests in flight, for use just before the process exits.
  void RefuseAll(EffectList& aOut);
  /// Continues requests that another component has decided on since the last
  /// call.
  void Advance(TimePoint aNow, EffectList& aOut);

  std::size_t InFlight() const { return mRequests.size(); }
  const PipelineCounters& Counters() const { return mCounters; }

private:
  enum class Stage : std::uint8_t
  {
    /// Waiting for RateLimiter to admit it.
    Rate,
    /// Waiting for the owner of its slot to become known.
    Locating,
    /// Forwarded to the owner of its slot.
    Forwarded,
    /// Waiting for a decision of Executions.
    Execution,
    /// Waiting in FairQueue.
    Queue,
    /// Sent to a backend server.
    Running,
    /// Outcome reported to Executions, which returns the answer once it has
    /// been copied.
    Finishing,
  };

  struct Request
  {
    RequestId mId{};
    CallerId mCaller{};
    CallerIdentity mIdentity;
    RequestContentPtr mContent;
    std::string mIdempotencyKey;
    std::string mTicket;
    /// Settings as resolved on arrival; later changes do not apply.
    RouteSettings mRoute;
    ContentDigest mFingerprint;
    TimePoint mDeadline{};
    Stage mStage = Stage::Rate;
    AttemptNumber mAttempt = 0;
    BackendId mBackend;
    /// Whether FairQueue counts the request as running. Reset together with the
    /// call of FairQueue::Finish.
    bool mHoldsQueuePermit = false;
    /// The caller has disconnected. A running execution continues so that its
    /// answer can be stored.
    bool mAbandoned = false;
    /// An attempt may have reached a server, or the outcome of a forwarded
    /// request was lost, so that the request must not be reported as not run.
    bool mMayHaveRun = false;
    std::uint32_t mSlot = 0;
    /// The slot's owner has looked up the execution and no other VM can have
    /// run it, so that "not run" also holds for earlier requests with the same
    /// identity.
    bool mIsLookupConclusive = false;
    std::vector<FailureDomainId> mTriedDomains;
    std::vector<BackendId> mTriedBackends;
    /// VM that forwarded the request to this one, if any, and the number by
    /// which that VM identifies it.
    std::optional<VmId> mForwardedBy;
    std::uint64_t mForwarderNumber = 0;
    /// Owner to which this VM forwarded the request, under mForwardNumber.
    VmId mOwner;
    std::uint64_t mForwardNumber = 0;
    TimePoint mNextLocate{};
  };

  using RequestMap = std::unordered_map<RequestId, Request>;

  Request* Find(RequestId aRequest);
  bool IsCurrentAttempt(const Request* aRequest, AttemptNumber aAttempt) const;
  /// Limits the deadline to what a drain allows.
  TimePoint BoundDeadline(TimePoint aDeadline) const;
  static bool IsNonIdempotent(const Request& aRequest);
  /// Weakens aExecution to what is proven about a refused request.
  static Execution ProvableExecution(const Request& aRequest,
                                     Execution aExecution);
  ExecutionRequest MakeExecutionRequest(const Request& aRequest) const;

  // Admission and dispatch (requests.cpp).
  std::optional<Refusal> Check(Request& aRequest, TimePoint aNow) const;
  void Admit(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void OnRateAdmitted(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void Enqueue(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void DispatchQueued(const ServiceId& aService,
                      TimePoint aNow,
                      EffectList& aOut);
  void StartDequeued(const QueuedRequest& aNext,
                     TimePoint aNow,
                     EffectList& aOut);
  void Dispatch(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void ApplyRateDecisions(TimePoint aNow, EffectList& aOut);
  void ExpireQueued(TimePoint aNow, EffectList& aOut);

  // Executions and forwarding (requests_execution.cpp).
  void Locate(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void Forward(Request& aRequest,
               const VmId& aOwner,
               TimePoint aNow,
               EffectList& aOut);
  void ScheduleLocate(Request& aRequest, TimePoint aNow);
  void ApplyExecutionDecisions(TimePoint aNow, EffectList& aOut);
  void ApplyExecutionDecision(const ExecutionDecision& aDecision,
                              TimePoint aNow,
                              EffectList& aOut);
  void RetryLocate(TimePoint aNow, EffectList& aOut);
  Request* TakeForwardedRequest(const VmId& aOwner, std::uint64_t aNumber);

  // Outcomes (requests_outcome.cpp). Functions that end a request invalidate
  // the reference to it.
  void Answer(Request& aRequest,
              AnswerContentPtr aAnswer,
              bool aReplayed,
              EffectList& aOut);
  void Refuse(Request& aRequest, Refusal aRefusal, EffectList& aOut);
  void EndNotRun(Request& aRequest,
                 Refusal aRefusal,
                 TimePoint aNow,
                 EffectList& aOut);
  void EndFailed(Request& aRequest,
                 const event::BackendFailed& aEvent,
                 TimePoint aNow,
                 EffectList& aOut);
  bool RetryServerError(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void RecordFailure(Request& aRequest,
                     const event::BackendFailed& aEvent,
                     TimePoint aNow,
                     EffectList& aOut);
  void ReleaseQueuePermit(Request& aRequest, TimePoint aNow, EffectList& aOut);

  Options mOptions;
  PipelineComponents mComponents;
  PipelineHooks mHooks;
  SettingsSnapshotPtr mSettings;
  RequestMap mRequests;
  /// IDs of requests forwarded by other VMs are taken from the upper half of
  /// the range, so that they do not collide with IDs assigned by the driver.
  std::uint64_t mNextForwardedId = 1ull << 63;
  /// Starts at a value derived from the incarnation, so that a late reply to a
  /// request forwarded by an earlier process of this VM is not matched to one
  /// forwarded by this process.
  std::uint64_t mNextForwardNumber;
  std::unordered_map<std::uint64_t, RequestId> mForwardedRequests;
  /// Services whose queue is to be dispatched. Permits released during the
  /// dispatch are used by the outer loop, because recursion over a long queue
  /// would exhaust the stack.
  std::vector<ServiceId> mQueuesToDispatch;
  bool mIsDispatchingQueues = false;
  PipelineCounters mCounters;
};

} // namespace cranberrywing
