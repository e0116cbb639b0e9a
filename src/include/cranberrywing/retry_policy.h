/// \file
/// Decides whether a failed attempt may be retried (design 3.7).
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
    /// Retries per second that each service may always make.
    double mMinRetriesPerSecond = 3;
  };

  explicit RetryPolicy(Options aOptions);

  /// Adds a first attempt to the service's retry budget.
  void OnRequest(const RouteSettings& aRoute, TimePoint aNow);
  /// Whether to retry; if so, the retry is taken from the budget. A
  /// non-idempotent request is retried only if no byte of it can have reached a
  /// server.
  bool TryRetry(const FailedAttempt& aAttempt, TimePoint aNow);

private:
  /// Retry budget of a service.
  struct Budget
  {
    double mTokens = 0;
    /// First attempts per second, smoothed.
    double mRequestRate = 0;
    /// Retries per first attempt, from the route of the last request.
    double mRatio = 0;
    TimePoint mLastRefill{};
  };

  Budget& Refill(const ServiceId& aService, TimePoint aNow);

  Options mOptions;
  std::unordered_map<ServiceId, Budget> mBudgets;
};

} // namespace cranberrywing
