/// \file
/// The inherited tree of policies below "root". Internal to the settings
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

/// A place in the tree; an empty name stands for any.
/// NOLINT: see types.h.
struct Place
{
  RegionId mRegion;
  ServiceId mService;
  AccountId mAccount;
  RouteId mRoute;

  auto operator<=>(const Place&) const = default; // NOLINT
};

/// Policy fields as one node of the tree gives them.
struct PolicyNode
{
  Place mPlace;
  /// Number of the deepest level that the node's path names: 0 for root, 1
  /// for regions, 2 for services, 3 for accounts, 4 for routes.
  int mDepth = 0;
  std::string mPath;
  std::optional<Duration> mTimeout;
  std::optional<std::uint32_t> mMaxAttempts;
  std::optional<double> mRetryBudget;
  std::optional<std::uint64_t> mMaxBodyBytes;

  /// Whether the node applies at a place.
  bool Matches(const Place& aPlace) const;
};

/// All nodes, those with precedence last: a deeper node goes before a
/// shallower one, and at equal depth an exact name before any, compared from
/// the region down.
class PolicyTree
{
public:
  /// Reads and checks the tree; errors go to the sink of aTop.
  static PolicyTree Read(MapReader& aTop, const KnownNames& aNames);

  /// Applies the policies of a place to a route.
  void Apply(const Place& aPlace, RouteSettings& aRoute) const;

  /// Completes the snapshot's routes and fills in the overrides.
  void Resolve(SettingsSnapshot& aSnapshot) const;

  std::vector<PolicySource> Explain(const Place& aPlace) const;

private:
  friend class PolicyTreeReader;

  void AddOverride(const RouteSettings& aRoute,
                   const Place& aPlace,
                   SettingsSnapshot& aSnapshot) const;

  std::vector<PolicyNode> mNodes;
};

} // namespace cranberrywing::detail
