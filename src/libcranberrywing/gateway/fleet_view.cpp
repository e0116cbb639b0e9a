#include "cranberrywing/gateway/fleet_view.h"

#include <algorithm>
#include <cmath>

#include "cranberrywing/server_reach.h"

namespace cranberrywing::gateway {

namespace {

/// Time after the last status message for which a peer's demand is counted.
constexpr Duration kDemandValidity = std::chrono::seconds(4);

std::vector<VmRecord> OfRegion(const std::vector<VmRecord>& aVms,
                               const RegionId& aRegion)
{
  std::vector<VmRecord> vms;
  std::copy_if(aVms.begin(),
               aVms.end(),
               std::back_inserter(vms),
               [&](const auto& aVm) { return aVm.mRegion == aRegion; });
  return vms;
}

/// Number of another VM's message; zero if it is none that makes sense.
double Sane(float aNumber)
{
  return std::isfinite(aNumber) && aNumber > 0 ? aNumber : 0;
}

/// Median, or zero for no values. Reorders the values.
double Median(std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

double SumOf(const std::vector<BoundDemand>& aDemands,
             const RegionId& aServing,
             const ServiceId& aService)
{
  double slots = 0;
  for (const BoundDemand& demand : aDemands) {
    slots += demand.mService == aService && demand.mRegion == aServing
               ? Sane(demand.mSlots)
               : 0;
  }
  return slots;
}

} // namespace

FleetView::FleetView(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void FleetView::Register(const VmRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mVm == mOptions.mSelf.mVm) {
    return;
  }
  const auto [it, isUnknown] = mPeers.try_emplace(aRecord.mVm);
  mVersion += isUnknown ? 1 : 0;
  Peer& peer = it->second;
  const bool isNew = peer.mRecord.mIncarnation != aRecord.mIncarnation;
  if (isNew) {
    peer = Peer{};
  }
  if (isNew || peer.mIsExpired) {
    peer.mLastHeardAt = aNow;
  }
  peer.mRecord = aRecord;
  peer.mIsLeaving = peer.mIsLeaving || aRecord.mIsLeaving;
  peer.mIsExpired = false;
}

void FleetView::AddFromRoster(const VmRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mVm == mOptions.mSelf.mVm || mPeers.contains(aRecord.mVm)) {
    return;
  }
  ++mVersion;
  Peer& peer = mPeers[aRecord.mVm];
  peer.mRecord = aRecord;
  // The process in the roster entry is taken as ended. If it still runs, its
  // leased entry follows through Register.
  peer.mIsExpired = true;
  peer.mExpiredAt = aNow;
}

void FleetView::Remove(const VmId& aVm, TimePoint aNow)
{
  const auto it = mPeers.find(aVm);
  if (it != mPeers.end() && !it->second.mIsExpired) {
    it->second.mIsExpired = true;
    it->second.mExpiredAt = aNow;
  }
}

Peer* FleetView::FindSender(const VmIncarnation& aFrom)
{
  const auto it = mPeers.find(aFrom.mVm);
  const bool isKnown =
    it != mPeers.end() && it->second.mRecord.mIncarnation == aFrom.mIncarnation;
  return isKnown ? &it->second : nullptr;
}

void FleetView::OnStatus(const VmIncarnation& aFrom,
                         const message::GatewayStatus& aStatus,
                         TimePoint aNow)
{
  if (Peer* const peer = FindSender(aFrom)) {
    peer->mLastHeardAt = aNow;
    peer->mHasStatus = true;
    peer->mIsLeaving = peer->mIsLeaving || aStatus.mIsLeaving;
    peer->mStatus = aStatus;
  }
}

void FleetView::OnRegionDemand(const VmIncarnation& aFrom,
                               const message::RegionDemand& aDemand,
                               TimePoint aNow)
{
  if (Peer* const peer = FindSender(aFrom)) {
    peer->mLastHeardAt = aNow;
    peer->mHasStatus = true;
    peer->mIsLeaving = peer->mIsLeaving || aDemand.mIsLeaving;
    peer->mRegionDemand = aDemand;
    peer->mRegionDemandAt = aNow;
  }
}

void FleetView::OnBoundDemands(const VmIncarnation& aFrom,
                               const message::BoundDemands& aDemands,
                               TimePoint aNow)
{
  Peer* const peer = FindSender(aFrom);
  if (!peer) {
    return;
  }
  (aDemands.mIsOfRegion ? peer->mRegionBoundDemand : peer->mBoundDemand) =
    aDemands.mDemand;
  (aDemands.mIsOfRegion ? peer->mRegionBoundDemandAt : peer->mBoundDemandAt) =
    aNow;
}

void FleetView::OnServerReach(const VmIncarnation& aFrom,
                              const message::ServerReachStatus& aStatus,
                              TimePoint aNow)
{
  if (Peer* const peer = FindSender(aFrom)) {
    peer->mCutOffUntil =
      aStatus.mIsCutOff ? aNow + ServerReach::kStatementValidity : aNow;
  }
}

bool FleetView::HasHeard(const VmIncarnation& aProcess) const
{
  const auto it = mPeers.find(aProcess.mVm);
  return it != mPeers.end() &&
         it->second.mRecord.mIncarnation == aProcess.mIncarnation &&
         it->second.mHasStatus;
}

void FleetView::Tick(TimePoint aNow)
{
  const auto expired =
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aEntry) {
      return aEntry.second.mIsExpired;
    });
  const bool areFew =
    static_cast<double>(expired) <=
    mOptions.mFewExpiredFraction * static_cast<double>(mPeers.size());
  const Duration limit =
    areFew ? mOptions.mFewExpiredRetention : mOptions.mExpiredRetention;
  const std::size_t erased = std::erase_if(mPeers, [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.mIsExpired && !IsHeard(peer, aNow) &&
           aNow - peer.mExpiredAt > limit;
  });
  mVersion += erased > 0 ? 1 : 0;
}

