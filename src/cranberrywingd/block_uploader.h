/// \file
/// Writes client blocks, as operators send them, to the store as shards.
#pragma once

#include <boost/asio/thread_pool.hpp>
#include <memory>

#include "cranberrywingd/client_block_text.h"
#include "cranberrywingd/store_client.h"

namespace cranberrywing::daemon {

/// Key of a shard in the store. Thread-safe.
std::string ClientBlockKey(std::string_view aPrefix,
                           const ContentDigest& aDigest);

/// Not thread-safe; belongs to the event loop's thread. Reading 1.2 million
/// lines takes a good part of a second and happens on a worker thread, which
/// touches nothing but the text that it was given.
class BlockUploader
{
public:
  using Handler = std::function<void(Result<std::vector<ContentDigest>>)>;

  BlockUploader(boost::asio::io_context& aContext,
                StoreClient& aStore,
                std::string aStorePrefix);
  ~BlockUploader();
  BlockUploader(const BlockUploader&) = delete;
  BlockUploader& operator=(const BlockUploader&) = delete;

  /// Gives the digests of the shards once all of them are in the store. They
  /// are used once the settings name them.
  void Start(std::string aText, Handler aHandler);

private:
  struct Upload
  {
    std::vector<EncodedShard> mShards;
    std::size_t mWritten = 0;
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
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::daemon
