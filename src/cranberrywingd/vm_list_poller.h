/// \file
/// Polls the platform's list of VMs.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "cranberrywingd/boot_settings.h"
#include "cranberrywingd/event_sink.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Decodes a list in Prometheus http_sd JSON. A VM that is absent from the list
/// may be considered dead, so a single malformed entry invalidates the whole
/// list. Errors: Malformed. Thread-safe.
Result<event::VmListReceived> DecodeVmList(std::string_view aBody);

/// Not thread-safe; used only on the event loop's thread.
class VmListPoller
{
public:
  VmListPoller(boost::asio::io_context& aContext,
               VmListAddress aAddress,
               EventSink aSink);

  /// Starts to poll. Does nothing if no list is configured.
  void Start();
  /// Ends polling. The answer to a request in progress is dropped.
  void Stop();

private:
  void Poll();
  void OnResult(const netutil::ExchangeResult& aResult);

  VmListAddress mAddress;
  EventSink mSink;
  netutil::HttpClientPool mPool;
  boost::asio::steady_timer mTimer;
  bool mIsStopped = false;
};

} // namespace cranberrywing::daemon
