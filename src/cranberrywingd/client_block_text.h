/// \file
/// Parses the text form of client blocks and splits the blocks into shards for
/// the store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/client_blocks.h"

namespace cranberrywing::daemon {

/// Maximum blocks per shard: about 0.5 MB, which stays below etcd's default
/// request limit of 1.5 MiB after base64 encoding.
inline constexpr std::size_t kMaxShardBlocks = 64 * 1024;

struct EncodedShard
{
  /// Identifies the shard in the settings and in the store.
  ContentDigest mDigest;
  std::string mBytes;
};

/// Parses lines of the form "10.0.0.0/24 accra"; empty lines and lines that
/// start with '#' are ignored. The address space is halved recursively until no
/// shard has more than aMaxShardBlocks blocks, so that a small change replaces
/// few shards. Errors: InvalidArgument with the line number; InvalidSettings
/// for overlapping blocks. Thread-safe.
Result<std::vector<EncodedShard>> EncodeClientBlocks(
  std::string_view aText,
  std::size_t aMaxShardBlocks = kMaxShardBlocks);

/// The digest as 32 lower-case hex digits, as in the setting
/// client_blocks/shards. Thread-safe.
std::string DigestText(const ContentDigest& aDigest);

} // namespace cranberrywing::daemon
