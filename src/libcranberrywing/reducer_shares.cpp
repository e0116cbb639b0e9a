// Selection of the shares that this VM holds: fractions of client accounts'
// rates and of its region's spare capacity.
#include <algorithm>
#include <string_view>
#include <tuple>

#include "reducer_state.h"

namespace cranberrywing {

namespace {

constexpr std::string_view kAccountShare = "account/";
constexpr std::string_view kCapacityShare = "capacity/";
constexpr Duration kShareUpdateInterval = std::chrono::seconds(1);
/// Shorter interval after process start: a VM without fractions borrows tokens
/// from peers, so it must learn early which peers hold them.
constexpr Duration kStartupShareUpdateInterval = std::chrono::milliseconds(100);
/// Time after process start to discover the other VMs. A VM that knows no other
/// VM would claim each share as a whole.
constexpr Duration kMemberDiscoveryTime = std::chrono::seconds(2);
/// Time after which a VM that is no longer a holder returns its fraction. The
/// set of holders changes briefly when a VM is suspected or restarted.
constexpr Duration kShareRetention = std::chrono::minutes(1);

struct Candidate
{
  VmId mVm;
  RegionId mRegion;
  std::uint64_t mWeight = 0;
  /// Rank among the VMs of its region, starting at zero.
  std::size_t mRank = 0;
};

} // namespace

std::string Reducer::State::AccountShareName(const AccountId& aAccount)
{
  return std::string(kAccountShare) + aAccount.mName;
}

std::string Reducer::State::CapacityShareName(const ServiceId& aService) const
{
  return std::string(kCapacityShare) + aService.mName + "/" +
         mOptions.mSelf.mRegion.mName;
}

std::vector<VmId> Reducer::State::ShareHolders(
  const AccountSettings& aAccount) const
{
  // Unlike lookups, this includes VMs that are currently unreachable or
  // isolated, because they keep their fractions until they are proven dead.
  std::vector<Candidate> candidates;
  const auto add = [&](const VmId& aVm, const RegionId& aRegion) {
    candidates.push_back(
      { .mVm = aVm,
        .mRegion = aRegion,
        .mWeight = RendezvousWeight(aAccount.mAccount.mName, aVm.mName) });
  };
  add(mOptions.mSelf.mMember.mVm, mOptions.mSelf.mRegion);
  for (const auto& [vm, member] : mMembership.Members()) {
    const MemberState state = member.mUpdate.mState;
    if (state != MemberState::Leaving && state != MemberState::Dead) {
      add(vm, member.mUpdate.mRegion);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return std::tie(aRight.mWeight, aLeft.mVm) <
                     std::tie(aLeft.mWeight, aRight.mVm);
            });
  // The first VM of each region ranks before the second VM of any region, so
  // that tokens are lent within a region if there are enough holders.
  std::map<RegionId, std::size_t> counts;
  for (Candidate& candidate : candidates) {
    candidate.mRank = counts[candidate.mRegion]++;
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aLeft, const Candidate& aRight) {
                     return aLeft.mRank < aRight.mRank;
                   });
  candidates.resize(ShareHolderCount(aAccount, candidates.size()));
  const RegionId& own = mOptions.mSelf.mRegion;
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const Candidate& aCandidate) {
      return aCandidate.mRegion == own;
    });
  std::vector<VmId> holders;
  for (Candidate& candidate : candidates) {
    holders.push_back(std::move(candidate.mVm));
  }
  return holders;
}

void Reducer::State::UpdateShares(TimePoint aNow)
{
  const bool isStarting = aNow < mStartedAt + kMemberDiscoveryTime;
  mNextShareUpdate =
    aNow + (isStarting ? kStartupShareUpdateInterval : kShareUpdateInterval);
  // A draining VM keeps its shares until the handover, since callers use it
  // until then.
  if (!mAppliedSettings || mDrain.Stage() != DrainStage::Serving) {
    return;
  }
  for (const auto& [id, account] : mAppliedSettings->mAccounts) {
    UpdateAccountShare(id, account, aNow);
  }
  std::erase_if(mAccountShares, [this](const auto& aItem) {
    const bool isRemoved = !mAppliedSettings->mAccounts.contains(aItem.first);
    if (isRemoved) {
      mShares.Release(AccountShareName(aItem.first));
    }
    return isRemoved;
  });
  if (!isStarting) {
    UpdateCapacityShares(aNow);
  }
}

void Reducer::State::UpdateAccountShare(const AccountId& aAccount,
                                        const AccountSettings& aSettings,
                                        TimePoint aNow)
{
  AccountShare& share = mAccountShares[aAccount];
  const std::string name = AccountShareName(aAccount);
  const VmId& self = mOptions.mSelf.mMember.mVm;
  std::vector<VmId> holders = ShareHolders(aSettings);
  share.mIsHolder =
    std::find(holders.begin(), holders.end(), self) != holders.end();
  if (holders.size() != share.mHolderCount) {
    share.mHolderCount = std::max<std::size_t>(holders.size(), 1);
    mShares.RequestEarlyReview(name, aNow);
  }
  std::erase(holders, self);
  share.mPeers = std::move(holders);
  if (aNow < mStartedAt + kMemberDiscoveryTime) {
    return;
  }
  if (share.mIsHolder) {
    share.mNotHolderSince.reset();
    mShares.Acquire(name);
    mShares.ReportUtilization(name, mRates.TakeUtilization(aAccount));
    return;
  }
  if (!share.mNotHolderSince) {
    share.mNotHolderSince = aNow;
  }
  if (aNow - *share.mNotHolderSince >= kShareRetention) {
    mShares.Release(name);
  }
}

void Reducer::State::UpdateCapacityShares(TimePoint aNow)
{
  mRegionVmCount = 1;
  for (const auto& [vm, member] : mMembership.Members()) {
    const bool counts = member.mUpdate.mRegion == mOptions.mSelf.mRegion &&
                        mMembership.IsUsable(member);
    mRegionVmCount += counts ? 1 : 0;
  }
  for (const auto& [id, service] : mAppliedSettings->mServices) {
    const bool isInRegion =
      std::any_of(service.mBackends.begin(),
                  service.mBackends.end(),
                  [this](const BackendSettings& aBackend) {
                    return aBackend.mRegion == mOptions.mSelf.mRegion;
                  });
    if (isInRegion) {
      mShares.Acquire(CapacityShareName(id));
      mShares.ReportUtilization(CapacityShareName(id),
                                mOffers.Utilization(id, aNow));
    }
  }
}

std::size_t Reducer::State::ExpectedHolders(const std::string& aName) const
{
  if (!aName.starts_with(kAccountShare)) {
    return mRegionVmCount;
  }
  const auto it =
    mAccountShares.find(AccountId(aName.substr(kAccountShare.size())));
  return it == mAccountShares.end() ? 1 : it->second.mHolderCount;
}

std::vector<VmId> Reducer::State::RatePeers(const AccountId& aAccount) const
{
  std::vector<VmId> peers;
  const auto it = mAccountShares.find(aAccount);
  if (it == mAccountShares.end()) {
    return peers;
  }
  for (const VmId& vm : it->second.mPeers) {
    if (mMembership.IsUsable(vm)) {
      peers.push_back(vm);
    }
  }
  return peers;
}

} // namespace cranberrywing
