#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

namespace {

/// Whether the path starts with the prefix at a segment boundary.
bool HasPathPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') ||
         aPath[aPrefix.size()] == '/';
}

} // namespace

const RouteSettings* SettingsSnapshot::FindRoute(std::string_view aMethod,
                                                 std::string_view aTarget) const
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const RouteSettings& route : mRoutes) {
    if (route.mMethod != "*" && route.mMethod != aMethod) {
      continue;
    }
    if (HasPathPrefix(path, route.mPathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const RouteSettings& SettingsSnapshot::Resolve(const RouteSettings& aRoute,
                                               const RegionId& aRegion,
                                               const AccountId& aAccount) const
{
  if (mOverrides.empty()) {
    return aRoute;
  }
  auto it = mOverrides.find(OverrideKey(aRoute.mRoute, aRegion, aAccount));
  if (it == mOverrides.end()) {
    it = mOverrides.find(OverrideKey(aRoute.mRoute, aRegion, AccountId()));
  }
  if (it == mOverrides.end()) {
    it = mOverrides.find(OverrideKey(aRoute.mRoute, RegionId(), aAccount));
  }
  return it == mOverrides.end() ? aRoute : it->second;
}

std::string SettingsSnapshot::OverrideKey(const RouteId& aRoute,
                                          const RegionId& aRegion,
                                          const AccountId& aAccount)
{
  std::string key;
  key.reserve(aRoute.mName.size() + aRegion.mName.size() +
              aAccount.mName.size() + 2);
  key += aRoute.mName;
  key += '\n';
  key += aRegion.mName;
  key += '\n';
  key += aAccount.mName;
  return key;
}

} // namespace cranberrywing
