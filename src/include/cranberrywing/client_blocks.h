/// \file
/// Maps blocks of client addresses to sites (design 3.10). Built for 1.2
/// million blocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// A run of IPv4 addresses that share a prefix. Host byte order.
struct ClientBlock
{
  std::uint32_t mFirstAddress = 0;
  std::uint8_t mPrefixLength = 24;
  /// Index into the shard's or table's sites.
  std::uint16_t mSite = 0;

  bool operator==(const ClientBlock&) const = default;
};

/// Part of the table, small enough for one value of the store.
struct ClientBlockShard
{
  std::vector<SiteId> mSites;
  /// Sorted by first address, without overlaps.
  std::vector<ClientBlock> mBlocks;
};

/// Compact encoding, named in the settings by its content digest.
/// Thread-safe.
std::string EncodeShard(const ClientBlockShard& aShard);
/// Errors: Malformed. Thread-safe.
Result<ClientBlockShard> DecodeShard(std::string_view aBytes);

/// Immutable after construction, so safe to read from several threads.
class ClientBlockTable
{
public:
  ClientBlockTable() = default;
  /// Errors: InvalidSettings for overlapping or unsorted shards.
  static Result<ClientBlockTable> Build(
    const std::vector<ClientBlockShard>& aShards);

  /// Site of the block that holds the address, or null.
  const SiteId* Find(std::uint32_t aAddress) const;
  std::size_t BlockCount() const;
  std::size_t MemoryBytes() const;

private:
  std::vector<std::uint32_t> mFirst;
  std::vector<std::uint32_t> mLast;
  std::vector<std::uint16_t> mSiteIndex;
  std::vector<SiteId> mSites;
};

} // namespace cranberrywing
