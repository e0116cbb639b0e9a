/// \file
/// Keeps what VMs know while the platform's store holds an older state: a later
/// configuration, a server that has left or drains, a change of an evacuation.
/// Otherwise the older state would come into force again until its writer has
/// written anew. The store holds an older state after it was restored from a
/// copy, and after it has carried out a write late, when its writer had written
/// again.
///
/// Revisions are the order in which the store carried writes out, and are given
/// out again after a restore. Values of the same key are therefore compared by
/// the order that their writer gives them (WriterVersion), or else, after a
/// restore, by whether they were written since.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/gateway/store_mirror.h"
#include "cranberrywing/messages/gateway.h"

namespace cranberrywing::gateway {

/// Order of the values that a writer gives to a key, independent of the store.
struct WriterVersion
{
  /// Version or start time of the writer.
  std::int64_t mMajor = 0;
  /// Count of the writer's changes.
  std::int64_t mMinor = 0;

  auto operator<=>(const WriterVersion&) const = default;
};

struct StoreCarryHooks
{
  /// Whether entries of the key are kept. Others follow the store.
  std::function<bool(const std::string&)> mIsKept;
  /// Returns the writer's version of an item; nullopt if its key has none or
  /// the value cannot be read. An item without one is never taken as older than
  /// another.
  std::function<std::optional<WriterVersion>(const StoreItem&)> mVersion;
  /// As StoreFollowerHooks::mIsLeaseBound.
  std::function<bool(const std::string&)> mIsLeaseBound;
};

/// Not thread-safe; owned by the store follower.
class StoreCarry
{
public:
  struct Options
  {
    /// Time for which an entry is kept whose values have no versions. Writers
    /// write again within seconds what the copy lacks; what is still missing
    /// then was changed by someone who did not know of the loss.
    Duration mUnversionedTime = std::chrono::seconds(10);
    /// Time for which a lease-bound entry is kept as removed, or as it was
    /// before a late write. A server that has left has ended by then, one that
    /// runs has written again, and the platform removes entries of servers that
    /// are silent for seconds, so that an older entry which is still there is
    /// what its writer stands by. Counted while the store is reachable.
    Duration mServerTime = std::chrono::seconds(30);
  };

  StoreCarry(Options aOptions, StoreCarryHooks aHooks);

  /// Compares a restored store's listing with what was known before, and keeps
  /// what the listing does not hold. aMirror is the copy before the restore.
  void OnRestored(const StoreMirror& aMirror,
                  const std::map<std::string, StoreItem>& aListed,
                  TimePoint aNow);
  /// Handles a change that was made in the store. Returns false if an entry
  /// that is newer by its writer's order stays in force: a kept one, or that of
  /// aMirror, which is then kept. aMirror is the copy before the change, and
  /// does not know the change yet.
  bool Accept(const StoreChange& aChange,
              const StoreMirror& aMirror,
              TimePoint aNow);
  /// Adds entries that another VM keeps and that are newer than aMirror.
  /// Returns those that were added.
  std::vector<StoreChange> Merge(const std::vector<CarriedEntry>& aEntries,
                                 const StoreMirror& aMirror,
                                 TimePoint aNow);
  /// Removes entries whose time is over and returns their keys, for which the
  /// store's state comes into force. Lease-bound entries stay while the store
  /// is not reachable, since their writers cannot write again.
  std::vector<std::string> TakeExpired(bool aIsStoreReachable, TimePoint aNow);
  /// Gives the writers of lease-bound entries their full time after an outage
  /// of the store.
  void OnStoreReachable(TimePoint aNow);

  bool Contains(const std::string& aKey) const;
  std::size_t size() const { return mEntries.size(); }
  /// Value in force of a key that is kept; null if it is not kept, or kept as
  /// removed.
  const StoreItem* Find(const std::string& aKey) const;
  /// Digest of the kept entries; zero if there are none.
  std::uint64_t Digest() const;
  std::vector<CarriedEntry> ForPeers(TimePoint aNow) const;

private:
  struct Entry
  {
    /// With the last value if the key is kept as removed.
    StoreItem mItem;
    bool mIsRemoved = false;
    /// Time at which the entry is given up; nullopt for never.
    std::optional<TimePoint> mUntil;
  };

  /// Whether the listed item was written before aKnown.
  bool IsOlder(const StoreItem& aListed, const StoreItem& aKnown) const;
  /// Whether the listed item is aKnown, or was written before it.
  bool IsNotNewer(const StoreItem& aListed, const StoreItem& aKnown) const;
  Entry MakeEntry(const StoreItem& aItem,
                  bool aIsRemoved,
                  TimePoint aNow) const;
  /// Keeps the state of aMirror if it is newer than what was written; false if
  /// it is not.
  bool KeepLater(const StoreItem& aWritten,
                 const StoreMirror& aMirror,
                 TimePoint aNow);
  /// Whether the entry tells something newer than aMirror and mEntries do.
  bool IsNews(const CarriedEntry& aEntry, const StoreMirror& aMirror) const;

  Options mOptions;
  StoreCarryHooks mHooks;
  std::map<std::string, Entry> mEntries;
};

} // namespace cranberrywing::gateway
