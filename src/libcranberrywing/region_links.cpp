#include "cranberrywing/region_links.h"

#include <algorithm>

namespace cranberrywing {

namespace {

bool Connects(const LinkSettings& aLink,
              const RegionId& aLeft,
              const RegionId& aRight)
{
  return (aLink.mFrom == aLeft && aLink.mTo == aRight) ||
         (aLink.mFrom == aRight && aLink.mTo == aLeft);
}

Duration Latency(const std::vector<LinkSettings>& aLinks,
                 const RegionId& aLeft,
                 const RegionId& aRight)
{
  Duration latency = Duration::max();
  for (const LinkSettings& link : aLinks) {
    if (Connects(link, aLeft, aRight)) {
      latency = std::min(latency, link.mLatency);
    }
  }
  return latency;
}

} // namespace

RegionLinks::RegionLinks(const SettingsSnapshot& aSettings, RegionId aLocal)
  : mLocal(std::move(aLocal))
  , mLinks(aSettings.mLinks)
{
  for (const RegionId& region : aSettings.mRegions) {
    if (region != mLocal) {
      mRegionsByLatency.push_back(region);
    }
  }
  std::sort(mRegionsByLatency.begin(),
            mRegionsByLatency.end(),
            [this](const RegionId& aLeft, const RegionId& aRight) {
              const Duration left = Latency(mLinks, mLocal, aLeft);
              const Duration right = Latency(mLinks, mLocal, aRight);
              return left == right ? aLeft < aRight : left < right;
            });
}

std::optional<double> RegionLinks::BytesPerSecond(const RegionId& aOther) const
{
  std::optional<double> minimum;
  for (const LinkSettings& link : mLinks) {
    if (!Connects(link, mLocal, aOther) || link.mBytesPerSecond <= 0) {
      continue;
    }
    minimum =
      minimum ? std::min(*minimum, link.mBytesPerSecond) : link.mBytesPerSecond;
  }
  return minimum;
}

} // namespace cranberrywing