std::vector<SharingVm> FleetView::SharingVms() const
{
  std::vector<SharingVm> vms{ { mOptions.mSelf.mVm, mOptions.mSelf.mRegion } };
  for (const auto& [id, peer] : mPeers) {
    vms.push_back({ id, peer.mRecord.mRegion });
  }
  return vms;
}

bool FleetView::IsUsable(const Peer& aPeer, TimePoint aNow) const
{
  if (aPeer.mIsLeaving) {
    return false;
  }
  if (IsHeard(aPeer, aNow)) {
    return true;
  }
  if (aPeer.mIsExpired) {
    return false;
  }
  // If no VM's messages arrive, this VM itself is probably disconnected, and
  // the missing messages say nothing about the others.
  return std::none_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return IsHeard(aEntry.second, aNow);
  });
}

bool FleetView::IsHeard(const Peer& aPeer, TimePoint aNow) const
{
  return aPeer.mHasStatus &&
         aNow - aPeer.mLastHeardAt <= mOptions.mSilenceLimit;
}

bool FleetView::IsCutOff(const Peer& aPeer, TimePoint aNow) const
{
  return aNow < aPeer.mCutOffUntil;
}

bool FleetView::HasReachingPeer(TimePoint aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return IsUsable(aEntry.second, aNow) && !IsCutOff(aEntry.second, aNow);
  });
}

std::size_t FleetView::SharingVmCount() const
{
  return mPeers.size() + 1;
}

std::vector<VmId> FleetView::VmsOfRegion(const RegionId& aRegion) const
{
  std::vector<VmId> vms;
  for (const SharingVm& vm : SharingVms()) {
    if (vm.mRegion == aRegion) {
      vms.push_back(vm.mVm);
    }
  }
  return vms;
}

FleetView::UsableVms FleetView::FindUsableVms(const OwnState& aSelf,
                                              TimePoint aNow) const
{
  UsableVms usable;
  const auto add = [&](const VmRecord& aRecord, bool aIsCutOff) {
    usable.mAll.push_back(aRecord);
    if (!aIsCutOff) {
      usable.mReaching.push_back(aRecord);
    }
  };
  if (aSelf.mIsReady) {
    add(mOptions.mSelf, aSelf.mIsCutOff);
  }
  for (const auto& [id, peer] : mPeers) {
    if (IsUsable(peer, aNow)) {
      add(peer.mRecord, IsCutOff(peer, aNow));
    }
  }
  return usable;
}

