// This VM's view of the slot records: reads, the watch, and the resulting
// changes of ownership.
#include <algorithm>

#include "cranberrywing/parse_number.h"
#include "cranberrywing/slots.h"

namespace cranberrywing {

namespace {

constexpr std::uint64_t kWatchNumber = 0;
constexpr std::string_view kCountName = "count";
constexpr std::string_view kLivePrefix = "live/";
/// Minimum interval between reads by candidates and owners.
constexpr Milliseconds kMinReadInterval{ 500 };
/// Bounds the memory that a corrupt count record can cause to be allocated.
constexpr std::uint32_t kMaxSlotCount = 65'536;

/// Parses `<vm>/<incarnation>`. VM names may contain slashes.
std::optional<VmIncarnation> ParseLiveName(std::string_view aName)
{
  const std::size_t slash = aName.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseNumber<std::uint64_t>(aName.substr(slash + 1));
  if (!number) {
    return std::nullopt;
  }
  return VmIncarnation{ VmId(aName.substr(0, slash)), Incarnation{ *number } };
}

} // namespace

StoreRange SlotTable::FullRange() const
{
  return { .mKey = mOptions.mStorePrefix,
           .mRangeEnd = PrefixRangeEnd(mOptions.mStorePrefix),
           .mLimit = 0 };
}

void SlotTable::TickView(TimePoint aNow, EffectList& aOut)
{
  if (!NeedsLease() && mIsWatching) {
    aOut.push_back(
      effect::CancelWatch{ { Component::SlotTable, kWatchNumber } });
    mIsWatching = false;
  }
  const Duration sinceRead = aNow - mLastRead;
  if (NeedsLease()) {
    const bool isSilent =
      !mIsWatching || aNow - mLastUpdate > mOptions.mWatchTimeout;
    if ((isSilent || mIsReadRequested) &&
        (sinceRead >= kMinReadInterval || !mHasView)) {
      mIsWatching = mIsWatching && !isSilent;
      Read(aNow, aOut);
    }
    return;
  }
  if (sinceRead >= mOptions.mRefreshInterval) {
    mReadBackoff = mOptions.mRefreshBackoff;
    Read(aNow, aOut);
    return;
  }
  const bool isRequested = mIsReadRequested || !mHasView || IsOwnerLost(aNow);
  if (!isRequested) {
    mReadBackoff = mOptions.mRefreshBackoff;
    return;
  }
  if (sinceRead >= mReadBackoff || mLastRead == TimePoint{}) {
    mReadBackoff = std::min(2 * mReadBackoff, mOptions.mRefreshInterval);
    Read(aNow, aOut);
  }
}

void SlotTable::Read(TimePoint aNow, EffectList& aOut)
{
  if (IsPending(Call::Read)) {
    // The pending read may return an older state than the one asked for.
    mIsReadRequested = true;
    return;
  }
  mIsReadRequested = false;
  mLastRead = aNow;
  StoreTxn txn;
  txn.mReads.push_back(FullRange());
  SendTxn(Call::Read, std::move(txn), aNow, aOut);
}

void SlotTable::StartWatch(TimePoint aNow, EffectList& aOut)
{
  mIsWatching = true;
  mLastUpdate = aNow;
  const StoreRange range = FullRange();
  aOut.push_back(
    effect::WatchStore{ .mWatch = { Component::SlotTable, kWatchNumber },
                        .mKey = range.mKey,
                        .mRangeEnd = range.mRangeEnd,
                        .mFromRevision = mViewRevision + 1 });
}

bool SlotTable::IsViewCurrent(TimePoint aNow) const
{
  // A silent watch is replaced after mWatchTimeout; the second timeout allows
  // for the read that precedes the new watch.
  return mHasView && aNow - mLastUpdate <= 2 * mOptions.mWatchTimeout;
}

bool SlotTable::IsOwnerLost(TimePoint aNow) const
{
  // All VMs detect the loss at nearly the same time; jitter spreads their
  // reads.
  const auto jitter = Duration(static_cast<Duration::rep>(
    HashBytes(mOptions.mSelf.mVm.mName) %
    static_cast<std::uint64_t>(mOptions.mRefreshBackoff.count())));
  return mOwnerLostSince && aNow - *mOwnerLostSince >= jitter;
}

bool SlotTable::HasUnusableOwner() const
{
  return std::any_of(mSlots.begin(), mSlots.end(), [this](const Slot& aSlot) {
    return !aSlot.mRecord ||
           !mHooks.mIsUsable(aSlot.mRecord->mOwner.mProcess.mVm);
  });
}

void SlotTable::OnWatch(const event::StoreWatchFired& aEvent,
                        TimePoint aNow,
                        EffectList& aOut)
{
  mNow = aNow;
  if (!mIsWatching || aEvent.mWatch.mNumber != kWatchNumber) {
    return;
  }
  mLastUpdate = aNow;
  for (const StoreEntry& entry : aEvent.mEntries) {
    ApplyEntry(entry);
  }
  mViewRevision = std::max(mViewRevision, aEvent.mStoreRevision);
  Reconcile(aNow, aOut);
}

void SlotTable::ApplyRange(const StoreReply& aReply,
                           TimePoint aNow,
                           EffectList& aOut)
{
  // A reply older than the watch's last event must not restore live keys that
  // have been removed since. Slot records are ordered by their own revisions.
  if (aReply.mStoreRevision >= mViewRevision) {
    mLiveProcesses.clear();
  }
  const bool isNewest = aReply.mStoreRevision >= mViewRevision;
  const std::string livePrefix =
    mOptions.mStorePrefix + std::string(kLivePrefix);
  for (const StoreEntry& entry : aReply.mEntries) {
    if (isNewest || !entry.mKey.starts_with(livePrefix)) {
      ApplyEntry(entry);
    }
  }
  mHasView = true;
  mLastUpdate = aNow;
  mViewRevision = std::max(mViewRevision, aReply.mStoreRevision);
  Reconcile(aNow, aOut);
}

void SlotTable::ApplyEntry(const StoreEntry& aEntry)
{
  if (!aEntry.mKey.starts_with(mOptions.mStorePrefix)) {
    return;
  }
  std::string_view name = aEntry.mKey;
  name.remove_prefix(mOptions.mStorePrefix.size());
  if (name == kCountName) {
    ApplyCount(aEntry);
    return;
  }
  if (!name.starts_with(kLivePrefix)) {
    const auto slot = ParseNumber<std::uint32_t>(name);
    if (slot && *slot < kMaxSlotCount) {
      ApplySlot(*slot, aEntry);
    }
    return;
  }
  const auto process = ParseLiveName(name.substr(kLivePrefix.size()));
  if (process && aEntry.mModRevision > 0) {
    mLiveProcesses.insert(*process);
  } else if (process) {
    mLiveProcesses.erase(*process);
  }
}

void SlotTable::ApplyCount(const StoreEntry& aEntry)
{
  const auto count = ParseNumber<std::uint32_t>(aEntry.mValue);
  if (!count || *count == 0 || *count > kMaxSlotCount) {
    return;
  }
  mCountModRevision = aEntry.mModRevision;
  mRecordedCount = *count;
  mSlots.resize(*count);
}

void SlotTable::ApplySlot(std::uint32_t aSlot, const StoreEntry& aEntry)
{
  if (aSlot >= mSlots.size()) {
    mSlots.resize(aSlot + 1);
  }
  Slot& slot = mSlots[aSlot];
  if (aEntry.mModRevision <= slot.mModRevision) {
    return;
  }
  slot.mModRevision = aEntry.mModRevision;
  const Result<SlotRecord> record = DecodeSlotRecord(aEntry.mValue);
  slot.mIsUnreadable = !record;
  slot.mRecord = record ? std::optional<SlotRecord>(*record) : std::nullopt;
}

void SlotTable::Reconcile(TimePoint aNow, EffectList& aOut)
{
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    ReconcileSlot(n, aNow, aOut);
  }
}

void SlotTable::ReconcileSlot(std::uint32_t aSlot,
                              TimePoint aNow,
                              EffectList& aOut)
{
  Slot& slot = mSlots[aSlot];
  const bool isOwner =
    slot.mRecord && slot.mRecord->mOwner.mProcess == mOptions.mSelf;
  const std::uint64_t epoch = isOwner ? slot.mRecord->mOwner.mEpoch : 0;
  if (epoch == slot.mOwnedEpoch) {
    return;
  }
  slot.mRelease = Release::None;
  slot.mMisplacedSince.reset();
  if (slot.mIsOwned) {
    // Also when the slot was lost and acquired again between two updates.
    slot.mIsOwned = false;
    --mOwnedCount;
    mLastSlotLost = aNow;
    mHooks.mOnLost(aSlot, aNow, aOut);
  }
  slot.mIsOwned = isOwner;
  mOwnedCount += isOwner ? 1 : 0;
  slot.mOwnedEpoch = epoch;
  if (isOwner) {
    mHooks.mOnAcquired(aSlot, epoch, aNow, aOut);
  }
}

} // namespace cranberrywing
