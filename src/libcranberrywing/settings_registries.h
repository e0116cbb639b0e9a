/// \file
/// Reads the sections of a settings document that declare objects, such as
/// regions, VMs, accounts and services. Internal to the settings sources.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/settings_snapshot.h"
#include "settings_reader.h"

namespace cranberrywing::detail {

/// Declared names that other sections of the document may refer to.
struct KnownNames
{
  /// Failure domains by region.
  std::unordered_map<RegionId, std::set<FailureDomainId>> mRegions;
  /// Routes by service.
  std::unordered_map<ServiceId, std::set<RouteId>> mServices;
  std::set<AccountId> mAccounts;
};

/// Each of these reads one top-level section into the snapshot and the known
/// names, and reports errors to the sink of aTop.
void ReadFleet(MapReader& aTop, SettingsSnapshot& aOut);
void ReadRegions(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadLinks(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadVms(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadAccounts(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);
void ReadOperators(MapReader& aTop, SettingsSnapshot& aOut);
void ReadClientBlocks(MapReader& aTop, SettingsSnapshot& aOut);
/// Reads services and route definitions. Policy fields of routes are filled in
/// by PolicyTree::Resolve.
void ReadServices(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames);

/// Reads a required reference to a region.
void ReadRegionName(MapReader& aMap,
                    std::string_view aField,
                    const KnownNames& aNames,
                    RegionId& aTarget);

/// Reads the region and failure domain of a VM or backend server.
void ReadLocation(MapReader& aMap,
                  const KnownNames& aNames,
                  RegionId& aRegion,
                  FailureDomainId& aFailureDomain);

/// Reads a required IPv4 or IPv6 address.
void ReadAddress(MapReader& aMap, std::string& aTarget);

/// Reads a required TCP or UDP port.
void ReadPort(MapReader& aMap, std::string_view aField, std::uint16_t& aTarget);

/// Reports duplicate combinations of address and port.
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