std::vector<VmRecord> FleetView::CallerTargets(const OwnState& aSelf,
                                               TimePoint aNow) const
{
  UsableVms usable = FindUsableVms(aSelf, aNow);
  // If no VM reaches servers, the servers themselves are probably down.
  return usable.mReaching.empty() ? std::move(usable.mAll)
                                  : std::move(usable.mReaching);
}

std::vector<VmRecord> FleetView::CallerTargets(const RegionId& aRegion,
                                               const OwnState& aSelf,
                                               TimePoint aNow) const
{
  const auto [usable, reaching] = FindUsableVms(aSelf, aNow);
  const std::vector<VmRecord> sameRegion = OfRegion(usable, aRegion);
  if (reaching.empty()) {
    // No VM is worse than the others; the servers themselves are probably down.
    return sameRegion.empty() ? usable : sameRegion;
  }
  std::vector<VmRecord> best = OfRegion(reaching, aRegion);
  const bool isEnough =
    static_cast<double>(best.size()) >=
    mOptions.mMinReachingFraction * static_cast<double>(sameRegion.size());
  return best.empty() || !isEnough ? reaching : best;
}

double FleetView::SumOwnRegion(const ServiceId& aService,
                               float ServiceDemand::*aField,
                               TimePoint aNow) const
{
  double sum = 0;
  for (const auto& [id, peer] : mPeers) {
    if (peer.mRecord.mRegion != mOptions.mSelf.mRegion ||
        aNow - peer.mLastHeardAt > kDemandValidity) {
      continue;
    }
    for (const ServiceDemand& demand : peer.mStatus.mDemand) {
      sum += demand.mService == aService ? Sane(demand.*aField) : 0;
    }
  }
  return sum;
}

double FleetView::OwnRegionRate(const ServiceId& aService, TimePoint aNow) const
{
  return SumOwnRegion(aService, &ServiceDemand::mRequestsPerSecond, aNow);
}

double FleetView::Demand(const RegionId& aRegion,
                         const ServiceId& aService,
                         TimePoint aNow) const
{
  if (aRegion == mOptions.mSelf.mRegion) {
    return SumOwnRegion(aService, &ServiceDemand::mSlots, aNow);
  }
  std::vector<double> reports;
  for (const auto& [id, peer] : mPeers) {
    if (peer.mRecord.mRegion != aRegion ||
        peer.mRegionDemandAt == TimePoint{} ||
        aNow - peer.mRegionDemandAt > kDemandValidity) {
      continue;
    }
    double slots = 0;
    for (const ServiceDemand& demand : peer.mRegionDemand.mDemand) {
      slots += demand.mService == aService ? Sane(demand.mSlots) : 0;
    }
    reports.push_back(slots);
  }
  // A VM that has just started knows only part of its region's demand.
  return Median(reports);
}

double FleetView::OwnBoundDemand(const RegionId& aServing,
                                 const ServiceId& aService,
                                 TimePoint aNow) const
{
  double sum = 0;
  for (const auto& [id, peer] : mPeers) {
    if (peer.mRecord.mRegion == mOptions.mSelf.mRegion &&
        aNow - peer.mBoundDemandAt <= kDemandValidity) {
      sum += SumOf(peer.mBoundDemand, aServing, aService);
    }
  }
  return sum;
}

double FleetView::OtherBoundDemand(const RegionId& aServing,
                                   const ServiceId& aService,
                                   TimePoint aNow) const
{
  std::map<RegionId, std::vector<double>> reports;
  for (const auto& [id, peer] : mPeers) {
    if (peer.mRecord.mRegion != mOptions.mSelf.mRegion &&
        peer.mRegionBoundDemandAt != TimePoint{} &&
        aNow - peer.mRegionBoundDemandAt <= kDemandValidity) {
      reports[peer.mRecord.mRegion].push_back(
        SumOf(peer.mRegionBoundDemand, aServing, aService));
    }
  }
  double sum = 0;
  for (auto& [region, slots] : reports) {
    sum += Median(slots);
  }
  return sum;
}

} // namespace cranberrywing::gateway
