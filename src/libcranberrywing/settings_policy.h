/// \file
/// The tree of inherited policies under "root". Internal to the settings
/// sources.
#pragma once

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/settings.h"
#include "settings_registries.h"

namespace cranberrywing::detail {

/// The scope of a policy node; an empty name matches any. NOLINT: see types.h.
struct PolicyScope
{
  RegionId mRegion;
  ServiceId mService;
  AccountId mAccount;
  RouteId mRoute;

  auto operator<=>(const PolicyScope&) const = default; // NOLINT
};

/// The policy fields that one node of the tree sets.
struct PolicyNode
{
  PolicyScope mScope;
  /// Deepest level on the node's path: 0 for root, 1 for regions, 2 for
  /// services, 3 for accounts, 4 for routes.
  int mDepth = 0;
  std::string mPath;
  std::optional<Duration> mTimeout;
  std::optional<std::uint32_t> mMaxAttempts;
  std::optional<double> mRetryBudget;
  std::optional<std::uint64_t> mMaxBodyBytes;

  /// Whether the node applies to a scope.
  bool Matches(const PolicyScope& aScope) const;
};

/// All policy nodes, sorted by ascending precedence. A deeper node takes
/// precedence over a shallower one; at equal depth an exact name takes
/// precedence over a wildcard, compared from the region down.
class PolicyTree
{
public:
  /// Reads and validates the tree; errors go to the sink of aTop.
  static PolicyTree Read(MapReader& aTop, const KnownNames& aNames);

  /// Applies the policies of a scope to a route.
  void Apply(const PolicyScope& aScope, RouteSettings& aRoute) const;

  /// Applies the policies to the snapshot's routes and fills in its overrides.
  void Resolve(SettingsSnapshot& aSnapshot) const;

  std::vector<PolicySource> Explain(const PolicyScope& aScope) const;

private:
  friend class PolicyTreeReader;

  void AddOverride(const RouteSettings& aRoute,
                   const PolicyScope& aScope,
                   SettingsSnapshot& aSnapshot) const;

  std::vector<PolicyNode> mNodes;
};

} // namespace cranberrywing::detail
