#include <algorithm>

#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::gateway {

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
  mLeaseCallEpoch = mEpoch;
  Call(StoreChannel::Lease, mLeaseCall);
}

void StoreFollower::OnLeaseReply(const StoreReply& aReply, TimePoint aNow)
{
  mNextLeaseCall = aNow;
  if (aReply.mStatus == StoreStatus::NotFound) {
    mLease = 0;
    mIsOwnWritten = false;
    return;
  }
  mHasLeaseCallFailed = aReply.mStatus != StoreStatus::Ok;
  if (mHasLeaseCallFailed) {
    mNextLeaseCall =
      aNow + AddJitter(mIsReachable && mFollowing == StoreFollowing::Eager
                         ? mOptions.mRetryDelay
                         : mOptions.mLeaseRetryDelay);
    if (aReply.mStatus == StoreStatus::NoAnswer && mIsReachable) {
      // Replace the watch in progress: it would not detect the outage for
      // seconds, and would not be answered after the outage either.
      SetReachable(false, aNow);
      ReplaceFollowCall(aNow);
    }
    return;
  }
  if (mFollowing == StoreFollowing::Off) {
    SetReachable(true, aNow);
  }
  const Duration renewInterval = mFollowing == StoreFollowing::Off
                                   ? mOptions.mRenewInterval
                                   : mOptions.mFollowingRenewInterval;
  if (std::holds_alternative<store_call::GrantLease>(mLeaseCall)) {
    mLease = aReply.mLease;
    mIsOwnWritten = false;
  } else if (const auto* const put = std::get_if<store_call::Put>(&mLeaseCall);
             put && put->mLease == 0) {
    mIsRosterWritten = true;
  } else if (put) {
    mIsOwnWritten = put->mValue == mOptions.mOwnValue;
    mOwnRevision = aReply.mWrittenRevision;
  }
  if (mIsOwnWritten) {
    mNextLeaseCall = aNow + renewInterval;
  }
}

void StoreFollower::RestoreOwnEntry(const StoreChange& aChange, TimePoint aNow)
{
  const StoreItem& item = aChange.mItem;
  const bool isOwnWrite = item.mRevision <= mOwnRevision;
  const bool isUnchanged =
    !aChange.mIsRemoved && item.mValue == mOptions.mOwnValue;
  if (item.mKey != mOptions.mOwnKey || !mIsOwnWritten || isOwnWrite ||
      isUnchanged) {
    return;
  }
  mIsOwnWritten = false;
  mNextLeaseCall = aNow;
  mHooks.mOnOutdatedWrite(item);
  ContinueLease(aNow);
}

void StoreFollower::ForgetOwnEntries(TimePoint aNow)
{
  // The lease's number may have been given to another VM since the restore.
  mLease = 0;
  mIsOwnWritten = false;
  mIsRosterWritten = false;
  mHasLeaseCallFailed = false;
  mNextLeaseCall = aNow + Duration(std::uniform_int_distribution<Duration::rep>(
                            0, mOptions.mRewriteTime.count())(mRandom));
}

void StoreFollower::HastenLeaseCall(TimePoint aNow)
{
  if (mHasLeaseCallFailed && !mIsLeaseCallPending) {
    mNextLeaseCall =
      std::min(mNextLeaseCall, aNow + AddJitter(mOptions.mRetryDelay));
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
