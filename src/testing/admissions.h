/// \file
/// The check that admissions stayed within a rate and a burst.
#pragma once

#include <algorithm>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::testing {

/// The greatest number by which admissions exceeded rate x time + burst in
/// any window; at most zero if the limit was kept.
inline double GreatestExcess(const std::vector<TimePoint>& aAdmissions,
                             double aRate,
                             double aBurst)
{
  // A window from admission i to j holds j - i + 1 of them, so the excess is
  // greatest for the i with the least i - rate x time(i) before j.
  double least = 0;
  double excess = -aBurst;
  for (std::size_t j = 0; j < aAdmissions.size(); ++j) {
    const double seconds =
      std::chrono::duration<double>(aAdmissions[j].time_since_epoch()).count();
    const double level = static_cast<double>(j) - aRate * seconds;
    least = j == 0 ? level : std::min(least, level);
    excess = std::max(excess, level - least + 1 - aBurst);
  }
  return excess;
}

} // namespace cranberrywing::testing
