#include "cranberrywing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Minimum completions of a window that is shorter than kMaxWindow. With 1000
/// completions, the mean of exponentially distributed latencies varies by 3%.
constexpr std::uint64_t kMinWindowCompletions = 1000;
constexpr Duration kMinWindow = std::chrono::milliseconds(50);
constexpr Duration kMaxWindow = std::chrono::seconds(2);
/// Windows with fewer completions do not change the level.
constexpr std::uint64_t kMinCompletions = 30;
/// Idle time after which the latency estimate is discarded.
constexpr Duration kIdleReset = std::chrono::seconds(5);
constexpr double kLatencySmoothing = 0.3;
/// Length of a period of the minimum latency. It is limited, since servers may
/// become slower.
constexpr Duration kMinLatencyPeriod = std::chrono::seconds(15);
/// The minimum of some hundred windows is lower than their mean by this many
/// standard deviations.
constexpr double kMinLatencyBias = 2.3;
constexpr double kDeviationGain = 0.05;
/// Ratio of the mean absolute difference of two normally distributed values to
/// their standard deviation.
constexpr double kMeanDifferencePerDeviation = 1.128;
constexpr double kMaxTolerance = 2;
/// Ratio of latency to its baseline that indicates queueing while reports of
/// the utilization, the more precise measure, are available.
constexpr double kReportedTolerance = 2;
/// Before queueing is first seen, windows are shorter and the level rises
/// quickly.
constexpr std::uint64_t kStartCompletions = 60;
constexpr double kStartIncrease = 0.5;
constexpr double kStartTolerance = 1.5;
/// The level is decreased only if it limited requests for this fraction of a
/// window: accounts that reach it occasionally are not what fills the servers.
constexpr double kMinLimitedFraction = 0.5;
/// Factor of a decrease.
constexpr double kDecreaseFactor = 0.85;
/// Below 1, accounts take turns. With more accounts than the inverse of this,
/// each would be limited to one request at a time anyway.
constexpr double kMinLevel = 0.05;
/// Increases are proportional to the square root of the level. Since decreases
/// are proportional to the level, VMs that share the servers converge to equal
/// levels.
constexpr double kIncrease = 0.4;
constexpr double kFastIncrease = 1;
/// Fraction of the target utilization below which the level rises quickly.
constexpr double kFastIncreaseBelow = 0.93;
/// Time from a change of the level to the load reports that show it.
constexpr Duration kReportLag = std::chrono::milliseconds(2500);
/// If this many decreases reduced the latency by less than the fraction
/// kMinEffect, the latency is not caused by queueing and becomes the new
/// baseline.
constexpr std::uint32_t kMaxDecreases = 4;
constexpr double kMinEffect = 0.15;

Duration FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
  : ConcurrencyLimit(Options{})
{
}

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : mOptions(aOptions)
  , mLevel(aOptions.mInitialLevel)
{
}

void ConcurrencyLimit::SetCeiling(std::size_t aCeiling)
{
  mCeiling = std::max<std::size_t>(aCeiling, 1);
}

double ConcurrencyLimit::Level() const
{
  const auto ceiling = static_cast<double>(mCeiling);
  return mOptions.mIsAdaptive ? std::min(mLevel, ceiling) : ceiling;
}

void ConcurrencyLimit::SetLimiting(bool aIsLimiting, TimePoint aNow)
{
  if (mIsLimiting != aIsLimiting) {
    Advance(aNow);
    mIsLimiting = aIsLimiting;
  }
}

void ConcurrencyLimit::OnStart(TimePoint aNow)
{
  Advance(aNow);
  if (mRunning == 0) {
    mLastProgress = aNow;
  }
  ++mRunning;
}

void ConcurrencyLimit::OnFinish(TimePoint aNow)
{
  Advance(aNow);
  if (mRunning == 0) {
    return;
  }
  --mRunning;
  ++mCompleted;
  mLastProgress = aNow;
  const Duration length = aNow - mWindowStart;
  const std::uint64_t needed =
    mIsStarting ? kStartCompletions : kMinWindowCompletions;
  const bool isFull = mCompleted >= needed && length >= kMinWindow;
  if (isFull || length >= kMaxWindow) {
    CloseWindow(aNow);
  }
}

void ConcurrencyLimit::Advance(TimePoint aNow)
{
  const Duration idle = aNow - mLastChange;
  if (mRunning == 0 && idle >= kIdleReset) {
    mLatency = 0;
    StartWindow(aNow);
  }
  mRunningSeconds += static_cast<double>(mRunning) * ToSeconds(idle);
  mLimitedTime += mIsLimiting ? idle : Duration::zero();
  mLastChange = aNow;
}

void ConcurrencyLimit::StartWindow(TimePoint aNow)
{
  mWindowStart = aNow;
  mRunningSeconds = 0;
  mCompleted = 0;
  mLimitedTime = Duration::zero();
}

