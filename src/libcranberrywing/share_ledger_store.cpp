// Store part of ShareLedger: calls to the store, one at a time, and the
// evaluation of their answers.
#include "cranberrywing/share_ledger.h"

#include <algorithm>

namespace cranberrywing {

namespace {

constexpr std::uint32_t kMaxBackOffDoublings = 5;
constexpr Duration kConflictBackOff = std::chrono::milliseconds(20);

} // namespace

void ShareLedger::CallStore(StoreTxn aTxn, Call aCall, EffectList& aOut)
{
  aCall.mNumber = mNextCall++;
  effect::CallStore call;
  call.mCall = { .mComponent = Component::ShareLedger,
                 .mNumber = aCall.mNumber };
  call.mRequest.mTxn = std::move(aTxn);
  aOut.push_back(std::move(call));
  mCall = std::move(aCall);
}

void ShareLedger::Read(const std::string& aName,
                       TimePoint aNow,
                       EffectList& aOut)
{
  ++mCounters.mReads;
  StoreTxn txn;
  txn.mReads = { { .mKey = mOptions.mStorePrefix + aName, .mRangeEnd = "" } };
  CallStore(std::move(txn), { .mName = aName, .mSentAt = aNow }, aOut);
}

void ShareLedger::Write(const std::string& aName,
                        Share& aShare,
                        ShareRecord aRecord,
                        TimePoint aNow,
                        EffectList& aOut)
{
  ++mCounters.mWrites;
  ShareEntry* own = aRecord.Find(mOptions.mSelf);
  Call call{ .mName = aName,
             .mSentAt = aNow,
             .mIsWrite = true,
             .mComparedRevision = aShare.mModRevision,
             .mOldFraction = OwnFraction(aShare) };
  if (own != nullptr) {
    own->mOperation = mNextOperation++;
    call.mNewFraction = own->mFraction;
  }
  const std::string key = mOptions.mStorePrefix + aName;
  StoreTxn txn;
  txn.mCompares = { { .mKey = key, .mModRevision = aShare.mModRevision } };
  txn.mPuts = { { .mKey = key, .mValue = EncodeShareRecord(aRecord) } };
  txn.mReads = { { .mKey = key, .mRangeEnd = "" } };
  CallStore(std::move(txn), std::move(call), aOut);
}

void ShareLedger::OnCallFailure(const Call& aCall,
                                bool aMayHaveSucceeded,
                                TimePoint aNow)
{
  ++mCounters.mFailures;
  const std::uint32_t doublings = std::min(mFailures, kMaxBackOffDoublings);
  mBackOffUntil = aNow + Jittered(mOptions.mRetryInterval * (1u << doublings));
  ++mFailures;
  const auto it = mShares.find(aCall.mName);
  if (it == mShares.end()) {
    return;
  }
  Share& share = it->second;
  share.mNextRead = aNow;
  if (!aCall.mIsWrite || !aMayHaveSucceeded) {
    return;
  }
  std::uint32_t minFraction = std::min(aCall.mOldFraction, aCall.mNewFraction);
  if (share.mUnresolvedWrite) {
    minFraction = std::min(minFraction, share.mUnresolvedWrite->mMinFraction);
  }
  share.mUnresolvedWrite =
    UnresolvedWrite{ .mComparedRevision = aCall.mComparedRevision,
                     .mMinFraction = minFraction };
}

void ShareLedger::ApplyRecord(const std::string& aName,
                              Share& aShare,
                              const std::vector<StoreEntry>& aEntries,
                              EffectList& aOut)
{
  ShareRecord record;
  std::int64_t revision = 0;
  if (!aEntries.empty()) {
    auto decoded = DecodeShareRecord(aEntries.front().mValue);
    if (!decoded) {
      // A malformed record must not be built upon; an operator has to repair
      // it.
      aOut.push_back(effect::RecordTimeline{
        .mName = "share_record_malformed",
        .mFields = { { "share", aName },
                     { "error", decoded.error().mMessage } } });
      aShare.mRecord.reset();
      UpdateUsable(aName, aShare, aOut);
      return;
    }
    record = std::move(*decoded);
    revision = aEntries.front().mModRevision;
  }
  // A lost write is resolved once the record has another revision: either it
  // took effect or its comparison can no longer succeed. The entry then shows
  // which.
  if (aShare.mUnresolvedWrite &&
      aShare.mUnresolvedWrite->mComparedRevision != revision) {
    aShare.mUnresolvedWrite.reset();
  }
  const std::uint32_t before = OwnFraction(aShare);
  aShare.mRecord = std::move(record);
  aShare.mModRevision = revision;
  const std::uint32_t after = OwnFraction(aShare);
  if (aShare.mMeanUtilization && before != after && after > 0) {
    // Scale the utilization, since the same demand is another part of the new
    // fraction.
    *aShare.mMeanUtilization *= static_cast<double>(before) / after;
  }
  UpdateUsable(aName, aShare, aOut);
}

void ShareLedger::OnStoreReply(const event::StoreReplied& aReply,
                               TimePoint aNow,
                               EffectList& aOut)
{
  if (!mCall || aReply.mCall.mNumber != mCall->mNumber) {
    return;
  }
  const Call call = *mCall;
  mCall.reset();
  if (!aReply.mReply) {
    const bool isLost =
      aReply.mReply.error().mCode != ResultCode::StoreUnavailable;
    OnCallFailure(call, isLost, aNow);
    return;
  }
  mFailures = 0;
  const auto it = mShares.find(call.mName);
  if (it == mShares.end()) {
    return;
  }
  Share& share = it->second;
  const bool isWritten = call.mIsWrite && aReply.mReply->mSucceeded;
  if (isWritten) {
    share.mConflicts = 0;
    // The record now contains the reduced fraction.
    share.mReduction.reset();
  }
  ApplyRecord(call.mName, share, aReply.mReply->mEntries, aOut);
  if (!share.mRecord) {
    ScheduleReview(share, false, aNow);
    return;
  }
  UpdateDeadHolders(share, aNow);
  if (isWritten) {
    const ShareEntry* own = share.mRecord->Find(mOptions.mSelf);
    ScheduleReview(
      share, own != nullptr && own->mRequestedFraction > own->mFraction, aNow);
    return;
  }
  if (call.mIsWrite) {
    ++mCounters.mConflicts;
    ++share.mConflicts;
    const std::uint32_t doublings =
      std::min(share.mConflicts, kMaxBackOffDoublings);
    share.mNextRead = aNow + Jittered(kConflictBackOff * (1u << doublings));
    return;
  }
  Review(call.mName, share, aNow, aOut);
}

} // namespace cranberrywing
