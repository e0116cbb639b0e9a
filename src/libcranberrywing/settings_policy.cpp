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

/// Orders nodes by ascending precedence.
bool HasLowerPrecedence(const PolicyNode& aLeft, const PolicyNode& aRight)
{
  const auto rank = [](const PolicyNode& aNode) {
    return std::array<int, 5>{ aNode.mDepth,
                               aNode.mScope.mRegion.IsEmpty() ? 0 : 1,
                               aNode.mScope.mService.IsEmpty() ? 0 : 1,
                               aNode.mScope.mAccount.IsEmpty() ? 0 : 1,
                               aNode.mScope.mRoute.IsEmpty() ? 0 : 1 };
  };
  const auto left = rank(aLeft);
  const auto right = rank(aRight);
  // Nodes of equal rank never match the same scope, so their order does not
  // matter; this makes it deterministic.
  return left != right ? left < right : aLeft.mScope < aRight.mScope;
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

bool PolicyNode::Matches(const PolicyScope& aScope) const
{
  return CoversName(mScope.mRegion, aScope.mRegion) &&
         CoversName(mScope.mService, aScope.mService) &&
         CoversName(mScope.mAccount, aScope.mAccount) &&
         CoversName(mScope.mRoute, aScope.mRoute);
}

/// Traverses the YAML tree and collects its policy nodes.
class PolicyTreeReader
{
public:
  explicit PolicyTreeReader(const KnownNames& aNames)
    : mNames(aNames)
  {
  }

  void ReadNode(const ValueReader& aValue,
                const PolicyScope& aScope,
                int aDepth)
  {
    MapReader map(aValue);
    PolicyNode node;
    node.mScope = aScope;
    node.mDepth = aDepth;
    node.mPath = aValue.Path();
    ReadFields(map, node);
    ReadLevel(map, "regions", 1, aScope, aDepth);
    ReadLevel(map, "services", 2, aScope, aDepth);
    ReadLevel(map, "accounts", 3, aScope, aDepth);
    ReadLevel(map, "routes", 4, aScope, aDepth);
    map.Finish();
    if (!mSeen.insert({ aDepth, aScope }).second) {
      aValue.Report("another policy node has the same scope");
    }
    mTree.mNodes.push_back(std::move(node));
  }

  PolicyTree Take()
  {
    std::sort(mTree.mNodes.begin(), mTree.mNodes.end(), HasLowerPrecedence);
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
                 const PolicyScope& aScope,
                 int aDepth)
  {
    // Levels above the node's own are not valid fields here.
    const auto value =
      aLevel > aDepth ? aMap.Field(aField) : std::optional<ValueReader>();
    if (!value) {
      return;
    }
    for (const MapReader::Entry& entry : MapReader(*value).Entries(true)) {
      PolicyScope scope = aScope;
      if (entry.mName != "*") {
        SetName(aLevel, entry, scope);
      }
      ReadNode(entry.mValue, scope, aLevel);
    }
  }

  void SetName(int aLevel, const MapReader::Entry& aEntry, PolicyScope& aScope)
  {
    switch (aLevel) {
      case 1:
        aScope.mRegion = RegionId(aEntry.mName);
        Require(mNames.mRegions.contains(aScope.mRegion), "region", aEntry);
        break;
      case 2:
        aScope.mService = ServiceId(aEntry.mName);
        Require(mNames.mServices.contains(aScope.mService), "service", aEntry);
        break;
      case 3:
        aScope.mAccount = AccountId(aEntry.mName);
        Require(mNames.mAccounts.contains(aScope.mAccount), "account", aEntry);
        break;
      default:
        aScope.mRoute = RouteId(aEntry.mName);
        Require(HasRoute(aScope), "route", aEntry);
    }
  }

  bool HasRoute(const PolicyScope& aScope) const
  {
    return std::any_of(mNames.mServices.begin(),
                       mNames.mServices.end(),
                       [&aScope](const auto& aService) {
                         return CoversName(aScope.mService, aService.first) &&
                                aService.second.contains(aScope.mRoute);
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
  std::set<std::pair<int, PolicyScope>> mSeen;
};

PolicyTree PolicyTree::Read(MapReader& aTop, const KnownNames& aNames)
{
  PolicyTreeReader reader(aNames);
  if (const auto root = aTop.Field("root")) {
    reader.ReadNode(*root, PolicyScope(), 0);
  }
  return reader.Take();
}

void PolicyTree::Apply(const PolicyScope& aScope, RouteSettings& aRoute) const
{
  for (const PolicyNode& node : mNodes) {
    if (node.Matches(aScope)) {
      Override(node.mTimeout, aRoute.mTimeout);
      Override(node.mMaxAttempts, aRoute.mMaxAttempts);
      Override(node.mRetryBudget, aRoute.mRetryBudget);
      Override(node.mMaxBodyBytes, aRoute.mMaxBodyBytes);
    }
  }
}

void PolicyTree::AddOverride(const RouteSettings& aRoute,
                             const PolicyScope& aScope,
                             SettingsSnapshot& aSnapshot) const
{
  RouteSettings route = aRoute;
  Apply(aScope, route);
  const RouteSettings& inherited =
    aSnapshot.Resolve(aRoute, aScope.mRegion, aScope.mAccount);
  if (route != inherited) {
    aSnapshot.mOverrides.insert_or_assign(
      SettingsSnapshot::OverrideKey(
        route.mRoute, aScope.mRegion, aScope.mAccount),
      route);
  }
}

void PolicyTree::Resolve(SettingsSnapshot& aSnapshot) const
{
  for (RouteSettings& route : aSnapshot.mRoutes) {
    std::set<RegionId> regions;
    std::set<AccountId> accounts;
    for (const PolicyNode& node : mNodes) {
      const PolicyScope& scope = node.mScope;
      if (!CoversName(scope.mService, route.mService) ||
          !CoversName(scope.mRoute, route.mRoute)) {
        continue;
      }
      if (!scope.mRegion.IsEmpty()) {
        regions.insert(scope.mRegion);
      }
      if (!scope.mAccount.IsEmpty()) {
        accounts.insert(scope.mAccount);
      }
    }
    PolicyScope scope;
    scope.mService = route.mService;
    scope.mRoute = route.mRoute;
    Apply(scope, route);
    // Overrides of a single name first, since one for a pair is stored only if
    // it differs from the result of these.
    for (const RegionId& region : regions) {
      scope.mRegion = region;
      AddOverride(route, scope, aSnapshot);
    }
    scope.mRegion = RegionId();
    for (const AccountId& account : accounts) {
      scope.mAccount = account;
      AddOverride(route, scope, aSnapshot);
    }
    for (const RegionId& region : regions) {
      for (const AccountId& account : accounts) {
        scope.mRegion = region;
        scope.mAccount = account;
        AddOverride(route, scope, aSnapshot);
      }
    }
  }
}

std::vector<PolicySource> PolicyTree::Explain(const PolicyScope& aScope) const
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
    if (!node.Matches(aScope)) {
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
