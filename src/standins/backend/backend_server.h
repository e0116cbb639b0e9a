/// \file
/// The backend stand-in as a process: a server with a queue, a service time,
/// health and load endpoints and faults.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "netutil/http_server.h"
#include "standins/backend/backend_state.h"

namespace cranberrywing::standins {

struct BackendServerOptions
{
  std::string mName = "backend";
  netutil::Endpoint mListen{ "127.0.0.1", 9001 };
  BackendBehaviour mBehaviour;
  std::string mExecutionFile;
  /// A request with this text in its body ends the process after it ran;
  /// empty for none.
  std::string mCrashMarker;
};

/// Endpoints of its own: GET /healthz, GET /load, GET /_executions,
/// GET /_counters, POST /_control. Everything else is work. Not thread-safe.
class BackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext,
                BackendServerOptions aOptions);

  Result<void> Start();
  void Stop();
  std::uint16_t Port() const { return mServer.Port(); }

private:
  using Clock = std::chrono::steady_clock;

  struct Work
  {
    netutil::ExchangeId mExchange;
    RequestContent mRequest;
    /// When the caller stops waiting; unset without a deadline.
    std::optional<Clock::time_point> mDeadline;
  };

  struct Counters
  {
    std::int64_t mArrived = 0;
    std::int64_t mAnswered = 0;
    std::int64_t mShed = 0;
    std::int64_t mLate = 0;
    std::int64_t mCancelled = 0;
  };

  void OnRequest(const netutil::ExchangeId& aExchange,
                 RequestContent&& aRequest);
  AnswerContentPtr OwnEndpoint(const RequestContent& aRequest);
  AnswerContentPtr Health() const;
  AnswerContentPtr Load();
  AnswerContentPtr Control(const std::string& aBody);
  AnswerContentPtr CounterReport() const;
  void OnWork(const netutil::ExchangeId& aExchange, RequestContent&& aRequest);
  void OnAborted(const netutil::ExchangeId& aExchange);
  void RunNext();
  void Run(Work aWork);
  void Finish(const netutil::ExchangeId& aExchange, AnswerContentPtr aAnswer);
  AnswerContentPtr Execute(const RequestContent& aRequest);
  AnswerContentPtr Refuse(const std::string& aReason) const;
  Duration ServiceTime() const;
  double ArrivalRate(Clock::time_point aNow);

  boost::asio::io_context& mContext;
  BackendServerOptions mOptions;
  BackendBehaviour mBehaviour;
  ExecutionLog mLog;
  Counters mCounters;
  netutil::HttpServer mServer;
  std::deque<Work> mQueue;
  std::int64_t mRunning = 0;
  Clock::time_point mStart;
  /// Arrivals in the window that the load report covers.
  std::deque<Clock::time_point> mArrivals;
};

} // namespace cranberrywing::standins
