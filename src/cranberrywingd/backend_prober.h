/// \file
/// Polls backend servers for their health and load.
#pragma once

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Decodes the answer to GET /healthz: status 200 means healthy; a JSON body
/// with "status":"draining" means that the server is draining. A failed
/// exchange counts as unhealthy. Thread-safe.
event::HealthReported ReadHealth(const BackendId& aBackend,
                                 const netutil::ExchangeResult& aResult);

/// Decodes an ORCA load report in JSON; nullopt if the answer contains none.
/// Thread-safe.
std::optional<event::LoadReport> ReadLoad(
  const netutil::ExchangeResult& aResult);

/// Not thread-safe; used only on the event loop's thread.
class BackendProber
{
public:
  BackendProber(boost::asio::io_context& aContext, EventSink aSink);

  /// Requests /healthz and /load and delivers HealthReported and LoadReported.
  void Execute(const effect::ProbeBackend& aEffect);

private:
  void SendGet(const netutil::Endpoint& aEndpoint,
               const std::string& aTarget,
               netutil::ExchangeHandler aHandler);

  EventSink mSink;
  /// Number of requests sent; part of their identifiers.
  std::uint64_t mProbes = 0;
  netutil::HttpClientPool mPool;
};

} // namespace cranberrywing::daemon
