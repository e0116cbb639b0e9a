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
  , mRetryTimer(aContext)
{
}

BlockLoader::~BlockLoader()
{
  *mIsAlive = false;
  mWorker.join();
}

void BlockLoader::Apply(const SettingsSnapshot& aSettings)
{
  if (aSettings.mBlockShards == mShardDigests) {
    return;
  }
  mShardDigests = aSettings.mBlockShards;
  mRetryTimer.cancel();
  ++mLoadNumber;
  mShards.clear();
  if (mShardDigests.empty()) {
    mLoadedShards.clear();
    mOnTable(std::make_shared<const ClientBlockTable>());
    return;
  }
  ReadNext();
}

void BlockLoader::ReadNext()
{
  const auto loaded = mLoadedShards.find(mShardDigests[mShards.size()]);
  if (loaded != mLoadedShards.end()) {
    AddShard(loaded->second);
    return;
  }
  // One shard at a time limits the load on the store, since all VMs read the
  // shards after a change.
  StoreTxn txn;
  txn.mReads.push_back(
    { .mKey = ClientBlockKey(mStorePrefix, mShardDigests[mShards.size()]),
      .mRangeEnd = {},
      .mLimit = 0 });
  mStore.Call(
    StoreCall{
      .mTxn = std::move(txn), .mGrant = {}, .mKeepAlive = {}, .mRevoke = {} },
    [this, alive = mIsAlive, load = mLoadNumber](Result<StoreReply> aReply) {
      if (*alive) {
        OnShard(load, aReply);
      }
    });
}

void BlockLoader::OnShard(std::uint64_t aLoadNumber,
                          const Result<StoreReply>& aReply)
{
  if (aLoadNumber != mLoadNumber) {
    return;
  }
  if (!aReply) {
    RetryLater(aReply.error().mMessage);
    return;
  }
  const ContentDigest& digest = mShardDigests[mShards.size()];
  if (aReply->mEntries.empty() ||
      DigestContent(aReply->mEntries.front().mValue) != digest) {
    RetryLater("client-block shard missing or damaged in the store");
    return;
  }
  AddShard(
    std::make_shared<const std::string>(aReply->mEntries.front().mValue));
}

void BlockLoader::AddShard(ShardBytes aShard)
{
  mShards.push_back(std::move(aShard));
  if (mShards.size() < mShardDigests.size()) {
    ReadNext();
    return;
  }
  Build();
}

void BlockLoader::Build()
{
  boost::asio::post(
    mWorker, [this, alive = mIsAlive, load = mLoadNumber, shards = mShards] {
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
  std::uint64_t aLoadNumber,
  Result<std::shared_ptr<const ClientBlockTable>> aTable)
{
  if (aLoadNumber != mLoadNumber) {
    return;
  }
  if (!aTable) {
    mRecord(
      { "client_blocks_unusable", { { "reason", aTable.error().mMessage } } });
    return;
  }
  mLoadedShards.clear();
  for (std::size_t n = 0; n < mShardDigests.size(); ++n) {
    mLoadedShards[mShardDigests[n]] = mShards[n];
  }
  mRecord({ "client_blocks_loaded",
            { { "blocks", std::to_string((*aTable)->BlockCount()) },
              { "bytes", std::to_string((*aTable)->MemoryBytes()) } } });
  mOnTable(std::move(*aTable));
}

void BlockLoader::RetryLater(const std::string& aReason)
{
  mRecord({ "client_blocks_delayed", { { "reason", aReason } } });
  mRetryTimer.expires_after(kRetryInterval);
  mRetryTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      ++mLoadNumber;
      mShards.clear();
      ReadNext();
    }
  });
}

} // namespace cranberrywing::daemon
