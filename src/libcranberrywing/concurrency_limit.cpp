#include "cranberrywing/concurrency_limit.h"

#include <algorithm>

namespace cranberrywing {

namespace {

constexpr Duration kShortestWindow = std::chrono::milliseconds(50);
constexpr std::uint64_t kLeastEnds = 20;
/// Without ends for this long and nothing running, the estimate is stale.
constexpr Duration kForgetAfter = std::chrono::seconds(5);
constexpr double kSmoothing = 0.3;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration FromSeconds(double aSeconds)
{
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kLongest)));
}

} // namespace

void ConcurrencyLimit::SetCeiling(std::size_t aCeiling)
{
  mCeiling = std::max<std::size_t>(aCeiling, 1);
}

std::size_t ConcurrencyLimit::Limit() const
{
  return mCeiling;
}

void ConcurrencyLimit::OnStart(TimePoint aNow)
{
  Advance(aNow);
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
  if (mEnded >= kLeastEnds && aNow - mWindowStart >= kShortestWindow) {
    CloseWindow(aNow);
  }
}

void ConcurrencyLimit::Advance(TimePoint aNow)
{
  const Duration idle = aNow - mLastChange;
  if (mRunning == 0 && idle >= kForgetAfter) {
    mLatency = 0;
    mWindowStart = aNow;
    mArea = 0;
    mEnded = 0;
  }
  mArea += static_cast<double>(mRunning) * Seconds(idle);
  mLastChange = aNow;
}

void ConcurrencyLimit::CloseWindow(TimePoint aNow)
{
  const double latency = mArea / static_cast<double>(mEnded);
  mLatency =
    mLatency == 0 ? latency : mLatency + kSmoothing * (latency - mLatency);
  mWindowStart = aNow;
  mArea = 0;
  mEnded = 0;
}

Duration ConcurrencyLimit::Latency(TimePoint aNow) const
{
  if (mRunning == 0 && aNow - mLastChange >= kForgetAfter) {
    return Duration::zero();
  }
  const double area =
    mArea + static_cast<double>(mRunning) * Seconds(aNow - mLastChange);
  const double stalled = area / static_cast<double>(mEnded + 1);
  return FromSeconds(mLatency == 0 ? 0 : std::max(mLatency, stalled));
}

Duration ConcurrencyLimit::Wait(std::size_t aAhead, TimePoint aNow) const
{
  const double rounds =
    static_cast<double>(aAhead + 1) / static_cast<double>(Limit());
  return FromSeconds(rounds * Seconds(Latency(aNow)));
}

} // namespace cranberrywing
