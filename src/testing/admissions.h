/// \file
/// A log of admissions and the check that they stayed within a limit.
#pragma once

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::testing {

/// Records arrivals and decisions in true time.
class AdmissionLog
{
public:
  RequestId Arrive(TimePoint aNow)
  {
    const auto request = static_cast<RequestId>(++mArrivals);
    mOpen[request] = aNow;
    return request;
  }

  void Decide(RequestId aRequest, bool aAdmitted, TimePoint aNow)
  {
    const auto it = mOpen.find(aRequest);
    if (!aAdmitted) {
      ++mRefusals;
    } else {
      mAdmissions.push_back(aNow);
      if (aNow > it->second) {
        mWaits.push_back(aNow - it->second);
      }
    }
    mOpen.erase(it);
  }

  std::uint64_t Arrivals() const { return mArrivals; }
  std::uint64_t Refusals() const { return mRefusals; }
  /// Times of all admissions, in order.
  const std::vector<TimePoint>& Admissions() const { return mAdmissions; }
  /// Waits of the requests that were admitted after one.
  const std::vector<Duration>& Waits() const { return mWaits; }

private:
  std::uint64_t mArrivals = 0;
  std::uint64_t mRefusals = 0;
  std::unordered_map<RequestId, TimePoint> mOpen;
  std::vector<TimePoint> mAdmissions;
  std::vector<Duration> mWaits;
};

/// The greatest number by which admissions exceeded rate x time + burst in
/// any window; at most zero if the limit was kept.
inline double MaxExcess(const std::vector<TimePoint>& aAdmissions,
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
