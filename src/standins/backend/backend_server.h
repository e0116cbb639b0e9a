/// \file
/// Stand-in for a backend server: a queue, a service time, health and load
/// endpoints and injected faults.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "netutil/http_server.h"
#include "standins/backend/backend_state.h"

namespace cranberrywing::standins {

/// Settings of the server that do not change after the start.
struct BackendServerOptions
{
  std::string mName = "backend";
  netutil::Endpoint mListen{ "127.0.0.1", 9001 };
  /// Initial behaviour; POST /_control changes it.
  BackendBehaviour mBehaviour;
  /// File to append executions to; empty for none.
  std::string mExecutionFile;
  /// Ends the process right after a request whose body contains this text has
  /// been executed, before it is answered; empty for none.
  std::string mCrashMarker;
};

/// Built-in endpoints: GET /healthz, GET /load, GET /_executions,
/// GET /_counters, POST /_control. All other requests are queued and served
/// with the configured latency and concurrency. Not thread-safe.
class BackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext,
                BackendServerOptions aOptions);

  /// Errors: InvalidArgument if the execution file cannot be opened or the
  /// address cannot be listened on.
  Result<void> Start();
  /// Stops listening and closes all connections.
  void Stop();
  std::uint16_t Port() const { return mServer.Port(); }

private:
  using Clock = std::chrono::steady_clock;

  struct QueuedRequest
  {
    netutil::ExchangeId mExchange;
    RequestContent mRequest;
    /// When the caller stops waiting; unset without a deadline.
    std::optional<Clock::time_point> mDeadline;
  };

  /// Requests since the start, without those to the built-in endpoints.
  struct Counters
  {
    std::int64_t mArrived = 0;
    std::int64_t mAnswered = 0;
    std::int64_t mShed = 0;
    /// Rejected since their deadline passed while they were queued.
    std::int64_t mExpired = 0;
    /// Aborted by the caller.
    std::int64_t mCancelled = 0;
  };

  void OnRequest(const netutil::ExchangeId& aExchange,
                 RequestContent&& aRequest);
  AnswerContentPtr AnswerBuiltInEndpoint(const RequestContent& aRequest);
  AnswerContentPtr Health() const;
  AnswerContentPtr Load();
  AnswerContentPtr Control(const std::string& aBody);
  AnswerContentPtr EncodeCounters() const;
  void Enqueue(const netutil::ExchangeId& aExchange, RequestContent&& aRequest);
  void OnAborted(const netutil::ExchangeId& aExchange);
  void RunNext();
  void Run(QueuedRequest aQueued);
  void Finish(const netutil::ExchangeId& aExchange, AnswerContentPtr aAnswer);
  AnswerContentPtr Execute(const RequestContent& aRequest);
  AnswerContentPtr RejectNotRun(const RequestContent& aRequest,
                                const std::string& aReason) const;
  Duration ServiceTime() const;
  double ArrivalRate(Clock::time_point aNow);

  boost::asio::io_context& mContext;
  BackendServerOptions mOptions;
  BackendBehaviour mBehaviour;
  ExecutionLog mLog;
  Counters mCounters;
  netutil::HttpServer mServer;
  std::deque<QueuedRequest> mQueue;
  std::int64_t mRunning = 0;
  Clock::time_point mStart;
  /// Arrival times within the window that the load endpoint reports on.
  std::deque<Clock::time_point> mArrivals;
};

} // namespace cranberrywing::standins
