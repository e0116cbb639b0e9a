#include <algorithm>

#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::gateway {

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

} // namespace cranberrywing::gateway
