/// \file
/// Server of the store stand-in: the etcd JSON gateway with watches on one
/// port, the control endpoint with counters and faults on another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "netutil/http_server.h"
#include "standins/store/faults.h"
#include "standins/store/gateway.h"

namespace cranberrywing::standins {

/// Addresses and timing of the server.
struct StoreServerOptions
{
  netutil::Endpoint mListen{ "127.0.0.1", 2379 };
  netutil::Endpoint mControl{ "127.0.0.1", 2380 };
  /// Interval of watch progress notifications. etcd's default is minutes; this
  /// project's watchers rely on one second.
  Milliseconds mProgressInterval{ 1000 };
};

/// Requests received since the start. An open watch counts as one request.
struct CallCounters
{
  std::map<std::string, std::int64_t> mByKind;
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
};

/// Serves the store's API and injects the faults that are set. Not thread-safe;
/// use it on the event loop's thread only.
///
/// Control endpoint: GET /counters, GET /faults, POST /faults.
class StoreServer
{
public:
  StoreServer(boost::asio::io_context& aContext, StoreServerOptions aOptions);

  /// Listens on both ports. Errors: InvalidArgument with the address.
  Result<void> Start();
  /// Stops listening and closes all connections.
  void Stop();
  std::uint16_t Port() const { return mServer.Port(); }
  std::uint16_t ControlPort() const { return mControl.Port(); }

private:
  struct Watch
  {
    WatchRequest mRequest;
    /// First revision that has not been reported to the watcher.
    std::int64_t mNextRevision = 0;
  };

  void OnRequest(const netutil::ExchangeId& aExchange,
                 RequestContent&& aRequest);
  void Serve(const netutil::ExchangeId& aExchange,
             const RequestContent& aRequest);
  void Answer(const netutil::ExchangeId& aExchange, AnswerContentPtr aAnswer);
  void OnControl(const netutil::ExchangeId& aExchange,
                 const RequestContent& aRequest);
  AnswerContentPtr SetFaults(const std::string& aBody);
  AnswerContentPtr Counters() const;
  void Count(const CallClass& aClass);
  void StartWatch(const netutil::ExchangeId& aExchange,
                  const RequestContent& aRequest);
  void NotifyWatches();
  void Notify(const netutil::ExchangeId& aExchange, Watch& aWatch);
  void Tick();
  void RunAfter(std::int64_t aDelayMs, std::function<void()> aAction);

  boost::asio::io_context& mContext;
  StoreServerOptions mOptions;
  KeyValueState mState;
  Gateway mGateway;
  Faults mFaults;
  CallCounters mCounters;
  std::map<netutil::ExchangeId, Watch> mWatches;
  netutil::HttpServer mServer;
  netutil::HttpServer mControl;
  boost::asio::steady_timer mTick;
  std::chrono::steady_clock::time_point mNextProgress;
};

} // namespace cranberrywing::standins
