#include "cranberrywing/gateway/service_times.h"

#include <algorithm>

#include "duration_math.h"

namespace cranberrywing::gateway {

namespace {

/// Samples are capped at this multiple of the median in a service's mean, so
/// that a slow server does not raise the expectation for the others. It is just
/// above the factor for a cache miss, which takes 3.3 times as long as a hit.
constexpr double kMaxSampleToMedian = 3.5;
/// Most servers to which this VM sent an object recently still have it cached.
/// The slower samples come from servers that evicted it or that had a queue.
constexpr double kWarmQuantile = 0.4;
/// Some of the servers to which this VM did not send an object have it cached
/// because other VMs sent it.
constexpr double kUnknownQuantile = 0.6;
/// The slowest samples come from servers that did not have the object cached.
constexpr double kTailQuantile = 0.95;

} // namespace

ExpectedTimes ServiceTimes::Estimate(const RoutePolicy& aRoute,
                                     const ServiceId& aService) const
{
  // Defaults before the first answers: the configured target latency is assumed
  // to be met easily with a warm cache and missed otherwise.
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

void ServiceTimes::AddSample(const RoutePolicy& aRoute,
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
    times.mTailLatency = times.mUnknownSamples.Quantile(kTailQuantile);
  }
  ServiceMean& service = mMeans[aService];
  service.mSamples.Add(aLatency);
  service.mMean = service.mSamples.CappedMean(kMaxSampleToMedian);
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
  const auto index = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[static_cast<std::size_t>(index)];
}

std::optional<Duration> ServiceTimes::Samples::CappedMean(
  double aMaxRatio) const
{
  const std::optional<Duration> median = Quantile(0.5);
  if (!median) {
    return std::nullopt;
  }
  const Duration cap = detail::Scale(*median, aMaxRatio);
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
