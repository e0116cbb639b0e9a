/// \file
/// Answers lookups: which VMs a client should use (design 3.10).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cranberrywing/client_blocks.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// A VM that lookups may name.
struct SteeringTarget
{
  VmId mVm;
  RegionId mRegion;
  SiteId mSite;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct SteeringHooks
{
  /// Usable VMs, this one included; asked for when membership changed.
  std::function<std::vector<SteeringTarget>()> mTargets;
  /// Slot owner for a non-idempotent route and an idempotency key.
  std::function<
    std::optional<VmId>(const AccountId&, const RouteId&, const std::string&)>
    mExecutionOwner;
};

/// How a lookup is decided, for explanations.
struct LookupTrace
{
  /// Site of the client's block; nullopt if no block holds the address.
  std::optional<SiteId> mSite;
  /// Region of the site, else this VM's own.
  RegionId mPreferredRegion;
  /// Region whose VMs are named; empty if no VM is usable.
  RegionId mRegion;
  /// Usable VMs of that region, and of the site among them.
  std::size_t mRegionVms = 0;
  std::size_t mSiteVms = 0;
  /// Whether the account's subset counts in place of the site's VMs.
  bool mHasSubset = false;
  /// Owner of the execution's slot, if an idempotency key came.
  std::optional<VmId> mExecutionOwner;
  effect::AnswerLookup mAnswer;
};

/// Not thread-safe; owned by the reducer.
class Steering
{
public:
  struct Options
  {
    RegionId mRegion;
    /// VMs named in one answer.
    std::size_t mAnswerSize = 3;
  };

  Steering(Options aOptions, SteeringHooks aHooks);

  void Apply(SettingsSnapshotPtr aSettings);
  void SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks);
  /// Membership changed: targets are asked for again.
  void Invalidate();

  effect::AnswerLookup Lookup(const event::LookupArrived& aEvent,
                              TimePoint aNow);
  /// The same decision with its reasons. Slower than Lookup, since it works on
  /// a copy.
  LookupTrace Trace(const event::LookupArrived& aEvent, TimePoint aNow) const;

private:
  /// Targets of one region, indexed by site.
  struct RegionTargets
  {
    std::vector<SteeringTarget> mTargets;
    std::unordered_map<SiteId, std::vector<std::size_t>> mBySite;
    /// Subsets of client accounts, computed on first use.
    mutable std::unordered_map<AccountId, std::vector<std::size_t>> mSubsets;
  };

  void Refresh();
  const RegionId& PreferredRegion(const SiteId* aSite) const;
  const RegionTargets* NearestRegion(const SiteId* aSite) const;
  /// The targets of greatest weight for an item, among all or some of a
  /// region's, as indices.
  std::vector<std::size_t> RankBy(std::string_view aItem,
                                  const RegionTargets& aRegion,
                                  const std::vector<std::size_t>* aAmong,
                                  std::size_t aCount) const;
  const std::vector<std::size_t>& RankAccount(const AccountId& aAccount,
                                              const RegionTargets& aRegion);
  std::vector<std::size_t> Rank(const RegionTargets& aRegion,
                                const SiteId* aSite,
                                const event::LookupArrived& aEvent);

  Options mOptions;
  SteeringHooks mHooks;
  SettingsSnapshotPtr mSettings;
  std::shared_ptr<const ClientBlockTable> mBlocks;
  bool mIsStale = true;
  std::unordered_map<RegionId, RegionTargets> mRegions;
  std::unordered_map<SiteId, RegionId> mRegionOfSite;
  std::unordered_map<VmId, effect::LookupVm> mAddresses;
};

} // namespace cranberrywing
