#include "settings_registries.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace cranberrywing::detail {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::size_t kKeyDigestLength = 64;
constexpr std::size_t kContentDigestLength = 32;
constexpr std::size_t kMinSecretLength = 16;
/// In requests per second; above the rate of any supported fleet.
constexpr double kMaxRate = 1e9;

bool IsLowerHex(std::string_view aText, std::size_t aLength)
{
  return aText.size() == aLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void ReadDigest(const ValueReader& aValue, std::string& aTarget)
{
  aValue.Text(aTarget);
  if (!IsLowerHex(aTarget, kKeyDigestLength)) {
    aValue.Report("expected a digest of 64 lower-case hex digits");
  }
}

void ReadSecret(MapReader& aMap, std::string_view aName, std::string& aTarget)
{
  const auto value = aMap.Field(aName);
  if (!value) {
    return;
  }
  value->Text(aTarget);
  if (aTarget.size() < kMinSecretLength) {
    value->Report("a secret must have at least 16 characters");
  }
}

/// Whether a text is empty or a path of names separated by '/'.
bool IsNodePath(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('/'), aText.size());
    const std::string_view name = aText.substr(0, end);
    if (!IsName(name) && name != "*") {
      return false;
    }
    if (end + 1 == aText.size()) {
      return false;
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return true;
}

KeySettings ReadKey(const ValueReader& aValue)
{
  KeySettings key;
  MapReader map(aValue);
  map.Name("name", key.mName);
  if (const auto digest = map.Required("digest")) {
    ReadDigest(*digest, key.mDigest.mHex);
  }
  map.Flag("withdrawn", key.mWithdrawn);
  map.Finish();
  return key;
}

AccountSettings ReadAccount(const MapReader::Entry& aEntry,
                            std::set<std::string>& aDigests)
{
  AccountSettings account;
  account.mAccount = AccountId(aEntry.mName);
  MapReader map(aEntry.mValue);
  map.Required("rate");
  map.Number("rate", account.mRate, { 0, kMaxRate });
  map.Required("burst");
  map.Number("burst", account.mBurst, { 0, kMaxRate });
  map.Number("weight", account.mWeight, { 0.001, 1000 });
  map.Integer("subset_size", account.mSubsetSize, { 1, 1000 });
  std::set<std::string> names;
  if (const auto keys = map.Field("keys")) {
    for (const ValueReader& element : keys->Elements()) {
      account.mKeys.push_back(ReadKey(element));
      const KeySettings& key = account.mKeys.back();
      if (!names.insert(key.mName).second) {
        element.Report("the key '" + key.mName + "' is given twice");
      }
      if (!aDigests.insert(key.mDigest.mHex).second) {
        element.Report("another key has the same digest");
      }
    }
  }
  map.Finish();
  return account;
}

ContentDigest ParseContentDigest(const ValueReader& aValue)
{
  std::string text;
  aValue.Text(text);
  ContentDigest digest;
  if (!IsLowerHex(text, kContentDigestLength)) {
    aValue.Report("expected a digest of 32 lower-case hex digits");
    return digest;
  }
  const char* begin = text.data();
  std::from_chars(begin, begin + 16, digest.mHigh, 16);
  std::from_chars(begin + 16, begin + 32, digest.mLow, 16);
  return digest;
}

VmSettings ReadVm(const MapReader::Entry& aEntry, const KnownNames& aNames)
{
  VmSettings vm;
  vm.mVm = VmId(aEntry.mName);
  MapReader map(aEntry.mValue);
  ReadLocation(map, aNames, vm.mRegion, vm.mFailureDomain);
  vm.mSite = SiteId(vm.mRegion.mName);
  if (map.Field("site")) {
    map.Name("site", vm.mSite.mName);
  }
  ReadAddress(map, vm.mAddress);
  ReadPort(map, "caller_port", vm.mCallerPort);
  ReadPort(map, "peer_port", vm.mPeerPort);
  ReadPort(map, "admin_port", vm.mAdminPort);
  map.Finish();
  return vm;
}

} // namespace

