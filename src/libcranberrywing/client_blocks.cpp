#include "cranberrywing/client_blocks.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <limits>
#include <sstream>
#include <unordered_map>

#include "bounded_archive.h"

namespace cranberrywing {

namespace {

constexpr std::uint16_t kShardVersion = 1;
constexpr std::uint8_t kAddressBits = 32;

std::uint32_t LastAddress(const ClientBlock& aBlock)
{
  const std::uint64_t size = 1ull << (kAddressBits - aBlock.mPrefixLength);
  return static_cast<std::uint32_t>(aBlock.mFirstAddress + size - 1);
}

bool IsAligned(const ClientBlock& aBlock)
{
  const std::uint64_t size = 1ull << (kAddressBits - aBlock.mPrefixLength);
  return aBlock.mFirstAddress % size == 0;
}

/// Validates the properties of a shard on which Build and Find rely.
Result<void> CheckShard(const ClientBlockShard& aShard)
{
  std::int64_t last = -1;
  for (const ClientBlock& block : aShard.mBlocks) {
    if (block.mPrefixLength > kAddressBits || !IsAligned(block)) {
      return MakeError(
        ResultCode::Malformed,
        "client block has an invalid prefix length or is not aligned to it");
    }
    if (block.mSite >= aShard.mSites.size()) {
      return MakeError(
        ResultCode::Malformed,
        "client block has a site index that the shard does not contain");
    }
    if (static_cast<std::int64_t>(block.mFirstAddress) <= last) {
      return MakeError(ResultCode::Malformed,
                       "client blocks overlap or are out of order");
    }
    last = LastAddress(block);
  }
  return {};
}

} // namespace

template<class Archive>
void serialize(Archive& aArchive, ClientBlock& aBlock)
{
  aArchive(aBlock.mFirstAddress, aBlock.mPrefixLength, aBlock.mSite);
}

std::string EncodeShard(const ClientBlockShard& aShard)
{
  std::ostringstream buf;
  {
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(kShardVersion, aShard.mSites, aShard.mBlocks);
  }
  return std::move(buf).str();
}

Result<ClientBlockShard> DecodeShard(std::string_view aBytes)
{
  try {
    BoundedInputArchive archive(aBytes);
    std::uint16_t version = 0;
    archive(version);
    if (version != kShardVersion) {
      return MakeError(ResultCode::Malformed,
                       "client block shard has an unsupported version");
    }
    ClientBlockShard shard;
    archive(shard.mSites, shard.mBlocks);
    if (auto checked = CheckShard(shard); !checked) {
      return tl::unexpected(checked.error());
    }
    return shard;
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("client block shard cannot be decoded: ") +
                       e.what());
  }
}

Result<ClientBlockTable> ClientBlockTable::Build(
  const std::vector<ClientBlockShard>& aShards)
{
  ClientBlockTable table;
  std::unordered_map<SiteId, std::uint16_t> siteIndex;
  std::size_t count = 0;
  for (const ClientBlockShard& shard : aShards) {
    count += shard.mBlocks.size();
  }
  table.mFirst.reserve(count);
  table.mLast.reserve(count);
  table.mSiteIndex.reserve(count);
  for (const ClientBlockShard& shard : aShards) {
    std::vector<std::uint16_t> translated;
    for (const SiteId& site : shard.mSites) {
      const auto [it, isNew] = siteIndex.try_emplace(
        site, static_cast<std::uint16_t>(table.mSites.size()));
      if (isNew) {
        table.mSites.push_back(site);
      }
      translated.push_back(it->second);
    }
    for (const ClientBlock& block : shard.mBlocks) {
      if (block.mPrefixLength > kAddressBits ||
          block.mSite >= translated.size()) {
        return MakeError(
          ResultCode::InvalidSettings,
          "client block has an invalid prefix length or site index");
      }
      if (!table.mLast.empty() && block.mFirstAddress <= table.mLast.back()) {
        return MakeError(ResultCode::InvalidSettings,
                         "client block shards overlap or are out of order");
      }
      table.mFirst.push_back(block.mFirstAddress);
      table.mLast.push_back(LastAddress(block));
      table.mSiteIndex.push_back(translated[block.mSite]);
    }
  }
  if (table.mSites.size() > std::numeric_limits<std::uint16_t>::max()) {
    return MakeError(ResultCode::InvalidSettings,
                     "client block shards have more than 65535 sites");
  }
  return table;
}

const SiteId* ClientBlockTable::Find(std::uint32_t aAddress) const
{
  const auto next = std::upper_bound(mFirst.begin(), mFirst.end(), aAddress);
  if (next == mFirst.begin()) {
    return nullptr;
  }
  const auto n = static_cast<std::size_t>(next - mFirst.begin()) - 1;
  return aAddress <= mLast[n] ? &mSites[mSiteIndex[n]] : nullptr;
}

std::size_t ClientBlockTable::BlockCount() const
{
  return mFirst.size();
}

std::size_t ClientBlockTable::MemoryBytes() const
{
  std::size_t bytes = mFirst.capacity() * sizeof(mFirst[0]) +
                      mLast.capacity() * sizeof(mLast[0]) +
                      mSiteIndex.capacity() * sizeof(mSiteIndex[0]);
  for (const SiteId& site : mSites) {
    bytes += sizeof(SiteId) + site.mName.capacity();
  }
  return bytes;
}

} // namespace cranberrywing
