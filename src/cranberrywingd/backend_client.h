/// \file
/// Carries the core's dispatches to backend servers over pooled keep-alive
/// connections, one exchange at a time on each.
#pragma once

#include <unordered_map>

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// What a whole answer of a backend server means: an answer for the caller,
/// or the statement that the request was not run. Thread-safe.
struct ShedStatement
{
  bool mIsShed = false;
  /// Wait that the server asked for; zero if none.
  Duration mRetryAfter{};
};
ShedStatement ReadShedStatement(const AnswerContent& aAnswer);

/// The core's view of a failed exchange. Thread-safe.
event::BackendFailed DescribeFailure(const netutil::ExchangeFailure& aFailure);

/// Not thread-safe; belongs to the event loop's thread.
class BackendClient
{
public:
  /// aMetrics outlives the client.
  BackendClient(boost::asio::io_context& aContext,
                DaemonMetrics& aMetrics,
                EventSink aSink);

  void Carry(const effect::Dispatch& aEffect);
  void Carry(const effect::CancelDispatch& aEffect);
  void Carry(const effect::CloseBackendConnections& aEffect);

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
  /// Address at which each server was last used.
  std::unordered_map<BackendId, netutil::Endpoint> mEndpoints;
};

} // namespace cranberrywing::daemon
