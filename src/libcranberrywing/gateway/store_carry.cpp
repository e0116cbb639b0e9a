#include "cranberrywing/gateway/store_carry.h"

#include <algorithm>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

StoreCarry::StoreCarry(Options aOptions, StoreCarryHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
{
}

bool StoreCarry::IsOlder(const StoreItem& aListed,
                         const StoreItem& aKnown) const
{
  const auto listed = mHooks.mVersion(aListed);
  const auto known = mHooks.mVersion(aKnown);
  return listed && known && *listed < *known;
}

bool StoreCarry::IsNotNewer(const StoreItem& aListed,
                            const StoreItem& aKnown) const
{
  const auto listed = mHooks.mVersion(aListed);
  const auto known = mHooks.mVersion(aKnown);
  if (listed && known) {
    return *listed <= *known;
  }
  // The copy holds a value under the revision that it had before.
  return !listed && !known && aListed.mRevision == aKnown.mRevision;
}

StoreCarry::Entry StoreCarry::MakeEntry(const StoreItem& aItem,
                                        bool aIsRemoved,
                                        TimePoint aNow) const
{
  Entry entry{ .mItem = aItem, .mIsRemoved = aIsRemoved };
  if (!mHooks.mVersion(aItem)) {
    entry.mUntil = aNow + mOptions.mUnversionedTime;
  } else if (aIsRemoved && mHooks.mIsLeaseBound(aItem.mKey)) {
    entry.mUntil = aNow + mOptions.mServerTime;
  }
  return entry;
}

void StoreCarry::OnRestored(const StoreMirror& aMirror,
                            const std::map<std::string, StoreItem>& aListed,
                            TimePoint aNow)
{
  std::map<std::string, StoreItem> known = aMirror.Items();
  std::map<std::string, StoreItem> removed = aMirror.RemovedItems();
  const auto isForeign = [this](const auto& aEntry) {
    return !mHooks.mIsKept(aEntry.first);
  };
  std::erase_if(known, isForeign);
  std::erase_if(removed, isForeign);
  for (const auto& [key, entry] : mEntries) {
    known.erase(key);
    removed.erase(key);
    (entry.mIsRemoved ? removed : known)[key] = entry.mItem;
  }
  // Entries that the copy lacks are kept as removed: late writes may follow.
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aListed.contains(aEntry.first) ||
           !mHooks.mIsLeaseBound(aEntry.first);
  });
  for (auto& [key, entry] : mEntries) {
    entry = MakeEntry(entry.mItem, true, aNow);
  }
  for (const auto& [key, item] : known) {
    const auto listed = aListed.find(key);
    // Servers and VMs that still run write their entries again at once, so that
    // a missing one is handled as after an outage.
    const bool isLost = listed == aListed.end() && !mHooks.mIsLeaseBound(key);
    if (isLost || (listed != aListed.end() && IsOlder(listed->second, item))) {
      mEntries[key] = MakeEntry(item, false, aNow);
    }
  }
  for (const auto& [key, item] : removed) {
    const auto listed = aListed.find(key);
    if (listed != aListed.end() && IsNotNewer(listed->second, item)) {
      mEntries[key] = MakeEntry(item, true, aNow);
    }
  }
}

bool StoreCarry::KeepLater(const StoreItem& aWritten,
                           const StoreMirror& aMirror,
                           TimePoint aNow)
{
  const std::string& key = aWritten.mKey;
  if (!mHooks.mIsKept(key)) {
    return false;
  }
  const StoreItem* known = aMirror.Find(key);
  const bool isRemoved = !known;
  if (isRemoved) {
    known = aMirror.FindRemoved(key);
  }
  if (!known || !IsOlder(aWritten, *known)) {
    return false;
  }
  Entry entry = MakeEntry(*known, isRemoved, aNow);
  if (mHooks.mIsLeaseBound(key)) {
    entry.mUntil = aNow + mOptions.mServerTime;
  }
  mEntries[key] = std::move(entry);
  return true;
}

