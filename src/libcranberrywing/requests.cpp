#include "cranberrywing/requests.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Retry-After for requests that exceed a rate or find no available server.
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
/// Retry-After while this VM has no configuration or no contact to peers.
constexpr Duration kUnreadyRetryAfter = std::chrono::seconds(2);

Refusal MakeRefusal(ResultCode aCode,
                    std::string aDetail,
                    Duration aRetryAfter = {})
{
  return Refusal{ .mCode = aCode,
                  .mExecution = Execution::NotRun,
                  .mDetail = std::move(aDetail),
                  .mRetryAfter = aRetryAfter };
}

/// Time limit of one attempt. An idempotent request reserves half of its time
/// for the next attempt, so that it can still succeed if one server hangs.
Duration AttemptTimeout(const RouteSettings& aRoute,
                        AttemptNumber aAttempt,
                        Duration aLeft)
{
  const bool mayRetry = aRoute.mIdempotent && aAttempt < aRoute.mMaxAttempts;
  return mayRetry ? aLeft / 2 : aLeft;
}

} // namespace

RequestPipeline::RequestPipeline(Options aOptions,
                                 PipelineComponents aComponents,
                                 PipelineHooks aHooks)
  : mOptions(std::move(aOptions))
  , mComponents(aComponents)
  , mHooks(std::move(aHooks))
  , mNextForwardNumber(
      HashBytes(mOptions.mSelf.mVm.mName, mOptions.mSelf.mIncarnation.mNumber))
{
}

void RequestPipeline::Apply(SettingsSnapshotPtr aSettings,
                            TimePoint aNow,
                            EffectList& aOut)
{
  mSettings = std::move(aSettings);
  std::vector<RequestId> withdrawn;
  for (const auto& [id, request] : mRequests) {
    const bool isWaiting = request.mStage != Stage::Running &&
                           request.mStage != Stage::Finishing &&
                           request.mStage != Stage::Forwarded;
    if (isWaiting && !request.mIdentity.mKeyName.empty() &&
        !mComponents.mKeys.IsValid(request.mIdentity)) {
      withdrawn.push_back(id);
    }
  }
  // Effects must be deterministic, so they must not depend on the hash map's
  // order.
  std::sort(withdrawn.begin(), withdrawn.end());
  for (const RequestId id : withdrawn) {
    if (Request* request = Find(id)) {
      EndNotRun(*request,
                MakeRefusal(ResultCode::KeyWithdrawn, "the key was withdrawn"),
                aNow,
                aOut);
    }
  }
  Advance(aNow, aOut);
}

TimePoint RequestPipeline::BoundDeadline(TimePoint aDeadline) const
{
  const std::optional<TimePoint> latest = mHooks.mLatestDeadline();
  return latest ? std::min(aDeadline, *latest) : aDeadline;
}

RequestPipeline::Request* RequestPipeline::Find(RequestId aRequest)
{
  const auto it = mRequests.find(aRequest);
  return it == mRequests.end() ? nullptr : &it->second;
}

bool RequestPipeline::IsNonIdempotent(const Request& aRequest)
{
  return !aRequest.mRoute.mIdempotent;
}

void RequestPipeline::OnRequest(const event::RequestArrived& aEvent,
                                TimePoint aNow,
                                EffectList& aOut)
{
  ++mCounters.mArrived;
  Request& request = mRequests[aEvent.mRequest];
  request.mId = aEvent.mRequest;
  request.mCaller = aEvent.mCaller;
  request.mContent = aEvent.mContent;
  request.mIdempotencyKey = aEvent.mIdempotencyKey;
  request.mTicket = aEvent.mTicket;

  if (!mSettings || mSettings->mRoutes.empty()) {
    Refuse(request,
           MakeRefusal(ResultCode::NoConfiguration,
                       "this VM has no settings yet",
                       kUnreadyRetryAfter),
           aOut);
    return;
  }
  const RequestContent& content = *request.mContent;
  const RouteSettings* route =
    mSettings->FindRoute(content.mMethod, content.mTarget);
  if (!route) {
    Refuse(request,
           MakeRefusal(ResultCode::UnknownRoute,
                       "no route matches this method and path"),
           aOut);
    return;
  }
  auto identity = mComponents.mKeys.Identify(aEvent.mKey);
  if (identity) {
    request.mIdentity = std::move(*identity);
  } else if (!route->mOpenToAll) {
    Refuse(request,
           MakeRefusal(identity.error().mCode, identity.error().mMessage),
           aOut);
    return;
  }
  request.mRoute =
    mSettings->Resolve(*route, mOptions.mRegion, request.mIdentity.mAccount);
  Duration timeout = request.mRoute.mTimeout;
  if (aEvent.mTimeout > Duration::zero()) {
    timeout = std::min(timeout, aEvent.mTimeout);
  }
  request.mDeadline = BoundDeadline(aNow + timeout);
  if (auto refusal = Check(request, aNow)) {
    Refuse(request, std::move(*refusal), aOut);
    return;
  }
  Admit(request, aNow, aOut);
}

