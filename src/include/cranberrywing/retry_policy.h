/// \file
/// Whether a failed attempt may be repeated (design 3.7).
#pragma once

#include <unordered_map>

#include "cranberrywing/event.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

struct FailedAttempt
{
  const RouteSettings* mRoute = nullptr;
  AttemptNumber mAttempt = 0;
  event::FailureStage mStage = event::FailureStage::AfterFirstByte;
  event::FailureKind mKind = event::FailureKind::Reset;
  TimePoint mDeadline{};
};

/// Not thread-safe; owned by the reducer.
class RetryPolicy
{
public:
  struct Options
  {
    /// Retries per second that each service always has.
    double mLeastRetries = 3;
  };

  explicit RetryPolicy(Options aOptions);

  /// Counts a first attempt towards the service's budget.
  void OnRequest(const RouteSettings& aRoute, TimePoint aNow);
  /// Whether to repeat, and if so takes it from the budget. A non-idempotent
  /// request is repeated only if no byte can have reached a server.
  bool TryRetry(const FailedAttempt& aAttempt, TimePoint aNow);

private:
  /// Retries that a service may make.
  struct Budget
  {
    double mTokens = 0;
    /// First attempts per second, smoothed.
    double mRequestRate = 0;
    /// Retries per first attempt, of the last request's route.
    double mRatio = 0;
    TimePoint mUpdated{};
  };

  Budget& Refill(const ServiceId& aService, TimePoint aNow);

  Options mOptions;
  std::unordered_map<ServiceId, Budget> mBudgets;
};

} // namespace cranberrywing
