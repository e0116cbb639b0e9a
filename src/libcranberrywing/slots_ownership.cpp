// Selection of the slots that this VM takes over, and the time to do so.
#include <algorithm>

#include "cranberrywing/slots.h"

namespace cranberrywing {

namespace {

/// etcd rejects transactions with more than 128 operations in one list. Each
/// slot needs up to two compares, and the count record one more.
constexpr std::size_t kSlotsPerTakeover = 32;

} // namespace

void SlotTable::EvaluateOwnership(TimePoint aNow, EffectList& aOut)
{
  mCandidates = ChooseSlotOwners(mHooks.mCandidates(), mOwnerCount);
  mIsCandidate =
    std::find(mCandidates.begin(), mCandidates.end(), mOptions.mSelf.mVm) !=
    mCandidates.end();
  if (!HasUnusableOwner()) {
    mOwnerLostSince.reset();
  } else if (!mOwnerLostSince) {
    mOwnerLostSince = aNow;
  }
  UpdateOrphans(aNow);
  if (!IsViewCurrent(aNow)) {
    return;
  }
  TakeOverOrphans(aNow, aOut);
  if (mIsReleasing) {
    MarkForRelease(aNow);
  } else {
    MarkForRebalance(aNow);
  }
}

void SlotTable::UpdateOrphans(TimePoint aNow)
{
  if (!IsViewCurrent(aNow)) {
    // After a store outage, owners whose leases have expired get the full
    // takeover delay to acquire new ones.
    for (Slot& slot : mSlots) {
      slot.mOrphanedSince.reset();
    }
    return;
  }
  for (Slot& slot : mSlots) {
    const bool hasLiveOwner =
      slot.mRecord && IsLive(slot.mRecord->mOwner.mProcess);
    if (hasLiveOwner) {
      slot.mOrphanedSince.reset();
    } else if (!slot.mOrphanedSince) {
      slot.mOrphanedSince = aNow;
    }
  }
}

bool SlotTable::IsLive(const VmIncarnation& aProcess) const
{
  return mLiveProcesses.contains(aProcess);
}

bool SlotTable::HasLiveProcess(const VmId& aVm) const
{
  const auto it =
    mLiveProcesses.lower_bound(VmIncarnation{ aVm, Incarnation{ 0 } });
  return it != mLiveProcesses.end() && it->mVm == aVm;
}

std::vector<VmId> SlotTable::RankLiveCandidates(std::uint32_t aSlot) const
{
  std::vector<VmId> live;
  for (const VmId& vm : mCandidates) {
    if (HasLiveProcess(vm)) {
      live.push_back(vm);
    }
  }
  return OrderSlotOwners(aSlot, std::move(live));
}

bool SlotTable::IsProvenDead(const VmIncarnation& aOwner) const
{
  // Only the latest process of a VM can be running.
  const bool isOwnPredecessor =
    aOwner.mVm == mOptions.mSelf.mVm &&
    aOwner.mIncarnation < mOptions.mSelf.mIncarnation;
  return isOwnPredecessor || mHooks.mIsDead(aOwner);
}

bool SlotTable::MayTakeOver(std::uint32_t aSlot, TimePoint aNow) const
{
  const Slot& slot = mSlots[aSlot];
  if (slot.mIsOwned || slot.mIsUnreadable) {
    return false;
  }
  const bool isDead =
    slot.mRecord && IsProvenDead(slot.mRecord->mOwner.mProcess);
  if (!isDead && !slot.mOrphanedSince) {
    return false;
  }
  const std::vector<VmId> order = RankLiveCandidates(aSlot);
  const auto self = std::find(order.begin(), order.end(), mOptions.mSelf.mVm);
  if (self == order.end()) {
    return false;
  }
  // Lower-ranked candidates wait longer; they only act if the others do not.
  const auto rank = self - order.begin();
  if (isDead && rank == 0) {
    return true;
  }
  const TimePoint since = slot.mOrphanedSince.value_or(aNow);
  const Duration wait = slot.mRecord ? mTakeoverDelay : mOptions.mStartupDelay;
  return aNow - since >= wait + rank * mTakeoverDelay;
}

void SlotTable::TakeOverOrphans(TimePoint aNow, EffectList& aOut)
{
  const bool isReady = mIsCandidate && !mIsReleasing &&
                       mLeaseState == LeaseState::Held &&
                       aNow - mHeldSince >= mOptions.mStartupDelay;
  if (!isReady || IsPending(Call::TakeOver)) {
    return;
  }
  StoreTxn txn;
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    if (txn.mPuts.size() < kSlotsPerTakeover && MayTakeOver(n, aNow)) {
      AddTakeover(n, txn);
    }
  }
  if (txn.mPuts.empty()) {
    return;
  }
  txn.mCompares.push_back({ .mKey = mOptions.mStorePrefix + "count",
                            .mModRevision = mCountModRevision });
  if (mCountModRevision == 0) {
    txn.mPuts.push_back({ .mKey = mOptions.mStorePrefix + "count",
                          .mValue = std::to_string(mSlots.size()) });
  }
  txn.mReads.push_back(FullRange());
  SendTxn(Call::TakeOver, std::move(txn), aNow, aOut);
}

void SlotTable::AddTakeover(std::uint32_t aSlot, StoreTxn& aTxn) const
{
  const Slot& slot = mSlots[aSlot];
  SlotRecord next;
  next.mOwner = { .mProcess = mOptions.mSelf, .mEpoch = 1 };
  if (slot.mRecord) {
    const SlotOwner& owner = slot.mRecord->mOwner;
    next.mOwner.mEpoch = owner.mEpoch + 1;
    if (!IsProvenDead(owner.mProcess)) {
      // The owner must have no live key at the moment of the takeover.
      aTxn.mCompares.push_back({ .mKey = LiveKey(owner.mProcess) });
    }
  }
  aTxn.mCompares.push_back(Fence(aSlot));
  aTxn.mPuts.push_back(
    { .mKey = SlotKey(aSlot), .mValue = EncodeSlotRecord(next) });
}

} // namespace cranberrywing
