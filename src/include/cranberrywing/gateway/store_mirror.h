/// \file
/// Copy of the platform's store that a VM keeps to pass on to other VMs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "cranberrywing/messages/gateway.h"

namespace cranberrywing::gateway {

/// Items and recent removals of one epoch of the store, each with the revision
/// of its last change. Not thread-safe; owned by the store follower.
class StoreMirror
{
public:
  struct Options
  {
    /// Number of removals that are kept, so that other VMs can catch up without
    /// a full copy.
    std::size_t mMaxRemovals = 2048;
  };

  StoreMirror()
    : StoreMirror(Options{})
  {
  }
  explicit StoreMirror(Options aOptions);

  /// Empties the copy for a new epoch. The items, and removals of earlier
  /// epochs, stay known to RemovedItems until their keys are set again.
  void Restart(std::int64_t aEpoch);
  /// Whether neither the change nor a newer one of its key is known.
  bool IsNews(const StoreChange& aChange) const;
  /// Applies a change. Returns false and does nothing if it is no news.
  bool Apply(const StoreChange& aChange);
  /// Declares that all changes up to a revision have been applied. Revisions
  /// never go back within an epoch.
  void SetRevision(std::int64_t aRevision);
  /// Store position up to which the copy is complete; its revision is zero if
  /// the copy is empty.
  StorePosition GetPosition() const { return { mEpoch, mRevision }; }

  const std::map<std::string, StoreItem>& Items() const { return mItems; }
  /// Returns null if the key is not set.
  const StoreItem* Find(const std::string& aKey) const;
  /// Whether the key was removed in this epoch.
  bool IsRemoved(const std::string& aKey) const;
  /// Last item of a key that was removed recently; null if it is not known.
  const StoreItem* FindRemoved(const std::string& aKey) const;
  /// Keys that were removed recently, with their last items, which have no key
  /// if it is not known.
  std::map<std::string, StoreItem> RemovedItems() const;

  /// Returns the changes after a position, or a full copy if the position is of
  /// another epoch or not all removals since then are known. Contains no
  /// changes if aPosition is up to date.
  StoreDelta ChangesAfter(StorePosition aPosition) const;

private:
  struct Removal
  {
    StorePosition mPosition;
    StoreItem mLastItem;
  };

  void LimitRemovals();

  Options mOptions;
  std::int64_t mEpoch = 0;
  std::map<std::string, StoreItem> mItems;
  /// Recent removals, by key.
  std::map<std::string, Removal> mRemovals;
  /// Removals of this epoch up to this revision may have been forgotten.
  std::int64_t mForgottenRevision = 0;
  std::int64_t mRevision = 0;
};

} // namespace cranberrywing::gateway
