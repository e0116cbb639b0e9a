#include "cranberrywing/gateway/store_follower.h"

#include <algorithm>
#include <utility>

namespace cranberrywing::gateway {

StoreFollower::StoreFollower(Options aOptions, StoreFollowerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
  , mCarried(mOptions.mCarry,
             StoreCarryHooks{ .mIsKept = mHooks.mIsKept,
                              .mVersion = mHooks.mVersion,
                              .mIsLeaseBound = mHooks.mIsLeaseBound })
{
}

void StoreFollower::Start(TimePoint aNow)
{
  mNextFollowCall = aNow;
  mNextLeaseCall = aNow;
  Tick(aNow);
}

void StoreFollower::Tick(TimePoint aNow)
{
  ApplyDueRemovals(aNow);
  ApplyExpiredEntries(aNow);
  ContinueFollow(aNow);
  ContinueLease(aNow);
}

void StoreFollower::Call(StoreChannel aChannel, const StoreCall& aCall)
{
  Duration timeout = mHadOutage && !mIsReachable ? mOptions.mOutageCallTimeout
                                                 : mOptions.mCallTimeout;
  if (const auto* const watch = std::get_if<store_call::Watch>(&aCall)) {
    timeout += watch->mWait;
  }
  mHooks.mCall(aChannel, aCall, timeout);
}

void StoreFollower::ContinueFollow(TimePoint aNow)
{
  const bool isWanted = mState == FollowState::Listing ||
                        mFollowing != StoreFollowing::Off || mReadsOnce;
  if (!isWanted || mIsFollowCallPending || aNow < mNextFollowCall) {
    return;
  }
  mIsFollowCallPending = true;
  mFollowCallState = mState;
  mFollowCallEpoch = mMirror.GetPosition().mEpoch;
  if (mState == FollowState::Listing) {
    mFollowCallWait = Milliseconds::zero();
    Call(StoreChannel::Follow, store_call::ListPage{ mAfterKey });
  } else {
    mFollowCallWait = WatchWait(aNow);
    mReadsOnce = false;
    Call(StoreChannel::Follow, store_call::Watch{ mRevision, mFollowCallWait });
  }
}

Milliseconds StoreFollower::WatchWait(TimePoint aNow) const
{
  constexpr Milliseconds kNoWait{ 1 };
  // During an outage a watch only serves to detect that the store is back.
  if (!mIsReachable || mReadsOnce) {
    return kNoWait;
  }
  return mIsConfirming
           ? std::clamp(std::chrono::duration_cast<Milliseconds>(
                          mConfirmedAt + mOptions.mConfirmInterval - aNow),
                        kNoWait,
                        mOptions.mConfirmInterval)
           : mOptions.mWatchWait;
}

void StoreFollower::ReplaceFollowCall(TimePoint aNow)
{
  mIsFollowCallPending = false;
  mNextFollowCall = aNow;
  ContinueFollow(aNow);
}

void StoreFollower::OnReply(StoreChannel aChannel,
                            const StoreReply& aReply,
                            TimePoint aNow)
{
  const EpochCheck epoch = CheckEpoch(aReply, aNow);
  if (aChannel == StoreChannel::Lease) {
    mIsLeaseCallPending = false;
    if (epoch == EpochCheck::New &&
        (mState == FollowState::Listing || mFollowing != StoreFollowing::Off)) {
      // A watch in progress may wait for a revision of the epoch before.
      StartListing(aNow);
      ReplaceFollowCall(aNow);
    } else if (epoch == EpochCheck::Known && mLeaseCallEpoch == mEpoch) {
      OnLeaseReply(aReply, aNow);
    }
    ContinueLease(aNow);
    return;
  }
  mIsFollowCallPending = false;
  if (epoch == EpochCheck::New ||
      (mState == FollowState::Watching && IsMirrorOutdated())) {
    StartListing(aNow);
  } else if (epoch == EpochCheck::Outdated) {
    mNextFollowCall = aNow + NextRetryDelay();
  } else if (mFollowCallState != mState ||
             (mState == FollowState::Watching &&
              mFollowCallEpoch != mMirror.GetPosition().mEpoch)) {
    // Another VM's copy completed the listing, or began the epoch, meanwhile.
    mNextFollowCall = aNow;
  } else {
    OnFollowReply(aReply, aNow);
  }
  ContinueFollow(aNow);
}

Duration StoreFollower::AddJitter(Duration aDelay)
{
  return aDelay + Duration(std::uniform_int_distribution<Duration::rep>(
                    0, aDelay.count() / 2)(mRandom));
}

Duration StoreFollower::NextRetryDelay()
{
  if (mState == FollowState::Watching && mFollowing != StoreFollowing::Eager) {
    return AddJitter(mOptions.mPatientRetryDelay);
  }
  const Duration retry = std::max(mRetryDelay, mOptions.mRetryDelay);
  mRetryDelay = std::min(2 * retry, mOptions.mMaxRetryDelay);
  return AddJitter(retry);
}

void StoreFollower::SetFollowing(StoreFollowing aFollowing, TimePoint aNow)
{
  if (aFollowing == mFollowing) {
    return;
  }
  const bool wasOff = mFollowing == StoreFollowing::Off;
  mFollowing = aFollowing;
  if (mFollowing == StoreFollowing::Eager || wasOff) {
    mNextFollowCall = std::min(mNextFollowCall, aNow);
    mRetryDelay = Duration::zero();
    if (mNextLeaseCall > aNow + mOptions.mFollowingRenewInterval) {
      mNextLeaseCall = aNow + mOptions.mFollowingRenewInterval;
    }
  }
  ContinueFollow(aNow);
}

void StoreFollower::SetConfirming(bool aIsConfirming, TimePoint aNow)
{
  mIsConfirming = aIsConfirming;
  if (mIsConfirming && mIsFollowCallPending &&
      mFollowCallWait > mOptions.mConfirmInterval) {
    ReplaceFollowCall(aNow);
  }
}

void StoreFollower::ReadOnce(TimePoint aNow)
{
  mReadsOnce = mFollowing == StoreFollowing::Off;
  mNextFollowCall = aNow;
  ContinueFollow(aNow);
}

std::optional<TimePoint> StoreFollower::ConfirmedAt() const
{
  const bool isFollowing =
    mState == FollowState::Watching && mFollowing != StoreFollowing::Off;
  return isFollowing && mIsReachable ? std::optional(mConfirmedAt)
                                     : std::nullopt;
}

void StoreFollower::SetReachable(bool aIsReached, TimePoint aNow)
{
  if (aIsReached == mIsReachable) {
    return;
  }
  mIsReachable = aIsReached;
  if (aIsReached && mHadOutage) {
    mReachableAgainAt = aNow;
    mCarried.OnStoreReachable(aNow);
  }
  mHadOutage = mHadOutage || !aIsReached;
  mHooks.mOnReachabilityChange(aIsReached);
}

void StoreFollower::StartListing(TimePoint aNow)
{
  mState = FollowState::Listing;
  mAfterKey.clear();
  mListedItems.clear();
  mNextFollowCall = aNow;
}

void StoreFollower::OnFollowReply(const StoreReply& aReply, TimePoint aNow)
{
  if (aReply.mStatus == StoreStatus::HistoryCompacted) {
    StartListing(aNow);
    return;
  }
  if (aReply.mStatus == StoreStatus::TooLarge &&
      mState == FollowState::Watching) {
    // The changes since then are more than the items, and would only grow.
    SetReachable(true, aNow);
    StartListing(aNow);
    return;
  }
  if (aReply.mStatus != StoreStatus::Ok) {
    SetReachable(false, aNow);
    mNextFollowCall = aNow + NextRetryDelay();
    return;
  }
  SetReachable(true, aNow);
  HastenLeaseCall(aNow);
  mRetryDelay = Duration::zero();
  mNextFollowCall = aNow;
  if (mState == FollowState::Watching) {
    mConfirmedAt = aNow;
    ApplyChanges(aReply.mChanges, aNow);
    mRevision = std::max(mRevision, aReply.mRevision);
    mMirror.SetRevision(mRevision);
    if (!aReply.mChanges.empty()) {
      mNextFollowCall = aNow + mOptions.mBatchDelay;
    }
    return;
  }
  if (mAfterKey.empty()) {
    // Later pages may be newer. Watching from the first page's revision may
    // repeat changes that they contain, but misses none.
    mListRevision = aReply.mRevision;
    mConfirmedAt = aNow;
  }
  for (const StoreItem& item : aReply.mItems) {
    mListedItems[item.mKey] = item;
    mAfterKey = item.mKey;
  }
  if (!aReply.mHasMore || aReply.mItems.empty()) {
    ApplyListing(mListRevision, aNow);
  }
}

void StoreFollower::ApplyChanges(const std::vector<StoreChange>& aChanges,
                                 TimePoint aNow)
{
  std::vector<std::string> removed;
  for (const StoreChange& change : aChanges) {
    if (change.mIsRemoved) {
      removed.push_back(change.mItem.mKey);
    }
  }
  const bool isMassLoss = IsMassLoss(removed);
  for (const StoreChange& change : aChanges) {
    Apply(change, isMassLoss, aNow);
  }
  DeliverChangedKeys();
}

void StoreFollower::DeliverChangedKeys()
{
  for (const std::string& key : std::exchange(mChangedKeys, {})) {
    const StoreItem* const item =
      mCarried.Contains(key) ? mCarried.Find(key) : mMirror.Find(key);
    if (item) {
      mHooks.mOnChange({ .mItem = *item });
    }
  }
}

void StoreFollower::ApplyListing(std::int64_t aRevision, TimePoint aNow)
{
  if (IsMirrorOutdated()) {
    ApplyRestoredListing(aRevision, aNow);
    return;
  }
  std::vector<std::string> removed;
  for (const auto& [key, item] : mMirror.Items()) {
    // An item that is newer than the listing may have been added after it.
    if (!mListedItems.contains(key) && item.mRevision < aRevision) {
      removed.push_back(key);
    }
  }
  const bool isMassLoss = IsMassLoss(removed);
  for (const auto& [key, item] : mListedItems) {
    Apply({ .mItem = item }, false, aNow);
  }
  for (const std::string& key : removed) {
    Apply(
      { .mItem = { .mKey = key, .mRevision = aRevision }, .mIsRemoved = true },
      isMassLoss,
      aNow);
  }
  DeliverChangedKeys();
  FinishListing(aRevision);
}

void StoreFollower::FinishListing(std::int64_t aRevision)
{
  mRevision = std::max(mRevision, aRevision);
  mMirror.SetRevision(mRevision);
  mListedItems.clear();
  mAfterKey.clear();
  mState = FollowState::Watching;
  mHooks.mOnListingComplete();
}

void StoreFollower::OnDelta(const StoreDelta& aDelta, TimePoint aNow)
{
  const bool isFullCopy = aDelta.mAfterRevision == 0;
  const StorePosition position{ aDelta.mEpoch, aDelta.mRevision };
  const bool isListing = mState == FollowState::Listing;
  const bool isOlder =
    position < mMirror.GetPosition() || (mEpoch && aDelta.mEpoch < *mEpoch);
  const bool isNewEpoch = aDelta.mEpoch != mMirror.GetPosition().mEpoch;
  if (isOlder || aDelta.mRevision <= 0 ||
      (!isFullCopy &&
       (isListing || isNewEpoch || aDelta.mAfterRevision > mRevision))) {
    return;
  }
  if (!isFullCopy) {
    ApplyChanges(aDelta.mChanges, aNow);
    mRevision = std::max(mRevision, aDelta.mRevision);
    mMirror.SetRevision(mRevision);
    MergeCarried(aDelta.mCarried, aNow);
    return;
  }
  if (mMirror.GetPosition().mRevision == 0) {
    mMirror.Restart(aDelta.mEpoch);
  }
  if (mEpoch && aDelta.mEpoch > *mEpoch) {
    ForgetOwnEntries(aNow);
  }
  mEpoch = aDelta.mEpoch;
  mListedItems.clear();
  for (const StoreChange& change : aDelta.mChanges) {
    if (!change.mIsRemoved) {
      mListedItems[change.mItem.mKey] = change.mItem;
    }
  }
  ApplyListing(aDelta.mRevision, aNow);
  MergeCarried(aDelta.mCarried, aNow);
}

void StoreFollower::Apply(const StoreChange& aChange,
                          bool aIsMassLoss,
                          TimePoint aNow)
{
  const StoreItem& item = aChange.mItem;
  // Changes from the store and from other VMs may overlap.
  if (!mMirror.IsNews(aChange)) {
    return;
  }
  const bool isInForce = mCarried.Accept(aChange, mMirror, aNow);
  mMirror.Apply(aChange);
  RestoreOwnEntry(aChange, aNow);
  if (!isInForce) {
    mHooks.mOnOutdatedWrite(item);
    return;
  }
  if (aChange.mIsRemoved) {
    ApplyRemoval(item.mKey, aIsMassLoss, aNow);
    return;
  }
  mPendingRemovals.erase(item.mKey);
  mDeliveredRevisions[item.mKey] = item.mRevision;
  if (mHooks.mIsLeaseBound(item.mKey)) {
    mHooks.mOnChange(aChange);
  } else {
    // Of several configurations only the last one has to be read.
    mChangedKeys.insert(item.mKey);
  }
}

} // namespace cranberrywing::gateway