void ConcurrencyLimit::CloseWindow(TimePoint aNow)
{
  const double latency = mRunningSeconds / static_cast<double>(mCompleted);
  mLatency = mLatency == 0
               ? latency
               : mLatency + kLatencySmoothing * (latency - mLatency);
  if (mCompleted >= kMinCompletions) {
    if (mLastWindowLatency > 0) {
      const double difference = std::abs(latency - mLastWindowLatency) /
                                std::min(latency, mLastWindowLatency);
      mRelativeDeviation +=
        kDeviationGain *
        (difference / kMeanDifferencePerDeviation - mRelativeDeviation);
    }
    mLastWindowLatency = latency;
    if (mIsStarting) {
      mStartMinLatency =
        mStartMinLatency == 0 ? latency : std::min(mStartMinLatency, latency);
    } else {
      mMinLatency.Add(latency, aNow);
    }
    Adapt(latency, aNow);
  }
  StartWindow(aNow);
}

double ConcurrencyLimit::LimitedFraction(TimePoint aNow) const
{
  const double length = ToSeconds(aNow - mWindowStart);
  const Duration open = mIsLimiting ? aNow - mLastChange : Duration::zero();
  return length > 0 ? ToSeconds(mLimitedTime + open) / length : 0;
}

void ConcurrencyLimit::Adapt(double aLatency, TimePoint aNow)
{
  const double limited = LimitedFraction(aNow);
  const bool isQueueing = aLatency > Tolerance() * BaselineLatency();
  if (isQueueing && limited >= kMinLimitedFraction) {
    Decrease(aLatency, aNow);
    return;
  }
  mConsecutiveDecreases = 0;
  if (mLimitedTime == Duration::zero() || isQueueing) {
    return;
  }
  if (mIsStarting) {
    Increase(kStartIncrease * mLevel);
  } else if (!mUtilization || limited < kMinLimitedFraction) {
    Increase(kIncrease * std::sqrt(mLevel));
  }
}

void ConcurrencyLimit::OnUtilization(std::optional<double> aUtilization,
                                     TimePoint aNow)
{
  mUtilization = aUtilization;
  if (!mUtilization || aNow < mNextAdjustment ||
      LimitedFraction(aNow) < kMinLimitedFraction) {
    return;
  }
  const double ratio = *mUtilization / mOptions.mTargetUtilization;
  if (ratio > 1) {
    mIsStarting = false;
    mLevel = std::max(kMinLevel, mLevel * kDecreaseFactor);
  } else if (!mIsStarting) {
    Increase((ratio < kFastIncreaseBelow ? kFastIncrease : kIncrease) *
             std::sqrt(mLevel));
  }
  mNextAdjustment = aNow + kReportLag;
}

void ConcurrencyLimit::Increase(double aStep)
{
  mLevel = std::min(mLevel + aStep, static_cast<double>(mCeiling));
}

double ConcurrencyLimit::BaselineLatency() const
{
  // The short windows used while starting would bias the minimum downwards.
  return mIsStarting || mMinLatency.Value() == 0 ? mStartMinLatency
                                                 : mMinLatency.Value();
}

double ConcurrencyLimit::Tolerance() const
{
  if (mIsStarting) {
    return kStartTolerance;
  }
  if (mUtilization) {
    return kReportedTolerance;
  }
  const double mean = 1 + kMinLatencyBias * mRelativeDeviation;
  const double excess = 1 + mOptions.mLatencyTolerance + mRelativeDeviation;
  return std::min(mean * excess, kMaxTolerance);
}

void ConcurrencyLimit::Decrease(double aLatency, TimePoint aNow)
{
  if (mIsStarting) {
    mIsStarting = false;
    return;
  }
  if (mConsecutiveDecreases == 0) {
    mLevelBeforeDecreases = mLevel;
    mLatencyBeforeDecreases = aLatency;
  }
  if (mConsecutiveDecreases == kMaxDecreases &&
      aLatency > (1 - kMinEffect) * mLatencyBeforeDecreases) {
    mLevel = mLevelBeforeDecreases;
    mMinLatency.Reset(aLatency, aNow);
    mConsecutiveDecreases = 0;
    return;
  }
  mConsecutiveDecreases = std::min(mConsecutiveDecreases + 1, kMaxDecreases);
  mLevel = std::max(kMinLevel, mLevel * kDecreaseFactor);
}

void ConcurrencyLimit::WindowedMinLatency::Add(double aLatency, TimePoint aNow)
{
  if (aNow - mPeriodStart >= kMinLatencyPeriod) {
    mPrevious = mCurrent;
    mCurrent = 0;
    mPeriodStart = aNow;
  }
  mCurrent = mCurrent == 0 ? aLatency : std::min(mCurrent, aLatency);
}

void ConcurrencyLimit::WindowedMinLatency::Reset(double aLatency,
                                                 TimePoint aNow)
{
  mPrevious = 0;
  mCurrent = aLatency;
  mPeriodStart = aNow;
}

double ConcurrencyLimit::WindowedMinLatency::Value() const
{
  if (mPrevious == 0 || mCurrent == 0) {
    return std::max(mPrevious, mCurrent);
  }
  return std::min(mPrevious, mCurrent);
}

Duration ConcurrencyLimit::Latency(TimePoint aNow) const
{
  if (mRunning == 0 && aNow - mLastChange >= kIdleReset) {
    return Duration::zero();
  }
  if (mLatency == 0) {
    return Duration::zero();
  }
  // While nothing completes, the running requests take at least this long.
  const double stalled = mRunning > 0 ? ToSeconds(aNow - mLastProgress) : 0;
  return FromSeconds(std::max(mLatency, stalled));
}

} // namespace cranberrywing
