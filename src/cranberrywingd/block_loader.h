/// \file
/// Loads the client-block table that the settings refer to: reads the shards
/// from the store and builds the table on a worker thread.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <map>
#include <memory>
#include <vector>

#include "cranberrywing/client_blocks.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywingd/block_uploader.h"
#include "cranberrywingd/timeline.h"

namespace cranberrywing::daemon {

/// An encoded shard, shared between the loader and its worker.
using ShardBytes = std::shared_ptr<const std::string>;

/// Decodes shards and builds a lookup table from them. Errors: Malformed,
/// InvalidSettings. Thread-safe.
Result<std::shared_ptr<const ClientBlockTable>> BuildBlockTable(
  const std::vector<ShardBytes>& aShards);

/// Not thread-safe; used only on the event loop's thread. The worker thread
/// accesses only the shards passed to it.
class BlockLoader
{
public:
  using TableHandler =
    std::function<void(std::shared_ptr<const ClientBlockTable>)>;
  using Recorder = std::function<void(effect::RecordTimeline)>;

  /// Precondition: aStore outlives the loader.
  BlockLoader(boost::asio::io_context& aContext,
              StoreClient& aStore,
              std::string aStorePrefix,
              TableHandler aOnTable,
              Recorder aRecord);
  ~BlockLoader();
  BlockLoader(const BlockLoader&) = delete;
  BlockLoader& operator=(const BlockLoader&) = delete;

  /// Starts to load the shards that the settings refer to, if they have
  /// changed. The table handler is called when the new table is ready; failed
  /// reads are retried.
  void Apply(const SettingsSnapshot& aSettings);

private:
  void ReadNext();
  void AddShard(ShardBytes aShard);
  void OnShard(std::uint64_t aLoadNumber, const Result<StoreReply>& aReply);
  void Build();
  void OnBuilt(std::uint64_t aLoadNumber,
               Result<std::shared_ptr<const ClientBlockTable>> aTable);
  void RetryLater(const std::string& aReason);

  boost::asio::io_context& mContext;
  StoreClient& mStore;
  std::string mStorePrefix;
  TableHandler mOnTable;
  Recorder mRecord;
  boost::asio::steady_timer mRetryTimer;
  boost::asio::thread_pool mWorker{ 1 };
  /// Digests of the shards to load, as in the settings.
  std::vector<ContentDigest> mShardDigests;
  /// Shards read so far, in the order of mShardDigests.
  std::vector<ShardBytes> mShards;
  /// Shards of the table in use. Shards that a change leaves as they are need
  /// not be read again.
  std::map<ContentDigest, ShardBytes> mLoadedShards;
  /// Number of the current load; replies to earlier loads are ignored.
  std::uint64_t mLoadNumber = 0;
  /// Cleared by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::daemon
