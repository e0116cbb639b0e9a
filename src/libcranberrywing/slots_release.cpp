// Planned handover of slots: because this VM drains, or because another VM is
// the preferred owner.
#include <algorithm>

#include "cranberrywing/slots.h"

namespace cranberrywing {

namespace {

constexpr std::size_t kSlotsPerHandover = 32;
/// Maximum number of slots handed over at a time for rebalancing, so that most
/// of this owner's slots remain available.
constexpr std::ptrdiff_t kMaxRebalancing = 4;
/// Retry delay for the handover of a slot.
constexpr Milliseconds kReleaseRetryDelay{ 1'000 };
/// Time without a successor after which a drain ends without a handover; the
/// slots are then taken over later.
constexpr Milliseconds kSuccessorTimeout{ 2'000 };
/// Time in which Executions resends its handover message; must exceed
/// kHandoverResendInterval in executions_handover.cpp.
constexpr Milliseconds kHandoverSendTime{ 300 };

} // namespace

void SlotTable::ReleaseAll(TimePoint aNow, EffectList& aOut)
{
  mNow = aNow;
  if (!mIsReleasing) {
    mIsReleasing = true;
    mReleaseStart = aNow;
    EvaluateOwnership(aNow, aOut);
  }
}

bool SlotTable::IsReleased() const
{
  if (!mIsReleasing) {
    return false;
  }
  const bool hasNoSuccessor =
    std::all_of(mCandidates.begin(),
                mCandidates.end(),
                [this](const VmId& aVm) { return aVm == mOptions.mSelf.mVm; });
  if (OwnsAnySlot()) {
    return hasNoSuccessor && mNow - mReleaseStart >= kSuccessorTimeout;
  }
  return mLastSlotLost == TimePoint{} ||
         mNow - mLastSlotLost >= kHandoverSendTime;
}

std::optional<VmIncarnation> SlotTable::ChooseSuccessor(
  std::uint32_t aSlot) const
{
  for (const VmId& vm : RankLiveCandidates(aSlot)) {
    if (vm == mOptions.mSelf.mVm) {
      continue;
    }
    // The latest process of the VM; the live key of an earlier one may still
    // exist.
    auto it =
      mLiveProcesses.upper_bound(VmIncarnation{ vm, Incarnation{ ~0ull } });
    return *std::prev(it);
  }
  return std::nullopt;
}

void SlotTable::MarkForRelease(TimePoint aNow)
{
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    Slot& slot = mSlots[n];
    if (slot.mIsOwned && slot.mRelease == Release::None &&
        aNow >= slot.mNextReleaseAttempt && ChooseSuccessor(n)) {
      slot.mRelease = Release::Due;
    }
  }
}

void SlotTable::MarkForRebalance(TimePoint aNow)
{
  auto moving =
    std::count_if(mSlots.begin(), mSlots.end(), [](const Slot& aSlot) {
      return aSlot.mRelease != Release::None;
    });
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    Slot& slot = mSlots[n];
    if (!slot.mIsOwned || slot.mRelease != Release::None) {
      continue;
    }
    const std::vector<VmId> order = RankLiveCandidates(n);
    if (order.empty() || order.front() == mOptions.mSelf.mVm) {
      slot.mMisplacedSince.reset();
      continue;
    }
    if (!slot.mMisplacedSince) {
      slot.mMisplacedSince = aNow;
    }
    if (aNow - *slot.mMisplacedSince >= mOptions.mRebalanceDelay &&
        aNow >= slot.mNextReleaseAttempt && moving < kMaxRebalancing) {
      slot.mRelease = Release::Due;
      ++moving;
    }
  }
}

void SlotTable::WriteHandovers(TimePoint aNow, EffectList& aOut)
{
  if (IsPending(Call::HandOver)) {
    return;
  }
  StoreTxn txn;
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    Slot& slot = mSlots[n];
    if (slot.mRelease != Release::Due ||
        txn.mPuts.size() >= kSlotsPerHandover) {
      continue;
    }
    const auto successor = ChooseSuccessor(n);
    if (!successor) {
      slot.mRelease = Release::None;
      slot.mNextReleaseAttempt = aNow + kReleaseRetryDelay;
      continue;
    }
    const SlotRecord next{
      .mOwner = { *successor, slot.mRecord->mOwner.mEpoch + 1 },
      .mIsHandedOver = true,
    };
    slot.mRelease = Release::Writing;
    txn.mCompares.push_back(Fence(n));
    txn.mPuts.push_back(
      { .mKey = SlotKey(n), .mValue = EncodeSlotRecord(next) });
  }
  if (txn.mPuts.empty()) {
    return;
  }
  txn.mReads.push_back(FullRange());
  SendTxn(Call::HandOver, std::move(txn), aNow, aOut);
}

void SlotTable::OnHandOverReply(const Result<StoreReply>& aReply,
                                TimePoint aNow,
                                EffectList& aOut)
{
  if (aReply) {
    ApplyRange(*aReply, aNow, aOut);
  } else {
    mIsReadRequested = true;
  }
  // Slots that are still owned continue to serve until the next attempt. That
  // is safe even if a lost transaction took effect: the fence rejects further
  // claims, and the successor runs tickets of this epoch only after this
  // process has sent it the tickets already run.
  for (Slot& slot : mSlots) {
    if (slot.mRelease == Release::Writing) {
      slot.mRelease = Release::None;
      slot.mNextReleaseAttempt = aNow + kReleaseRetryDelay;
    }
  }
}

} // namespace cranberrywing
