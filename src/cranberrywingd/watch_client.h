/// \file
/// Carries watches of the store. A broken watch is opened again from the
/// revision after the last one that was delivered, so that nothing is missed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>

#include "cranberrywingd/store_client.h"
#include "cranberrywingd/store_codec.h"
#include "netutil/http_line_stream.h"

namespace cranberrywing::daemon {

/// Not thread-safe; belongs to the event loop's thread.
class WatchClient
{
public:
  /// aStore outlives the client; it tells which address to use.
  WatchClient(boost::asio::io_context& aContext,
              StoreClient& aStore,
              DaemonMetrics& aMetrics,
              EventSink aSink);
  ~WatchClient();
  WatchClient(const WatchClient&) = delete;
  WatchClient& operator=(const WatchClient&) = delete;

  void Carry(const effect::WatchStore& aEffect);
  void Carry(const effect::CancelWatch& aEffect);

private:
  struct Watch
  {
    effect::WatchStore mRequest;
    /// First revision that was not delivered; zero if unknown.
    std::int64_t mNextRevision = 0;
    std::shared_ptr<netutil::HttpLineStream> mStream;
    std::unique_ptr<boost::asio::steady_timer> mRetry;
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
