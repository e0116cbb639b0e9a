#include "cranberrywing/gateway/service_times.h"

#include <algorithm>

namespace cranberrywing::gateway {

namespace {

/// Weight of one sample in the moving averages.
constexpr double kSampleWeight = 0.05;
/// A sample counts as at most this multiple of the average, so that a slow
/// server does not raise what is expected of the others.
constexpr double kLargestSample = 2;

void Average(std::optional<Duration>& aMean, Duration aSample)
{
  if (!aMean) {
    aMean = aSample;
    return;
  }
  const double mean = static_cast<double>(aMean->count());
  const double sample =
    std::min(static_cast<double>(aSample.count()), kLargestSample * mean);
  aMean = Duration(
    static_cast<Duration::rep>(mean + kSampleWeight * (sample - mean)));
}

} // namespace

ExpectedTimes ServiceTimes::Expect(const RoutePolicy& aRoute,
                                   const ServiceId& aService) const
{
  // Before the first answers: an operator's target leaves some room for a
  // warm server and is missed by others.
  ExpectedTimes times{ .mWarm = aRoute.mTargetLatency / 2,
                       .mUnknown = aRoute.mTargetLatency,
                       .mMean = aRoute.mTargetLatency / 2 };
  const auto it = mRoutes.find({ aRoute.mRoute, aService });
  if (it != mRoutes.end()) {
    times.mWarm = it->second.mWarm.value_or(times.mWarm);
    times.mUnknown =
      std::max(times.mWarm, it->second.mUnknown.value_or(2 * times.mWarm));
  }
  times.mMean = Mean(aService).value_or(times.mMean);
  return times;
}

void ServiceTimes::Learn(const RoutePolicy& aRoute,
                         const ServiceId& aService,
                         bool aWasWarm,
                         Duration aLatency)
{
  RouteTimes& times = mRoutes[{ aRoute.mRoute, aService }];
  Average(aWasWarm ? times.mWarm : times.mUnknown, aLatency);
  std::optional<Duration> mean = Mean(aService);
  Average(mean, aLatency);
  mMeans[aService] = *mean;
}

std::optional<Duration> ServiceTimes::Mean(const ServiceId& aService) const
{
  const auto it = mMeans.find(aService);
  return it == mMeans.end() ? std::nullopt : std::optional(it->second);
}

} // namespace cranberrywing::gateway
