#include "cranberrywing/region_links.h"

#include <algorithm>

namespace cranberrywing {

namespace {

bool Joins(const LinkSettings& aLink,
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
    if (Joins(link, aLeft, aRight)) {
      latency = std::min(latency, link.mLatency);
    }
  }
  return latency;
}

} // namespace

RegionLinks::RegionLinks(const SettingsSnapshot& aSettings, RegionId aOwn)
  : mOwn(std::move(aOwn))
  , mLinks(aSettings.mLinks)
{
  for (const RegionId& region : aSettings.mRegions) {
    if (region != mOwn) {
      mNearest.push_back(region);
    }
  }
  std::sort(mNearest.begin(),
            mNearest.end(),
            [this](const RegionId& aLeft, const RegionId& aRight) {
              const Duration left = Latency(mLinks, mOwn, aLeft);
              const Duration right = Latency(mLinks, mOwn, aRight);
              return left == right ? aLeft < aRight : left < right;
            });
}

std::optional<double> RegionLinks::BytesPerSecond(const RegionId& aOther) const
{
  std::optional<double> least;
  for (const LinkSettings& link : mLinks) {
    if (!Joins(link, mOwn, aOther) || link.mBytesPerSecond <= 0) {
      continue;
    }
    least =
      least ? std::min(*least, link.mBytesPerSecond) : link.mBytesPerSecond;
  }
  return least;
}

} // namespace cranberrywing
