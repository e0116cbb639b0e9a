#include "cranberrywing/gateway/store_mirror.h"

#include <algorithm>

namespace cranberrywing::gateway {

StoreMirror::StoreMirror(Options aOptions)
  : mOptions(aOptions)
{
}

bool StoreMirror::Apply(const StoreChange& aChange)
{
  const StoreItem& item = aChange.mItem;
  const auto known = mItems.find(item.mKey);
  if (known != mItems.end() && known->second.mRevision >= item.mRevision) {
    return false;
  }
  const auto removed = mRemovals.find(item.mKey);
  if (removed != mRemovals.end()) {
    if (removed->second >= item.mRevision) {
      return false;
    }
    mRemovals.erase(removed);
  }
  if (!aChange.mIsRemoved) {
    mItems[item.mKey] = item;
    return true;
  }
  mItems.erase(item.mKey);
  mRemovals[item.mKey] = item.mRevision;
  LimitRemovals();
  return true;
}

void StoreMirror::LimitRemovals()
{
  while (mRemovals.size() > mOptions.mMaxRemovals) {
    const auto oldest =
      std::min_element(mRemovals.begin(),
                       mRemovals.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    mForgottenRevision = std::max(mForgottenRevision, oldest->second);
    mRemovals.erase(oldest);
  }
}

void StoreMirror::SetRevision(std::int64_t aRevision)
{
  if (mRevision == 0) {
    // Removals before the first listing are not known.
    mForgottenRevision = std::max(mForgottenRevision, aRevision);
  }
  mRevision = std::max(mRevision, aRevision);
}

StoreDelta StoreMirror::ChangesAfter(std::int64_t aRevision) const
{
  StoreDelta delta{ .mAfterRevision = aRevision, .mRevision = mRevision };
  if (aRevision < mForgottenRevision) {
    delta.mAfterRevision = 0;
    for (const auto& [key, item] : mItems) {
      delta.mChanges.push_back({ .mItem = item });
    }
    return delta;
  }
  for (const auto& [key, item] : mItems) {
    if (item.mRevision > aRevision) {
      delta.mChanges.push_back({ .mItem = item });
    }
  }
  for (const auto& [key, revision] : mRemovals) {
    if (revision > aRevision) {
      delta.mChanges.push_back(
        { .mItem = { .mKey = key, .mRevision = revision },
          .mIsRemoved = true });
    }
  }
  std::sort(delta.mChanges.begin(),
            delta.mChanges.end(),
            [](const StoreChange& aLeft, const StoreChange& aRight) {
              return aLeft.mItem.mRevision < aRight.mItem.mRevision;
            });
  return delta;
}

} // namespace cranberrywing::gateway