void EndpointCheck::Add(const ValueReader& aValue,
                        const std::string& aAddress,
                        std::uint16_t aPort)
{
  const std::string endpoint = aAddress + " port " + std::to_string(aPort);
  if (!mSeen.insert(endpoint).second) {
    aValue.Report(endpoint + " is used twice");
  }
}

void ReadRegionName(MapReader& aMap,
                    std::string_view aField,
                    const KnownNames& aNames,
                    RegionId& aTarget)
{
  aMap.Name(aField, aTarget.mName);
  const auto value = aMap.Field(aField);
  if (value && !aNames.mRegions.contains(aTarget)) {
    value->Report("there is no region '" + aTarget.mName + "'");
  }
}

void ReadLocation(MapReader& aMap,
                  const KnownNames& aNames,
                  RegionId& aRegion,
                  FailureDomainId& aFailureDomain)
{
  ReadRegionName(aMap, "region", aNames, aRegion);
  aMap.Name("failure_domain", aFailureDomain.mName);
  const auto value = aMap.Field("failure_domain");
  const auto region = aNames.mRegions.find(aRegion);
  if (value && region != aNames.mRegions.end() &&
      !region->second.contains(aFailureDomain)) {
    value->Report("the region '" + aRegion.mName + "' has no failure domain '" +
                  aFailureDomain.mName + "'");
  }
}

void ReadAddress(MapReader& aMap, std::string& aTarget)
{
  const auto value = aMap.Required("address");
  if (!value) {
    return;
  }
  value->Text(aTarget);
  in6_addr buf{};
  if (inet_pton(AF_INET, aTarget.c_str(), &buf) != 1 &&
      inet_pton(AF_INET6, aTarget.c_str(), &buf) != 1) {
    value->Report("'" + aTarget + "' is not an IP address");
  }
}

void ReadPort(MapReader& aMap, std::string_view aField, std::uint16_t& aTarget)
{
  aMap.Required(aField);
  aMap.Integer(aField, aTarget, { 1, kMaxPort });
}

void ReadFleet(MapReader& aTop, SettingsSnapshot& aOut)
{
  const auto value = aTop.Field("fleet");
  if (!value) {
    return;
  }
  FleetSettings& fleet = aOut.mFleet;
  MapReader map(*value);
  map.Time("isolation_limit", fleet.mIsolationLimit, { seconds(0), hours(1) });
  map.Time("lookup_lifetime", fleet.mLookupLifetime, { seconds(1), hours(1) });
  map.Time(
    "claim_retention", fleet.mClaimRetention, { minutes(1), hours(24 * 30) });
  map.Time(
    "ticket_lifetime", fleet.mTicketLifetime, { seconds(10), hours(24) });
  map.Integer("slot_owners", fleet.mSlotOwners, { 1, 1024 });
  map.Number("claim_write_budget", fleet.mClaimWriteBudget, { 1, 10000 });
  map.Time("takeover_delay", fleet.mTakeoverDelay, { seconds(1), minutes(10) });
  ReadSecret(map, "key_pepper", fleet.mKeyPepper);
  ReadSecret(map, "ticket_secret", fleet.mTicketSecret);
  map.Finish();
}

void ReadRegions(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames)
{
  const auto value = aTop.Field("regions");
  if (!value) {
    return;
  }
  std::set<std::string> domains;
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    const RegionId region(entry.mName);
    aOut.mRegions.push_back(region);
    MapReader map(entry.mValue);
    auto& known = aNames.mRegions[region];
    if (const auto list = map.Required("failure_domains")) {
      for (const ValueReader& element : list->Elements()) {
        std::string name;
        element.Text(name);
        if (!IsName(name)) {
          element.Report("'" + name + "' is not a valid name");
        }
        if (!domains.insert(name).second) {
          element.Report("the failure domain '" + name + "' is given twice");
        }
        known.insert(FailureDomainId(name));
      }
    }
    map.Finish();
  }
  std::sort(aOut.mRegions.begin(), aOut.mRegions.end());
}

