/// \file
/// Loads the client-block table that the settings name: shards from the
/// store, the table on a worker thread.
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

/// Decodes shards and builds the table. Errors: Malformed, InvalidSettings.
/// Thread-safe.
Result<std::shared_ptr<const ClientBlockTable>> BuildBlockTable(
  const std::vector<ShardBytes>& aShards);

/// Not thread-safe; belongs to the event loop's thread. The worker thread
/// touches nothing but the shards that it was given.
class BlockLoader
{
public:
  using TableHandler =
    std::function<void(std::shared_ptr<const ClientBlockTable>)>;
  using Recorder = std::function<void(effect::RecordTimeline)>;

  BlockLoader(boost::asio::io_context& aContext,
              StoreClient& aStore,
              std::string aStorePrefix,
              TableHandler aOnTable,
              Recorder aRecord);
  ~BlockLoader();
  BlockLoader(const BlockLoader&) = delete;
  BlockLoader& operator=(const BlockLoader&) = delete;

  /// Loads the shards if they differ from those loaded before.
  void Apply(const SettingsSnapshot& aSettings);

private:
  void ReadNext();
  void TakeShard(ShardBytes aShard);
  void OnShard(std::uint64_t aLoad, const Result<StoreReply>& aReply);
  void Build();
  void OnBuilt(std::uint64_t aLoad,
               Result<std::shared_ptr<const ClientBlockTable>> aTable);
  void RetryLater(const std::string& aReason);

  boost::asio::io_context& mContext;
  StoreClient& mStore;
  std::string mStorePrefix;
  TableHandler mOnTable;
  Recorder mRecord;
  boost::asio::steady_timer mRetry;
  boost::asio::thread_pool mWorker{ 1 };
  std::vector<ContentDigest> mWanted;
  /// Shards read so far, in the order of mWanted.
  std::vector<ShardBytes> mShards;
  /// Shards of the table in use, so that a change reads only those that it
  /// replaced.
  std::map<ContentDigest, ShardBytes> mKept;
  /// Distinguishes replies of an earlier load.
  std::uint64_t mLoad = 0;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::daemon
