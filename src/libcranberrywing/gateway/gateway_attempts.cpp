#include <algorithm>
#include <utility>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kAnswerMargin;
using detail::ToMs;

namespace {

/// Minimum time without an answer before a second server is asked as well.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(500);
/// Minimum time before the deadline for a retry to be worthwhile.
constexpr Duration kMinTimeForRetry = std::chrono::milliseconds(60);

} // namespace

Gateway::Request* Gateway::FindAttempt(RequestId aRequest,
                                       AttemptNumber aAttempt)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return nullptr;
  }
  Request& request = it->second;
  if (request.mOther && request.mOther->mNumber == aAttempt) {
    std::swap(request.mCurrent, *request.mOther);
  }
  const bool isInProgress = request.mCurrent.mNumber == aAttempt &&
                            !request.mCurrent.mBackend.IsEmpty();
  return isInProgress ? &request : nullptr;
}

void Gateway::CancelAttempt(Request& aRequest, bool aHasAnswered)
{
  if (!aRequest.mCurrent.mBackend.IsEmpty()) {
    mEffects.push_back(effect::CancelDispatch{ aRequest.mArrival.mRequest,
                                               aRequest.mCurrent.mNumber });
    EndAttempt(aRequest, aHasAnswered);
  }
}

void Gateway::CancelOtherAttempt(Request& aRequest)
{
  if (!aRequest.mOther) {
    return;
  }
  const Attempt other = *std::exchange(aRequest.mOther, std::nullopt);
  mEffects.push_back(
    effect::CancelDispatch{ aRequest.mArrival.mRequest, other.mNumber });
  if (Backend* const backend = mPool.Find(other.mBackend)) {
    const bool isLater = other.mNumber > aRequest.mCurrent.mNumber;
    const bool isSameProcess = backend->mLifetimeHash == other.mLifetime;
    mPool.OnAttemptEnded(*backend, isLater && isSameProcess, mNow);
    if (!isLater && isSameProcess && !mServerReach.IsCutOff()) {
      mPool.OnFailure(*backend, mNow);
    }
  }
}

bool Gateway::AwaitOtherAttempt(Request& aRequest)
{
  if (!aRequest.mOther) {
    return false;
  }
  aRequest.mCurrent = *std::exchange(aRequest.mOther, std::nullopt);
  return true;
}

Backend* Gateway::EndAttempt(Request& aRequest, bool aHasAnswered)
{
  Backend* const backend = mPool.Find(aRequest.mCurrent.mBackend);
  const bool isSameProcess =
    backend && backend->mLifetimeHash == aRequest.mCurrent.mLifetime;
  if (backend) {
    mPool.OnAttemptEnded(*backend, aHasAnswered && isSameProcess, mNow);
  }
  aRequest.mCurrent.mBackend = BackendId();
  return isSameProcess ? backend : nullptr;
}

void Gateway::RetryFromSilentServers()
{
  if (mStoppingSince || !CanSendToServers()) {
    return;
  }
  std::vector<RequestId> unanswered;
  for (const auto& [id, request] : mRequests) {
    const Backend* const backend = request.mCurrent.mBackend.IsEmpty()
                                     ? nullptr
                                     : mPool.Find(request.mCurrent.mBackend);
    if (!backend || request.mOther || !request.mRoute->mIsIdempotent ||
        mNow - request.mCurrent.mSentAt < kMinAttemptTime) {
      continue;
    }
    const Duration longest =
      mServiceTimes.Estimate(*request.mRoute, request.mService).mTailLatency;
    if (mPool.IsSilent(*backend, longest, mNow)) {
      unanswered.push_back(id);
    }
  }
  for (const RequestId id : unanswered) {
    Request& request = mRequests.at(id);
    const auto selection = SelectRetry(request);
    if (!selection) {
      continue;
    }
    RecordRetry(request, "silent_server");
    request.mMayHaveRun = true;
    request.mOther = std::exchange(request.mCurrent, {});
    DispatchOrRefuse(request, selection);
  }
}

void Gateway::Dispatch(Request& aRequest, const Selection& aSelection)
{
  const Duration timeLeft = aRequest.mDeadline - mNow;
  Backend& backend = *aSelection.mBackend;
  CountRegion(aRequest, backend.mEntry.mRegion);
  aRequest.mCurrent.mNumber =
    static_cast<AttemptNumber>(aRequest.mTriedBackends.size() + 1);
  aRequest.mCurrent.mBackend = backend.mEntry.mBackend;
  aRequest.mCurrent.mLifetime = backend.mLifetimeHash;
  aRequest.mTriedBackends.push_back(backend.mEntry.mBackend);
  aRequest.mCurrent.mSentAt = mNow;
  aRequest.mCurrent.mExpectedTotal = aSelection.mTotal;
  aRequest.mCurrent.mExpectedWait = aSelection.mWait;
  aRequest.mCurrent.mRank = aSelection.mRank;
  aRequest.mCurrent.mWasWarm = mPool.IsWarm(backend, aRequest.mObject, mNow);
  mPool.OnSent(backend, aRequest.mObject, mNow);
  ++mCounters.mDispatched;
  mEffects.push_back(effect::Dispatch{
    .mRequest = aRequest.mArrival.mRequest,
    .mAttempt = aRequest.mCurrent.mNumber,
    .mBackend = backend.mEntry.mBackend,
    .mAddress = backend.mEntry.mAddress,
    .mPort = backend.mEntry.mPort,
    .mContent = aRequest.mArrival.mContent,
    .mAccount = aRequest.mAccount ? aRequest.mAccount->mAccount : AccountId(),
    .mTimeBudget = timeLeft,
    .mTimeout = timeLeft + kAnswerMargin,
  });
}

std::optional<Selection> Gateway::SelectRetry(const Request& aRequest)
{
  if (aRequest.mTriedBackends.size() >= aRequest.mRoute->mMaxAttempts ||
      aRequest.mDeadline - mNow < kMinTimeForRetry || !CanSendToServers() ||
      mCrashGuard.IsSuspect(aRequest.mFingerprint, mNow)) {
    return std::nullopt;
  }
  const auto selection = Select(aRequest);
  if (!selection ||
      !mRetries.TryRetry(aRequest.mService, mFleet.SharingVmCount(), mNow)) {
    return std::nullopt;
  }
  return selection;
}

bool Gateway::Retry(Request& aRequest, std::string_view aReason)
{
  const auto selection = SelectRetry(aRequest);
  if (!selection) {
    return false;
  }
  RecordRetry(aRequest, aReason);
  DispatchOrRefuse(aRequest, selection);
  return true;
}

void Gateway::RecordRetry(const Request& aRequest, std::string_view aReason)
{
  ++mCounters.mRetries;
  Record("request_retried",
         { { "trace", aRequest.mArrival.mTrace },
           { "reason", std::string(aReason) },
           { "backend", aRequest.mTriedBackends.back().mName },
           { "connection", std::to_string(aRequest.mAnsweredOn.mLocalPort) },
           { "use", std::to_string(aRequest.mAnsweredOn.mUse) },
           { "attempts", std::to_string(aRequest.mTriedBackends.size()) },
           { "expected_wait_ms", ToMs(aRequest.mCurrent.mExpectedWait) },
           { "expected_ms", ToMs(aRequest.mCurrent.mExpectedTotal) },
           { "after_ms", ToMs(mNow - aRequest.mArrivedAt) } });
}

} // namespace cranberrywing::gateway
