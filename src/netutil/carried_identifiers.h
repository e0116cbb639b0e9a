/// \file
/// The identifiers of the exchanges that a connection has carried.
#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::netutil {

/// A bounded set of identifiers, kept as hashes: one that was not added may be
/// taken for one that was, but not the other way round. Not thread-safe.
class CarriedIdentifiers
{
public:
  /// Maximum number of identifiers; 8 KB for a connection.
  static constexpr std::size_t kMaxIdentifiers = 1024;

  bool Contains(std::string_view aId) const
  {
    return std::find(mHashes.begin(), mHashes.end(), HashBytes(aId)) !=
           mHashes.end();
  }

  /// Precondition: the set is not full.
  void Add(std::string_view aId) { mHashes.push_back(HashBytes(aId)); }
  bool IsFull() const { return mHashes.size() >= kMaxIdentifiers; }

private:
  std::vector<std::uint64_t> mHashes;
};

} // namespace cranberrywing::netutil
