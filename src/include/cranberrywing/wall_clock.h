/// \file
/// Wall-clock time as the expiry of claims and tickets may use it: steps of
/// the VM's clock must neither bring an expired ticket back nor remove a
/// record early.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Not thread-safe.
class WallClock
{
public:
  /// Notes the wall clock's time at a monotonic time that never decreases.
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

  /// Never decreases. Whatever has expired by it stays expired.
  std::int64_t ForExpiry() const { return mLatest; }
  /// At most ForExpiry. What is removed by it has expired for good.
  std::int64_t ForRemoval() const { return mEarliest; }

private:
  bool mIsSet = false;
  std::int64_t mBaseSeconds = 0;
  TimePoint mBase{};
  std::int64_t mLatest = 0;
  std::int64_t mEarliest = 0;
};

} // namespace cranberrywing
