// Loading of a slot's claims after it was acquired, and removal of expired
// ones.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// Records per read; a record has at most 230 KB (kMaxBatchClaims).
constexpr std::int64_t kRecordsPerRead = 16;
constexpr Milliseconds kLoadRetryDelay{ 200 };
/// Retry delay after a record that cannot be decoded, which only an operator
/// can repair.
constexpr Milliseconds kUnreadableRetryDelay{ 10'000 };
constexpr Milliseconds kCleanInterval{ 60'000 };
/// Interval at which one slot's expired records are removed from memory. One
/// slot at a time keeps ticks short.
constexpr Milliseconds kPruneInterval{ 1'000 };
constexpr std::size_t kDeletesPerClean = 64;

} // namespace

void Executions::ContinueLoad(std::uint32_t aNumber,
                              SlotState& aSlot,
                              TimePoint aNow,
                              EffectList& aOut)
{
  if (aSlot.mIsLoaded || aSlot.mIsReading || aNow < aSlot.mNextLoad) {
    return;
  }
  const std::string prefix = SlotPrefix(aNumber);
  if (aSlot.mLoadCursor.empty()) {
    aSlot.mLoadCursor = prefix;
  }
  aSlot.mIsReading = true;
  StoreTxn txn;
  txn.mReads.push_back({ .mKey = aSlot.mLoadCursor,
                         .mRangeEnd = PrefixRangeEnd(prefix),
                         .mLimit = kRecordsPerRead });
  PendingCall call;
  call.mCall = Call::Load;
  call.mSlot = aNumber;
  call.mEpoch = aSlot.mEpoch;
  Send(std::move(call), std::move(txn), aNow, aOut);
}

void Executions::OnLoadReply(const PendingCall& aCall,
                             const Result<StoreReply>& aReply,
                             TimePoint aNow,
                             EffectList& aOut)
{
  const auto owned = mOwned.find(aCall.mSlot);
  if (owned == mOwned.end() || owned->second.mEpoch != aCall.mEpoch) {
    return;
  }
  SlotState& slot = owned->second;
  slot.mIsReading = false;
  if (!aReply) {
    // Jitter spreads the owners' reads when the store becomes available again.
    const Milliseconds jitter(mRandom() % kLoadRetryDelay.count());
    slot.mNextLoad = aNow + kLoadRetryDelay + jitter;
    return;
  }
  for (const StoreEntry& entry : aReply->mEntries) {
    if (!LoadEntry(slot, entry)) {
      // Any claim in the record may have run, so the slot accepts no claims.
      slot.mNextLoad = aNow + kUnreadableRetryDelay;
      aOut.push_back(effect::RecordTimeline{
        .mName = "claims_unreadable", .mFields = { { "key", entry.mKey } } });
      return;
    }
    slot.mLoadCursor = entry.mKey + '\0';
  }
  if (std::ssize(aReply->mEntries) < kRecordsPerRead) {
    slot.mIsLoaded = true;
    aOut.push_back(effect::RecordTimeline{
      .mName = "slot_loaded",
      .mFields = { { "slot", std::to_string(aCall.mSlot) },
                   { "epoch", std::to_string(aCall.mEpoch) },
                   { "executions", std::to_string(slot.mRecords.size()) } } });
    RetryQueue(slot, aNow, aOut);
    return;
  }
  ContinueLoad(aCall.mSlot, slot, aNow, aOut);
}

bool Executions::LoadEntry(SlotState& aSlot, const StoreEntry& aEntry)
{
  const Result<ClaimBatch> batch = DecodeClaimBatch(aEntry.mValue);
  if (!batch) {
    return false;
  }
  aSlot.mLog.Add(aEntry.mKey, *batch);
  for (const Claim& claim : batch->mClaims) {
    if (claim.mExpirySeconds <= mWallClock.ForRemoval()) {
      continue;
    }
    // Does not replace a record from a handover message that arrived earlier,
    // since it may have a more precise outcome.
    aSlot.mRecords.try_emplace(
      claim.mExecution,
      Record{ .mContent = claim.mContent,
              .mExpirySeconds = claim.mExpirySeconds });
  }
  return true;
}

void Executions::Clean(TimePoint aNow, EffectList& aOut)
{
  if (aNow >= mNextPrune) {
    mNextPrune = aNow + kPruneInterval;
    PruneNextSlot();
    mAnswers.EvictExpired(mRetention, aNow);
  }
  if (aNow < mNextClean) {
    return;
  }
  mNextClean = aNow + kCleanInterval;
  PendingCall call;
  call.mCall = Call::Clean;
  StoreTxn txn;
  for (const auto& [number, slot] : mOwned) {
    const std::vector<std::string> keys = slot.mLog.ExpiredKeys(
      mWallClock.ForRemoval(), kDeletesPerClean - call.mKeys.size());
    if (keys.empty() || !slot.mIsLoaded) {
      continue;
    }
    txn.mCompares.push_back(mSlots.Fence(number));
    for (const std::string& key : keys) {
      txn.mDeletes.push_back({ .mKey = key, .mRangeEnd = "" });
    }
    call.mKeys.insert(call.mKeys.end(), keys.begin(), keys.end());
  }
  if (!call.mKeys.empty()) {
    Send(std::move(call), std::move(txn), aNow, aOut);
  }
}

void Executions::PruneNextSlot()
{
  auto it = mOwned.upper_bound(mLastPrunedSlot);
  if (it == mOwned.end()) {
    it = mOwned.begin();
  }
  if (it == mOwned.end()) {
    return;
  }
  mLastPrunedSlot = it->first;
  const std::int64_t wall = mWallClock.ForRemoval();
  boost::unordered::erase_if(it->second.mRecords, [&](const auto& aEntry) {
    return aEntry.second.mExpirySeconds <= wall &&
           !mActive.contains(aEntry.first);
  });
}

void Executions::OnCleanReply(const PendingCall& aCall,
                              const Result<StoreReply>& aReply)
{
  if (!aReply || !aReply->mSucceeded) {
    // Retried at the next cleanup; deletions are idempotent.
    return;
  }
  for (auto& [number, slot] : mOwned) {
    slot.mLog.Remove(aCall.mKeys);
  }
}

} // namespace cranberrywing
