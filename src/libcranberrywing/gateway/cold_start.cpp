#include "cranberrywing/gateway/cold_start.h"

#include <algorithm>
#include <cmath>
#include <string>

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
  if (total == 0 || aVms.empty()) {
    return 0;
  }
  const std::string item = std::to_string(aBackendHash);
  const std::uint64_t own = RendezvousWeight(item, aSelf.mName);
  const auto before = static_cast<std::size_t>(
    std::count_if(aVms.begin(), aVms.end(), [&](const VmId& aVm) {
      return aVm != aSelf && RendezvousWeight(item, aVm.mName) > own;
    }));
  // The remainder of the even division goes to the first VMs of the order.
  const std::size_t even = total / aVms.size();
  return even + (before < total % aVms.size() ? 1 : 0);
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
