/// \file
/// HTTP server of the caller port. Converts requests, lookups and ticket
/// requests into events, and the core's effects into HTTP answers.
#pragma once

#include <optional>
#include <unordered_map>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_server.h"

namespace cranberrywing::daemon {

/// Not thread-safe; used only on the event loop's thread.
class CallerServer
{
public:
  /// Precondition: aMetrics outlives the server.
  CallerServer(boost::asio::io_context& aContext,
               netutil::HttpServerOptions aOptions,
               DaemonMetrics& aMetrics,
               EventSink aSink);

  /// Starts to accept connections. Errors: InvalidArgument with the address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Sets the maximum size of a request body in bytes.
  void SetBodyLimit(std::size_t aBytes) { mServer.SetBodyLimit(aBytes); }

  // Each of these answers the caller's request, if its connection is still
  // open.
  void Execute(const effect::Respond& aEffect);
  void Execute(const effect::Refuse& aEffect);
  void Execute(const effect::AnswerLookup& aEffect);
  void Execute(const effect::AnswerTicket& aEffect);

  /// Accepts no new connections and closes the others once their answers are
  /// sent.
  void Shutdown();
  std::size_t ConnectionCount() const { return mServer.ConnectionCount(); }

private:
  /// A request, lookup or ticket request that has not been answered yet.
  struct PendingCall
  {
    netutil::ExchangeId mExchange;
    TimePoint mArrival{};
    bool mIsRequest = false;
    /// A lookup with a ticket is answered once both mLookup and mTicket are
    /// set.
    bool mIsLookup = false;
    bool mWantsTicket = false;
    std::optional<effect::AnswerLookup> mLookup;
    std::optional<effect::AnswerTicket> mTicket;
    /// Request target, repeated in redirects of ticket requests.
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
  void OnTicketRequest(const netutil::ExchangeId& aExchange,
                       RequestContent&& aRequest);
  /// Handles a request that is to be forwarded to a backend server.
  void OnServiceRequest(const netutil::ExchangeId& aExchange,
                        RequestContent&& aRequest);
  void OnAborted(const netutil::ExchangeId& aExchange);
  RequestId Register(PendingCall aCall);
  void RefuseInvalidRequest(const netutil::ExchangeId& aExchange,
                            const Error& aError);
  void AnswerLookupIfComplete(RequestId aRequest);
  void CompleteCall(RequestId aRequest,
                    AnswerContentPtr aAnswer,
                    netutil::ResponseOptions aOptions);

  DaemonMetrics& mMetrics;
  EventSink mSink;
  std::uint64_t mNextRequest = 1;
  std::unordered_map<RequestId, PendingCall> mCalls;
  std::unordered_map<netutil::ExchangeId, RequestId, ExchangeHash>
    mRequestByExchange;
  netutil::HttpServer mServer;
};

} // namespace cranberrywing::daemon
