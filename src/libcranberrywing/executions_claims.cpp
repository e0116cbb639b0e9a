// Group commit of claims to the store, fenced by the slot records.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// Maximum number of slots and merges in one transaction. One put per slot, and
/// one put and ClaimLog::kRecordsPerMerge deletions per merge, stay below
/// etcd's limit of 128 operations. A slot needs a merge in about one of 15
/// commits.
constexpr std::size_t kSlotsPerCommit = 48;
constexpr std::size_t kMergesPerCommit = 4;
/// Number of commits that an owner may send in a burst after an idle period.
constexpr double kCommitBurst = 3;
constexpr Milliseconds kCommitRetryDelay{ 200 };

std::string ZeroPadded(std::uint64_t aNumber)
{
  // Makes keys sort by number; 20 digits hold any 64-bit value.
  const std::string digits = std::to_string(aNumber);
  return std::string(20 - digits.size(), '0') + digits;
}

} // namespace

std::string Executions::SlotPrefix(std::uint32_t aSlot) const
{
  return mOptions.mStorePrefix + std::to_string(aSlot) + "/";
}

std::string Executions::BatchKey(std::uint32_t aSlot,
                                 std::uint64_t aEpoch,
                                 std::uint64_t aNumber) const
{
  return SlotPrefix(aSlot) + ZeroPadded(aEpoch) + "/" + ZeroPadded(aNumber);
}

void Executions::TryCommit(TimePoint aNow, EffectList& aOut)
{
  if (mGroup) {
    if (!mGroup->mIsInFlight && aNow >= mGroup->mNextAttempt) {
      SendGroup(aNow, aOut);
    }
    return;
  }
  const bool hasPending =
    std::any_of(mOwned.begin(), mOwned.end(), [](const auto& aEntry) {
      return !aEntry.second.mPending.empty();
    });
  if (!hasPending || aNow < mNextCommit || !TakeCommitToken(aNow)) {
    return;
  }
  CommitGroup group = BuildGroup();
  if (group.mParts.empty()) {
    mCommitTokens += 1;
    return;
  }
  mGroup = std::move(group);
  SendGroup(aNow, aOut);
}

bool Executions::TakeCommitToken(TimePoint aNow)
{
  const double elapsed = static_cast<double>((aNow - mTokensUpdatedAt).count());
  const double interval = static_cast<double>(mCommitInterval.count());
  mCommitTokens = std::min(kCommitBurst, mCommitTokens + elapsed / interval);
  mTokensUpdatedAt = aNow;
  if (mCommitTokens < 1) {
    return false;
  }
  mCommitTokens -= 1;
  return true;
}

Executions::CommitGroup Executions::BuildGroup()
{
  CommitGroup group;
  // Round robin over the slots, so that none is starved if a group is full.
  auto it = mOwned.lower_bound(mNextCommitSlot);
  for (std::size_t n = 0; n < mOwned.size(); ++n, ++it) {
    if (it == mOwned.end()) {
      it = mOwned.begin();
    }
    if (group.mParts.size() == kSlotsPerCommit) {
      break;
    }
    if (AddPart(group, it->first, it->second)) {
      AddMerge(group, it->first, it->second, it->second.mNextBatch++);
    }
    mNextCommitSlot = it->first + 1;
  }
  return group;
}

bool Executions::AddPart(CommitGroup& aGroup,
                         std::uint32_t aNumber,
                         SlotState& aSlot)
{
  std::size_t room = mOptions.mClaimsPerCommit;
  for (const BatchPart& part : aGroup.mParts) {
    room -= std::min(room, part.mBatch.mClaims.size());
  }
  const std::size_t count =
    std::min({ aSlot.mPending.size(), kMaxBatchClaims, room });
  if (aSlot.mIsFenced || count == 0) {
    return false;
  }
  BatchPart part;
  part.mSlot = aNumber;
  part.mEpoch = aSlot.mEpoch;
  const auto expiry = static_cast<std::uint32_t>(
    mWallClock.ForExpiry() +
    std::chrono::duration_cast<std::chrono::seconds>(mRetention).count());
  for (std::size_t n = 0; n < count; ++n) {
    const auto active = mActive.find(aSlot.mPending[n]);
    if (active == mActive.end() || active->second.mPhase != Phase::Committing) {
      continue;
    }
    if (active->second.mWaiters.empty()) {
      mActive.erase(active);
      continue;
    }
    part.mBatch.mClaims.push_back(
      { active->first, active->second.mContent, expiry });
  }
  aSlot.mPending.erase(aSlot.mPending.begin(),
                       aSlot.mPending.begin() +
                         static_cast<std::ptrdiff_t>(count));
  if (part.mBatch.mClaims.empty()) {
    return false;
  }
  part.mKey = BatchKey(aNumber, aSlot.mEpoch, aSlot.mNextBatch++);
  aGroup.mTxn.mCompares.push_back(mSlots.Fence(aNumber));
  AddPut(aGroup.mTxn, part.mKey, part.mBatch);
  aGroup.mParts.push_back(std::move(part));
  return true;
}

