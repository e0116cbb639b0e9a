#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kAnswerMargin;
using detail::kDefaultRetryDelay;
using detail::ToMs;

namespace {

/// Retry delay of requests that another VM can serve at once.
constexpr Duration kCutOffRetryDelay = std::chrono::milliseconds(50);

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

bool Contains(const std::vector<RegionId>& aRegions, const RegionId& aRegion)
{
  return aRegions.empty() ||
         std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

std::optional<Refusal> Gateway::ResolveRouteAndAccount(Request& aRequest)
{
  if (!mPolicy) {
    return Refusal{ .mCode = ResultCode::NoConfiguration,
                    .mDetail =
                      "no configuration has been received from the store yet",
                    .mRetryAfter = JitterRetryDelay(kDefaultRetryDelay) };
  }
  const event::RequestArrived& arrival = aRequest.mArrival;
  aRequest.mPolicy = mPolicy;
  aRequest.mRoute =
    mPolicy->FindRoute(arrival.mHost, PathOf(arrival.mContent->mTarget));
  if (!aRequest.mRoute) {
    return Refusal{ .mCode = ResultCode::UnknownRoute,
                    .mDetail = "no route matches the host and path" };
  }
  if (!aRequest.mRoute->mIsPublic && !mPolicy->Content().mAccounts.empty()) {
    aRequest.mAccount = mPolicy->FindAccountByKey(arrival.mKey);
    if (!aRequest.mAccount) {
      return Refusal{ .mCode = arrival.mKey.empty() ? ResultCode::KeyMissing
                                                    : ResultCode::KeyUnknown,
                      .mDetail = "the API key is missing or unknown" };
    }
  }
  if (!aRequest.mRoute->mIsUsable ||
      (aRequest.mAccount && !aRequest.mAccount->mIsUsable)) {
    return Refusal{ .mCode = ResultCode::NoConfiguration,
                    .mDetail = "the configuration of the route or of the "
                               "account could not be read" };
  }
  return std::nullopt;
}

void Gateway::On(const event::RequestArrived& aEvent)
{
  ++mCounters.mRequests;
  Request& request = mRequests[aEvent.mRequest];
  request.mArrival = aEvent;
  request.mArrivedAt = mNow;
  if (const auto refusal = ResolveRouteAndAccount(request)) {
    RefuseRequest(request, *refusal);
    return;
  }
  const RoutePolicy& route = *request.mRoute;
  Duration timeBudget = route.mTimeout;
  if (aEvent.mTimeBudget > Duration::zero()) {
    timeBudget = std::min(timeBudget, aEvent.mTimeBudget);
  }
  request.mDeadline = mNow + timeBudget;
  request.mPriority = route.mPriority;
  if (request.mAccount && request.mAccount->mPriority) {
    request.mPriority = *request.mAccount->mPriority;
  }
  if (mStoppingSince && !MayFinishBeforeExit(request)) {
    RefuseRequest(request,
                  { .mCode = ResultCode::ShuttingDown,
                    .mDetail = "the VM is stopping and accepts no new requests",
                    .mRetryAfter = Milliseconds(1) });
    return;
  }
  request.mFingerprint = FingerprintRequest(
    request.mAccount
      ? RouteId(route.mRoute.mName + '\n' + request.mAccount->mAccount.mName)
      : route.mRoute,
    *aEvent.mContent);
  if (mCrashGuard.OnArrival(request.mFingerprint, mNow) ||
      mCrashGuard.IsSuspect(request.mFingerprint, mNow)) {
    RefuseRequest(
      request,
      { .mCode = ResultCode::NoBackend,
        .mDetail = "backend servers went down while running this request; "
                   "fingerprint=" +
                   ToHex(request.mFingerprint) });
    return;
  }
  request.mService = mServiceSplit.Next(route);
  if (!aEvent.mObject.empty() && route.mIsSticky) {
    request.mObject = HashObject(request.mService, aEvent.mObject);
    request.mPosition = PositionOf(request.mObject);
  } else {
    request.mPosition = std::uniform_real_distribution<double>()(mRandom);
  }
  CountDemand(request);
  mRetries.OnRequest(request.mService, mNow);
  AdmitByRate(request);
}

void Gateway::AdmitByRate(Request& aRequest)
{
  if (!aRequest.mAccount || aRequest.mAccount->mRate <= 0) {
    DispatchOrRefuse(aRequest, Select(aRequest));
    return;
  }
  cranberrywing::EffectList effects;
  const RateDecision decision = mRateLimiter.Admit(aRequest.mArrival.mRequest,
                                                   aRequest.mAccount->mAccount,
                                                   aRequest.mDeadline,
                                                   mNow,
                                                   effects);
  ForwardCoreEffects(effects);
  switch (decision) {
    case RateDecision::Admitted:
      DispatchOrRefuse(aRequest, Select(aRequest));
      break;
    case RateDecision::Waiting:
      aRequest.mWaitsForTokens = true;
      break;
    case RateDecision::Refused:
      RefuseRateExceeded(aRequest);
      break;
  }
}

void Gateway::RefuseRateExceeded(Request& aRequest)
{
  RefuseRequest(aRequest,
                { .mCode = ResultCode::RateExceeded,
                  .mDetail = "the account's rate limit is exceeded",
                  .mRetryAfter = JitterRetryDelay(std::chrono::seconds(1)) });
}

bool Gateway::IsAllowed(const Request& aRequest, const RegionId& aRegion) const
{
  return Contains(aRequest.mRoute->mAllowedRegions, aRegion) &&
         (!aRequest.mAccount ||
          Contains(aRequest.mAccount->mAllowedRegions, aRegion));
}

std::vector<Backend*> Gateway::Candidates(const Request& aRequest,
                                          const RegionId& aRegion)
{
  std::vector<Backend*> candidates;
  for (Backend* const backend : mPool.BackendsOfService(aRequest.mService)) {
    if (backend->mEntry.mRegion != aRegion || !mPool.IsUsable(*backend, mNow) ||
        std::find(aRequest.mTriedBackends.begin(),
                  aRequest.mTriedBackends.end(),
                  backend->mEntry.mBackend) != aRequest.mTriedBackends.end()) {
      continue;
    }
    if (IsWithinQuotas(aRequest, *backend)) {
      candidates.push_back(backend);
    }
  }
  return candidates;
}

bool Gateway::IsWithinQuotas(const Request& aRequest, Backend& aBackend) const
{
  const bool isCold = mPool.IsCold(aBackend, mNow);
  const bool isLimited = mPool.IsRateLimited(aBackend, mNow);
  if (!isCold && !isLimited) {
    return true;
  }
  // Both quotas are divided among the VMs of the server's region only.
  return aBackend.mEntry.mRegion == mOptions.mSelf.mRegion &&
         (!isCold || MaySendCold(aRequest, aBackend)) &&
         (!isLimited || mPool.MaySendLimited(aBackend, mNow));
}

bool Gateway::MaySendCold(const Request& aRequest, Backend& aBackend) const
{
  const ServicePolicy* const service =
    aRequest.mPolicy->FindService(aRequest.mService);
  return mColdStart.MaySend(aBackend,
                            service ? service->mColdRate : 0,
                            mFleet.VmsOfRegion(mOptions.mSelf.mRegion),
                            mOptions.mSelf.mVm,
                            mNow);
}

std::optional<Selection> Gateway::SelectSpareLimited(const Request& aRequest)
{
  const RegionId& own = mOptions.mSelf.mRegion;
  if (!IsAllowed(aRequest, own)) {
    return std::nullopt;
  }
  std::vector<Backend*> limited = Candidates(aRequest, own);
  std::erase_if(limited, [this](const Backend* aBackend) {
    return !mPool.IsRateLimited(*aBackend, mNow);
  });
  return mSelector.Choose(
    mPool,
    std::move(limited),
    0,
    mServiceTimes.Estimate(*aRequest.mRoute, aRequest.mService),
    mNow,
    HashBytes(aRequest.mArrival.mTrace));
}

std::optional<Selection> Gateway::Select(const Request& aRequest)
{
  const ExpectedTimes times =
    mServiceTimes.Estimate(*aRequest.mRoute, aRequest.mService);
  const std::uint64_t requestHash =
    aRequest.mObject == 0 ? HashBytes(aRequest.mArrival.mTrace) : 0;
  for (const RegionId& region : RankRegions(aRequest)) {
    const auto selection = mSelector.Choose(mPool,
                                            Candidates(aRequest, region),
                                            aRequest.mObject,
                                            times,
                                            mNow,
                                            requestHash,
                                            PlacedServers(aRequest, region));
    if (selection) {
      return selection;
    }
  }
  return std::nullopt;
}

void Gateway::DispatchOrRefuse(Request& aRequest,
                               const std::optional<Selection>& aSelection)
{
  if (!CanSendToServers() && !aRequest.mMayHaveRun) {
    RefuseRequest(aRequest,
                  { .mCode = ResultCode::NoBackend,
                    .mDetail = "this VM has lost its links to all servers",
                    .mRetryAfter = JitterRetryDelay(kCutOffRetryDelay) });
    return;
  }
  if (aRequest.mMayHaveRun && !aSelection) {
    RefuseOutcomeUnknown(aRequest, "no_further_server");
    return;
  }
  if (!aSelection) {
    const auto wait = ShortestWait(aRequest.mService);
    RefuseRequest(
      aRequest,
      { .mCode = ResultCode::NoBackend,
        .mDetail = wait ? "the service's backend servers have asked to wait"
                        : "no usable backend server for the service",
        .mRetryAfter = wait ? *wait + JitterRetryDelay(kDefaultRetryDelay)
                            : JitterRetryDelay(2 * kDefaultRetryDelay) });
    return;
  }
  const AdmissionDecision decision = Admit(aRequest, *aSelection);
  if (decision.mIsAdmitted || aRequest.mMayHaveRun) {
    Dispatch(aRequest, *aSelection);
    return;
  }
  const auto spare = SelectSpareLimited(aRequest);
  if (spare && Admit(aRequest, *spare).mIsAdmitted) {
    Dispatch(aRequest, *spare);
    return;
  }
  RefuseRequest(aRequest,
                { .mCode = ResultCode::Overloaded,
                  .mDetail = "expected_ms=" + ToMs(aSelection->mTotal),
                  .mRetryAfter = JitterRetryDelay(decision.mRetryAfter) });
}

AdmissionDecision Gateway::Admit(const Request& aRequest,
                                 const Selection& aSelection) const
{
  return DecideAdmission({
    .mPriority = aRequest.mPriority,
    .mElapsed = mNow - aRequest.mArrivedAt,
    .mTimeLeft = aRequest.mDeadline - mNow,
    .mTargetLatency = aRequest.mRoute->mTargetLatency,
    .mWait = aSelection.mWait,
    .mTotal = aSelection.mTotal,
  });
}

} // namespace cranberrywing::gateway
