#include "settings_policy.h"

#include <algorithm>
#include <set>

namespace cranberrywing::detail {

namespace {

template<class Name>
bool CoversName(const Name& aPattern, const Name& aName)
{
  return aPattern.IsEmpty() || aPattern == aName;
}

/// Order of precedence; the greater node wins.
bool HasLess(const PolicyNode& aLeft, const PolicyNode& aRight)
{
  const auto rank = [](const PolicyNode& aNode) {
    return std::array<int, 5>{ aNode.mDepth,
                               aNode.mPlace.mRegion.IsEmpty() ? 0 : 1,
                               aNode.mPlace.mService.IsEmpty() ? 0 : 1,
                               aNode.mPlace.mAccount.IsEmpty() ? 0 : 1,
                               aNode.mPlace.mRoute.IsEmpty() ? 0 : 1 };
  };
  const auto left = rank(aLeft);
  const auto right = rank(aRight);
  // Nodes of equal rank never match the same place, so that any order of
  // them will do; this one is deterministic.
  return left != right ? left < right : aLeft.mPlace < aRight.mPlace;
}

std::string ShowNumber(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

template<class Value>
void Override(const std::optional<Value>& aFrom, Value& aTarget)
{
  if (aFrom) {
    aTarget = *aFrom;
  }
}

} // namespace

bool PolicyNode::Matches(const Place& aPlace) const
{
  return CoversName(mPlace.mRegion, aPlace.mRegion) &&
         CoversName(mPlace.mService, aPlace.mService) &&
         CoversName(mPlace.mAccount, aPlace.mAccount) &&
         CoversName(mPlace.mRoute, aPlace.mRoute);
}

/// Walks the tree and collects its nodes.
class PolicyTreeReader
{
public:
  explicit PolicyTreeReader(const KnownNames& aNames)
    : mNames(aNames)
  {
  }

  void ReadNode(const ValueReader& aValue, const Place& aPlace, int aDepth)
  {
    MapReader map(aValue);
    PolicyNode node;
    node.mPlace = aPlace;
    node.mDepth = aDepth;
    node.mPath = aValue.Path();
    ReadFields(map, node);
    ReadLevel(map, "regions", 1, aPlace, aDepth);
    ReadLevel(map, "services", 2, aPlace, aDepth);
    ReadLevel(map, "accounts", 3, aPlace, aDepth);
    ReadLevel(map, "routes", 4, aPlace, aDepth);
    map.Finish();
    if (!mSeen.insert({ aDepth, aPlace }).second) {
      aValue.Report("another node stands for the same place");
    }
    mTree.mNodes.push_back(std::move(node));
  }

  PolicyTree Take()
  {
    std::sort(mTree.mNodes.begin(), mTree.mNodes.end(), HasLess);
    return std::move(mTree);
  }

private:
  static void ReadFields(MapReader& aMap, PolicyNode& aNode)
  {
    if (aMap.Field("timeout")) {
      aMap.Time("timeout",
                aNode.mTimeout.emplace(),
                { Milliseconds(1), std::chrono::minutes(10) });
    }
    if (aMap.Field("max_attempts")) {
      aMap.Integer("max_attempts", aNode.mMaxAttempts.emplace(), { 1, 10 });
    }
    if (aMap.Field("retry_budget")) {
      aMap.Number("retry_budget", aNode.mRetryBudget.emplace(), { 0, 1 });
    }
    if (aMap.Field("max_body_bytes")) {
      aMap.Integer(
        "max_body_bytes", aNode.mMaxBodyBytes.emplace(), { 0, 1 << 26 });
    }
  }

  void ReadLevel(MapReader& aMap,
                 std::string_view aField,
                 int aLevel,
                 const Place& aPlace,
                 int aDepth)
  {
    // A level above the node's own is no field here.
    const auto value =
      aLevel > aDepth ? aMap.Field(aField) : std::optional<ValueReader>();
    if (!value) {
      return;
    }
    for (const MapReader::Entry& entry : MapReader(*value).Entries(true)) {
      Place place = aPlace;
      if (entry.mName != "*") {
        SetName(aLevel, entry, place);
      }
      ReadNode(entry.mValue, place, aLevel);
    }
  }

  void SetName(int aLevel, const MapReader::Entry& aEntry, Place& aPlace)
  {
    switch (aLevel) {
      case 1:
        aPlace.mRegion = RegionId(aEntry.mName);
        Require(mNames.mRegions.contains(aPlace.mRegion), "region", aEntry);
        break;
      case 2:
        aPlace.mService = ServiceId(aEntry.mName);
        Require(mNames.mServices.contains(aPlace.mService), "service", aEntry);
        break;
      case 3:
        aPlace.mAccount = AccountId(aEntry.mName);
        Require(mNames.mAccounts.contains(aPlace.mAccount), "account", aEntry);
        break;
      default:
        aPlace.mRoute = RouteId(aEntry.mName);
        Require(HasRoute(aPlace), "route", aEntry);
    }
  }

