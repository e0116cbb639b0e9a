/// \file
/// Streams changes of watched store keys. An interrupted watch is reopened at
/// the revision after the last one delivered, so that no change is missed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>

#include "cranberrywingd/store_client.h"
#include "cranberrywingd/store_codec.h"
#include "netutil/http_line_stream.h"

namespace cranberrywing::daemon {

/// Not thread-safe; used only on the event loop's thread.
class WatchClient
{
public:
  /// Preconditions: aStore and aMetrics outlive the client. aStore selects the
  /// endpoint to use.
  WatchClient(boost::asio::io_context& aContext,
              StoreClient& aStore,
              DaemonMetrics& aMetrics,
              EventSink aSink);
  ~WatchClient();
  WatchClient(const WatchClient&) = delete;
  WatchClient& operator=(const WatchClient&) = delete;

  /// Opens a watch, replacing any watch with the same identifier. Changes are
  /// delivered as StoreWatchFired.
  void Execute(const effect::WatchStore& aEffect);
  /// Closes a watch.
  void Execute(const effect::CancelWatch& aEffect);

private:
  struct Watch
  {
    effect::WatchStore mRequest;
    /// First revision not delivered yet; zero if unknown.
    std::int64_t mNextRevision = 0;
    std::shared_ptr<netutil::HttpLineStream> mStream;
    std::unique_ptr<boost::asio::steady_timer> mRetryTimer;
    netutil::Endpoint mEndpoint;
  };

  void Open(Watch& aWatch);
  void OnLine(const StoreCallId& aId, std::string_view aLine);
  void OnEnd(const StoreCallId& aId);
  void Close(Watch& aWatch);

  boost::asio::io_context& mContext;
  StoreClient& mStore;
  DaemonMetrics& mMetrics;
  EventSink mSink;
  std::map<StoreCallId, Watch> mWatches;
};

} // namespace cranberrywing::daemon
