#include "cranberrywing/gateway/store_follower.h"

#include <algorithm>

namespace cranberrywing::gateway {

StoreFollower::StoreFollower(Options aOptions, StoreFollowerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
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
  if (mIsFollowCallPending || aNow < mNextFollowCall) {
    return;
  }
  mIsFollowCallPending = true;
  if (mState == FollowState::Listing) {
    Call(StoreChannel::Follow, store_call::ListPage{ mAfterKey });
  } else {
    // During an outage a watch only serves to detect that the store is back.
    const Milliseconds wait =
      mIsReachable ? mOptions.mWatchWait : Milliseconds(1);
    Call(StoreChannel::Follow, store_call::Watch{ mRevision, wait });
  }
}

void StoreFollower::ContinueLease(TimePoint aNow)
{
  if (mIsLeaseCallPending || aNow < mNextLeaseCall ||
      mOptions.mOwnKey.empty()) {
    return;
  }
  if (!mIsRosterWritten) {
    mLeaseCall = store_call::Put{ mOptions.mRosterKey, mOptions.mOwnValue, 0 };
  } else if (mLease == 0) {
    mLeaseCall = store_call::GrantLease{ mOptions.mLeaseTtl };
  } else if (!mIsOwnWritten) {
    mLeaseCall =
      store_call::Put{ mOptions.mOwnKey, mOptions.mOwnValue, mLease };
  } else {
    mLeaseCall = store_call::RenewLease{ mLease };
  }
  mIsLeaseCallPending = true;
  Call(StoreChannel::Lease, mLeaseCall);
}

void StoreFollower::OnReply(StoreChannel aChannel,
                            const StoreReply& aReply,
                            TimePoint aNow)
{
  if (aChannel == StoreChannel::Follow) {
    mIsFollowCallPending = false;
    OnFollowReply(aReply, aNow);
    ContinueFollow(aNow);
  } else {
    mIsLeaseCallPending = false;
    OnLeaseReply(aReply, aNow);
    ContinueLease(aNow);
  }
}

Duration StoreFollower::NextRetryDelay()
{
  const Duration retry = std::max(mRetryDelay, mOptions.mRetryDelay);
  mRetryDelay = std::min(2 * retry, mOptions.mMaxRetryDelay);
  return retry;
}

void StoreFollower::SetReachable(bool aIsReached, TimePoint aNow)
{
  if (aIsReached == mIsReachable) {
    return;
  }
  mIsReachable = aIsReached;
  if (aIsReached && mHadOutage) {
    mReachableAgainAt = aNow;
  }
  mHadOutage = mHadOutage || !aIsReached;
  mHooks.mOnReachabilityChange(aIsReached);
}

void StoreFollower::OnFollowReply(const StoreReply& aReply, TimePoint aNow)
{
  if (aReply.mStatus == StoreStatus::HistoryCompacted) {
    mState = FollowState::Listing;
    mAfterKey.clear();
    mListedItems.clear();
    mNextFollowCall = aNow;
    return;
  }
  if (aReply.mStatus != StoreStatus::Ok) {
    SetReachable(false, aNow);
    mNextFollowCall = aNow + NextRetryDelay();
    return;
  }
  SetReachable(true, aNow);
  mRetryDelay = Duration::zero();
  mNextFollowCall = aNow;
  if (mState == FollowState::Watching) {
    std::vector<std::string> removed;
    for (const StoreChange& change : aReply.mChanges) {
      if (change.mIsRemoved) {
        removed.push_back(change.mItem.mKey);
      }
    }
    const bool isMassLoss = IsMassLoss(removed);
    for (const StoreChange& change : aReply.mChanges) {
      Apply(change, isMassLoss, aNow);
      mRevision = std::max(mRevision, change.mItem.mRevision);
    }
    mRevision = std::max(mRevision, aReply.mRevision);
    if (!aReply.mChanges.empty()) {
      mNextFollowCall = aNow + mOptions.mBatchDelay;
    }
    return;
  }
  if (mAfterKey.empty()) {
    // Later pages may be newer. Watching from the first page's revision may
    // repeat changes that they contain, but misses none.
    mListRevision = aReply.mRevision;
  }
  for (const StoreItem& item : aReply.mItems) {
    mListedItems[item.mKey] = item;
    mAfterKey = item.mKey;
  }
  if (!aReply.mHasMore || aReply.mItems.empty()) {
    FinishListing(aNow);
  }
}

void StoreFollower::FinishListing(TimePoint aNow)
{
  std::vector<std::string> removed;
  for (const auto& [key, revision] : mDeliveredRevisions) {
    if (!mListedItems.contains(key)) {
      removed.push_back(key);
    }
  }
  const bool isMassLoss = IsMassLoss(removed);
  for (const auto& [key, item] : mListedItems) {
    Apply({ .mItem = item }, false, aNow);
  }
  for (const std::string& key : removed) {
    ApplyRemoval(key, isMassLoss, aNow);
  }
  mRevision = mListRevision;
  mListedItems.clear();
  mAfterKey.clear();
  mState = FollowState::Watching;
  mHooks.mOnListingComplete();
}

bool StoreFollower::IsMassLoss(const std::vector<std::string>& aRemoved) const
{
  const auto leaseBound = static_cast<double>(std::count_if(
    mDeliveredRevisions.begin(),
    mDeliveredRevisions.end(),
    [this](const auto& aEntry) { return mHooks.mIsLeaseBound(aEntry.first); }));
  const auto lost = static_cast<double>(std::count_if(
    aRemoved.begin(), aRemoved.end(), [this](const std::string& aKey) {
      return mHooks.mIsLeaseBound(aKey);
    }));
  return lost >= 3 && lost >= mOptions.mMassLossFraction * leaseBound;
}

void StoreFollower::Apply(const StoreChange& aChange,
                          bool aIsMassLoss,
                          TimePoint aNow)
{
  const StoreItem& item = aChange.mItem;
  if (aChange.mIsRemoved) {
    ApplyRemoval(item.mKey, aIsMassLoss, aNow);
    return;
  }
  mPendingRemovals.erase(item.mKey);
  std::int64_t& known = mDeliveredRevisions[item.mKey];
  if (item.mRevision > known) {
    known = item.mRevision;
    mHooks.mOnChange(aChange);
  }
}

void StoreFollower::ApplyRemoval(const std::string& aKey,
                                 bool aIsMassLoss,
                                 TimePoint aNow)
{
  if (!mDeliveredRevisions.contains(aKey)) {
    return;
  }
  // A few removals are those of servers that left. Many at once are leases that
  // expired during an outage of the store; servers that still run will restore
  // their entries.
  if (mHooks.mIsLeaseBound(aKey) &&
      (aIsMassLoss || !mPendingRemovals.empty())) {
    const bool isRecentlyReachable =
      mHadOutage && aNow - mReachableAgainAt < mOptions.mRestoreTime;
    mPendingRemovals.emplace(aKey,
                             (isRecentlyReachable ? mReachableAgainAt : aNow) +
                               mOptions.mRestoreTime);
    return;
  }
  mDeliveredRevisions.erase(aKey);
  mHooks.mOnChange({ .mItem = { .mKey = aKey }, .mIsRemoved = true });
}

void StoreFollower::ApplyDueRemovals(TimePoint aNow)
{
  for (auto it = mPendingRemovals.begin(); it != mPendingRemovals.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const std::string key = it->first;
    it = mPendingRemovals.erase(it);
    if (mDeliveredRevisions.erase(key) > 0) {
      mHooks.mOnChange({ .mItem = { .mKey = key }, .mIsRemoved = true });
    }
  }
}

void StoreFollower::OnLeaseReply(const StoreReply& aReply, TimePoint aNow)
{
  mNextLeaseCall = aNow;
  if (aReply.mStatus == StoreStatus::NotFound) {
    mLease = 0;
    mIsOwnWritten = false;
    return;
  }
  if (aReply.mStatus != StoreStatus::Ok) {
    mNextLeaseCall = aNow + mOptions.mRetryDelay;
    if (aReply.mStatus == StoreStatus::NoAnswer && mIsReachable) {
      // Replace the watch in progress: it would not detect the outage for
      // seconds, and would not be answered after the outage either.
      SetReachable(false, aNow);
      mIsFollowCallPending = false;
      mNextFollowCall = aNow;
      ContinueFollow(aNow);
    }
    return;
  }
  if (std::holds_alternative<store_call::GrantLease>(mLeaseCall)) {
    mLease = aReply.mLease;
    mIsOwnWritten = false;
  } else if (const auto* const put = std::get_if<store_call::Put>(&mLeaseCall);
             put && put->mLease == 0) {
    mIsRosterWritten = true;
  } else if (put) {
    mIsOwnWritten = put->mValue == mOptions.mOwnValue;
    mNextLeaseCall = mIsOwnWritten ? aNow + mOptions.mRenewInterval : aNow;
  } else {
    mNextLeaseCall = aNow + mOptions.mRenewInterval;
  }
}

void StoreFollower::SetOwnValue(std::string aValue, TimePoint aNow)
{
  mOptions.mOwnValue = std::move(aValue);
  mIsOwnWritten = false;
  mNextLeaseCall = aNow;
  ContinueLease(aNow);
}

void StoreFollower::RevokeLease()
{
  if (mLease != 0) {
    mHooks.mCall(StoreChannel::Lease,
                 store_call::RevokeLease{ mLease },
                 mOptions.mCallTimeout);
    mLease = 0;
  }
}

} // namespace cranberrywing::gateway
