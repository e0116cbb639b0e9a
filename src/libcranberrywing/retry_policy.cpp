#include "cranberrywing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Averaging time of the request rate, and time for which unused retries are
/// kept. With a longer time, retries saved during low traffic would pay for a
/// retry storm.
constexpr double kWindowSeconds = 1;
/// With less time left before the deadline, an attempt is not expected to
/// complete.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

} // namespace

RetryPolicy::RetryPolicy(Options aOptions)
  : mOptions(aOptions)
{
}

void RetryPolicy::OnRequest(const RouteSettings& aRoute, TimePoint aNow)
{
  Budget& budget = Refill(aRoute.mService, aNow);
  budget.mRequestRate += 1 / kWindowSeconds;
  budget.mRatio = aRoute.mRetryBudget;
  budget.mTokens += aRoute.mRetryBudget;
}

bool RetryPolicy::TryRetry(const FailedAttempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.mRoute == nullptr) {
    return false;
  }
  const RouteSettings& route = *aAttempt.mRoute;
  const bool mayHaveRun =
    aAttempt.mStage == event::FailureStage::AfterFirstByte;
  if (mayHaveRun && !route.mIdempotent) {
    return false;
  }
  if (aAttempt.mAttempt >= route.mMaxAttempts ||
      aNow + kMinTimeLeft >= aAttempt.mDeadline) {
    return false;
  }
  Budget& budget = Refill(route.mService, aNow);
  if (budget.mTokens < 1) {
    return false;
  }
  budget.mTokens -= 1;
  return true;
}

RetryPolicy::Budget& RetryPolicy::Refill(const ServiceId& aService,
                                         TimePoint aNow)
{
  const auto [it, isNew] = mBudgets.try_emplace(aService);
  Budget& budget = it->second;
  if (isNew) {
    budget.mTokens = mOptions.mMinRetriesPerSecond;
    budget.mLastRefill = aNow;
    return budget;
  }
  const double elapsed = ToSeconds(aNow - budget.mLastRefill);
  budget.mLastRefill = aNow;
  budget.mRequestRate *= std::exp(-elapsed / kWindowSeconds);
  const double maxTokens =
    (mOptions.mMinRetriesPerSecond + budget.mRatio * budget.mRequestRate) *
    kWindowSeconds;
  budget.mTokens += mOptions.mMinRetriesPerSecond * elapsed;
  budget.mTokens = std::min(budget.mTokens, std::max(maxTokens, 1.0));
  return budget;
}

} // namespace cranberrywing
