#include "cranberrywing/gateway/cold_start.h"

#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/fleet_quota.h"

namespace cranberrywing::gateway {

namespace {

/// Longer than the one second to which the bound applies, because network
/// delays may let requests arrive closer together than they were sent.
constexpr Duration kCountingWindow = std::chrono::milliseconds(1150);

} // namespace

std::size_t ColdQuota(const ColdStartLimits& aLimits,
                      double aRate,
                      std::uint64_t aBackendHash,
                      const std::vector<VmId>& aVms,
                      const VmId& aSelf)
{
  const double bound =
    aLimits.mUtilization * (aRate * aLimits.mOvershoot + aLimits.mSlack);
  const auto total = static_cast<std::size_t>(std::max(0.0, std::floor(bound)));
  return FleetQuota(total, aBackendHash, aVms, aSelf);
}

ColdStartLimiter::ColdStartLimiter(ColdStartLimits aLimits)
  : mLimits(aLimits)
{
}

bool ColdStartLimiter::MaySend(Backend& aBackend,
                               double aRate,
                               const std::vector<VmId>& aVms,
                               const VmId& aSelf,
                               TimePoint aNow) const
{
  std::deque<TimePoint>& sends = aBackend.mColdSends;
  while (!sends.empty() && aNow - sends.front() > kCountingWindow) {
    sends.pop_front();
  }
  return sends.size() < ColdQuota(mLimits, aRate, aBackend.mHash, aVms, aSelf);
}

} // namespace cranberrywing::gateway
