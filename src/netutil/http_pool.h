/// \file
/// Keep-alive connections to several servers, each used by one exchange at a
/// time.
#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

/// Not thread-safe; belongs to the event loop's thread.
class HttpClientPool
{
public:
  struct Options
  {
    HttpClientOptions mClient;
    /// Idle connections kept per server.
    std::size_t mMaxIdlePerServer = 512;
    /// Idle time after which a connection is closed; below the keep-alive
    /// time of usual servers, so that the server seldom closes first.
    Duration mIdleTimeout = std::chrono::seconds(30);
  };

  HttpClientPool(boost::asio::io_context& aContext, Options aOptions);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Runs one exchange on an idle connection or a new one. The handler is
  /// called once, never from inside this call, unless the connection that is
  /// returned gets closed before.
  HttpClientConnectionPtr Start(const Endpoint& aEndpoint,
                                RequestContentPtr aRequest,
                                std::vector<Header> aExtraHeaders,
                                Duration aTimeout,
                                ExchangeHandler aHandler,
                                ResponseFilter aFilter = {});

  /// Connections opened since the start.
  std::uint64_t OpenedCount() const { return mOpened; }
  /// Closes the idle connections to a server.
  void CloseIdle(const Endpoint& aEndpoint);
  std::size_t IdleCount(const Endpoint& aEndpoint) const;

private:
  struct Idle
  {
    HttpClientConnectionPtr mConnection;
    std::chrono::steady_clock::time_point mSince;
  };

  HttpClientConnectionPtr Take(const Endpoint& aEndpoint);
  void Return(const HttpClientConnectionPtr& aConnection);
  void Sweep();

  boost::asio::io_context& mContext;
  Options mOptions;
  std::uint64_t mOpened = 0;
  boost::asio::steady_timer mSweepTimer;
  std::map<Endpoint, std::vector<Idle>> mIdle;
  /// Tells handlers that run later whether the pool still exists.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace cranberrywing::netutil
