/// \file
/// Copy of the platform's store that a VM keeps to pass on to other VMs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "cranberrywing/messages/gateway.h"

namespace cranberrywing::gateway {

/// Items and recent removals, each with the store revision of its last change.
/// Not thread-safe; owned by the store follower.
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

  /// Applies a change. Returns false if it or a newer one of its key is known.
  bool Apply(const StoreChange& aChange);
  /// Declares that all changes up to a revision have been applied. Revisions
  /// never go back.
  void SetRevision(std::int64_t aRevision);
  /// Store revision up to which the copy is complete; zero if it is empty.
  std::int64_t GetRevision() const { return mRevision; }

  /// Returns the changes after a revision, or a full copy if not all removals
  /// since then are known. Contains no changes if aRevision is up to date.
  StoreDelta ChangesAfter(std::int64_t aRevision) const;

private:
  void LimitRemovals();

  Options mOptions;
  std::map<std::string, StoreItem> mItems;
  /// Revision of each recent removal, by key.
  std::map<std::string, std::int64_t> mRemovals;
  /// Removals up to this revision may have been forgotten.
  std::int64_t mForgottenRevision = 0;
  std::int64_t mRevision = 0;
};

} // namespace cranberrywing::gateway
