/// \file
/// Answers lookups: selects the VMs that a client should use (design 3.10).
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

/// A VM that lookup answers may contain.
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
  /// Returns the usable VMs, including this one; called after membership
  /// changed.
  std::function<std::vector<SteeringTarget>()> mTargets;
  /// Returns the owner of the execution slot for a non-idempotent route and an
  /// idempotency key.
  std::function<
    std::optional<VmId>(const AccountId&, const RouteId&, const std::string&)>
    mExecutionOwner;
};

/// Explains how a lookup was decided.
struct LookupTrace
{
  /// Site of the client's block; nullopt if no block contains the address.
  std::optional<SiteId> mSite;
  /// Region of the client's site or, if unknown, this VM's region.
  RegionId mPreferredRegion;
  /// Region whose VMs are in the answer; empty if no VM is usable.
  RegionId mRegion;
  /// Number of usable VMs of mRegion, and of the client's site among them.
  std::size_t mRegionVms = 0;
  std::size_t mSiteVms = 0;
  /// Whether the account's subset of VMs is used instead of the site's VMs.
  bool mHasSubset = false;
  /// Owner of the execution's slot, if the lookup has an idempotency key.
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
    /// Number of VMs in one answer.
    std::size_t mAnswerSize = 3;
  };

  Steering(Options aOptions, SteeringHooks aHooks);

  void Apply(SettingsSnapshotPtr aSettings);
  void SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks);
  /// Marks the targets as outdated after a change of membership; the next
  /// lookup fetches them again.
  void Invalidate();

  effect::AnswerLookup Lookup(const event::LookupArrived& aEvent,
                              TimePoint aNow);
  /// Same decision as Lookup, with its reasons. Slower than Lookup, since it
  /// works on a copy.
  LookupTrace Trace(const event::LookupArrived& aEvent, TimePoint aNow) const;

private:
  /// Targets of one region, indexed by site.
  struct RegionTargets
  {
    std::vector<SteeringTarget> mTargets;
    std::unordered_map<SiteId, std::vector<std::size_t>> mBySite;
    /// Indices of the subsets of client accounts, computed on first use.
    mutable std::unordered_map<AccountId, std::vector<std::size_t>> mSubsets;
  };

  void Refresh();
  const RegionId& PreferredRegion(const SiteId* aSite) const;
  const RegionTargets* NearestRegion(const SiteId* aSite) const;
  /// Indices of the aCount targets with the highest rendezvous weight for an
  /// item, among aIndices or, if null, all targets of the region.
  std::vector<std::size_t> RankByHash(std::string_view aItem,
                                      const RegionTargets& aRegion,
                                      const std::vector<std::size_t>* aIndices,
                                      std::size_t aCount) const;
  const std::vector<std::size_t>& AccountSubset(const AccountId& aAccount,
                                                const RegionTargets& aRegion);
  std::vector<std::size_t> SelectTargets(const RegionTargets& aRegion,
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
