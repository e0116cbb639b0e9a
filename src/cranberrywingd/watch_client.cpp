#include "cranberrywingd/watch_client.h"

namespace cranberrywing::daemon {

namespace {

constexpr std::chrono::seconds kConnectTimeout{ 1 };
/// Delay before an interrupted watch is reopened. The core falls back to reads
/// after a few seconds without messages, so a longer delay would be useless.
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

void WatchClient::Execute(const effect::WatchStore& aEffect)
{
  Execute(effect::CancelWatch{ .mWatch = aEffect.mWatch });
  Watch& watch = mWatches[aEffect.mWatch];
  watch.mRequest = aEffect;
  watch.mNextRevision = aEffect.mFromRevision;
  watch.mRetryTimer = std::make_unique<boost::asio::steady_timer>(mContext);
  Open(watch);
}

void WatchClient::Execute(const effect::CancelWatch& aEffect)
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
  if (aWatch.mRetryTimer) {
    aWatch.mRetryTimer->cancel();
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
    // Changes may have been missed. The core detects the missing messages and
    // falls back to reads.
    watch.mStream->Close();
    return;
  }
  if (line->mIsCreated) {
    // A watch without a start revision begins after the revision at its
    // creation. A watch from an earlier revision must still deliver the changes
    // between.
    if (watch.mNextRevision == 0) {
      watch.mNextRevision = line->mStoreRevision + 1;
    }
    return;
  }
  const std::int64_t deliveredRevision =
    line->mEntries.empty() ? line->mStoreRevision : line->mLastChange;
  watch.mNextRevision = std::max(watch.mNextRevision, deliveredRevision + 1);
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
  mStore.MarkFailed(it->second.mEndpoint);
  it->second.mRetryTimer->expires_after(kRetryInterval);
  it->second.mRetryTimer->async_wait(
    [this, aId](boost::system::error_code aError) {
      const auto found = mWatches.find(aId);
      if (!aError && found != mWatches.end()) {
        Open(found->second);
      }
    });
}

} // namespace cranberrywing::daemon
