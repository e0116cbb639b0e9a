/// \file
/// Bounds repeated sends to a service over all VMs together, without a
/// message: each VM repeats at most a part of its own requests and its part
/// of the fixed allowance.
#pragma once

#include <deque>
#include <unordered_map>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Not thread-safe; owned by the gateway.
class RetryBudget
{
public:
  struct Options
  {
    /// Repeats per request.
    double mRatio = 0.2;
    /// Repeats over all VMs in a window, whatever the requests.
    double mAllowance = 0;
    Duration mWindow = std::chrono::seconds(10);
    /// Part of the budget that is used; the rest covers the edges of sliding
    /// windows and VMs that start or end.
    double mUse = 0.7;
  };

  explicit RetryBudget(Options aOptions);

  void SetOptions(const Options& aOptions) { mOptions = aOptions; }
  void OnRequest(const ServiceId& aService, TimePoint aNow);
  /// Takes a repeat from the budget; false if none is left. aVms is the
  /// number of VMs that share the allowance, at least 1.
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
