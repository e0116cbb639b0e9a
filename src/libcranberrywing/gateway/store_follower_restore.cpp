#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::gateway {

StoreFollower::EpochCheck StoreFollower::CheckEpoch(const StoreReply& aReply,
                                                    TimePoint aNow)
{
  if (!aReply.mEpoch || aReply.mEpoch == mEpoch) {
    return EpochCheck::Known;
  }
  if (!mEpoch) {
    mEpoch = aReply.mEpoch;
    mLeaseCallEpoch = mEpoch;
    mMirror.Restart(*mEpoch);
    return EpochCheck::Known;
  }
  if (*aReply.mEpoch < *mEpoch) {
    return EpochCheck::Outdated;
  }
  mEpoch = aReply.mEpoch;
  ForgetOwnEntries(aNow);
  return EpochCheck::New;
}

bool StoreFollower::IsMirrorOutdated() const
{
  return mEpoch && *mEpoch != mMirror.GetPosition().mEpoch;
}

void StoreFollower::ApplyRestoredListing(std::int64_t aRevision, TimePoint aNow)
{
  const StorePosition before = mMirror.GetPosition();
  mCarried.OnRestored(mMirror, mListedItems, aNow);
  const std::map<std::string, StoreItem> known = mMirror.Items();
  mMirror.Restart(*mEpoch);
  mRevision = 0;
  for (const auto& [key, item] : mListedItems) {
    mMirror.Apply({ .mItem = item });
    if (mCarried.Contains(key)) {
      continue;
    }
    const auto it = known.find(key);
    const bool isUnchanged = it != known.end() &&
                             it->second.mValue == item.mValue &&
                             mDeliveredRevisions.contains(key);
    mPendingRemovals.erase(key);
    mDeliveredRevisions[key] = item.mRevision;
    if (!isUnchanged) {
      mHooks.mOnChange({ .mItem = item });
    }
  }
  std::vector<std::string> missing;
  for (const auto& [key, revision] : mDeliveredRevisions) {
    const bool isKept = mCarried.Contains(key) && !mHooks.mIsLeaseBound(key);
    if (!mListedItems.contains(key) && !isKept) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    ApplyRemoval(key, true, aNow);
  }
  FinishListing(aRevision);
  mHooks.mOnRestored({ .mBefore = before,
                       .mAfter = mMirror.GetPosition(),
                       .mCarried = mCarried.size() });
}

StoreDelta StoreFollower::ChangesAfter(StorePosition aPosition,
                                       TimePoint aNow) const
{
  StoreDelta delta = mMirror.ChangesAfter(aPosition);
  delta.mCarried = mCarried.ForPeers(aNow);
  return delta;
}

void StoreFollower::MergeCarried(const std::vector<CarriedEntry>& aEntries,
                                 TimePoint aNow)
{
  for (const StoreChange& change : mCarried.Merge(aEntries, mMirror, aNow)) {
    Deliver(change);
  }
}

void StoreFollower::ApplyExpiredEntries(TimePoint aNow)
{
  for (const std::string& key : mCarried.TakeExpired(mIsReachable, aNow)) {
    const StoreItem* const item = mMirror.Find(key);
    Deliver(item ? StoreChange{ .mItem = *item }
                 : StoreChange{ .mItem = { .mKey = key }, .mIsRemoved = true });
  }
}

void StoreFollower::Deliver(const StoreChange& aChange)
{
  const std::string& key = aChange.mItem.mKey;
  mPendingRemovals.erase(key);
  if (!aChange.mIsRemoved) {
    mDeliveredRevisions[key] = aChange.mItem.mRevision;
    mHooks.mOnChange(aChange);
  } else if (mDeliveredRevisions.erase(key) > 0) {
    mHooks.mOnChange({ .mItem = { .mKey = key }, .mIsRemoved = true });
  }
}

} // namespace cranberrywing::gateway
