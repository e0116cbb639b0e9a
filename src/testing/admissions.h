/// \file
/// A log of admission decisions, and a check of the admissions against a
/// token-bucket limit.
#pragma once

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::testing {

/// Records requests and the decisions on them. Times are those of the
/// simulation, not of a VM's clock. Not thread-safe.
class AdmissionLog
{
public:
  /// Assigns the request's id.
  RequestId Arrive(TimePoint aNow)
  {
    const auto request = static_cast<RequestId>(++mArrivals);
    mPendingSince[request] = aNow;
    return request;
  }

  /// Precondition: the request has arrived and is not yet decided.
  void RecordDecision(RequestId aRequest, bool aAdmitted, TimePoint aNow)
  {
    const auto it = mPendingSince.find(aRequest);
    if (!aAdmitted) {
      ++mRefusals;
    } else {
      mAdmissions.push_back(aNow);
      if (aNow > it->second) {
        mWaits.push_back(aNow - it->second);
      }
    }
    mPendingSince.erase(it);
  }

  std::uint64_t Arrivals() const { return mArrivals; }
  std::uint64_t Refusals() const { return mRefusals; }
  /// Times of all admissions, in order of decision.
  const std::vector<TimePoint>& Admissions() const { return mAdmissions; }
  /// Waiting times of the admitted requests that were not admitted at once.
  const std::vector<Duration>& Waits() const { return mWaits; }

private:
  std::uint64_t mArrivals = 0;
  std::uint64_t mRefusals = 0;
  std::unordered_map<RequestId, TimePoint> mPendingSince;
  std::vector<TimePoint> mAdmissions;
  std::vector<Duration> mWaits;
};

/// Returns the maximum, over all time windows, of the number of admissions
/// minus (rate x window length + burst). The limit was kept if the result is
/// not positive. The rate is in requests per second.
inline double MaxExcess(const std::vector<TimePoint>& aAdmissions,
                        double aRate,
                        double aBurst)
{
  // The window from admission i to admission j contains j - i + 1 admissions,
  // so its excess is greatest for the i <= j that minimizes i - rate x time(i).
  double minLevel = 0;
  double excess = -aBurst;
  for (std::size_t j = 0; j < aAdmissions.size(); ++j) {
    const double seconds =
      std::chrono::duration<double>(aAdmissions[j].time_since_epoch()).count();
    const double currentLevel = static_cast<double>(j) - aRate * seconds;
    minLevel = j == 0 ? currentLevel : std::min(minLevel, currentLevel);
    excess = std::max(excess, currentLevel - minLevel + 1 - aBurst);
  }
  return excess;
}

} // namespace cranberrywing::testing
