/// \file
/// Links between regions: the order of other regions by latency and the
/// bandwidth of links.
#pragma once

#include <optional>
#include <vector>

#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Immutable after construction; safe to read from several threads.
class RegionLinks
{
public:
  RegionLinks() = default;
  RegionLinks(const SettingsSnapshot& aSettings, RegionId aLocal);

  /// Other regions in order of increasing latency from the local one. Regions
  /// without a configured link come last, in order of name.
  const std::vector<RegionId>& RegionsByLatency() const
  {
    return mRegionsByLatency;
  }
  /// Bandwidth in bytes per second for requests and their answers between the
  /// local and another region: the lower one of both directions; nullopt if
  /// none is configured.
  std::optional<double> BytesPerSecond(const RegionId& aOther) const;

private:
  RegionId mLocal;
  std::vector<RegionId> mRegionsByLatency;
  std::vector<LinkSettings> mLinks;
};

} // namespace cranberrywing
