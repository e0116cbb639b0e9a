#include "cranberrywing/gateway/fleet_quota.h"

#include <algorithm>
#include <string>

namespace cranberrywing::gateway {

std::size_t FleetQuota(std::size_t aTotal,
                       std::uint64_t aItemHash,
                       const std::vector<VmId>& aVms,
                       const VmId& aSelf)
{
  if (aTotal == 0 || aVms.empty()) {
    return 0;
  }
  const std::size_t even = aTotal / aVms.size();
  const std::size_t remainder = aTotal % aVms.size();
  if (remainder == 0) {
    return even;
  }
  const std::string item = std::to_string(aItemHash);
  const std::uint64_t own = RendezvousWeight(item, aSelf.mName);
  const auto before = static_cast<std::size_t>(
    std::count_if(aVms.begin(), aVms.end(), [&](const VmId& aVm) {
      return aVm != aSelf && RendezvousWeight(item, aVm.mName) > own;
    }));
  return even + (before < remainder ? 1 : 0);
}

} // namespace cranberrywing::gateway
