#include "cranberrywingd/client_block_text.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/network_v4.hpp>
#include <cstdio>
#include <unordered_map>

namespace cranberrywing::daemon {

namespace {

/// A block and the name of its site.
struct NamedBlock
{
  ClientBlock mBlock;
  std::string_view mSite;
};

using Blocks = std::vector<NamedBlock>;

tl::unexpected<Error> LineError(std::size_t aNumber, std::string_view aReason)
{
  return MakeError(ResultCode::InvalidArgument,
                   "line " + std::to_string(aNumber) + ": " +
                     std::string(aReason));
}

Result<NamedBlock> ParseLine(std::string_view aLine, std::size_t aNumber)
{
  const std::size_t space = aLine.find(' ');
  if (space == std::string_view::npos || space + 1 == aLine.size() ||
      aLine.find(' ', space + 1) != std::string_view::npos) {
    return LineError(aNumber,
                     "expected a block and a site, such as: 10.0.0.0/24 accra");
  }
  boost::system::error_code ec;
  const auto network =
    boost::asio::ip::make_network_v4(std::string(aLine.substr(0, space)), ec);
  if (ec) {
    return LineError(aNumber, "the block is not an IPv4 address and prefix");
  }
  if (network.address() != network.network()) {
    return LineError(aNumber, "the address has non-zero bits after the prefix");
  }
  NamedBlock named;
  named.mBlock.mFirstAddress = network.network().to_uint();
  named.mBlock.mPrefixLength =
    static_cast<std::uint8_t>(network.prefix_length());
  named.mSite = aLine.substr(space + 1);
  return named;
}

Result<Blocks> ParseLines(std::string_view aText)
{
  Blocks blocks;
  std::size_t number = 0;
  while (!aText.empty()) {
    ++number;
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    std::string_view line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const auto block = ParseLine(line, number);
    if (!block) {
      return tl::unexpected(block.error());
    }
    blocks.push_back(*block);
  }
  return blocks;
}

/// Encodes the blocks of a range as one shard.
EncodedShard MakeShard(Blocks::const_iterator aFirst,
                       Blocks::const_iterator aLast)
{
  ClientBlockShard shard;
  std::unordered_map<std::string_view, std::uint16_t> sites;
  for (auto it = aFirst; it != aLast; ++it) {
    const auto [site, isNew] = sites.try_emplace(
      it->mSite, static_cast<std::uint16_t>(shard.mSites.size()));
    if (isNew) {
      shard.mSites.emplace_back(it->mSite);
    }
    shard.mBlocks.push_back(it->mBlock);
    shard.mBlocks.back().mSite = site->second;
  }
  std::string bytes = EncodeShard(shard);
  const ContentDigest digest = DigestContent(bytes);
  return { digest, std::move(bytes) };
}

/// Recursively halves the range of 2^aBits addresses from aStart on until each
/// part has at most aMaxBlocks blocks. Precondition: the blocks are sorted by
/// address.
void SplitRange(Blocks::const_iterator aFirst,
                Blocks::const_iterator aLast,
                std::uint64_t aStart,
                int aBits,
                std::size_t aMaxBlocks,
                std::vector<EncodedShard>& aOut)
{
  if (aFirst == aLast) {
    return;
  }
  const auto count = static_cast<std::size_t>(aLast - aFirst);
  if (count <= aMaxBlocks || aBits == 0) {
    aOut.push_back(MakeShard(aFirst, aLast));
    return;
  }
  const std::uint64_t middle = aStart + (1ull << (aBits - 1));
  const auto split =
    std::partition_point(aFirst, aLast, [middle](const NamedBlock& aBlock) {
      return aBlock.mBlock.mFirstAddress < middle;
    });
  SplitRange(aFirst, split, aStart, aBits - 1, aMaxBlocks, aOut);
  SplitRange(split, aLast, middle, aBits - 1, aMaxBlocks, aOut);
}

} // namespace

std::string DigestText(const ContentDigest& aDigest)
{
  std::array<char, 40> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(aDigest.mHigh),
                static_cast<unsigned long long>(aDigest.mLow));
  return digits.data();
}

Result<std::vector<EncodedShard>> EncodeClientBlocks(
  std::string_view aText,
  std::size_t aMaxShardBlocks)
{
  auto blocks = ParseLines(aText);
  if (!blocks) {
    return tl::unexpected(blocks.error());
  }
  std::sort(blocks->begin(),
            blocks->end(),
            [](const NamedBlock& aLeft, const NamedBlock& aRight) {
              return aLeft.mBlock.mFirstAddress < aRight.mBlock.mFirstAddress;
            });
  std::vector<EncodedShard> shards;
  SplitRange(blocks->begin(), blocks->end(), 0, 32, aMaxShardBlocks, shards);
  std::vector<ClientBlockShard> decoded;
  for (const EncodedShard& shard : shards) {
    auto one = DecodeShard(shard.mBytes);
    if (!one) {
      return MakeError(ResultCode::InvalidSettings, one.error().mMessage);
    }
    decoded.push_back(std::move(*one));
  }
  const auto table = ClientBlockTable::Build(decoded);
  if (!table) {
    return tl::unexpected(table.error());
  }
  return shards;
}

} // namespace cranberrywing::daemon