void Executions::AddMerge(CommitGroup& aGroup,
                          std::uint32_t aNumber,
                          const SlotState& aSlot,
                          std::uint64_t aBatchNumber)
{
  std::optional<ClaimLog::Merge> merge = aSlot.mLog.PlanMerge();
  std::size_t claims = merge ? merge->mExecutions.size() : 0;
  for (const BatchMerge& other : aGroup.mMerges) {
    claims += other.mBatch.mClaims.size();
  }
  const bool isFull =
    aGroup.mMerges.size() == kMergesPerCommit || claims > kMaxBatchClaims;
  if (!merge || isFull) {
    return;
  }
  BatchMerge part;
  part.mSlot = aNumber;
  part.mEpoch = aSlot.mEpoch;
  part.mKey = BatchKey(aNumber, aSlot.mEpoch, aBatchNumber);
  part.mBatch.mLevel = merge->mLevel;
  for (const ExecutionId& id : merge->mExecutions) {
    // Claims without a record in memory have expired.
    const auto record = aSlot.mRecords.find(id);
    if (record != aSlot.mRecords.end()) {
      part.mBatch.mClaims.push_back(
        { id, record->second.mContent, record->second.mExpirySeconds });
    }
  }
  AddPut(aGroup.mTxn, part.mKey, part.mBatch);
  for (const std::string& key : merge->mKeys) {
    aGroup.mTxn.mDeletes.push_back({ .mKey = key, .mRangeEnd = "" });
  }
  part.mMergedKeys = std::move(merge->mKeys);
  aGroup.mMerges.push_back(std::move(part));
}

void Executions::AddPut(StoreTxn& aTxn,
                        const std::string& aKey,
                        const ClaimBatch& aBatch)
{
  aTxn.mPuts.push_back({ .mKey = aKey,
                         .mValue = EncodeClaimBatch(aBatch),
                         .mLease = LeaseId::None });
}

void Executions::SendGroup(TimePoint aNow, EffectList& aOut)
{
  ++mCounters.mCommits;
  mGroup->mIsInFlight = true;
  PendingCall call;
  call.mCall = Call::Commit;
  Send(std::move(call), mGroup->mTxn, aNow, aOut);
}

void Executions::OnCommitReply(const Result<StoreReply>& aReply,
                               TimePoint aNow,
                               EffectList& aOut)
{
  if (aReply && aReply->mSucceeded) {
    CompleteGroup(aNow);
    TryCommit(aNow, aOut);
    return;
  }
  if (aReply) {
    ReadBack(aNow, aOut);
    return;
  }
  mGroup->mIsInFlight = false;
  const bool hadNoEffect = aReply.error().mCode == ResultCode::StoreUnavailable;
  if (hadNoEffect && !mGroup->mIsUncertain) {
    RequeueGroup();
    mNextCommit = aNow + kCommitRetryDelay;
    return;
  }
  // The transaction is retried unchanged, which makes it idempotent: it does
  // not matter how many attempts take effect.
  mGroup->mIsUncertain = true;
  mGroup->mNextAttempt = aNow + kCommitRetryDelay;
}

void Executions::ReadBack(TimePoint aNow, EffectList& aOut)
{
  StoreTxn txn;
  for (const BatchPart& part : mGroup->mParts) {
    txn.mReads.push_back(
      { .mKey = mSlots.Fence(part.mSlot).mKey, .mRangeEnd = "", .mLimit = 0 });
    txn.mReads.push_back({ .mKey = part.mKey, .mRangeEnd = "", .mLimit = 0 });
  }
  PendingCall call;
  call.mCall = Call::ReadBack;
  Send(std::move(call), std::move(txn), aNow, aOut);
}

