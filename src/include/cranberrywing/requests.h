/// \file
/// Takes each caller's request through the checks in order: route, key,
/// block, rate, execution, queue, region, server; and its outcome back.
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

/// The concerns that the pipeline asks, in the order of its checks. All must
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

struct PipelineHooks
{
  /// Whether this VM may trust its knowledge of keys.
  std::function<bool(TimePoint)> mIsCurrent;
  /// Whether answers should close the caller's connection.
  std::function<bool()> mClosesConnections;
  /// Latest deadline that a request may have, while this VM stops.
  std::function<std::optional<TimePoint>()> mLatestDeadline;
  /// Address of a usable VM for callers, or nullopt.
  std::function<std::optional<effect::LookupVm>(const VmId&)> mFindVm;
  /// A VM that owns a slot, to which ticket requests are sent.
  std::function<std::optional<VmId>()> mFindAnyOwner;
  /// Whether requests may be passed to the VM, which may be leaving.
  std::function<bool(const VmId&)> mCanForward;
  /// Whether no other VM can have taken the slot.
  std::function<bool(std::uint32_t, TimePoint)> mIsConfirmedOwner;
};

/// Counters since the start, for metrics and reports.
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

/// Not thread-safe; owned by the reducer.
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

  /// Takes a new configuration: refuses waiting requests whose key was
  /// withdrawn and closes their callers.
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
  /// Refuses every request in flight, before the process ends.
  void RefuseAll(EffectList& aOut);
  /// Continues requests whose wait ended in another concern.
  void Advance(TimePoint aNow, EffectList& aOut);

  std::size_t InFlight() const { return mRequests.size(); }
  const PipelineCounters& Counters() const { return mCounters; }

private:
  enum class Stage : std::uint8_t
  {
    Rate,
    /// Waits until an owner of its slot is known.
    Locating,
    /// Passed to the owner of its slot.
    Forwarded,
    /// Waits for Executions to decide.
    Execution,
    Queue,
    Running,
    /// Answered to Executions, which gives the answer after copying it.
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
    /// As resolved on arrival; settings may change meanwhile.
    RouteSettings mRoute;
    ContentDigest mFingerprint;
    TimePoint mDeadline{};
    Stage mStage = Stage::Rate;
    AttemptNumber mAttempt = 0;
    BackendId mBackend;
    bool mHoldsQueuePermit = false;
    /// The caller has gone; the execution goes on to keep its answer.
    bool mAbandoned = false;
    /// An attempt may have reached a server, or a forward's outcome was lost,
    /// so that "not run" must no longer be said.
    bool mMayHaveRun = false;
    std::uint32_t mSlot = 0;
    /// The slot's owner has looked the execution up and no other VM can have
    /// run it, so that "not run" holds for earlier requests with the same
    /// identity too.
    bool mIsLookupConclusive = false;
    std::vector<FailureDomainId> mTriedDomains;
    std::vector<BackendId> mTriedBackends;
    /// Set if the request came from another VM, with that VM's number.
    std::optional<VmId> mForwardedBy;
    std::uint64_t mForwardedNumber = 0;
    /// Owner to which this VM passed the request, under mForwardNumber.
    VmId mOwner;
    std::uint64_t mForwardNumber = 0;
    TimePoint mNextLocate{};
  };

  using RequestMap = std::unordered_map<RequestId, Request>;

  Request* Find(RequestId aRequest);
  bool IsCurrentAttempt(const Request* aRequest, AttemptNumber aAttempt) const;
  /// The deadline as far as a planned stop allows it.
  TimePoint BoundDeadline(TimePoint aDeadline) const;
  static bool IsNonIdempotent(const Request& aRequest);
  /// What may truly be said of a request that is refused.
  static Execution ProvableExecution(const Request& aRequest,
                                     Execution aExecution);
  ExecutionRequest MakeExecutionRequest(const Request& aRequest) const;

  // Arrival (requests.cpp).
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
  Request* FindForwarded(const VmId& aOwner, std::uint64_t aNumber);

  // Outcomes (requests_outcome.cpp). Each ends the request, so that the
  // reference is no longer valid afterwards.
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
  /// Requests of other VMs get numbers from the upper half.
  std::uint64_t mNextForwardedId = 1ull << 63;
  /// Starts at a value derived from the incarnation, so that a late answer to
  /// an earlier process's forward matches no forward of this one.
  std::uint64_t mNextForwardNumber;
  std::unordered_map<std::uint64_t, RequestId> mForwards;
  /// Services whose queue is to be run. Places that are given back while a
  /// queue runs are taken up by the running loop, because recursion over a
  /// long queue would exhaust the stack.
  std::vector<ServiceId> mQueuesToDispatch;
  bool mIsDispatchingQueues = false;
  PipelineCounters mCounters;
};

} // namespace cranberrywing
