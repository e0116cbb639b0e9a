/// \file
/// Callbacks through which OfferBook queries other components.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

struct OfferBookHooks
{
  /// This process's fraction of its region's spare capacity for a service, in
  /// millionths.
  std::function<std::uint32_t(const ServiceId&)> mFraction;
  /// Requests per second that a region can carry for a service.
  std::function<double(const ServiceId&, const RegionId&, TimePoint)> mCapacity;
  /// Reported requests per second of a region for a service; nullopt without
  /// recent reports.
  std::function<
    std::optional<double>(const ServiceId&, const RegionId&, TimePoint)>
    mReportedRate;
  /// Target regions with the fraction of the service's local traffic that
  /// shifts move to each.
  std::function<std::vector<std::pair<RegionId, double>>(const ServiceId&,
                                                         TimePoint)>
    mShiftedFractions;
  /// Peers of other regions to which offers are announced.
  std::function<std::vector<VmId>()> mRemotePeers;
};

} // namespace cranberrywing
