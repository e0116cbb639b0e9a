/// \file
/// Carries store calls over persistent HTTP connections to one of several
/// store addresses.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Not thread-safe; belongs to the event loop's thread.
class StoreClient
{
public:
  using ReplyHandler = std::function<void(Result<StoreReply>)>;

  /// Precondition: aAddresses is not empty. aMetrics outlives the client.
  StoreClient(boost::asio::io_context& aContext,
              std::vector<netutil::Endpoint> aAddresses,
              DaemonMetrics& aMetrics,
              EventSink aSink);

  void Carry(const effect::CallStore& aEffect);
  /// A call of the driver itself, as for reading history.
  void Call(StoreCall aCall, ReplyHandler aHandler);
  /// The address that answered last, or the next one after a failure.
  const netutil::Endpoint& Preferred() const { return mAddresses[mPreferred]; }
  /// The address has failed: prefers the next one.
  void Avoid(const netutil::Endpoint& aEndpoint);

private:
  struct Pending
  {
    StoreCall mCall;
    RequestContentPtr mRequest;
    ReplyHandler mHandler;
    TimePoint mStarted{};
    /// Addresses that refused a connection for this call.
    std::size_t mRefused = 0;
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
