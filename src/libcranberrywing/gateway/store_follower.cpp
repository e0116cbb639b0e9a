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
  mNextFollow = aNow;
  mNextLease = aNow;
  Tick(aNow);
}

void StoreFollower::Tick(TimePoint aNow)
{
  ReleaseHeld(aNow);
  ContinueFollow(aNow);
  ContinueLease(aNow);
}

void StoreFollower::Call(StoreChannel aLane, const StoreCall& aCall)
{
  Duration timeout =
    mWasLost && !mIsInContact ? mOptions.mLostTimeout : mOptions.mCallTimeout;
  if (const auto* const watch = std::get_if<store_call::Watch>(&aCall)) {
    timeout += watch->mWait;
  }
  mHooks.mCall(aLane, aCall, timeout);
}

void StoreFollower::ContinueFollow(TimePoint aNow)
{
  if (mIsFollowing || aNow < mNextFollow) {
    return;
  }
  mIsFollowing = true;
  if (mState == FollowState::Listing) {
    Call(StoreChannel::Follow, store_call::ListPage{ mAfterKey });
  } else {
    // While the store is out of reach, a watch only has to show its return.
    const Milliseconds wait =
      mIsInContact ? mOptions.mWatchWait : Milliseconds(1);
    Call(StoreChannel::Follow, store_call::Watch{ mRevision, wait });
  }
}

void StoreFollower::ContinueLease(TimePoint aNow)
{
  if (mIsLeaseCalling || aNow < mNextLease || mOptions.mOwnKey.empty()) {
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
  mIsLeaseCalling = true;
  Call(StoreChannel::Lease, mLeaseCall);
}

void StoreFollower::OnReply(StoreChannel aLane,
                            const StoreReply& aReply,
                            TimePoint aNow)
{
  if (aLane == StoreChannel::Follow) {
    mIsFollowing = false;
    OnFollowReply(aReply, aNow);
    ContinueFollow(aNow);
  } else {
    mIsLeaseCalling = false;
    OnLeaseReply(aReply, aNow);
    ContinueLease(aNow);
  }
}

Duration StoreFollower::NextRetry()
{
  const Duration retry = std::max(mRetry, mOptions.mRetry);
  mRetry = std::min(2 * retry, mOptions.mLongestRetry);
  return retry;
}

void StoreFollower::NoteContact(bool aIsReached, TimePoint aNow)
{
  if (aIsReached == mIsInContact) {
    return;
  }
  mIsInContact = aIsReached;
  if (aIsReached && mWasLost) {
    mRegainedAt = aNow;
  }
  mWasLost = mWasLost || !aIsReached;
  mHooks.mOnReachabilityChange(aIsReached);
}

void StoreFollower::OnFollowReply(const StoreReply& aReply, TimePoint aNow)
{
  if (aReply.mStatus == StoreStatus::HistoryCompacted) {
    mState = FollowState::Listing;
    mAfterKey.clear();
    mListed.clear();
    mNextFollow = aNow;
    return;
  }
  if (aReply.mStatus != StoreStatus::Ok) {
    NoteContact(false, aNow);
    mNextFollow = aNow + NextRetry();
    return;
  }
  NoteContact(true, aNow);
  mRetry = Duration::zero();
  mNextFollow = aNow;
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
      mNextFollow = aNow + mOptions.mGather;
    }
    return;
  }
  if (mAfterKey.empty()) {
    // Later pages may be newer; the watch repeats what they already hold.
    mListRevision = aReply.mRevision;
  }
  for (const StoreItem& item : aReply.mItems) {
    mListed[item.mKey] = item;
    mAfterKey = item.mKey;
  }
  if (!aReply.mHasMore || aReply.mItems.empty()) {
    FinishListing(aNow);
  }
}

void StoreFollower::FinishListing(TimePoint aNow)
{
  std::vector<std::string> removed;
  for (const auto& [key, revision] : mKnown) {
    if (!mListed.contains(key)) {
      removed.push_back(key);
    }
  }
  const bool isMassLoss = IsMassLoss(removed);
  for (const auto& [key, item] : mListed) {
    Apply({ .mItem = item }, false, aNow);
  }
  for (const std::string& key : removed) {
    ApplyRemoval(key, isMassLoss, aNow);
  }
  mRevision = mListRevision;
  mListed.clear();
  mAfterKey.clear();
  mState = FollowState::Watching;
  mHooks.mOnListingComplete();
}

bool StoreFollower::IsMassLoss(const std::vector<std::string>& aRemoved) const
{
  const auto perishable = static_cast<double>(
    std::count_if(mKnown.begin(), mKnown.end(), [this](const auto& aEntry) {
      return mHooks.mIsPerishable(aEntry.first);
    }));
  const auto lost = static_cast<double>(std::count_if(
    aRemoved.begin(), aRemoved.end(), [this](const std::string& aKey) {
      return mHooks.mIsPerishable(aKey);
    }));
  return lost >= 3 && lost >= mOptions.mMassLoss * perishable;
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
  mHeld.erase(item.mKey);
  std::int64_t& known = mKnown[item.mKey];
  if (item.mRevision > known) {
    known = item.mRevision;
    mHooks.mOnChange(aChange);
  }
}

void StoreFollower::ApplyRemoval(const std::string& aKey,
                                 bool aIsMassLoss,
                                 TimePoint aNow)
{
  if (!mKnown.contains(aKey)) {
    return;
  }
  // A few entries that vanish are those of servers that left. Many at once
  // lapsed because the store was away, and will be back if they still hold.
  if (mHooks.mIsPerishable(aKey) && (aIsMassLoss || !mHeld.empty())) {
    const bool isReturning =
      mWasLost && aNow - mRegainedAt < mOptions.mReturnTime;
    mHeld.emplace(aKey,
                  (isReturning ? mRegainedAt : aNow) + mOptions.mReturnTime);
    return;
  }
  mKnown.erase(aKey);
  mHooks.mOnChange({ .mItem = { .mKey = aKey }, .mIsRemoved = true });
}

void StoreFollower::ReleaseHeld(TimePoint aNow)
{
  for (auto it = mHeld.begin(); it != mHeld.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const std::string key = it->first;
    it = mHeld.erase(it);
    if (mKnown.erase(key) > 0) {
      mHooks.mOnChange({ .mItem = { .mKey = key }, .mIsRemoved = true });
    }
  }
}

void StoreFollower::OnLeaseReply(const StoreReply& aReply, TimePoint aNow)
{
  mNextLease = aNow;
  if (aReply.mStatus == StoreStatus::NotFound) {
    mLease = 0;
    mIsOwnWritten = false;
    return;
  }
  if (aReply.mStatus != StoreStatus::Ok) {
    mNextLease = aNow + mOptions.mRetry;
    if (aReply.mStatus == StoreStatus::NoAnswer && mIsInContact) {
      // A waiting watch would not show for seconds that the store is silent,
      // and would not be answered after its return either.
      NoteContact(false, aNow);
      mIsFollowing = false;
      mNextFollow = aNow;
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
    mNextLease = mIsOwnWritten ? aNow + mOptions.mKeepInterval : aNow;
  } else {
    mNextLease = aNow + mOptions.mKeepInterval;
  }
}

void StoreFollower::SetOwnValue(std::string aValue, TimePoint aNow)
{
  mOptions.mOwnValue = std::move(aValue);
  mIsOwnWritten = false;
  mNextLease = aNow;
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
