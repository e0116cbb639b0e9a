#include "cranberrywingd/block_loader.h"

#include <boost/asio/post.hpp>

namespace cranberrywing::daemon {

namespace {

constexpr std::chrono::seconds kRetryInterval{ 5 };

} // namespace

Result<std::shared_ptr<const ClientBlockTable>> BuildBlockTable(
  const std::vector<ShardBytes>& aShards)
{
  std::vector<ClientBlockShard> shards;
  for (const ShardBytes& bytes : aShards) {
    auto shard = DecodeShard(*bytes);
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
    mKept.clear();
    mOnTable(std::make_shared<const ClientBlockTable>());
    return;
  }
  ReadNext();
}

void BlockLoader::ReadNext()
{
  const auto kept = mKept.find(mWanted[mShards.size()]);
  if (kept != mKept.end()) {
    TakeShard(kept->second);
    return;
  }
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
  TakeShard(
    std::make_shared<const std::string>(aReply->mEntries.front().mValue));
}

void BlockLoader::TakeShard(ShardBytes aShard)
{
  mShards.push_back(std::move(aShard));
  if (mShards.size() < mWanted.size()) {
    ReadNext();
    return;
  }
  Build();
}

void BlockLoader::Build()
{
  boost::asio::post(
    mWorker, [this, alive = mIsAlive, load = mLoad, shards = mShards] {
      auto table = BuildBlockTable(shards);
      boost::asio::post(mContext,
                        [this, alive, load, table = std::move(table)] {
                          if (*alive) {
                            OnBuilt(load, table);
                          }
                        });
    });
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
  mKept.clear();
  for (std::size_t n = 0; n < mWanted.size(); ++n) {
    mKept[mWanted[n]] = mShards[n];
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
