#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kAnswerMargin;
using detail::kArrivalSeconds;
using detail::kUsualRetry;
using detail::ToMs;

namespace {

/// Less than this is not worth a repeat.
constexpr Duration kShortestRepeat = std::chrono::milliseconds(60);

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

std::optional<Refusal> Gateway::Identify(Request& aRequest)
{
  if (!mPolicy) {
    return Refusal{ .mCode = ResultCode::NoConfiguration,
                    .mDetail = "no configuration yet",
                    .mRetryAfter = SpreadRetry(kUsualRetry) };
  }
  const event::RequestArrived& arrival = aRequest.mArrival;
  aRequest.mPolicy = mPolicy;
  aRequest.mRoute =
    mPolicy->FindRoute(arrival.mHost, PathOf(arrival.mContent->mTarget));
  if (!aRequest.mRoute) {
    return Refusal{ .mCode = ResultCode::UnknownRoute,
                    .mDetail = "no route has the host and path" };
  }
  if (!aRequest.mRoute->mIsPublic && !mPolicy->Content().mAccounts.empty()) {
    aRequest.mAccount = mPolicy->FindAccountByKey(arrival.mKey);
    if (!aRequest.mAccount) {
      return Refusal{ .mCode = arrival.mKey.empty() ? ResultCode::KeyMissing
                                                    : ResultCode::KeyUnknown,
                      .mDetail = "the key is not valid" };
    }
  }
  return std::nullopt;
}

void Gateway::On(const event::RequestArrived& aEvent)
{
  ++mCounters.mRequests;
  Request& request = mRequests[aEvent.mRequest];
  request.mArrival = aEvent;
  request.mArrivedAt = mNow;
  if (const auto refusal = Identify(request)) {
    RefuseRequest(request, *refusal);
    return;
  }
  const RoutePolicy& route = *request.mRoute;
  Duration patience = route.mTimeout;
  if (aEvent.mPatience > Duration::zero()) {
    patience = std::min(patience, aEvent.mPatience);
  }
  request.mDeadline = mNow + patience;
  request.mPriority = route.mPriority;
  if (request.mAccount && request.mAccount->mPriority) {
    request.mPriority = *request.mAccount->mPriority;
  }
  if (mStoppingSince && mNow - *mStoppingSince >= mOptions.mStopAccepting) {
    RefuseRequest(request,
                  { .mCode = ResultCode::ShuttingDown,
                    .mDetail = "the VM is stopping",
                    .mRetryAfter = Milliseconds(1) });
    return;
  }
  request.mFingerprint = FingerprintRequest(
    request.mAccount
      ? RouteId(route.mRoute.mName + '\n' + request.mAccount->mAccount.mName)
      : route.mRoute,
    *aEvent.mContent);
  if (mCrashGuard.IsBlocked(request.mFingerprint, mNow) ||
      mCrashGuard.IsSuspect(request.mFingerprint, mNow)) {
    RefuseRequest(request,
                  { .mCode = ResultCode::NoBackend,
                    .mDetail = "the request ends the servers that run it" });
    return;
  }
  request.mService = mSplit.Next(route);
  if (!aEvent.mObject.empty() && route.mIsSticky) {
    request.mObject = HashObject(request.mService, aEvent.mObject);
    request.mPosition = PositionOf(request.mObject);
  } else {
    request.mPosition = std::uniform_real_distribution<double>()(mRandom);
  }
  Arrivals& arrivals = mArrivals[request.mService];
  arrivals.mPerSecond = ArrivalRate(request.mService) + 1 / kArrivalSeconds;
  arrivals.mAt = mNow;
  mRetries.OnRequest(request.mService, mNow);
  Proceed(request);
}

void Gateway::Proceed(Request& aRequest)
{
  if (!aRequest.mAccount || aRequest.mAccount->mRate <= 0) {
    Send(aRequest);
    return;
  }
  cranberrywing::EffectList effects;
  const RateDecision decision = mRates.Admit(aRequest.mArrival.mRequest,
                                             aRequest.mAccount->mAccount,
                                             aRequest.mDeadline,
                                             mNow,
                                             effects);
  TakeCoreEffects(effects);
  switch (decision) {
    case RateDecision::Admitted:
      Send(aRequest);
      break;
    case RateDecision::Waiting:
      aRequest.mWaitsForTokens = true;
      break;
    case RateDecision::Refused:
      RefuseRequest(aRequest,
                    { .mCode = ResultCode::RateExceeded,
                      .mDetail = "the account's rate is used up",
                      .mRetryAfter = SpreadRetry(std::chrono::seconds(1)) });
      break;
  }
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
  const ServicePolicy* const service =
    aRequest.mPolicy->FindService(aRequest.mService);
  for (Backend* const backend : mPool.OfService(aRequest.mService)) {
    if (backend->mEntry.mRegion != aRegion || !mPool.IsUsable(*backend, mNow) ||
        std::find(aRequest.mTried.begin(),
                  aRequest.mTried.end(),
                  backend->mEntry.mBackend) != aRequest.mTried.end()) {
      continue;
    }
    if (mPool.IsCold(*backend, mNow)) {
      std::vector<VmId> vms = mFleet.VmsOfRegion(aRegion);
      if (!mColdStart.MaySend(*backend,
                              service ? service->mColdRate : 0,
                              vms,
                              mOptions.mSelf.mVm,
                              mNow) ||
          mOptions.mSelf.mRegion != aRegion) {
        continue;
      }
    }
    candidates.push_back(backend);
  }
  return candidates;
}

std::optional<Selection> Gateway::Select(const Request& aRequest)
{
  const ExpectedTimes times =
    mTimes.Expect(*aRequest.mRoute, aRequest.mService);
  for (const RegionId& region :
       mPlan.Rank(aRequest.mService, aRequest.mPosition)) {
    if (!IsAllowed(aRequest, region)) {
      continue;
    }
    const auto selection =
      mSelector.Choose(mPool,
                       Candidates(aRequest, region),
                       aRequest.mObject,
                       times,
                       mNow,
                       HashBytes(aRequest.mArrival.mTrace));
    if (selection) {
      return selection;
    }
  }
  return std::nullopt;
}

void Gateway::Send(Request& aRequest)
{
  const auto selection = Select(aRequest);
  if (aRequest.mMayHaveRun && !selection) {
    FailUnknown(aRequest, "no_further_server");
    return;
  }
  if (!selection) {
    RefuseRequest(aRequest,
                  { .mCode = ResultCode::NoBackend,
                    .mDetail = "no server of the service is usable",
                    .mRetryAfter = SpreadRetry(2 * kUsualRetry) });
    return;
  }
  const Duration timeLeft = aRequest.mDeadline - mNow;
  const AdmissionDecision decision = DecideAdmission({
    .mPriority = aRequest.mPriority,
    .mElapsed = mNow - aRequest.mArrivedAt,
    .mTimeLeft = timeLeft,
    .mTargetLatency = aRequest.mRoute->mTargetLatency,
    .mWait = selection->mWait,
    .mTotal = selection->mTotal,
  });
  if (!decision.mIsAdmitted && !aRequest.mMayHaveRun) {
    RefuseRequest(aRequest,
                  { .mCode = ResultCode::Overloaded,
                    .mDetail = "expected_ms=" + ToMs(selection->mTotal),
                    .mRetryAfter = SpreadRetry(decision.mRetryAfter) });
    return;
  }
  Backend& backend = *selection->mBackend;
  ++aRequest.mAttempt;
  aRequest.mBackend = backend.mEntry.mBackend;
  aRequest.mTried.push_back(backend.mEntry.mBackend);
  aRequest.mSentAt = mNow;
  aRequest.mExpected = selection->mTotal;
  aRequest.mExpectedWait = selection->mWait;
  aRequest.mRank = selection->mRank;
  aRequest.mWasWarm = mPool.IsWarm(backend, aRequest.mObject, mNow);
  mPool.OnSent(backend, aRequest.mObject, mNow);
  ++mCounters.mDispatched;
  mOut.push_back(effect::Dispatch{
    .mRequest = aRequest.mArrival.mRequest,
    .mAttempt = aRequest.mAttempt,
    .mBackend = backend.mEntry.mBackend,
    .mAddress = backend.mEntry.mAddress,
    .mPort = backend.mEntry.mPort,
    .mContent = aRequest.mArrival.mContent,
    .mAccount = aRequest.mAccount ? aRequest.mAccount->mAccount : AccountId(),
    .mPatience = timeLeft,
    .mTimeout = timeLeft + kAnswerMargin,
  });
}

bool Gateway::MayRetry(const Request& aRequest)
{
  return aRequest.mAttempt < aRequest.mRoute->mMaxAttempts &&
         aRequest.mDeadline - mNow >= kShortestRepeat &&
         !mCrashGuard.IsSuspect(aRequest.mFingerprint, mNow) &&
         Select(aRequest).has_value();
}

bool Gateway::Retry(Request& aRequest, std::string_view aReason)
{
  if (!MayRetry(aRequest) ||
      !mRetries.TryRetry(aRequest.mService, mFleet.ShareCount(), mNow)) {
    return false;
  }
  RecordRetry(aRequest, aReason);
  Send(aRequest);
  return true;
}

void Gateway::RecordRetry(const Request& aRequest, std::string_view aReason)
{
  ++mCounters.mRetries;
  Record("request_retried",
         { { "trace", aRequest.mArrival.mTrace },
           { "reason", std::string(aReason) },
           { "backend", aRequest.mTried.back().mName },
           { "attempts", std::to_string(aRequest.mAttempt) },
           { "expected_wait_ms", ToMs(aRequest.mExpectedWait) },
           { "expected_ms", ToMs(aRequest.mExpected) },
           { "after_ms", ToMs(mNow - aRequest.mArrivedAt) } });
}

} // namespace cranberrywing::gateway
