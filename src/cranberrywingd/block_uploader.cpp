#include "cranberrywingd/block_uploader.h"

#include <boost/asio/post.hpp>

namespace cranberrywing::daemon {

namespace {

/// Failed writes of one shard that are retried. Retries are safe, since a shard
/// is stored under the digest of its content.
constexpr std::size_t kMaxFailures = 3;

} // namespace

std::string ClientBlockKey(std::string_view aPrefix,
                           const ContentDigest& aDigest)
{
  return std::string(aPrefix) + "blocks/" + DigestText(aDigest);
}

BlockUploader::BlockUploader(boost::asio::io_context& aContext,
                             StoreClient& aStore,
                             std::string aStorePrefix)
  : mContext(aContext)
  , mStore(aStore)
  , mStorePrefix(std::move(aStorePrefix))
{
}

BlockUploader::~BlockUploader()
{
  *mIsAlive = false;
  mWorker.join();
}

void BlockUploader::Start(std::string aText, Handler aHandler)
{
  const auto upload = std::make_shared<Upload>();
  upload->mHandler = std::move(aHandler);
  boost::asio::post(
    mWorker,
    [this, alive = mIsAlive, upload, text = std::move(aText)]() mutable {
      auto shards = std::make_shared<Result<std::vector<EncodedShard>>>(
        EncodeClientBlocks(text));
      boost::asio::post(mContext, [this, alive, upload, shards] {
        if (!*alive) {
          return;
        }
        if (!*shards) {
          upload->mHandler(tl::unexpected(shards->error()));
          return;
        }
        upload->mShards = std::move(**shards);
        WriteNext(upload);
      });
    });
}

void BlockUploader::WriteNext(const std::shared_ptr<Upload>& aUpload)
{
  if (aUpload->mWritten == aUpload->mShards.size()) {
    std::vector<ContentDigest> digests;
    for (const EncodedShard& shard : aUpload->mShards) {
      digests.push_back(shard.mDigest);
    }
    aUpload->mHandler(std::move(digests));
    return;
  }
  const EncodedShard& shard = aUpload->mShards[aUpload->mWritten];
  const std::string key = ClientBlockKey(mStorePrefix, shard.mDigest);
  StoreCall call;
  call.mTxn.emplace();
  // Revision 0: the shard is written only if the store does not have it yet.
  call.mTxn->mCompares.push_back({ key, 0 });
  call.mTxn->mPuts.push_back({ key, shard.mBytes, LeaseId::None });
  mStore.Call(
    std::move(call),
    [this, alive = mIsAlive, aUpload](const Result<StoreReply>& aReply) {
      if (*alive) {
        OnWritten(aUpload, aReply);
      }
    });
}

void BlockUploader::OnWritten(const std::shared_ptr<Upload>& aUpload,
                              const Result<StoreReply>& aReply)
{
  if (aReply) {
    ++aUpload->mWritten;
    aUpload->mFailures = 0;
  } else if (++aUpload->mFailures > kMaxFailures) {
    aUpload->mHandler(tl::unexpected(aReply.error()));
    return;
  }
  WriteNext(aUpload);
}

} // namespace cranberrywing::daemon
