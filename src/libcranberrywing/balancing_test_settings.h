/// \file
/// Settings, times and helpers shared by the tests of fairness, health,
/// selection, offers, shifts and retries.
#pragma once

#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing::test {

inline const ServiceId kService("ordering");
inline const RegionId kRegion("accra");

inline TimePoint At(double aSeconds)
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

inline BackendId Server(std::size_t aIndex)
{
  return BackendId("ord-" + std::to_string(aIndex));
}

/// Settings with one service whose servers are in one region and alternate
/// between two failure domains.
inline SettingsSnapshot MakeSettings(std::size_t aServers)
{
  SettingsSnapshot settings;
  settings.mRegions = { kRegion };
  ServiceSettings& service = settings.mServices[kService];
  service.mService = kService;
  for (std::size_t n = 0; n < aServers; ++n) {
    BackendSettings backend;
    backend.mBackend = Server(n);
    backend.mRegion = kRegion;
    backend.mFailureDomain = FailureDomainId(n % 2 == 0 ? "a" : "b");
    service.mBackends.push_back(backend);
  }
  return settings;
}

template<class Kind>
std::vector<Kind> FilterEffects(const EffectList& aEffects)
{
  std::vector<Kind> only;
  for (const Effect& effect : aEffects) {
    if (const auto* it = std::get_if<Kind>(&effect)) {
      only.push_back(*it);
    }
  }
  return only;
}

} // namespace cranberrywing::test