std::optional<Refusal> RequestPipeline::Check(Request& aRequest,
                                              TimePoint aNow) const
{
  const RouteSettings& route = aRequest.mRoute;
  if (aRequest.mContent->mBody.size() > route.mMaxBodyBytes) {
    return MakeRefusal(ResultCode::RequestTooLarge,
                       "the body is longer than " +
                         std::to_string(route.mMaxBodyBytes) + " bytes");
  }
  if (!route.mOpenToAll && !mHooks.mIsKeyViewCurrent(aNow)) {
    return MakeRefusal(
      ResultCode::Isolated,
      "this VM is isolated and may have missed key withdrawals",
      kUnreadyRetryAfter);
  }
  aRequest.mFingerprint = FingerprintRequest(route.mRoute, *aRequest.mContent);
  if (mComponents.mCrashGuard.OnArrival(aRequest.mFingerprint, aNow)) {
    return MakeRefusal(ResultCode::RequestBlocked,
                       "backend servers crashed while running this request");
  }
  return std::nullopt;
}

void RequestPipeline::Admit(Request& aRequest, TimePoint aNow, EffectList& aOut)
{
  const AccountId& account = aRequest.mIdentity.mAccount;
  // Anonymous requests of open routes are not rate-limited; the fair queue
  // treats them as those of a single account.
  if (account.IsEmpty()) {
    OnRateAdmitted(aRequest, aNow, aOut);
    return;
  }
  const RateDecision decision = mComponents.mRates.Admit(
    aRequest.mId, account, aRequest.mDeadline, aNow, aOut);
  switch (decision) {
    case RateDecision::Admitted:
      OnRateAdmitted(aRequest, aNow, aOut);
      return;
    case RateDecision::Waiting:
      return;
    case RateDecision::Refused:
      Refuse(aRequest,
             MakeRefusal(ResultCode::RateExceeded,
                         "the client account exceeds its rate limit",
                         kOverloadRetryAfter),
             aOut);
      return;
  }
}

void RequestPipeline::ApplyRateDecisions(TimePoint aNow, EffectList& aOut)
{
  for (const RateOutcome& outcome : mComponents.mRates.TakeOutcomes()) {
    Request* request = Find(outcome.mRequest);
    if (!request || request->mStage != Stage::Rate) {
      continue;
    }
    if (outcome.mAdmitted) {
      OnRateAdmitted(*request, aNow, aOut);
      continue;
    }
    Refuse(*request,
           MakeRefusal(ResultCode::RateExceeded,
                       "the client account exceeds its rate limit",
                       kOverloadRetryAfter),
           aOut);
  }
}

void RequestPipeline::OnRateAdmitted(Request& aRequest,
                                     TimePoint aNow,
                                     EffectList& aOut)
{
  if (IsNonIdempotent(aRequest)) {
    Locate(aRequest, aNow, aOut);
    return;
  }
  Enqueue(aRequest, aNow, aOut);
}

void RequestPipeline::Enqueue(Request& aRequest,
                              TimePoint aNow,
                              EffectList& aOut)
{
  aRequest.mStage = Stage::Queue;
  const ServiceId service = aRequest.mRoute.mService;
  const bool isQueued =
    mComponents.mQueue.Push({ .mRequest = aRequest.mId,
                              .mService = service,
                              .mAccount = aRequest.mIdentity.mAccount,
                              .mDeadline = aRequest.mDeadline },
                            aNow);
  if (!isQueued) {
    EndNotRun(aRequest,
              MakeRefusal(ResultCode::Overloaded,
                          "the service cannot answer before the deadline",
                          kOverloadRetryAfter),
              aNow,
              aOut);
    return;
  }
  DispatchQueued(service, aNow, aOut);
}

