#include "cranberrywingd/block_loader.h"

#include <array>
#include <boost/asio/post.hpp>
#include <cstdio>

namespace cranberrywing::daemon {

namespace {

constexpr std::chrono::seconds kRetryInterval{ 5 };

} // namespace

std::string ClientBlockKey(std::string_view aPrefix,
                           const ContentDigest& aDigest)
{
  std::array<char, 40> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(aDigest.mHigh),
                static_cast<unsigned long long>(aDigest.mLow));
  return std::string(aPrefix) + "blocks/" + digits.data();
}

Result<std::shared_ptr<const ClientBlockTable>> BuildBlockTable(
  const std::vector<std::string>& aShards)
{
  std::vector<ClientBlockShard> shards;
  for (const std::string& bytes : aShards) {
    auto shard = DecodeShard(bytes);
    if (!shard) {
      return tl::unexpected(shard.error());
    }
    shards.push_back(std::move(*shard));
  }
  auto table = ClientBlockTable::Build(shards);
  if (!table) {
    return tl::unexpected(table.error());
  }
  return std::make_shared<const ClientBlockTable>(std::move(*table));
}

BlockLoader::BlockLoader(boost::asio::io_context& aContext,
                         StoreClient& aStore,
                         std::string aStorePrefix,
                         TableHandler aOnTable,
                         Recorder aRecord)
  : mContext(aContext)
  , mStore(aStore)
  , mStorePrefix(std::move(aStorePrefix))
  , mOnTable(std::move(aOnTable))
  , mRecord(std::move(aRecord))
  , mRetry(aContext)
{
}

BlockLoader::~BlockLoader()
{
  *mIsAlive = false;
  mWorker.join();
}

void BlockLoader::Apply(const SettingsSnapshot& aSettings)
{
  if (aSettings.mBlockShards == mWanted) {
    return;
  }
  mWanted = aSettings.mBlockShards;
  mRetry.cancel();
  ++mLoad;
  mShards.clear();
  if (mWanted.empty()) {
    mOnTable(std::make_shared<const ClientBlockTable>());
    return;
  }
  ReadNext();
}

void BlockLoader::ReadNext()
{
  // One shard at a time, since every VM reads them after a change.
  StoreTxn txn;
  txn.mReads.push_back(
    { .mKey = ClientBlockKey(mStorePrefix, mWanted[mShards.size()]),
      .mRangeEnd = {},
      .mLimit = 0 });
  mStore.Call(
    StoreCall{
      .mTxn = std::move(txn), .mGrant = {}, .mKeepAlive = {}, .mRevoke = {} },
    [this, alive = mIsAlive, load = mLoad](Result<StoreReply> aReply) {
      if (*alive) {
        OnShard(load, aReply);
      }
    });
}

void BlockLoader::OnShard(std::uint64_t aLoad, const Result<StoreReply>& aReply)
{
  if (aLoad != mLoad) {
    return;
  }
  if (!aReply) {
    RetryLater(aReply.error().mMessage);
    return;
  }
  const ContentDigest& digest = mWanted[mShards.size()];
  if (aReply->mEntries.empty() ||
      DigestContent(aReply->mEntries.front().mValue) != digest) {
    RetryLater("a shard is missing or damaged in the store");
    return;
  }
  mShards.push_back(aReply->mEntries.front().mValue);
  if (mShards.size() < mWanted.size()) {
    ReadNext();
    return;
  }
  Build();
}

void BlockLoader::Build()
{
  boost::asio::post(
    mWorker,
    [this, alive = mIsAlive, load = mLoad, shards = std::move(mShards)] {
      auto table = BuildBlockTable(shards);
      boost::asio::post(mContext,
                        [this, alive, load, table = std::move(table)] {
                          if (*alive) {
                            OnBuilt(load, table);
                          }
                        });
    });
  mShards.clear();
}

void BlockLoader::OnBuilt(
  std::uint64_t aLoad,
  Result<std::shared_ptr<const ClientBlockTable>> aTable)
{
  if (aLoad != mLoad) {
    return;
  }
  if (!aTable) {
    mRecord(
      { "client_blocks_unusable", { { "reason", aTable.error().mMessage } } });
    return;
  }
  mRecord({ "client_blocks_loaded",
            { { "blocks", std::to_string((*aTable)->BlockCount()) },
              { "bytes", std::to_string((*aTable)->MemoryBytes()) } } });
  mOnTable(std::move(*aTable));
}

void BlockLoader::RetryLater(const std::string& aReason)
{
  mRecord({ "client_blocks_delayed", { { "reason", aReason } } });
  mRetry.expires_after(kRetryInterval);
  mRetry.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      ++mLoad;
      mShards.clear();
      ReadNext();
    }
  });
}

} // namespace cranberrywing::daemon
