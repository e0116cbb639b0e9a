#include "cranberrywing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// A window has at least this many ends, unless it takes too long: with 1000
/// ends the mean of exponential latencies varies by 3%.
constexpr std::uint64_t kWindowEnds = 1000;
constexpr Duration kShortestWindow = std::chrono::milliseconds(50);
constexpr Duration kLongestWindow = std::chrono::seconds(2);
/// Windows with fewer ends do not change the level.
constexpr std::uint64_t kLeastEnds = 30;
/// Nothing running for this long makes the estimate stale.
constexpr Duration kForgetAfter = std::chrono::seconds(5);
constexpr double kSmoothing = 0.3;
/// Time for which a least latency is kept: servers may become slower.
constexpr Duration kLeastPeriod = std::chrono::seconds(15);
/// The least of some hundred windows is below their mean by this many standard
/// deviations.
constexpr double kLeastBias = 2.3;
constexpr double kDeviationGain = 0.05;
/// Mean difference of two normal values over their standard deviation.
constexpr double kDifferencePerDeviation = 1.128;
constexpr double kGreatestTolerance = 2;
/// Latency over its least value that shows queueing while reports tell the
/// utilization, which is then the finer measure.
constexpr double kReportedTolerance = 2;
/// Until queueing is first seen, windows are shorter and the level rises fast.
constexpr std::uint64_t kStartEnds = 60;
constexpr double kStartRise = 0.5;
constexpr double kStartTolerance = 1.5;
/// The level is cut only if it held requests for this part of a window:
/// accounts that touch it now and then are not what fills the servers.
constexpr double kHeldPart = 0.5;
/// Factor of a cut.
constexpr double kCut = 0.85;
/// Below 1, accounts take turns. More accounts than this divides would be held
/// to one request in turn even so.
constexpr double kLeastLevel = 0.05;
/// Rises are in square roots of the level. As cuts are in proportion to it,
/// VMs that share the servers come to equal levels.
constexpr double kRise = 0.4;
constexpr double kFastRise = 1;
/// Part of the target utilization below which the level rises fast.
constexpr double kFastBelow = 0.93;
/// Time from a change of the level to the reports that show it.
constexpr Duration kReportLag = std::chrono::milliseconds(2500);
/// If this many cuts lowered the latency by less than kEffect, the latency is
/// not queueing and becomes the new least value.
constexpr std::uint32_t kMostCuts = 4;
constexpr double kEffect = 0.15;

Duration FromSeconds(double aSeconds)
{
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kLongest)));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
  : ConcurrencyLimit(Options{})
{
}

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : mOptions(aOptions)
  , mLevel(aOptions.mFirst)
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

