/// \file
/// Reads the parts of a settings document that name what exists. Internal to
/// the settings sources.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/settings_snapshot.h"
#include "settings_reader.h"

namespace cranberrywing::detail {

/// Names to which other parts of the document refer.
struct KnownNames
{
  /// Failure domains by region.
  std::unordered_map<RegionId, std::set<FailureDomainId>> mRegions;
  /// Routes by service.
  std::unordered_map<ServiceId, std::set<RouteId>> mServices;
  std::set<AccountId> mAccounts;
};

/// Each reads one top-level part into the snapshot and the known names, and
/// reports errors to the part's sink.
void ReadFleet(MapReader& aTop, SettingsSnapshot& aOut);
void ReadRegions(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadLinks(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadVms(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadAccounts(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadOperators(MapReader& aTop, SettingsSnapshot& aOut);
void ReadClientBlocks(MapReader& aTop, SettingsSnapshot& aOut);
/// Routes get their definitions; the policy tree completes them.
void ReadServices(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);

/// A required reference to a region.
void ReadRegionName(MapReader& aMap,
                    std::string_view aField,
                    const KnownNames& aNames,
                    RegionId& aTarget);

/// Region and failure domain of one VM or backend server.
void ReadPlace(MapReader& aMap,
               const KnownNames& aNames,
               RegionId& aRegion,
               FailureDomainId& aFailureDomain);

/// An IPv4 or IPv6 address.
void ReadAddress(MapReader& aMap, std::string& aTarget);

/// A required TCP or UDP port.
void ReadPort(MapReader& aMap, std::string_view aField, std::uint16_t& aTarget);

/// Reports a combination of address and port that was seen before.
class EndpointCheck
{
public:
  void Add(const ValueReader& aValue,
           const std::string& aAddress,
           std::uint16_t aPort);

private:
  std::set<std::string> mSeen;
};

} // namespace cranberrywing::detail