void Executions::OnReadBackReply(const Result<StoreReply>& aReply,
                                 TimePoint aNow,
                                 EffectList& aOut)
{
  mGroup->mIsInFlight = false;
  if (!aReply) {
    mGroup->mNextAttempt = aNow + kCommitRetryDelay;
    return;
  }
  std::map<std::string, std::int64_t> revisions;
  for (const StoreEntry& entry : aReply->mEntries) {
    revisions[entry.mKey] = entry.mModRevision;
  }
  // The transaction is atomic, so one existing record shows that all parts took
  // effect. The new owner of a lost slot may have merged that slot's record
  // away; if no other part's record exists either, the group is treated as not
  // committed, and none of its claims is run as a result of it.
  const bool tookEffect = std::any_of(
    mGroup->mParts.begin(), mGroup->mParts.end(), [&](const BatchPart& aPart) {
      return revisions.contains(aPart.mKey);
    });
  for (std::size_t n = 0; n < mGroup->mParts.size(); ++n) {
    const BatchPart& part = mGroup->mParts[n];
    const StoreCompare& fence = mGroup->mTxn.mCompares[n];
    if (revisions[fence.mKey] == fence.mModRevision) {
      continue;
    }
    ++mCounters.mFenceRefusals;
    SlotState* slot = FindState(part.mSlot, part.mEpoch);
    if (slot != nullptr) {
      slot->mIsFenced = true;
      mSlots.OnFenceFailed(part.mSlot, aNow, aOut);
    }
  }
  if (tookEffect) {
    CompleteGroup(aNow);
  } else {
    RequeueGroup();
  }
  TryCommit(aNow, aOut);
}

void Executions::CompleteGroup(TimePoint aNow)
{
  const CommitGroup group = std::move(*mGroup);
  mGroup.reset();
  for (const BatchPart& part : group.mParts) {
    SlotState* slot = FindState(part.mSlot, part.mEpoch);
    if (slot == nullptr) {
      continue;
    }
    slot->mLog.Add(part.mKey, part.mBatch);
    for (const Claim& claim : part.mBatch.mClaims) {
      CompleteClaim(*slot, part, claim, aNow);
    }
  }
  for (const BatchMerge& merge : group.mMerges) {
    SlotState* slot = FindState(merge.mSlot, merge.mEpoch);
    if (slot != nullptr) {
      slot->mLog.Remove(merge.mMergedKeys);
      slot->mLog.Add(merge.mKey, merge.mBatch);
    }
  }
}

void Executions::CompleteClaim(SlotState& aSlot,
                               const BatchPart& aPart,
                               const Claim& aClaim,
                               TimePoint aNow)
{
  ++mCounters.mClaims;
  Record& record = aSlot.mRecords[aClaim.mExecution];
  record.mContent = aClaim.mContent;
  record.mExpirySeconds = aClaim.mExpirySeconds;
  record.mOutcome = Outcome::NotRun;
  // A stored answer can only stem from an earlier use of the key whose claim
  // has expired.
  mAnswers.Remove(aClaim.mExecution);
  const auto it = mActive.find(aClaim.mExecution);
  if (it == mActive.end() || it->second.mPhase != Phase::Committing ||
      it->second.mEpoch != aPart.mEpoch) {
    return;
  }
  Active& active = it->second;
  const auto runner =
    std::find_if(active.mWaiters.begin(),
                 active.mWaiters.end(),
                 [aNow](const Waiter& aW) { return aW.mDeadline > aNow; });
  if (runner == active.mWaiters.end()) {
    mActive.erase(it);
    return;
  }
  record.mOutcome = Outcome::Unknown;
  active.mPhase = Phase::Running;
  active.mRunner = runner->mRequest;
  active.mWaiters.erase(runner);
  mRunningRequests[active.mRunner] = aClaim.mExecution;
  mWaitingRequests.erase(active.mRunner);
  mDecisions.push_back({ .mRequest = active.mRunner,
                         .mRun = true,
                         .mAnswer = nullptr,
                         .mRefusal = {} });
}

void Executions::RequeueGroup()
{
  const CommitGroup group = std::move(*mGroup);
  mGroup.reset();
  for (const BatchPart& part : group.mParts) {
    SlotState* slot = FindState(part.mSlot, part.mEpoch);
    if (slot == nullptr) {
      continue;
    }
    for (const Claim& claim : part.mBatch.mClaims) {
      slot->mPending.push_back(claim.mExecution);
    }
  }
}

} // namespace cranberrywing
