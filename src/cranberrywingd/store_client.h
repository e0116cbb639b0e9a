/// \file
/// HTTP client for the store. Sends calls over persistent connections to one of
/// several store endpoints and switches to the next one after a failure.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Not thread-safe; used only on the event loop's thread.
class StoreClient
{
public:
  using ReplyHandler = std::function<void(Result<StoreReply>)>;

  /// Preconditions: aAddresses is not empty; aMetrics outlives the client.
  StoreClient(boost::asio::io_context& aContext,
              std::vector<netutil::Endpoint> aAddresses,
              DaemonMetrics& aMetrics,
              EventSink aSink);

  /// Sends a call of the core; the reply is delivered as StoreReplied.
  void Execute(const effect::CallStore& aEffect);
  /// Sends a call that does not come from the core, such as a read of the
  /// settings history. aHandler is called exactly once. Errors:
  /// StoreUnavailable if the call had no effect; OutcomeUnknown if a write may
  /// have taken effect.
  void Call(StoreCall aCall, ReplyHandler aHandler);
  /// The endpoint to use next: the current one, or the next one in the list
  /// after a failure.
  const netutil::Endpoint& Preferred() const { return mAddresses[mPreferred]; }
  /// Reports a failure of an endpoint. If it is the preferred one, the next one
  /// in the list becomes preferred.
  void MarkFailed(const netutil::Endpoint& aEndpoint);

private:
  struct Pending
  {
    StoreCall mCall;
    RequestContentPtr mRequest;
    ReplyHandler mHandler;
    TimePoint mStarted{};
    /// Endpoints to which no connection could be opened for this call.
    std::size_t mRefusedConnections = 0;
  };

  void Send(std::shared_ptr<Pending> aPending);
  void OnResult(const std::shared_ptr<Pending>& aPending,
                const netutil::Endpoint& aEndpoint,
                netutil::ExchangeResult aResult);
  void OnFailure(const std::shared_ptr<Pending>& aPending,
                 const netutil::Endpoint& aEndpoint,
                 const netutil::ExchangeFailure& aFailure);

  std::vector<netutil::Endpoint> mAddresses;
  DaemonMetrics& mMetrics;
  EventSink mSink;
  netutil::HttpClientPool mPool;
  std::size_t mPreferred = 0;
};

} // namespace cranberrywing::daemon
