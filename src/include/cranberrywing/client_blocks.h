/// \file
/// Maps blocks of client addresses to sites (design 3.10). Designed for 1.2
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

/// A range of IPv4 addresses that share a prefix. Addresses are in host byte
/// order.
struct ClientBlock
{
  std::uint32_t mFirstAddress = 0;
  std::uint8_t mPrefixLength = 24;
  /// Index into the sites of the shard or table.
  std::uint16_t mSite = 0;

  bool operator==(const ClientBlock&) const = default;
};

/// Part of the table that is small enough for one value of the store.
struct ClientBlockShard
{
  std::vector<SiteId> mSites;
  /// Sorted by first address, without overlaps.
  std::vector<ClientBlock> mBlocks;
};

/// Encodes a shard compactly. The settings refer to the result by its content
/// digest. Thread-safe.
std::string EncodeShard(const ClientBlockShard& aShard);
/// Decodes and validates a shard. Errors: Malformed for bytes that cannot be
/// decoded, and for blocks that are misaligned, unsorted, overlapping or
/// without a site. Thread-safe.
Result<ClientBlockShard> DecodeShard(std::string_view aBytes);

/// Immutable after construction; safe to read from several threads.
class ClientBlockTable
{
public:
  ClientBlockTable() = default;
  /// Builds a table from shards in order of their addresses. Errors:
  /// InvalidSettings for overlapping or unsorted shards, invalid blocks and too
  /// many sites.
  static Result<ClientBlockTable> Build(
    const std::vector<ClientBlockShard>& aShards);

  /// Site of the block that contains the address (host byte order), or null.
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
