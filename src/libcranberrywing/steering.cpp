#include "cranberrywing/steering.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Size of an account's subset when the account is not in the settings.
constexpr std::size_t kDefaultSubsetSize = 4;

/// Index with its rendezvous weight, the heaviest first.
struct Ranked
{
  std::uint64_t mWeight = 0;
  std::size_t mIndex = 0;

  bool operator<(const Ranked& aOther) const
  {
    return mWeight != aOther.mWeight ? mWeight > aOther.mWeight
                                     : mIndex < aOther.mIndex;
  }
};

} // namespace

Steering::Steering(Options aOptions, SteeringHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
{
}

void Steering::Apply(SettingsSnapshotPtr aSettings)
{
  mSettings = std::move(aSettings);
  mIsStale = true;
}

void Steering::SetBlocks(std::shared_ptr<const ClientBlockTable> aBlocks)
{
  mBlocks = std::move(aBlocks);
}

void Steering::Invalidate()
{
  mIsStale = true;
}

void Steering::Refresh()
{
  mIsStale = false;
  mRegions.clear();
  mRegionOfSite.clear();
  mAddresses.clear();
  // Sites of VMs that are not usable now still tell their region.
  if (mSettings) {
    for (const VmSettings& vm : mSettings->mVms) {
      mRegionOfSite.emplace(vm.mSite, vm.mRegion);
    }
  }
  for (SteeringTarget& target : mHooks.mTargets()) {
    mRegionOfSite[target.mSite] = target.mRegion;
    mAddresses[target.mVm] = { target.mVm, target.mAddress, target.mPort };
    RegionTargets& region = mRegions[target.mRegion];
    region.mBySite[target.mSite].push_back(region.mTargets.size());
    region.mTargets.push_back(std::move(target));
  }
}

const RegionId& Steering::WantedRegion(const SiteId* aSite) const
{
  if (aSite) {
    const auto it = mRegionOfSite.find(*aSite);
    if (it != mRegionOfSite.end()) {
      return it->second;
    }
  }
  return mOptions.mRegion;
}

const Steering::RegionTargets* Steering::NearestRegion(
  const SiteId* aSite) const
{
  const RegionId& wanted = WantedRegion(aSite);
  if (const auto it = mRegions.find(wanted); it != mRegions.end()) {
    return &it->second;
  }
  const RegionTargets* nearest = nullptr;
  Duration least = Duration::max();
  RegionId leastName;
  for (const LinkSettings& link : mSettings->mLinks) {
    const auto it = mRegions.find(link.mTo);
    const bool isCandidate = link.mFrom == wanted && it != mRegions.end();
    if (isCandidate && link.mLatency < least) {
      least = link.mLatency;
      nearest = &it->second;
    }
  }
  if (nearest) {
    return nearest;
  }
  // Without links in the settings any region that has VMs will do; the first
  // by name, so that all VMs agree.
  for (const auto& [name, region] : mRegions) {
    if (!nearest || name < leastName) {
      nearest = &region;
      leastName = name;
    }
  }
  return nearest;
}

std::vector<std::size_t> Steering::Rank(
  const RegionTargets& aRegion,
  const SiteId* aSite,
  const event::LookupArrived& aEvent) const
{
  // Accounts with a rate stay on their subset of the region, whatever the
  // site, so that each VM's fraction of the rate stays large. Others use the
  // site's VMs, spread by client address.
  const bool hasSubset = mSettings->mAccounts.contains(aEvent.mAccount);
  const auto site =
    aSite ? aRegion.mBySite.find(*aSite) : aRegion.mBySite.end();
  const bool isSiteOnly = !hasSubset && site != aRegion.mBySite.end();
  std::vector<Ranked> ranked;
  const std::string item =
    hasSubset ? aEvent.mAccount.mName : std::to_string(aEvent.mClientAddress);
  const auto add = [&](std::size_t aIndex) {
    const std::string& name = aRegion.mTargets[aIndex].mVm.mName;
    ranked.push_back({ RendezvousWeight(item, name), aIndex });
  };
  if (isSiteOnly) {
    std::for_each(site->second.begin(), site->second.end(), add);
  } else {
    for (std::size_t n = 0; n < aRegion.mTargets.size(); ++n) {
      add(n);
    }
  }
  std::size_t count = mOptions.mAnswerSize;
  if (hasSubset) {
    const auto& account = mSettings->mAccounts.at(aEvent.mAccount);
    count = std::max<std::size_t>(account.mSubsetSize, 1);
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  ranked.resize(count);
  if (hasSubset && !ranked.empty()) {
    // Clients of one account start at different VMs of its subset.
    const std::size_t first =
      HashBytes(std::to_string(aEvent.mClientAddress)) % ranked.size();
    std::rotate(ranked.begin(),
                ranked.begin() + static_cast<std::ptrdiff_t>(first),
                ranked.end());
  }
  std::vector<std::size_t> result;
  for (const Ranked& entry : ranked) {
    result.push_back(entry.mIndex);
  }
  return result;
}

effect::AnswerLookup Steering::Lookup(const event::LookupArrived& aEvent,
                                      TimePoint)
{
  effect::AnswerLookup answer{ .mLookup = aEvent.mLookup };
  if (!mSettings) {
    return answer;
  }
  if (mIsStale) {
    Refresh();
  }
  answer.mLifetime = mSettings->mFleet.mLookupLifetime;
  if (!aEvent.mIdempotencyKey.empty()) {
    const auto owner = mHooks.mExecutionOwner(
      aEvent.mAccount, aEvent.mRoute, aEvent.mIdempotencyKey);
    const auto it = owner ? mAddresses.find(*owner) : mAddresses.end();
    if (it != mAddresses.end()) {
      answer.mVms.push_back(it->second);
    }
  }
  const SiteId* site = mBlocks ? mBlocks->Find(aEvent.mClientAddress) : nullptr;
  const RegionTargets* region = NearestRegion(site);
  if (!region) {
    return answer;
  }
  for (const std::size_t n : Rank(*region, site, aEvent)) {
    if (answer.mVms.size() >= mOptions.mAnswerSize) {
      break;
    }
    const SteeringTarget& target = region->mTargets[n];
    const bool isNamed =
      !answer.mVms.empty() && answer.mVms.front().mVm == target.mVm;
    if (!isNamed) {
      answer.mVms.push_back({ target.mVm, target.mAddress, target.mPort });
    }
  }
  return answer;
}

std::vector<VmId> Steering::AccountSubset(const AccountId& aAccount,
                                          const RegionId& aRegion)
{
  if (mIsStale) {
    Refresh();
  }
  const auto region = mRegions.find(aRegion);
  if (region == mRegions.end()) {
    return {};
  }
  std::vector<Ranked> ranked;
  for (const SteeringTarget& target : region->second.mTargets) {
    ranked.push_back(
      { RendezvousWeight(aAccount.mName, target.mVm.mName), ranked.size() });
  }
  std::sort(ranked.begin(), ranked.end());
  std::size_t count = kDefaultSubsetSize;
  if (mSettings && mSettings->mAccounts.contains(aAccount)) {
    count = mSettings->mAccounts.at(aAccount).mSubsetSize;
  }
  std::vector<VmId> result;
  for (std::size_t n = 0; n < std::min(count, ranked.size()); ++n) {
    result.push_back(region->second.mTargets[ranked[n].mIndex].mVm);
  }
  return result;
}

} // namespace cranberrywing