void ReadLinks(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames)
{
  const auto value = aTop.Field("links");
  if (!value) {
    return;
  }
  for (const ValueReader& element : value->Elements()) {
    LinkSettings link;
    MapReader map(element);
    ReadRegionName(map, "from", aNames, link.mFrom);
    ReadRegionName(map, "to", aNames, link.mTo);
    map.Required("bytes_per_second");
    map.Number("bytes_per_second", link.mBytesPerSecond, { 1, 1e15 });
    map.Required("latency");
    map.Time("latency", link.mLatency, { seconds(0), seconds(10) });
    map.Finish();
    if (link.mFrom == link.mTo) {
      element.Report("a link must join two different regions");
    }
    for (const LinkSettings& other : aOut.mLinks) {
      if (other.mFrom == link.mFrom && other.mTo == link.mTo) {
        element.Report("this link is given twice");
      }
    }
    aOut.mLinks.push_back(link);
  }
}

void ReadVms(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames)
{
  const auto value = aTop.Field("vms");
  if (!value) {
    return;
  }
  EndpointCheck endpoints;
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    const VmSettings vm = ReadVm(entry, aNames);
    endpoints.Add(entry.mValue, vm.mAddress, vm.mCallerPort);
    endpoints.Add(entry.mValue, vm.mAddress, vm.mPeerPort);
    endpoints.Add(entry.mValue, vm.mAddress, vm.mAdminPort);
    aOut.mVms.push_back(vm);
  }
}

void ReadAccounts(MapReader& aTop, SettingsSnapshot& aOut, KnownNames& aNames)
{
  const auto value = aTop.Field("accounts");
  if (!value) {
    return;
  }
  std::set<std::string> digests;
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    AccountSettings account = ReadAccount(entry, digests);
    aNames.mAccounts.insert(account.mAccount);
    const AccountId id = account.mAccount;
    aOut.mAccounts.emplace(id, std::move(account));
  }
  if (!digests.empty() && aOut.mFleet.mKeyPepper.empty()) {
    value->Report("keys need the secret fleet/key_pepper");
  }
}

void ReadOperators(MapReader& aTop, SettingsSnapshot& aOut)
{
  const auto value = aTop.Field("operators");
  if (!value) {
    return;
  }
  for (const MapReader::Entry& entry : MapReader(*value).Entries()) {
    OperatorSettings one;
    one.mName = entry.mName;
    MapReader map(entry.mValue);
    if (const auto digest = map.Required("token_digest")) {
      ReadDigest(*digest, one.mTokenDigest.mHex);
    }
    if (const auto nodes = map.Required("nodes")) {
      for (const ValueReader& element : nodes->Elements()) {
        std::string& node = one.mNodes.emplace_back();
        element.Text(node);
        if (!IsNodePath(node)) {
          element.Report("expected a path such as root/regions/accra, or \"\" "
                         "for the whole document");
        }
      }
    }
    map.Finish();
    aOut.mOperators.push_back(std::move(one));
  }
  std::sort(aOut.mOperators.begin(),
            aOut.mOperators.end(),
            [](const OperatorSettings& aLeft, const OperatorSettings& aRight) {
              return aLeft.mName < aRight.mName;
            });
  if (!aOut.mOperators.empty() && aOut.mFleet.mKeyPepper.empty()) {
    value->Report("operators' tokens need the secret fleet/key_pepper");
  }
}

void ReadClientBlocks(MapReader& aTop, SettingsSnapshot& aOut)
{
  const auto value = aTop.Field("client_blocks");
  if (!value) {
    return;
  }
  MapReader map(*value);
  if (const auto shards = map.Field("shards")) {
    for (const ValueReader& element : shards->Elements()) {
      aOut.mBlockShards.push_back(ParseContentDigest(element));
    }
  }
  map.Finish();
}

} // namespace cranberrywing::detail
