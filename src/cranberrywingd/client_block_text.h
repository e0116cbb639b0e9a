/// \file
/// Client blocks as operators write them, cut into shards for the store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/client_blocks.h"

namespace cranberrywing::daemon {

/// Most blocks of one shard: about 0.5 MB, which stays below etcd's usual
/// request limit of 1.5 MiB in base64.
inline constexpr std::size_t kMaxShardBlocks = 64 * 1024;

struct EncodedShard
{
  /// Names the shard in the settings and in the store.
  ContentDigest mDigest;
  std::string mBytes;
};

/// Reads lines of the form "10.0.0.0/24 accra"; empty lines and lines that
/// start with '#' are left out. Address ranges are halved until no shard has
/// too many blocks, so that a small change replaces few shards. Errors:
/// InvalidArgument with the line; InvalidSettings for overlapping blocks.
/// Thread-safe.
Result<std::vector<EncodedShard>> EncodeClientBlocks(
  std::string_view aText,
  std::size_t aMaxShardBlocks = kMaxShardBlocks);

/// 32 lower-case hex digits, as in client_blocks/shards. Thread-safe.
std::string DigestText(const ContentDigest& aDigest);

} // namespace cranberrywing::daemon
