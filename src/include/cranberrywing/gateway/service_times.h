/// \file
/// Estimates how long requests of each route take at a server of normal speed,
/// from the latencies of recent answers.
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
  /// Estimates from the route's samples; before the first samples, from its
  /// target latency.
  ExpectedTimes Estimate(const RoutePolicy& aRoute,
                         const ServiceId& aService) const;
  /// Adds the latency of an answer. Precondition: the request did not wait in
  /// the server's queue. aWasWarm: the server was known to have the object
  /// cached.
  void AddSample(const RoutePolicy& aRoute,
                 const ServiceId& aService,
                 bool aWasWarm,
                 Duration aLatency);
  /// Mean latency of the service's answers; nullopt before the first.
  std::optional<Duration> Mean(const ServiceId& aService) const;

private:
  /// Ring buffer of the last kSize samples.
  class Samples
  {
  public:
    void Add(Duration aSample);
    /// aQuantile is from 0 to 1. Returns nullopt before the first sample.
    std::optional<Duration> Quantile(double aQuantile) const;
    /// Mean of the samples, each capped at aMaxRatio times the median. Returns
    /// nullopt before the first sample.
    std::optional<Duration> CappedMean(double aMaxRatio) const;

  private:
    static constexpr std::size_t kSize = 48;

    std::vector<Duration> mValues;
    std::size_t mNext = 0;
  };

  /// Samples of a route, with the estimates that are updated on each AddSample.
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
