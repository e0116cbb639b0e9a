/// \file
/// Asks backend servers for their health and load.
#pragma once

#include "cranberrywing/effect.h"
#include "cranberrywingd/event_sink.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Reads the answer of GET /healthz: 200 is healthy; a JSON body with
/// "status":"draining" says that the server is leaving. Thread-safe.
event::HealthReported ReadHealth(const BackendId& aBackend,
                                 const netutil::ExchangeResult& aResult);

/// Reads an ORCA load report in JSON; nullopt if there is none. Thread-safe.
std::optional<event::LoadReport> ReadLoad(
  const netutil::ExchangeResult& aResult);

/// Not thread-safe; belongs to the event loop's thread.
class BackendProber
{
public:
  BackendProber(boost::asio::io_context& aContext, EventSink aSink);

  void Carry(const effect::ProbeBackend& aEffect);

private:
  void Ask(const netutil::Endpoint& aEndpoint,
           const std::string& aTarget,
           netutil::ExchangeHandler aHandler);

  EventSink mSink;
  netutil::HttpClientPool mPool;
};

} // namespace cranberrywing::daemon
