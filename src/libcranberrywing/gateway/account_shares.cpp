#include "cranberrywing/gateway/account_shares.h"

#include <algorithm>
#include <map>

#include "cranberrywing/rate_limiter.h"
#include "cranberrywing/share_record.h"

namespace cranberrywing::gateway {

namespace {

/// With fewer holders, the loss of one VM would make most of a region's share
/// unavailable until the VM's entry expires.
constexpr std::size_t kMinHoldersPerRegion = 2;

} // namespace

std::vector<VmId> ShareHolders(const AccountSettings& aAccount,
                               const std::vector<SharingVm>& aVms)
{
  struct Ranked
  {
    const SharingVm* mVm;
    std::uint64_t mWeight;
    /// Rank among the VMs of its region.
    std::size_t mRegionRank;
  };
  std::vector<Ranked> ranked;
  for (const SharingVm& vm : aVms) {
    ranked.push_back(
      { &vm, RendezvousWeight(aAccount.mAccount.mName, vm.mVm.mName), 0 });
  }
  const auto isHeavier = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.mWeight > aRight.mWeight;
  };
  std::sort(ranked.begin(), ranked.end(), isHeavier);
  std::map<RegionId, std::size_t> regionCounts;
  for (Ranked& candidate : ranked) {
    candidate.mRegionRank = regionCounts[candidate.mVm->mRegion]++;
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const Ranked& aLeft, const Ranked& aRight) {
                     return aLeft.mRegionRank < aRight.mRegionRank;
                   });
  // Lookups spread an account's callers over all VMs of a region, so that the
  // account's subset is the whole fleet.
  AccountSettings account = aAccount;
  account.mSubsetSize = static_cast<std::uint32_t>(aVms.size());
  const std::size_t holderCount =
    std::max(kMinHoldersPerRegion * regionCounts.size(),
             ShareHolderCount(account, aVms.size()));
  std::vector<VmId> holders;
  for (const Ranked& candidate : ranked) {
    if (holders.size() < holderCount) {
      holders.push_back(candidate.mVm->mVm);
    }
  }
  return holders;
}

void AccountShares::SetAccounts(Accounts aAccounts)
{
  mAccounts = std::move(aAccounts);
  mHolders.clear();
}

void AccountShares::SetVms(std::vector<SharingVm> aVms)
{
  mVms = std::move(aVms);
  mHolders.clear();
}

const std::vector<VmId>& AccountShares::Holders(const AccountId& aAccount)
{
  const auto [it, isNew] = mHolders.try_emplace(aAccount);
  const auto account = mAccounts.find(aAccount);
  if (isNew && account != mAccounts.end()) {
    it->second = ShareHolders(account->second, mVms);
  }
  return it->second;
}

std::uint32_t AccountShares::Fraction(const AccountId& aAccount,
                                      const VmId& aVm)
{
  const std::vector<VmId>& holders = Holders(aAccount);
  if (std::find(holders.begin(), holders.end(), aVm) == holders.end()) {
    return 0;
  }
  return static_cast<std::uint32_t>(kWholeShare / holders.size());
}

} // namespace cranberrywing::gateway