bool StoreCarry::Accept(const StoreChange& aChange,
                        const StoreMirror& aMirror,
                        TimePoint aNow)
{
  const auto it = mEntries.find(aChange.mItem.mKey);
  if (it == mEntries.end()) {
    return aChange.mIsRemoved || !KeepLater(aChange.mItem, aMirror, aNow);
  }
  Entry& entry = it->second;
  if (aChange.mIsRemoved && mHooks.mIsLeaseBound(aChange.mItem.mKey)) {
    // The mirror's last item of the key is older than the entry, and would let
    // reports between the two through.
    entry = MakeEntry(entry.mItem, true, aNow);
    return true;
  }
  const bool isStale =
    !aChange.mIsRemoved && IsOlder(aChange.mItem, entry.mItem);
  if (!isStale) {
    mEntries.erase(it);
  }
  return !isStale;
}

bool StoreCarry::IsNews(const CarriedEntry& aEntry,
                        const StoreMirror& aMirror) const
{
  const StoreItem& item = aEntry.mChange.mItem;
  const bool isRemoved = aEntry.mChange.mIsRemoved;
  const auto kept = mEntries.find(item.mKey);
  if (kept != mEntries.end()) {
    return IsOlder(kept->second.mItem, item) ||
           (isRemoved && !kept->second.mIsRemoved &&
            !IsOlder(item, kept->second.mItem));
  }
  const StoreItem* const stored = aMirror.Find(item.mKey);
  if (stored) {
    return isRemoved ? IsNotNewer(*stored, item) : IsOlder(*stored, item);
  }
  // A removed key needs no entry, and a removal that this VM has seen since the
  // restore is newer.
  return !isRemoved && !mHooks.mIsLeaseBound(item.mKey) &&
         !aMirror.IsRemoved(item.mKey);
}

std::vector<StoreChange> StoreCarry::Merge(
  const std::vector<CarriedEntry>& aEntries,
  const StoreMirror& aMirror,
  TimePoint aNow)
{
  std::vector<StoreChange> added;
  for (const CarriedEntry& each : aEntries) {
    if (!IsNews(each, aMirror)) {
      continue;
    }
    Entry entry = MakeEntry(each.mChange.mItem, each.mChange.mIsRemoved, aNow);
    if (!entry.mUntil && each.mTimeLeftMs > 0) {
      entry.mUntil = aNow + mOptions.mServerTime;
    }
    if (entry.mUntil) {
      // The time that is left must not grow from VM to VM.
      entry.mUntil =
        std::min(*entry.mUntil, aNow + Milliseconds(each.mTimeLeftMs));
    }
    mEntries[each.mChange.mItem.mKey] = std::move(entry);
    added.push_back(each.mChange);
  }
  return added;
}

void StoreCarry::OnStoreReachable(TimePoint aNow)
{
  for (auto& [key, entry] : mEntries) {
    if (entry.mUntil && mHooks.mIsLeaseBound(key)) {
      entry.mUntil = aNow + mOptions.mServerTime;
    }
  }
}

std::vector<std::string> StoreCarry::TakeExpired(bool aIsStoreReachable,
                                                 TimePoint aNow)
{
  std::vector<std::string> expired;
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const auto& until = aEntry.second.mUntil;
    const bool isOver =
      until && aNow >= *until &&
      (aIsStoreReachable || !mHooks.mIsLeaseBound(aEntry.first));
    if (isOver) {
      expired.push_back(aEntry.first);
    }
    return isOver;
  });
  return expired;
}

bool StoreCarry::Contains(const std::string& aKey) const
{
  return mEntries.contains(aKey);
}

const StoreItem* StoreCarry::Find(const std::string& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it == mEntries.end() || it->second.mIsRemoved ? nullptr
                                                       : &it->second.mItem;
}

std::uint64_t StoreCarry::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [key, entry] : mEntries) {
    digest = HashBytes(key, digest);
    digest = HashBytes(entry.mIsRemoved ? "-" : entry.mItem.mValue, digest);
  }
  return digest;
}

std::vector<CarriedEntry> StoreCarry::ForPeers(TimePoint aNow) const
{
  std::vector<CarriedEntry> entries;
  for (const auto& [key, entry] : mEntries) {
    CarriedEntry carried{ .mChange = { .mItem = entry.mItem,
                                       .mIsRemoved = entry.mIsRemoved } };
    if (entry.mUntil) {
      carried.mTimeLeftMs = static_cast<std::uint32_t>(std::max<std::int64_t>(
        1,
        std::chrono::duration_cast<Milliseconds>(*entry.mUntil - aNow)
          .count()));
    }
    entries.push_back(std::move(carried));
  }
  return entries;
}

} // namespace cranberrywing::gateway
