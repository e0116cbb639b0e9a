#include "cranberrywing/steering.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Subset size of an account that is not in the settings.
constexpr std::size_t kDefaultSubsetSize = 4;

/// Index of a target with its rendezvous weight; sorts by descending weight.
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

void Steering::SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks)
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
  // VMs that are not usable at present still define the region of their site.
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

const RegionId& Steering::PreferredRegion(const SiteId* aSite) const
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
  const RegionId& preferred = PreferredRegion(aSite);
  if (const auto it = mRegions.find(preferred); it != mRegions.end()) {
    return &it->second;
  }
  const RegionTargets* nearest = nullptr;
  Duration minLatency = Duration::max();
  RegionId firstName;
  for (const LinkSettings& link : mSettings->mLinks) {
    const auto it = mRegions.find(link.mTo);
    const bool isCandidate = link.mFrom == preferred && it != mRegions.end();
    if (isCandidate && link.mLatency < minLatency) {
      minLatency = link.mLatency;
      nearest = &it->second;
    }
  }
  if (nearest) {
    return nearest;
  }
  // Without links in the settings, use the first region with VMs by name, so
  // that all VMs agree.
  for (const auto& [name, region] : mRegions) {
    if (!nearest || name < firstName) {
      nearest = &region;
      firstName = name;
    }
  }
  return nearest;
}

std::vector<std::size_t> Steering::RankByHash(
  std::string_view aItem,
  const RegionTargets& aRegion,
  const std::vector<std::size_t>* aIndices,
  std::size_t aCount) const
{
  std::vector<Ranked> ranked;
  const auto add = [&](std::size_t aIndex) {
    const std::string& name = aRegion.mTargets[aIndex].mVm.mName;
    ranked.push_back({ RendezvousWeight(aItem, name), aIndex });
  };
  if (aIndices != nullptr) {
    std::for_each(aIndices->begin(), aIndices->end(), add);
  } else {
    for (std::size_t n = 0; n < aRegion.mTargets.size(); ++n) {
      add(n);
    }
  }
  const std::size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::size_t> result;
  for (std::size_t n = 0; n < count; ++n) {
    result.push_back(ranked[n].mIndex);
  }
  return result;
}

const std::vector<std::size_t>& Steering::AccountSubset(
  const AccountId& aAccount,
  const RegionTargets& aRegion)
{
  // The subset depends only on the account and the targets. It is cached
  // because ranking 92 VMs for each lookup took 1.6 us at 460 VMs.
  const auto [it, isNew] = aRegion.mSubsets.try_emplace(aAccount);
  if (isNew) {
    const auto account = mSettings->mAccounts.find(aAccount);
    const std::size_t size = account == mSettings->mAccounts.end()
                               ? kDefaultSubsetSize
                               : account->second.mSubsetSize;
    it->second = RankByHash(
      aAccount.mName, aRegion, nullptr, std::max<std::size_t>(size, 1));
  }
  return it->second;
}

std::vector<std::size_t> Steering::SelectTargets(
  const RegionTargets& aRegion,
  const SiteId* aSite,
  const event::LookupArrived& aEvent)
{
  const std::string client = std::to_string(aEvent.mClientAddress);
  // Accounts with a rate use their subset of the region, whatever the site, so
  // that each VM's fraction of the rate stays large. Other accounts use the
  // site's VMs, distributed by client address.
  if (!mSettings->mAccounts.contains(aEvent.mAccount)) {
    const auto site =
      aSite ? aRegion.mBySite.find(*aSite) : aRegion.mBySite.end();
    const auto* indices =
      site == aRegion.mBySite.end() ? nullptr : &site->second;
    return RankByHash(client, aRegion, indices, mOptions.mAnswerSize);
  }
  std::vector<std::size_t> subset = AccountSubset(aEvent.mAccount, aRegion);
  if (!subset.empty()) {
    // Distribute an account's clients over the VMs of its subset.
    const std::size_t first = HashBytes(client) % subset.size();
    std::rotate(subset.begin(),
                subset.begin() + static_cast<std::ptrdiff_t>(first),
                subset.end());
  }
  return subset;
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
  for (const std::size_t n : SelectTargets(*region, site, aEvent)) {
    if (answer.mVms.size() >= mOptions.mAnswerSize) {
      break;
    }
    const SteeringTarget& target = region->mTargets[n];
    const bool isOwner =
      !answer.mVms.empty() && answer.mVms.front().mVm == target.mVm;
    if (!isOwner) {
      answer.mVms.push_back({ target.mVm, target.mAddress, target.mPort });
    }
  }
  return answer;
}

} // namespace cranberrywing
