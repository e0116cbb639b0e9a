#include "settings_registries.h"

#include <algorithm>

namespace cranberrywing::detail {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Names that must be unique across all services.
struct GlobalNames
{
  std::set<BackendId> mBackends;
  std::set<RouteId> mRoutes;
  std::set<std::string> mMatches;
  EndpointCheck mEndpoints;
};

bool IsMethod(std::string_view aText)
{
  return aText == "*" ||
         (!aText.empty() &&
          std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
            return aCharacter >= 'A' && aCharacter <= 'Z';
          }));
}

bool IsPath(std::string_view aText)
{
  return aText.starts_with('/') &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < 0x7f && aCharacter != '?' &&
                  aCharacter != '#';
         });
}

BackendSettings ReadBackend(const MapReader::Entry& aEntry,
                            const KnownNames& aNames)
{
  BackendSettings backend;
  backend.mBackend = BackendId(aEntry.mName);
  MapReader map(aEntry.mValue);
  ReadLocation(map, aNames, backend.mRegion, backend.mFailureDomain);
  ReadAddress(map, backend.mAddress);
  ReadPort(map, "port", backend.mPort);
  map.Integer("connections", backend.mConnections, { 1, 100000 });
  map.Number("capacity", backend.mCapacity, { 0.001, 1e9 });
  map.Flag("draining", backend.mDraining);
  map.Finish();
  return backend;
}

void ReadBackends(MapReader& aService,
                  const KnownNames& aNames,
                  ServiceSettings& aOut,
                  GlobalNames& aGlobal)
{
  const auto value = aService.Field("backends");
  if (!value) {
    return;
  }
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    const BackendSettings backend = ReadBackend(entry, aNames);
    aGlobal.mEndpoints.Add(entry.mValue, backend.mAddress, backend.mPort);
    if (!aGlobal.mBackends.insert(backend.mBackend).second) {
      entry.mValue.Report("another service has a backend of this name");
    }
    aOut.mBackends.push_back(backend);
  }
}

void ReadShifts(MapReader& aService,
                const KnownNames& aNames,
                ServiceSettings& aOut)
{
  const auto value = aService.Field("shifts");
  if (!value) {
    return;
  }
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    ShiftSettings shift;
    shift.mName = entry.mName;
    MapReader map(entry.mValue);
    ReadRegionName(map, "from", aNames, shift.mFrom);
    ReadRegionName(map, "to", aNames, shift.mTo);
    map.Required("target");
    map.Number("target", shift.mTarget, { 0, 1 });
    map.Number("cap_per_minute", shift.mCapPerMinute, { 0.001, 1 });
    map.Flag("paused", shift.mPaused);
    map.Finish();
    if (shift.mFrom == shift.mTo) {
      entry.mValue.Report("a shift must name two different regions");
    }
    aOut.mShifts.push_back(shift);
  }
}

RouteSettings ReadRoute(const MapReader::Entry& aEntry,
                        const ServiceId& aService,
                        GlobalNames& aGlobal)
{
  RouteSettings route;
  route.mRoute = RouteId(aEntry.mName);
  route.mService = aService;
  MapReader map(aEntry.mValue);
  map.Text("method", route.mMethod);
  if (!IsMethod(route.mMethod)) {
    aEntry.mValue.Report("the method must be upper-case letters or '*'");
  }
  map.Required("path");
  map.Text("path", route.mPathPrefix);
  if (!IsPath(route.mPathPrefix)) {
    aEntry.mValue.Report("the path must start with '/' and have no query");
  }
  // Required, since whether a request may run twice is too important for an
  // implicit default.
  map.Required("idempotent");
  map.Flag("idempotent", route.mIdempotent);
  map.Flag("open_to_all", route.mOpenToAll);
  map.Finish();
  if (route.mOpenToAll && !route.mIdempotent) {
    aEntry.mValue.Report("a route that is open to all must be idempotent");
  }
  if (!aGlobal.mRoutes.insert(route.mRoute).second) {
    aEntry.mValue.Report("another service has a route of this name");
  }
  if (!aGlobal.mMatches.insert(route.mMethod + ' ' + route.mPathPrefix)
         .second) {
    aEntry.mValue.Report("another route has the same method and path");
  }
  return route;
}

void ReadRoutes(MapReader& aService,
                const ServiceId& aId,
                SettingsSnapshot& aOut,
                KnownNames& aNames,
                GlobalNames& aGlobal)
{
  const auto value = aService.Field("routes");
  if (!value) {
    return;
  }
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    const RouteSettings route = ReadRoute(entry, aId, aGlobal);
    aNames.mServices[aId].insert(route.mRoute);
    if (!route.mIdempotent && aOut.mFleet.mTicketSecret.empty()) {
      entry.mValue.Report(
        "a route that is not idempotent needs the secret fleet/ticket_secret");
    }
    aOut.mRoutes.push_back(route);
  }
}

ServiceSettings ReadService(const MapReader::Entry& aEntry,
                            SettingsSnapshot& aOut,
                            KnownNames& aNames,
                            GlobalNames& aGlobal)
{
  ServiceSettings service;
  service.mService = ServiceId(aEntry.mName);
  aNames.mServices[service.mService];
  MapReader map(aEntry.mValue);
  map.Time("slow_start", service.mSlowStart, { seconds(0), minutes(60) });
  map.Time("probe_interval",
           service.mProbeInterval,
           { Milliseconds(100), minutes(10) });
  map.Number("bytes_per_request", service.mBytesPerRequest, { 1, 1e12 });
  ReadBackends(map, aNames, service, aGlobal);
  ReadShifts(map, aNames, service);
  ReadRoutes(map, service.mService, aOut, aNames, aGlobal);
  map.Finish();
  return service;
}

/// Order in which routes are matched: longest path first, then a specific
/// method before any method.
bool MatchesBefore(const RouteSettings& aLeft, const RouteSettings& aRight)
{
  if (aLeft.mPathPrefix.size() != aRight.mPathPrefix.size()) {
    return aLeft.mPathPrefix.size() > aRight.mPathPrefix.size();
  }
  const bool leftAny = aLeft.mMethod == "*";
  const bool rightAny = aRight.mMethod == "*";
  if (leftAny != rightAny) {
    return rightAny;
  }
  return aLeft.mRoute < aRight.mRoute;
}

} // namespace

void ReadServices(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames)
{
  const auto value = aTop.Field("services");
  if (!value) {
    return;
  }
  GlobalNames global;
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    ServiceSettings service = ReadService(entry, aOut, aNames, global);
    const ServiceId id = service.mService;
    aOut.mServices.emplace(id, std::move(service));
  }
  std::sort(aOut.mRoutes.begin(), aOut.mRoutes.end(), MatchesBefore);
}

} // namespace cranberrywing::detail
