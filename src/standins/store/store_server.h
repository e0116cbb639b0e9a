/// \file
/// The store stand-in as a process: gateway, watches, counters and control
/// endpoint.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "netutil/http_server.h"
#include "standins/store/faults.h"
#include "standins/store/gateway.h"

namespace cranberrywing::standins {

struct StoreServerOptions
{
  netutil::Endpoint mListen{ "127.0.0.1", 2379 };
  netutil::Endpoint mControl{ "127.0.0.1", 2380 };
  /// etcd's default is minutes; watchers here count on one second.
  Milliseconds mProgressInterval{ 1000 };
};

/// Calls since the start. A waiting watch counts as one call.
struct CallCounters
{
  std::map<std::string, std::int64_t> mByKind;
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
};

/// Not thread-safe; belongs to the event loop's thread.
///
/// Control endpoint: GET /counters, GET /faults, POST /faults.
class StoreServer
{
public:
  StoreServer(boost::asio::io_context& aContext, StoreServerOptions aOptions);

  /// Errors: InvalidArgument with the address.
  Result<void> Start();
  void Stop();
  std::uint16_t Port() const { return mServer.Port(); }
  std::uint16_t ControlPort() const { return mControl.Port(); }

private:
  struct Watch
  {
    WatchRequest mRequest;
    /// First revision that has not been told.
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
  void After(std::int64_t aDelayMs, std::function<void()> aAction);

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
