/// \file
/// HTTP client for backend servers. Sends the requests that the core dispatches
/// over pooled keep-alive connections, without pipelining.
#pragma once

#include <unordered_map>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Whether a backend server refused a request without running it.
struct ShedStatus
{
  bool mIsShed = false;
  /// Time of the Retry-After field; zero if there is none.
  Duration mRetryAfter{};
};

/// Header field that identifies an attempt or a health probe; servers repeat it
/// in their answers.
inline constexpr std::string_view kAttemptHeader = "Cranberrywing-Attempt";

/// Checks a complete answer for a 503 with "Cranberrywing-Not-Run: 1". All
/// other answers are for the caller. Thread-safe.
ShedStatus ReadShedStatus(const AnswerContent& aAnswer);

/// Converts an answer that refuses the request into the core's event, without
/// request and attempt; nullopt for an answer that is for the caller. A refusal
/// that names no attempt may be that of another request, so that the outcome is
/// unknown. Thread-safe.
std::optional<event::BackendFailed> DescribeRefusal(
  const AnswerContent& aAnswer);

/// Whether an answer can belong to the attempt with the given identifier. An
/// answer that names another attempt does not, and neither does a shed answer
/// that names none, unless the connection has not been used before: it could
/// repeat the refusal of an earlier request. Thread-safe.
bool IsAnswerToAttempt(const AnswerContent& aAnswer,
                       const std::string& aAttemptId,
                       netutil::ConnectionUse aUse);

/// Converts a failed exchange into the core's event, without request and
/// attempt. Thread-safe.
event::BackendFailed DescribeFailure(const netutil::ExchangeFailure& aFailure);

/// Not thread-safe; used only on the event loop's thread.
class BackendClient
{
public:
  /// Precondition: aMetrics outlives the client.
  BackendClient(boost::asio::io_context& aContext,
                DaemonMetrics& aMetrics,
                EventSink aSink);

  /// Sends a request; the result is delivered as BackendResponded or
  /// BackendFailed.
  void Execute(const effect::Dispatch& aEffect);
  /// Closes the connection of an attempt in progress; no event follows.
  void Execute(const effect::CancelDispatch& aEffect);
  /// Closes the idle connections to a backend server.
  void Execute(const effect::CloseBackendConnections& aEffect);

private:
  struct AttemptId
  {
    RequestId mRequest{};
    AttemptNumber mAttempt = 0;

    bool operator==(const AttemptId&) const = default;
  };

  struct AttemptHash
  {
    std::size_t operator()(const AttemptId& aId) const
    {
      return static_cast<std::uint64_t>(aId.mRequest) * 0x9e3779b97f4a7c15ull +
             aId.mAttempt;
    }
  };

  void OnResult(const AttemptId& aId,
                TimePoint aDispatched,
                bool aIsHead,
                netutil::ExchangeResult aResult);

  DaemonMetrics& mMetrics;
  EventSink mSink;
  netutil::HttpClientPool mPool;
  std::unordered_map<AttemptId, netutil::HttpClientConnectionPtr, AttemptHash>
    mAttempts;
  /// Endpoint last used for each backend server.
  std::unordered_map<BackendId, netutil::Endpoint> mEndpoints;
};

} // namespace cranberrywing::daemon
