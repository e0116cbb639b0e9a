#include "cranberrywingd/watch_client.h"

namespace cranberrywing::daemon {

namespace {

constexpr std::chrono::seconds kConnectTimeout{ 1 };
/// Wait before a broken watch is opened again. The core falls back to reads
/// after a few seconds of silence, so a longer wait would be of no use.
constexpr Milliseconds kRetryInterval{ 500 };

} // namespace

WatchClient::WatchClient(boost::asio::io_context& aContext,
                         StoreClient& aStore,
                         DaemonMetrics& aMetrics,
                         EventSink aSink)
  : mContext(aContext)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mSink(std::move(aSink))
{
}

WatchClient::~WatchClient()
{
  for (auto& [id, watch] : mWatches) {
    Close(watch);
  }
}

void WatchClient::Carry(const effect::WatchStore& aEffect)
{
  Carry(effect::CancelWatch{ .mWatch = aEffect.mWatch });
  Watch& watch = mWatches[aEffect.mWatch];
  watch.mRequest = aEffect;
  watch.mNextRevision = aEffect.mFromRevision;
  watch.mRetry = std::make_unique<boost::asio::steady_timer>(mContext);
  Open(watch);
}

void WatchClient::Carry(const effect::CancelWatch& aEffect)
{
  const auto it = mWatches.find(aEffect.mWatch);
  if (it == mWatches.end()) {
    return;
  }
  Close(it->second);
  mWatches.erase(it);
}

void WatchClient::Close(Watch& aWatch)
{
  if (aWatch.mStream) {
    aWatch.mStream->Close();
  }
  if (aWatch.mRetry) {
    aWatch.mRetry->cancel();
  }
}

void WatchClient::Open(Watch& aWatch)
{
  ++mMetrics.mStoreCalls;
  const StoreCallId id = aWatch.mRequest.mWatch;
  aWatch.mEndpoint = mStore.Preferred();
  aWatch.mStream = std::make_shared<netutil::HttpLineStream>(
    mContext,
    aWatch.mEndpoint,
    netutil::LineStreamHooks{
      .mOnLine = [this, id](std::string_view aLine) { OnLine(id, aLine); },
      .mOnEnd = [this, id](const std::string&) { OnEnd(id); },
    });
  aWatch.mStream->Start(EncodeWatch(aWatch.mRequest, aWatch.mNextRevision),
                        kConnectTimeout);
}

void WatchClient::OnLine(const StoreCallId& aId, std::string_view aLine)
{
  const auto it = mWatches.find(aId);
  if (it == mWatches.end() || aLine.empty()) {
    return;
  }
  Watch& watch = it->second;
  auto line = DecodeWatchLine(aLine);
  if (!line || line->mIsCanceled) {
    // Changes may have been missed. The core notices the silence and reads.
    watch.mStream->Close();
    return;
  }
  if (line->mIsCreated) {
    // A watch from now on starts after the revision at its creation. One from
    // an earlier revision has yet to tell what came between.
    if (watch.mNextRevision == 0) {
      watch.mNextRevision = line->mStoreRevision + 1;
    }
    return;
  }
  const std::int64_t told =
    line->mEntries.empty() ? line->mStoreRevision : line->mLastChange;
  watch.mNextRevision = std::max(watch.mNextRevision, told + 1);
  mSink(event::StoreWatchFired{
    .mWatch = aId,
    .mEntries = std::move(line->mEntries),
    .mStoreRevision = line->mStoreRevision,
  });
}

void WatchClient::OnEnd(const StoreCallId& aId)
{
  const auto it = mWatches.find(aId);
  if (it == mWatches.end()) {
    return;
  }
  ++mMetrics.mStoreFailures;
  mStore.Avoid(it->second.mEndpoint);
  it->second.mRetry->expires_after(kRetryInterval);
  it->second.mRetry->async_wait([this, aId](boost::system::error_code aError) {
    const auto found = mWatches.find(aId);
    if (!aError && found != mWatches.end()) {
      Open(found->second);
    }
  });
}

} // namespace cranberrywing::daemon