void RequestPipeline::DispatchQueued(const ServiceId& aService,
                                     TimePoint aNow,
                                     EffectList& aOut)
{
  mQueuesToDispatch.push_back(aService);
  if (mIsDispatchingQueues) {
    return;
  }
  mIsDispatchingQueues = true;
  while (!mQueuesToDispatch.empty()) {
    const ServiceId service = std::move(mQueuesToDispatch.back());
    mQueuesToDispatch.pop_back();
    while (const auto next = mComponents.mQueue.Pop(service, aNow)) {
      StartDequeued(*next, aNow, aOut);
    }
  }
  mIsDispatchingQueues = false;
}

void RequestPipeline::StartDequeued(const QueuedRequest& aNext,
                                    TimePoint aNow,
                                    EffectList& aOut)
{
  Request* request = Find(aNext.mRequest);
  if (!request) {
    mComponents.mQueue.Finish(aNext.mService, aNext.mAccount, aNow);
    return;
  }
  request->mHoldsQueuePermit = true;
  mComponents.mRetries.OnRequest(request->mRoute, aNow);
  Dispatch(*request, aNow, aOut);
}

void RequestPipeline::Dispatch(Request& aRequest,
                               TimePoint aNow,
                               EffectList& aOut)
{
  const Duration left = aRequest.mDeadline - aNow;
  if (left <= Duration::zero()) {
    EndNotRun(
      aRequest,
      MakeRefusal(ResultCode::DeadlineExceeded,
                  "the deadline passed before a backend server was available"),
      aNow,
      aOut);
    return;
  }
  const ServiceId& service = aRequest.mRoute.mService;
  SelectionRequest selection{
    .mService = service,
    .mRegion = mComponents.mOffers.ChooseRegion(service, aNow),
    .mAvoidedDomains = aRequest.mTriedDomains,
    .mAvoidedBackends = aRequest.mTriedBackends,
  };
  const BackendSettings* backend =
    mComponents.mSelector.Select(selection, aNow);
  if (!backend && selection.mRegion != mOptions.mRegion) {
    selection.mRegion = mOptions.mRegion;
    backend = mComponents.mSelector.Select(selection, aNow);
  }
  if (!backend) {
    EndNotRun(aRequest,
              MakeRefusal(ResultCode::NoBackend,
                          "no backend server is available for the request",
                          kOverloadRetryAfter),
              aNow,
              aOut);
    return;
  }
  ++aRequest.mAttempt;
  ++mCounters.mDispatched;
  aRequest.mStage = Stage::Running;
  aRequest.mBackend = backend->mBackend;
  aRequest.mTriedDomains.push_back(backend->mFailureDomain);
  aRequest.mTriedBackends.push_back(backend->mBackend);
  mComponents.mSelector.OnDispatch(backend->mBackend);
  aOut.push_back(effect::Dispatch{
    .mRequest = aRequest.mId,
    .mAttempt = aRequest.mAttempt,
    .mBackend = backend->mBackend,
    .mAddress = backend->mAddress,
    .mPort = backend->mPort,
    .mContent = aRequest.mContent,
    .mTimeout = AttemptTimeout(aRequest.mRoute, aRequest.mAttempt, left) });
}

void RequestPipeline::ExpireQueued(TimePoint aNow, EffectList& aOut)
{
  for (const QueuedRequest& expired : mComponents.mQueue.TakeExpired(aNow)) {
    Request* request = Find(expired.mRequest);
    if (!request) {
      continue;
    }
    EndNotRun(*request,
              MakeRefusal(ResultCode::DeadlineTooShort,
                          "the service cannot answer before the deadline",
                          kOverloadRetryAfter),
              aNow,
              aOut);
  }
}

void RequestPipeline::Tick(TimePoint aNow, EffectList& aOut)
{
  ExpireQueued(aNow, aOut);
  RetryLocate(aNow, aOut);
  Advance(aNow, aOut);
}

void RequestPipeline::Advance(TimePoint aNow, EffectList& aOut)
{
  ApplyRateDecisions(aNow, aOut);
  ApplyExecutionDecisions(aNow, aOut);
}

} // namespace cranberrywing
