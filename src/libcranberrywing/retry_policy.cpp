#include "cranberrywing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Time over which the request rate is smoothed, and for which unused
/// retries are kept. A longer time would let a quiet hour pay for a storm.
constexpr double kWindowSeconds = 1;
/// With less time left, an attempt cannot be expected to end.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(5);

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
      aNow + kLeastTimeLeft >= aAttempt.mDeadline) {
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
    budget.mTokens = mOptions.mLeastRetries;
    budget.mUpdated = aNow;
    return budget;
  }
  const double elapsed = ToSeconds(aNow - budget.mUpdated);
  budget.mUpdated = aNow;
  budget.mRequestRate *= std::exp(-elapsed / kWindowSeconds);
  const double greatest =
    (mOptions.mLeastRetries + budget.mRatio * budget.mRequestRate) *
    kWindowSeconds;
  budget.mTokens += mOptions.mLeastRetries * elapsed;
  budget.mTokens = std::min(budget.mTokens, std::max(greatest, 1.0));
  return budget;
}

} // namespace cranberrywing
