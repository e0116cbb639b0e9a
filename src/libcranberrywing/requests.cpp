#include "cranberrywing/requests.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Wait that callers are told when no server can be had right now.
constexpr Duration kNoBackendRetryAfter = std::chrono::seconds(1);
/// Wait that callers are told when a VM waits for configuration or peers.
constexpr Duration kUnreadyRetryAfter = std::chrono::seconds(2);

Refusal RefuseWith(ResultCode aCode,
                   std::string aDetail,
                   Duration aRetryAfter = {})
{
  return Refusal{ .mCode = aCode,
                  .mExecution = Execution::NotRun,
                  .mDetail = std::move(aDetail),
                  .mRetryAfter = aRetryAfter };
}

/// Time limit of one attempt. An idempotent request keeps half of its time
/// for the next attempt, so that a server that hangs costs no answer.
Duration AttemptTimeout(const RouteSettings& aRoute,
                        AttemptNumber aAttempt,
                        Duration aLeft)
{
  const bool mayRetry = aRoute.mIdempotent && aAttempt < aRoute.mMaxAttempts;
  return mayRetry ? aLeft / 2 : aLeft;
}

} // namespace

RequestPipeline::RequestPipeline(Options aOptions,
                                 PipelineConcerns aConcerns,
                                 PipelineHooks aHooks)
  : mOptions(std::move(aOptions))
  , mConcerns(aConcerns)
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
        !mConcerns.mKeys.IsValid(request.mIdentity)) {
      withdrawn.push_back(id);
    }
  }
  // The map's order depends on the hash; effects must not.
  std::sort(withdrawn.begin(), withdrawn.end());
  for (const RequestId id : withdrawn) {
    if (Request* request = Find(id)) {
      EndNotRun(*request,
                RefuseWith(ResultCode::KeyWithdrawn, "the key was withdrawn"),
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

bool RequestPipeline::IsExecution(const Request& aRequest)
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
           RefuseWith(ResultCode::NoConfiguration,
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
           RefuseWith(ResultCode::UnknownRoute,
                      "no route serves this method and path"),
           aOut);
    return;
  }
  auto identity = mConcerns.mKeys.Identify(aEvent.mKey);
  if (identity) {
    request.mIdentity = std::move(*identity);
  } else if (!route->mOpenToAll) {
    Refuse(request,
           RefuseWith(identity.error().mCode, identity.error().mMessage),
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
    return RefuseWith(ResultCode::RequestTooLarge,
                      "the body is longer than " +
                        std::to_string(route.mMaxBodyBytes) + " bytes");
  }
  if (!route.mOpenToAll && !mHooks.mIsCurrent(aNow)) {
    return RefuseWith(ResultCode::Isolated,
                      "this VM may have missed key withdrawals",
                      kUnreadyRetryAfter);
  }
  aRequest.mFingerprint = FingerprintRequest(route.mRoute, *aRequest.mContent);
  if (mConcerns.mCrashGuard.IsBlocked(aRequest.mFingerprint, aNow)) {
    return RefuseWith(ResultCode::RequestBlocked,
                      "backend servers ended while running this request");
  }
  return std::nullopt;
}

void RequestPipeline::Admit(Request& aRequest, TimePoint aNow, EffectList& aOut)
{
  const AccountId& account = aRequest.mIdentity.mAccount;
  // Anonymous requests of open routes belong to no account's rate; the fair
  // queue treats them together as one account.
  if (account.IsEmpty()) {
    AfterRate(aRequest, aNow, aOut);
    return;
  }
  const RateDecision decision = mConcerns.mRates.Admit(
    aRequest.mId, account, aRequest.mDeadline, aNow, aOut);
  switch (decision) {
    case RateDecision::Admitted:
      AfterRate(aRequest, aNow, aOut);
      return;
    case RateDecision::Waiting:
      return;
    case RateDecision::Refused:
      Refuse(aRequest,
             RefuseWith(ResultCode::RateExceeded,
                        "the client account exceeds its rate",
                        kNoBackendRetryAfter),
             aOut);
      return;
  }
}

void RequestPipeline::TakeRates(TimePoint aNow, EffectList& aOut)
{
  for (const RateOutcome& outcome : mConcerns.mRates.TakeOutcomes()) {
    Request* request = Find(outcome.mRequest);
    if (!request || request->mStage != Stage::Rate) {
      continue;
    }
    if (outcome.mAdmitted) {
      AfterRate(*request, aNow, aOut);
      continue;
    }
    Refuse(*request,
           RefuseWith(ResultCode::RateExceeded,
                      "the client account exceeds its rate",
                      kNoBackendRetryAfter),
           aOut);
  }
}

void RequestPipeline::AfterRate(Request& aRequest,
                                TimePoint aNow,
                                EffectList& aOut)
{
  if (IsExecution(aRequest)) {
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
    mConcerns.mQueue.Push({ .mRequest = aRequest.mId,
                            .mService = service,
                            .mAccount = aRequest.mIdentity.mAccount,
                            .mDeadline = aRequest.mDeadline },
                          aNow);
  if (!isQueued) {
    EndNotRun(aRequest,
              RefuseWith(ResultCode::Overloaded,
                         "the service cannot answer before the deadline",
                         kNoBackendRetryAfter),
              aNow,
              aOut);
    return;
  }
  RunQueued(service, aNow, aOut);
}

void RequestPipeline::RunQueued(const ServiceId& aService,
                                TimePoint aNow,
                                EffectList& aOut)
{
  mQueuesToRun.push_back(aService);
  if (mIsRunningQueues) {
    return;
  }
  mIsRunningQueues = true;
  while (!mQueuesToRun.empty()) {
    const ServiceId service = std::move(mQueuesToRun.back());
    mQueuesToRun.pop_back();
    while (const auto next = mConcerns.mQueue.Pop(service, aNow)) {
      StartPopped(*next, aNow, aOut);
    }
  }
  mIsRunningQueues = false;
}

void RequestPipeline::StartPopped(const QueuedRequest& aNext,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  Request* request = Find(aNext.mRequest);
  if (!request) {
    mConcerns.mQueue.Finish(aNext.mService, aNext.mAccount, aNow);
    return;
  }
  request->mHoldsQueuePlace = true;
  mConcerns.mRetries.OnRequest(request->mRoute, aNow);
  Dispatch(*request, aNow, aOut);
}

void RequestPipeline::Dispatch(Request& aRequest,
                               TimePoint aNow,
                               EffectList& aOut)
{
  const Duration left = aRequest.mDeadline - aNow;
  if (left <= Duration::zero()) {
    EndNotRun(aRequest,
              RefuseWith(ResultCode::DeadlineExceeded,
                         "the deadline passed before a server was free"),
              aNow,
              aOut);
    return;
  }
  const ServiceId& service = aRequest.mRoute.mService;
  SelectionRequest selection{
    .mService = service,
    .mRegion = mConcerns.mOffers.ChooseRegion(service, aNow),
    .mAvoidedDomains = aRequest.mTriedDomains,
    .mAvoidedBackends = aRequest.mTriedBackends,
  };
  const BackendSettings* backend = mConcerns.mSelector.Select(selection, aNow);
  if (!backend && selection.mRegion != mOptions.mRegion) {
    selection.mRegion = mOptions.mRegion;
    backend = mConcerns.mSelector.Select(selection, aNow);
  }
  if (!backend) {
    EndNotRun(aRequest,
              RefuseWith(ResultCode::NoBackend,
                         "no backend server can take the request",
                         kNoBackendRetryAfter),
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
  mConcerns.mSelector.OnDispatch(backend->mBackend);
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
  for (const QueuedRequest& expired : mConcerns.mQueue.TakeExpired(aNow)) {
    Request* request = Find(expired.mRequest);
    if (!request) {
      continue;
    }
    EndNotRun(*request,
              RefuseWith(ResultCode::DeadlineTooShort,
                         "the service cannot answer before the deadline",
                         kNoBackendRetryAfter),
              aNow,
              aOut);
  }
}

void RequestPipeline::Tick(TimePoint aNow, EffectList& aOut)
{
  ExpireQueued(aNow, aOut);
  RetryLocating(aNow, aOut);
  Advance(aNow, aOut);
}

void RequestPipeline::Advance(TimePoint aNow, EffectList& aOut)
{
  TakeRates(aNow, aOut);
  TakeExecutions(aNow, aOut);
}

} // namespace cranberrywing
