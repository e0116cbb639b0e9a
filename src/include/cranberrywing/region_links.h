/// \file
/// Links between regions: which region is near, and what a link carries.
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
  RegionLinks(const SettingsSnapshot& aSettings, RegionId aOwn);

  /// Other regions, by rising latency from the own one; regions without a
  /// configured link come last, in order of name.
  const std::vector<RegionId>& Nearest() const { return mNearest; }
  /// Bytes per second that exchanges between the own and another region may
  /// take: the lesser of both directions; nullopt if none is configured.
  std::optional<double> BytesPerSecond(const RegionId& aOther) const;

private:
  RegionId mOwn;
  std::vector<RegionId> mNearest;
  std::vector<LinkSettings> mLinks;
};

} // namespace cranberrywing
