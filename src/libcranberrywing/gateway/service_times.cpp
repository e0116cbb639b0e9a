#include "cranberrywing/gateway/service_times.h"

#include <algorithm>

#include "duration_math.h"

namespace cranberrywing::gateway {

namespace {

/// A sample counts as at most this multiple of the median in a service's mean,
/// so that a slow server does not raise what is expected of the others. An
/// object that a server does not know takes 3.3 times as long as another.
constexpr double kLargestSample = 3.5;
/// Most servers that this VM sent an object to still know it; the slower
/// samples are of those that forgot it or that had a queue.
constexpr double kWarmQuantile = 0.4;
/// Of the servers that this VM never sent an object to, some got it from
/// others.
constexpr double kUnknownQuantile = 0.6;
/// The slowest samples are of servers that did not know the object.
constexpr double kLongestQuantile = 0.95;

} // namespace

ExpectedTimes ServiceTimes::Expect(const RoutePolicy& aRoute,
                                   const ServiceId& aService) const
{
  // Before the first answers: an operator's target leaves some room for a
  // warm server and is missed by others.
  ExpectedTimes times{ .mWarm = aRoute.mTargetLatency / 2,
                       .mUnknown = aRoute.mTargetLatency,
                       .mMean = aRoute.mTargetLatency / 2,
                       .mTailLatency = 2 * aRoute.mTargetLatency };
  const auto it = mRoutes.find({ aRoute.mRoute, aService });
  if (it != mRoutes.end()) {
    times.mWarm = it->second.mWarm.value_or(times.mWarm);
    times.mUnknown =
      std::max(times.mWarm, it->second.mUnknown.value_or(2 * times.mWarm));
    times.mTailLatency = std::max(
      2 * times.mWarm, it->second.mTailLatency.value_or(times.mTailLatency));
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
  if (aWasWarm) {
    times.mWarmSamples.Add(aLatency);
    times.mWarm = times.mWarmSamples.Quantile(kWarmQuantile);
  } else {
    times.mUnknownSamples.Add(aLatency);
    times.mUnknown = times.mUnknownSamples.Quantile(kUnknownQuantile);
    times.mTailLatency = times.mUnknownSamples.Quantile(kLongestQuantile);
  }
  ServiceMean& service = mMeans[aService];
  service.mSamples.Add(aLatency);
  service.mMean = service.mSamples.CappedMean(kLargestSample);
}

void ServiceTimes::Samples::Add(Duration aSample)
{
  if (mValues.size() < kSize) {
    mValues.push_back(aSample);
    return;
  }
  mValues[mNext] = aSample;
  mNext = (mNext + 1) % kSize;
}

std::optional<Duration> ServiceTimes::Samples::Quantile(double aQuantile) const
{
  if (mValues.empty()) {
    return std::nullopt;
  }
  std::vector<Duration> sorted = mValues;
  const auto place = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<std::size_t>(place)];
}

std::optional<Duration> ServiceTimes::Samples::CappedMean(double aLargest) const
{
  const std::optional<Duration> median = Quantile(0.5);
  if (!median) {
    return std::nullopt;
  }
  const Duration cap = detail::Scale(*median, aLargest);
  Duration sum{};
  for (const Duration value : mValues) {
    sum += std::min(value, cap);
  }
  return sum / static_cast<Duration::rep>(mValues.size());
}

std::optional<Duration> ServiceTimes::Mean(const ServiceId& aService) const
{
  const auto it = mMeans.find(aService);
  return it == mMeans.end() ? std::nullopt : it->second.mMean;
}

} // namespace cranberrywing::gateway
