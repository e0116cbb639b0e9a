/// \file
/// Pool of persistent HTTP connections to several servers.
#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

/// Reuses idle connections per server; each connection carries one exchange at
/// a time, and each identifier once (see ResponseIdentity).
///
/// Not thread-safe; use it only from the thread that runs the event loop.
class HttpClientPool
{
public:
  struct Options
  {
    HttpClientOptions mClient;
    /// Maximum number of idle connections kept per server.
    std::size_t mMaxIdlePerServer = 512;
    /// Idle time after which a connection is closed. It is below the keep-alive
    /// timeout of common servers, so that the server rarely closes first.
    Duration mIdleTimeout = std::chrono::seconds(30);
  };

  HttpClientPool(boost::asio::io_context& aContext, Options aOptions);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Runs one exchange on an idle connection or a new one. Calls aHandler
  /// exactly once, never from within this call, unless the returned connection
  /// is closed first. See HttpClientConnection::Start.
  HttpClientConnectionPtr Start(const Endpoint& aEndpoint,
                                RequestContentPtr aRequest,
                                std::vector<Header> aExtraHeaders,
                                Duration aTimeout,
                                ExchangeHandler aHandler,
                                ResponseIdentity aIdentity = {});

  /// Number of connections created since the pool was constructed.
  std::uint64_t OpenedCount() const { return mOpened; }
  /// Number of exchanges for which a connection was opened although there were
  /// idle ones, because none of those may carry them.
  std::uint64_t PassedOverCount() const { return mPassedOver; }
  /// Closes all idle connections to a server.
  void CloseIdle(const Endpoint& aEndpoint);
  /// Returns the number of idle connections to a server.
  std::size_t IdleCount(const Endpoint& aEndpoint) const;

private:
  struct IdleConnection
  {
    HttpClientConnectionPtr mConnection;
    std::chrono::steady_clock::time_point mIdleSince;
  };

  /// Returns the last used of the idle connections that may carry the exchange,
  /// or a new one in place of one that may not.
  HttpClientConnectionPtr AcquireConnection(const Endpoint& aEndpoint,
                                            const RequestContent& aRequest,
                                            const ResponseIdentity& aIdentity);
  /// Makes the connection idle, or closes it if it cannot be reused.
  void ReleaseConnection(const HttpClientConnectionPtr& aConnection);
  void CloseExpiredConnections();

  boost::asio::io_context& mContext;
  Options mOptions;
  std::uint64_t mOpened = 0;
  std::uint64_t mPassedOver = 0;
  boost::asio::steady_timer mSweepTimer;
  std::map<Endpoint, std::vector<IdleConnection>> mIdle;
  /// Set to false by the destructor; lets handlers that run later check whether
  /// the pool still exists.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::netutil
