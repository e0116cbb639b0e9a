/// \file
/// Uploads client blocks from operators' text to the store, split into shards.
#pragma once

#include <boost/asio/thread_pool.hpp>
#include <memory>

#include "cranberrywingd/client_block_text.h"
#include "cranberrywingd/store_client.h"

namespace cranberrywing::daemon {

/// Store key of the shard with the given digest. Thread-safe.
std::string ClientBlockKey(std::string_view aPrefix,
                           const ContentDigest& aDigest);

/// Not thread-safe; used only on the event loop's thread. Parsing 1.2 million
/// lines takes a large part of a second and therefore runs on a worker thread,
/// which accesses only the text passed to it.
class BlockUploader
{
public:
  using Handler = std::function<void(Result<std::vector<ContentDigest>>)>;

  /// Precondition: aStore outlives the uploader.
  BlockUploader(boost::asio::io_context& aContext,
                StoreClient& aStore,
                std::string aStorePrefix);
  ~BlockUploader();
  BlockUploader(const BlockUploader&) = delete;
  BlockUploader& operator=(const BlockUploader&) = delete;

  /// Parses the text and writes the shards to the store. aHandler receives the
  /// shards' digests once all of them are stored. VMs use the shards only after
  /// the settings refer to them. Errors: InvalidArgument, InvalidSettings, or
  /// the store's error.
  void Start(std::string aText, Handler aHandler);

private:
  struct Upload
  {
    std::vector<EncodedShard> mShards;
    std::size_t mWritten = 0;
    /// Consecutive failed writes of the current shard.
    std::size_t mFailures = 0;
    Handler mHandler;
  };

  void WriteNext(const std::shared_ptr<Upload>& aUpload);
  void OnWritten(const std::shared_ptr<Upload>& aUpload,
                 const Result<StoreReply>& aReply);

  boost::asio::io_context& mContext;
  StoreClient& mStore;
  std::string mStorePrefix;
  boost::asio::thread_pool mWorker{ 1 };
  /// Cleared by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::daemon
