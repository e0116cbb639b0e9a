#include "cranberrywing/gateway/store_mirror.h"

#include <algorithm>

namespace cranberrywing::gateway {

StoreMirror::StoreMirror(Options aOptions)
  : mOptions(aOptions)
{
}

void StoreMirror::Restart(std::int64_t aEpoch)
{
  for (auto& [key, item] : mItems) {
    mRemovals[key] = { { mEpoch, item.mRevision }, std::move(item) };
  }
  mEpoch = aEpoch;
  mItems.clear();
  LimitRemovals();
  mRevision = 0;
  mForgottenRevision = 0;
}

bool StoreMirror::IsNews(const StoreChange& aChange) const
{
  const StoreItem& item = aChange.mItem;
  const StoreItem* const known = Find(item.mKey);
  if (known && known->mRevision >= item.mRevision) {
    return false;
  }
  const auto removed = mRemovals.find(item.mKey);
  return removed == mRemovals.end() ||
         removed->second.mPosition < StorePosition{ mEpoch, item.mRevision };
}

bool StoreMirror::Apply(const StoreChange& aChange)
{
  if (!IsNews(aChange)) {
    return false;
  }
  const StoreItem& item = aChange.mItem;
  if (!aChange.mIsRemoved) {
    mRemovals.erase(item.mKey);
    mItems[item.mKey] = item;
    return true;
  }
  Removal& removal = mRemovals[item.mKey];
  removal.mPosition = { mEpoch, item.mRevision };
  const auto known = mItems.find(item.mKey);
  if (known != mItems.end()) {
    removal.mLastItem = std::move(known->second);
    mItems.erase(known);
  }
  LimitRemovals();
  return true;
}

void StoreMirror::LimitRemovals()
{
  while (mRemovals.size() > mOptions.mMaxRemovals) {
    const auto oldest = std::min_element(
      mRemovals.begin(),
      mRemovals.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mPosition < aRight.second.mPosition;
      });
    const StorePosition& position = oldest->second.mPosition;
    if (position.mEpoch == mEpoch) {
      mForgottenRevision = std::max(mForgottenRevision, position.mRevision);
    }
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

const StoreItem* StoreMirror::Find(const std::string& aKey) const
{
  const auto it = mItems.find(aKey);
  return it == mItems.end() ? nullptr : &it->second;
}

bool StoreMirror::IsRemoved(const std::string& aKey) const
{
  const auto it = mRemovals.find(aKey);
  return it != mRemovals.end() && it->second.mPosition.mEpoch == mEpoch;
}

const StoreItem* StoreMirror::FindRemoved(const std::string& aKey) const
{
  const auto it = mRemovals.find(aKey);
  const bool isKnown =
    it != mRemovals.end() && !it->second.mLastItem.mKey.empty();
  return isKnown ? &it->second.mLastItem : nullptr;
}

std::map<std::string, StoreItem> StoreMirror::RemovedItems() const
{
  std::map<std::string, StoreItem> items;
  for (const auto& [key, removal] : mRemovals) {
    items[key] = removal.mLastItem;
  }
  return items;
}

StoreDelta StoreMirror::ChangesAfter(StorePosition aPosition) const
{
  StoreDelta delta{ .mEpoch = mEpoch,
                    .mAfterRevision = aPosition.mRevision,
                    .mRevision = mRevision };
  if (aPosition.mEpoch != mEpoch || aPosition.mRevision < mForgottenRevision) {
    delta.mAfterRevision = 0;
    for (const auto& [key, item] : mItems) {
      delta.mChanges.push_back({ .mItem = item });
    }
    return delta;
  }
  for (const auto& [key, item] : mItems) {
    if (item.mRevision > aPosition.mRevision) {
      delta.mChanges.push_back({ .mItem = item });
    }
  }
  for (const auto& [key, removal] : mRemovals) {
    const StorePosition& position = removal.mPosition;
    if (position.mEpoch == mEpoch && position.mRevision > aPosition.mRevision) {
      delta.mChanges.push_back(
        { .mItem = { .mKey = key, .mRevision = position.mRevision },
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
