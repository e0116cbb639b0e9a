/// \file
/// The names of the exchanges that a connection has carried.
#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::netutil {

/// A bounded set of names, kept as hashes: a name that was not added may be
/// taken for one that was, but not the other way round. Not thread-safe.
class ExchangeNames
{
public:
  /// Maximum number of names; 8 KB for a connection.
  static constexpr std::size_t kMaxNames = 1024;

  bool Contains(std::string_view aName) const
  {
    return std::find(mHashes.begin(), mHashes.end(), HashBytes(aName)) !=
           mHashes.end();
  }

  /// Precondition: the set is not full.
  void Add(std::string_view aName) { mHashes.push_back(HashBytes(aName)); }
  bool IsFull() const { return mHashes.size() >= kMaxNames; }

private:
  std::vector<std::uint64_t> mHashes;
};

} // namespace cranberrywing::netutil
