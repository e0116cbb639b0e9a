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
struct PipelineConcerns
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
  std::function<bool()> mClosesCallers;
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
                  PipelineConcerns aConcerns,
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
  /// Continues requests whose wait ended in another concern.
  void Advance(TimePoint aNow, EffectList& aOut);

  std::size_t InFlight() const { return mRequests.size(); }
  const PipelineCounters& Counters() const { return mCounters; }

private:
  enum class Stage : std::uint8_t
  {
    Rate,
    Forwarded,
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
    bool mHoldsQueuePlace = false;
    /// The caller has gone; the execution goes on to keep its answer.
    bool mAbandoned = false;
    std::vector<FailureDomainId> mTriedDomains;
    std::vector<BackendId> mTriedBackends;
    /// Set if the request came from another VM.
    std::optional<VmId> mForwardedBy;
    std::uint64_t mForwardNumber = 0;
    /// Owner to which this VM passed the request.
    VmId mOwner;
  };

  using RequestMap = std::unordered_map<RequestId, Request>;

  bool IsExecution(const Request& aRequest) const;
  void Admit(Request aRequest, TimePoint aNow, EffectList& aOut);
  void AfterRate(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void StartExecution(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void Forward(Request& aRequest,
               const VmId& aOwner,
               TimePoint aNow,
               EffectList& aOut);
  void Enqueue(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void RunQueued(const ServiceId& aService, TimePoint aNow, EffectList& aOut);
  void Dispatch(Request& aRequest, TimePoint aNow, EffectList& aOut);
  void ReleasePlace(Request& aRequest, TimePoint aNow);
  void Refuse(Request& aRequest,
              Refusal aRefusal,
              TimePoint aNow,
              EffectList& aOut);
  void NotRun(Request& aRequest,
              Refusal aRefusal,
              TimePoint aNow,
              EffectList& aOut);
  void Answer(Request& aRequest,
              AnswerContentPtr aAnswer,
              bool aReplayed,
              EffectList& aOut);
  void Finish(RequestId aRequest);
  void TakeRates(TimePoint aNow, EffectList& aOut);
  void TakeExecutions(TimePoint aNow, EffectList& aOut);
  void ExpireQueued(TimePoint aNow, EffectList& aOut);
  void ExpireForwarded(TimePoint aNow, EffectList& aOut);

  Options mOptions;
  PipelineConcerns mConcerns;
  PipelineHooks mHooks;
  SettingsSnapshotPtr mSettings;
  RequestMap mRequests;
  /// Requests of other VMs get numbers from the upper half.
  std::uint64_t mNextForwardedId = 1ull << 63;
  PipelineCounters mCounters;
};

} // namespace cranberrywing