  bool HasRoute(const Place& aPlace) const
  {
    return std::any_of(mNames.mServices.begin(),
                       mNames.mServices.end(),
                       [&aPlace](const auto& aService) {
                         return CoversName(aPlace.mService, aService.first) &&
                                aService.second.contains(aPlace.mRoute);
                       });
  }

  static void Require(bool aExists,
                      std::string_view aKind,
                      const MapReader::Entry& aEntry)
  {
    if (!aExists) {
      aEntry.mValue.Report("there is no " + std::string(aKind) + " '" +
                           aEntry.mName + "' here");
    }
  }

  const KnownNames& mNames;
  PolicyTree mTree;
  std::set<std::pair<int, Place>> mSeen;
};

PolicyTree PolicyTree::Read(MapReader& aTop, const KnownNames& aNames)
{
  PolicyTreeReader reader(aNames);
  if (const auto root = aTop.Field("root")) {
    reader.ReadNode(*root, Place(), 0);
  }
  return reader.Take();
}

void PolicyTree::Apply(const Place& aPlace, RouteSettings& aRoute) const
{
  for (const PolicyNode& node : mNodes) {
    if (node.Matches(aPlace)) {
      Override(node.mTimeout, aRoute.mTimeout);
      Override(node.mMaxAttempts, aRoute.mMaxAttempts);
      Override(node.mRetryBudget, aRoute.mRetryBudget);
      Override(node.mMaxBodyBytes, aRoute.mMaxBodyBytes);
    }
  }
}

void PolicyTree::AddOverride(const RouteSettings& aRoute,
                             const Place& aPlace,
                             SettingsSnapshot& aSnapshot) const
{
  RouteSettings route = aRoute;
  Apply(aPlace, route);
  const RouteSettings& inherited =
    aSnapshot.Resolve(aRoute, aPlace.mRegion, aPlace.mAccount);
  if (route != inherited) {
    aSnapshot.mOverrides.insert_or_assign(
      SettingsSnapshot::OverrideKey(
        route.mRoute, aPlace.mRegion, aPlace.mAccount),
      route);
  }
}

void PolicyTree::Resolve(SettingsSnapshot& aSnapshot) const
{
  for (RouteSettings& route : aSnapshot.mRoutes) {
    std::set<RegionId> regions;
    std::set<AccountId> accounts;
    for (const PolicyNode& node : mNodes) {
      const Place& place = node.mPlace;
      if (!CoversName(place.mService, route.mService) ||
          !CoversName(place.mRoute, route.mRoute)) {
        continue;
      }
      if (!place.mRegion.IsEmpty()) {
        regions.insert(place.mRegion);
      }
      if (!place.mAccount.IsEmpty()) {
        accounts.insert(place.mAccount);
      }
    }
    Place place;
    place.mService = route.mService;
    place.mRoute = route.mRoute;
    Apply(place, route);
    // Single names first, since a pair is stored only if it differs from
    // what they give.
    for (const RegionId& region : regions) {
      place.mRegion = region;
      AddOverride(route, place, aSnapshot);
    }
    place.mRegion = RegionId();
    for (const AccountId& account : accounts) {
      place.mAccount = account;
      AddOverride(route, place, aSnapshot);
    }
    for (const RegionId& region : regions) {
      for (const AccountId& account : accounts) {
        place.mRegion = region;
        place.mAccount = account;
        AddOverride(route, place, aSnapshot);
      }
    }
  }
}

std::vector<PolicySource> PolicyTree::Explain(const Place& aPlace) const
{
  const RouteSettings defaults;
  std::array<PolicySource, 4> sources{
    PolicySource{ "timeout", FormatDuration(defaults.mTimeout), "default" },
    PolicySource{
      "max_attempts", std::to_string(defaults.mMaxAttempts), "default" },
    PolicySource{
      "retry_budget", ShowNumber(defaults.mRetryBudget), "default" },
    PolicySource{
      "max_body_bytes", std::to_string(defaults.mMaxBodyBytes), "default" },
  };
  const auto set =
    [](PolicySource& aSource, std::string aValue, const PolicyNode& aNode) {
      aSource.mValue = std::move(aValue);
      aSource.mNode = aNode.mPath;
    };
  for (const PolicyNode& node : mNodes) {
    if (!node.Matches(aPlace)) {
      continue;
    }
    if (node.mTimeout) {
      set(sources[0], FormatDuration(*node.mTimeout), node);
    }
    if (node.mMaxAttempts) {
      set(sources[1], std::to_string(*node.mMaxAttempts), node);
    }
    if (node.mRetryBudget) {
      set(sources[2], ShowNumber(*node.mRetryBudget), node);
    }
    if (node.mMaxBodyBytes) {
      set(sources[3], std::to_string(*node.mMaxBodyBytes), node);
    }
  }
  return { sources.begin(), sources.end() };
}

} // namespace cranberrywing::detail
