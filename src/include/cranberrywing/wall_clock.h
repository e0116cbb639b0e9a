/// \file
/// Wall-clock time for the expiry of claims and tickets. Steps of the VM's
/// clock must neither revive an expired ticket nor remove a record early.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Not thread-safe.
class WallClock
{
public:
  /// Records the wall-clock time, in seconds since the epoch, at a monotonic
  /// time that must never decrease between calls.
  void Observe(std::int64_t aSeconds, TimePoint aNow)
  {
    if (!mIsSet) {
      mIsSet = true;
      mBaseSeconds = aSeconds;
      mBase = aNow;
    }
    const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(aNow - mBase);
    const std::int64_t steady = mBaseSeconds + elapsed.count();
    mLatest = std::max({ mLatest, aSeconds, steady });
    mEarliest = std::min(aSeconds, steady);
  }

  /// Time to check expiry against, in seconds since the epoch. Never decreases,
  /// so whatever has expired stays expired.
  std::int64_t ForExpiry() const { return mLatest; }
  /// Time to decide removal by, in seconds since the epoch. At most ForExpiry,
  /// so whatever is removed by it has expired for good.
  std::int64_t ForRemoval() const { return mEarliest; }

private:
  bool mIsSet = false;
  std::int64_t mBaseSeconds = 0;
  TimePoint mBase{};
  std::int64_t mLatest = 0;
  std::int64_t mEarliest = 0;
};

} // namespace cranberrywing
