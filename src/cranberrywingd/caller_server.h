/// \file
/// The callers' HTTP port: requests, lookups and tickets to events, and the
/// core's effects back to answers.
#pragma once

#include <optional>
#include <unordered_map>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_server.h"

namespace cranberrywing::daemon {

/// Not thread-safe; belongs to the event loop's thread.
class CallerServer
{
public:
  /// aMetrics outlives the server.
  CallerServer(boost::asio::io_context& aContext,
               netutil::HttpServerOptions aOptions,
               DaemonMetrics& aMetrics,
               EventSink aSink);

  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Longest body that any route takes.
  void SetBodyLimit(std::size_t aBytes) { mServer.SetBodyLimit(aBytes); }

  void Carry(const effect::Respond& aEffect);
  void Carry(const effect::Refuse& aEffect);
  void Carry(const effect::AnswerLookup& aEffect);
  void Carry(const effect::AnswerTicket& aEffect);

  /// The process stops: takes no new connections and closes the others as
  /// soon as their answers are sent.
  void Finish();
  std::size_t ConnectionCount() const { return mServer.ConnectionCount(); }

private:
  /// A request, lookup or ticket request that waits for its answer.
  struct Call
  {
    netutil::ExchangeId mExchange;
    TimePoint mArrival{};
    bool mIsRequest = false;
    /// A lookup that wants a ticket needs two answers.
    bool mIsLookup = false;
    bool mWantsTicket = false;
    std::optional<effect::AnswerLookup> mLookup;
    std::optional<effect::AnswerTicket> mTicket;
    std::string mTarget;
  };

  struct ExchangeHash
  {
    std::size_t operator()(const netutil::ExchangeId& aId) const
    {
      const auto connection = static_cast<std::uint64_t>(aId.mConnection);
      return connection * 0x9e3779b97f4a7c15ull + aId.mNumber;
    }
  };

  void OnRequest(const netutil::ExchangeId& aExchange,
                 RequestContent&& aRequest);
  void OnLookup(const netutil::ExchangeId& aExchange,
                RequestContent&& aRequest);
  void OnTicketCall(const netutil::ExchangeId& aExchange,
                    RequestContent&& aRequest);
  void OnWork(const netutil::ExchangeId& aExchange, RequestContent&& aRequest);
  void OnAborted(const netutil::ExchangeId& aExchange);
  RequestId Register(Call aCall);
  void RefuseInput(const netutil::ExchangeId& aExchange, const Error& aError);
  void AnswerLookupIfComplete(RequestId aRequest);
  void Finish(RequestId aRequest,
              AnswerContentPtr aAnswer,
              netutil::ResponseOptions aOptions);

  DaemonMetrics& mMetrics;
  EventSink mSink;
  std::uint64_t mNextRequest = 1;
  std::unordered_map<RequestId, Call> mCalls;
  std::unordered_map<netutil::ExchangeId, RequestId, ExchangeHash> mByExchange;
  netutil::HttpServer mServer;
};

} // namespace cranberrywing::daemon
