/// \file
/// Limits the retries to a service over all VMs together, without coordination:
/// each VM retries at most a fraction of its own requests plus its share of a
/// fixed allowance.
#pragma once

#include <deque>
#include <unordered_map>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Sliding-window retry budget per service. Not thread-safe; owned by the
/// gateway.
class RetryBudget
{
public:
  struct Options
  {
    /// Retries per request.
    double mRatio = 0.2;
    /// Retries per window over all VMs, independent of the number of requests.
    double mAllowance = 0;
    Duration mWindow = std::chrono::seconds(10);
    /// Fraction of the budget that is used. The rest covers windows that are
    /// not aligned between VMs, and VMs that start or stop.
    double mUtilization = 0.7;
  };

  explicit RetryBudget(Options aOptions);

  void SetOptions(const Options& aOptions) { mOptions = aOptions; }
  /// Counts a request towards the budget.
  void OnRequest(const ServiceId& aService, TimePoint aNow);
  /// Takes one retry from the budget; returns false if it is used up. aVms is
  /// the number of VMs that share the allowance, at least 1.
  bool TryRetry(const ServiceId& aService, std::size_t aVms, TimePoint aNow);

private:
  struct Service
  {
    std::deque<TimePoint> mRequests;
    std::deque<TimePoint> mRetries;
  };

  void Expire(std::deque<TimePoint>& aTimes, TimePoint aNow) const;

  Options mOptions;
  std::unordered_map<ServiceId, Service> mServices;
};

} // namespace cranberrywing::gateway
