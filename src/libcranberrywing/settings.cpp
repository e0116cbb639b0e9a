#include "cranberrywing/settings.h"

#include <array>
#include <charconv>

#include "settings_policy.h"
#include "settings_reader.h"
#include "settings_registries.h"

namespace cranberrywing {

namespace {

using detail::ErrorSink;
using detail::KnownNames;
using detail::MapReader;
using detail::PolicyTree;
using detail::ValueReader;

/// Supported version of the document format.
constexpr std::uint64_t kFormat = 1;

constexpr std::string_view kDurationForm =
  "expected a duration with its unit ms, s, m or h, such as 250ms";

struct Unit
{
  std::string_view mName;
  std::int64_t mMilliseconds;
};

/// Ordered from longest to shortest for FormatDuration.
constexpr std::array kUnits{ Unit{ "h", 3600000 },
                             Unit{ "m", 60000 },
                             Unit{ "s", 1000 },
                             Unit{ "ms", 1 } };

/// 100 years: far above the bound of every setting, and far below overflow.
constexpr std::int64_t kMaxMilliseconds = 100LL * 366 * 24 * 3600 * 1000;

struct ReadSettings
{
  std::shared_ptr<SettingsSnapshot> mSnapshot;
  PolicyTree mPolicies;
};

void ReadFormat(MapReader& aTop)
{
  if (const auto value = aTop.Required("format")) {
    std::uint64_t format = 0;
    value->Integer(format, { kFormat, kFormat });
  }
}

/// Reads all sections of the document; errors go to the sink.
ReadSettings ReadSections(const YAML::Node& aDocument, ErrorSink& aErrors)
{
  ReadSettings read{ std::make_shared<SettingsSnapshot>(), {} };
  SettingsSnapshot& snapshot = *read.mSnapshot;
  KnownNames names;
  MapReader top(ValueReader(aDocument, "", aDocument.Mark(), aErrors));
  ReadFormat(top);
  ReadFleet(top, snapshot);
  ReadRegions(top, snapshot, names);
  ReadLinks(top, snapshot, names);
  ReadVms(top, snapshot, names);
  ReadAccounts(top, snapshot, names);
  ReadServices(top, snapshot, names);
  ReadOperators(top, snapshot);
  ReadClientBlocks(top, snapshot);
  read.mPolicies = PolicyTree::Read(top, names);
  top.Finish();
  return read;
}

/// Like ReadSections, but returns the first error and converts the YAML
/// library's exceptions to errors.
Result<ReadSettings> ReadDocument(std::string_view aDocument)
{
  const Result<YAML::Node> document = detail::LoadDocument(aDocument);
  if (!document) {
    return tl::unexpected<Error>(document.error());
  }
  try {
    ErrorSink errors;
    ReadSettings read = ReadSections(*document, errors);
    if (errors.HasError()) {
      return tl::unexpected<Error>(errors.First());
    }
    return read;
  } catch (const std::exception& e) {
    return MakeError(ResultCode::InvalidSettings,
                     std::string("the document cannot be read: ") + e.what());
  }
}

bool HasRoute(const SettingsSnapshot& aSnapshot,
              const ServiceId& aService,
              const RouteId& aRoute)
{
  for (const RouteSettings& route : aSnapshot.mRoutes) {
    if (route.mRoute == aRoute && route.mService == aService) {
      return true;
    }
  }
  return false;
}

bool HasRegion(const SettingsSnapshot& aSnapshot, const RegionId& aRegion)
{
  for (const RegionId& region : aSnapshot.mRegions) {
    if (region == aRegion) {
      return true;
    }
  }
  return false;
}

tl::unexpected<Error> UnknownNameError(std::string_view aKind,
                                       std::string_view aName)
{
  return MakeError(ResultCode::UnknownNode,
                   "there is no " + std::string(aKind) + " '" +
                     std::string(aName) + "'");
}

} // namespace

Result<SettingsSnapshotPtr> ParseSettings(std::string_view aDocument,
                                          Revision aRevision)
{
  Result<ReadSettings> read = ReadDocument(aDocument);
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  SettingsSnapshot& snapshot = *read->mSnapshot;
  snapshot.mRevision = aRevision;
  snapshot.mDigest = DigestContent(aDocument);
  read->mPolicies.Resolve(snapshot);
  return SettingsSnapshotPtr(read->mSnapshot);
}

Result<Duration> ParseDuration(std::string_view aText)
{
  // Zero needs no unit.
  if (aText == "0") {
    return Duration::zero();
  }
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, number);
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  if (ec != std::errc() || number < 0) {
    return MakeError(ResultCode::InvalidArgument, std::string(kDurationForm));
  }
  for (const Unit& unit : kUnits) {
    if (unit.mName != name) {
      continue;
    }
    if (number > kMaxMilliseconds / unit.mMilliseconds) {
      return MakeError(ResultCode::InvalidArgument, "the duration is too long");
    }
    return Milliseconds(number * unit.mMilliseconds);
  }
  return MakeError(ResultCode::InvalidArgument, std::string(kDurationForm));
}

std::string FormatDuration(Duration aDuration)
{
  const std::int64_t ms =
    std::chrono::duration_cast<Milliseconds>(aDuration).count();
  for (const Unit& unit : kUnits) {
    if (ms != 0 && ms % unit.mMilliseconds == 0) {
      return std::to_string(ms / unit.mMilliseconds) + std::string(unit.mName);
    }
  }
  return "0s";
}

bool IsSecretSetting(std::string_view aPath)
{
  return aPath == "fleet/key_pepper" || aPath == "fleet/ticket_secret";
}

Result<std::vector<PolicySource>> ExplainPolicy(std::string_view aDocument,
                                                const RegionId& aRegion,
                                                const ServiceId& aService,
                                                const AccountId& aAccount,
                                                const RouteId& aRoute)
{
  const Result<ReadSettings> read = ReadDocument(aDocument);
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  const SettingsSnapshot& snapshot = *read->mSnapshot;
  if (!aRegion.IsEmpty() && !HasRegion(snapshot, aRegion)) {
    return UnknownNameError("region", aRegion.mName);
  }
  if (!aService.IsEmpty() && !snapshot.mServices.contains(aService)) {
    return UnknownNameError("service", aService.mName);
  }
  if (!aAccount.IsEmpty() && !snapshot.mAccounts.contains(aAccount)) {
    return UnknownNameError("account", aAccount.mName);
  }
  if (!aRoute.IsEmpty() && !HasRoute(snapshot, aService, aRoute)) {
    return UnknownNameError("route", aRoute.mName);
  }
  return read->mPolicies.Explain({ aRegion, aService, aAccount, aRoute });
}

} // namespace cranberrywing
