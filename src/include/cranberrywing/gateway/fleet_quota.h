/// \file
/// Divides a whole number of requests, which all VMs together may send, among
/// the VMs without coordination.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Returns aSelf's part of aTotal: an equal whole number for each VM, and one
/// of the remainder for the first VMs in the item's rendezvous order. Equal
/// sets of VMs give parts that sum to aTotal. Zero if aVms is empty.
/// Thread-safe.
std::size_t FleetQuota(std::size_t aTotal,
                       std::uint64_t aItemHash,
                       const std::vector<VmId>& aVms,
                       const VmId& aSelf);

} // namespace cranberrywing::gateway