void ConcurrencyLimit::SetHeld(bool aIsHeld, TimePoint aNow)
{
  if (mIsHeld != aIsHeld) {
    Advance(aNow);
    mIsHeld = aIsHeld;
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
  ++mEnded;
  mLastProgress = aNow;
  const Duration length = aNow - mWindowStart;
  const std::uint64_t needed = mIsStarting ? kStartEnds : kWindowEnds;
  const bool isFull = mEnded >= needed && length >= kShortestWindow;
  if (isFull || length >= kLongestWindow) {
    CloseWindow(aNow);
  }
}

void ConcurrencyLimit::Advance(TimePoint aNow)
{
  const Duration idle = aNow - mLastChange;
  if (mRunning == 0 && idle >= kForgetAfter) {
    mLatency = 0;
    StartWindow(aNow);
  }
  mArea += static_cast<double>(mRunning) * ToSeconds(idle);
  mHeld += mIsHeld ? idle : Duration::zero();
  mLastChange = aNow;
}

void ConcurrencyLimit::StartWindow(TimePoint aNow)
{
  mWindowStart = aNow;
  mArea = 0;
  mEnded = 0;
  mHeld = Duration::zero();
}

void ConcurrencyLimit::CloseWindow(TimePoint aNow)
{
  const double latency = mArea / static_cast<double>(mEnded);
  mLatency =
    mLatency == 0 ? latency : mLatency + kSmoothing * (latency - mLatency);
  if (mEnded >= kLeastEnds) {
    if (mLastLatency > 0) {
      const double difference =
        std::abs(latency - mLastLatency) / std::min(latency, mLastLatency);
      mDeviation +=
        kDeviationGain * (difference / kDifferencePerDeviation - mDeviation);
    }
    mLastLatency = latency;
    if (mIsStarting) {
      mStartLatency =
        mStartLatency == 0 ? latency : std::min(mStartLatency, latency);
    } else {
      mLeast.Add(latency, aNow);
    }
    Adapt(latency, aNow);
  }
  StartWindow(aNow);
}

double ConcurrencyLimit::HeldPart(TimePoint aNow) const
{
  const double length = ToSeconds(aNow - mWindowStart);
  const Duration open = mIsHeld ? aNow - mLastChange : Duration::zero();
  return length > 0 ? ToSeconds(mHeld + open) / length : 0;
}

void ConcurrencyLimit::Adapt(double aLatency, TimePoint aNow)
{
  const double held = HeldPart(aNow);
  const bool isQueueing = aLatency > Tolerance() * LeastLatencySeen();
  if (isQueueing && held >= kHeldPart) {
    Cut(aLatency, aNow);
    return;
  }
  mCuts = 0;
  if (mHeld == Duration::zero() || isQueueing) {
    return;
  }
  if (mIsStarting) {
    Raise(kStartRise * mLevel);
  } else if (!mUtilization || held < kHeldPart) {
    Raise(kRise * std::sqrt(mLevel));
  }
}

void ConcurrencyLimit::OnUtilization(std::optional<double> aUtilization,
                                     TimePoint aNow)
{
  mUtilization = aUtilization;
  if (!mUtilization || aNow < mNextSteer || HeldPart(aNow) < kHeldPart) {
    return;
  }
  const double over = *mUtilization / mOptions.mTargetUtilization;
  if (over > 1) {
    mIsStarting = false;
    mLevel = std::max(kLeastLevel, mLevel * kCut);
  } else if (!mIsStarting) {
    Raise((over < kFastBelow ? kFastRise : kRise) * std::sqrt(mLevel));
  }
  mNextSteer = aNow + kReportLag;
}

void ConcurrencyLimit::Raise(double aStep)
{
  mLevel = std::min(mLevel + aStep, static_cast<double>(mCeiling));
}

double ConcurrencyLimit::LeastLatencySeen() const
{
  // The short windows of the start would make the least value too low.
  return mIsStarting || mLeast.Value() == 0 ? mStartLatency : mLeast.Value();
}

double ConcurrencyLimit::Tolerance() const
{
  if (mIsStarting) {
    return kStartTolerance;
  }
  if (mUtilization) {
    return kReportedTolerance;
  }
  const double mean = 1 + kLeastBias * mDeviation;
  const double excess = 1 + mOptions.mExcess + mDeviation;
  return std::min(mean * excess, kGreatestTolerance);
}

void ConcurrencyLimit::Cut(double aLatency, TimePoint aNow)
{
  if (mIsStarting) {
    mIsStarting = false;
    return;
  }
  if (mCuts == 0) {
    mLevelBeforeCuts = mLevel;
    mLatencyBeforeCuts = aLatency;
  }
  if (mCuts == kMostCuts && aLatency > (1 - kEffect) * mLatencyBeforeCuts) {
    mLevel = mLevelBeforeCuts;
    mLeast.Reset(aLatency, aNow);
    mCuts = 0;
    return;
  }
  mCuts = std::min(mCuts + 1, kMostCuts);
  mLevel = std::max(kLeastLevel, mLevel * kCut);
}

void ConcurrencyLimit::LeastLatency::Add(double aLatency, TimePoint aNow)
{
  if (aNow - mPeriodStart >= kLeastPeriod) {
    mPrevious = mCurrent;
    mCurrent = 0;
    mPeriodStart = aNow;
  }
  mCurrent = mCurrent == 0 ? aLatency : std::min(mCurrent, aLatency);
}

void ConcurrencyLimit::LeastLatency::Reset(double aLatency, TimePoint aNow)
{
  mPrevious = 0;
  mCurrent = aLatency;
  mPeriodStart = aNow;
}

double ConcurrencyLimit::LeastLatency::Value() const
{
  if (mPrevious == 0 || mCurrent == 0) {
    return std::max(mPrevious, mCurrent);
  }
  return std::min(mPrevious, mCurrent);
}

Duration ConcurrencyLimit::Latency(TimePoint aNow) const
{
  if (mRunning == 0 && aNow - mLastChange >= kForgetAfter) {
    return Duration::zero();
  }
  if (mLatency == 0) {
    return Duration::zero();
  }
  // While nothing ends, what runs takes at least as long as that.
  const double stalled = mRunning > 0 ? ToSeconds(aNow - mLastProgress) : 0;
  return FromSeconds(std::max(mLatency, stalled));
}

} // namespace cranberrywing
