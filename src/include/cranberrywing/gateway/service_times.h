/// \file
/// Learns how long requests of each route take at a server of usual speed.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cranberrywing/gateway/object_selector.h"
#include "cranberrywing/gateway/policy.h"

namespace cranberrywing::gateway {

/// Not thread-safe; owned by the gateway.
class ServiceTimes
{
public:
  ExpectedTimes Expect(const RoutePolicy& aRoute,
                       const ServiceId& aService) const;
  /// An answer that did not wait in the server's queue. aWasWarm: the server
  /// handled the object recently.
  void Learn(const RoutePolicy& aRoute,
             const ServiceId& aService,
             bool aWasWarm,
             Duration aLatency);
  /// Mean over the service's answers; nullopt before the first.
  std::optional<Duration> Mean(const ServiceId& aService) const;

private:
  /// The last samples, oldest overwritten first.
  class Samples
  {
  public:
    void Add(Duration aSample);
    /// Nothing before the first sample. aQuantile is from 0 to 1.
    std::optional<Duration> Quantile(double aQuantile) const;
    /// Mean, where a sample counts as at most aLargest times the median.
    /// Nothing before the first sample.
    std::optional<Duration> CappedMean(double aLargest) const;

  private:
    static constexpr std::size_t kSize = 48;

    std::vector<Duration> mValues;
    std::size_t mNext = 0;
  };

  /// What the samples say, computed when one is added.
  struct RouteTimes
  {
    Samples mWarmSamples;
    Samples mUnknownSamples;
    std::optional<Duration> mWarm;
    std::optional<Duration> mUnknown;
    std::optional<Duration> mTailLatency;
  };

  std::map<std::pair<RouteId, ServiceId>, RouteTimes> mRoutes;
  struct ServiceMean
  {
    Samples mSamples;
    std::optional<Duration> mMean;
  };

  std::map<ServiceId, ServiceMean> mMeans;
};

} // namespace cranberrywing::gateway
