/// \file
/// Reads the platform's list of VMs at intervals.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "cranberrywingd/boot_settings.h"
#include "cranberrywingd/event_sink.h"
#include "netutil/http_pool.h"

namespace cranberrywing::daemon {

/// Reads http_sd JSON. A VM that is missing from the list may count as dead,
/// so one entry that cannot be read makes the whole list unusable. Errors:
/// Malformed. Thread-safe.
Result<event::VmListReceived> DecodeVmList(std::string_view aBody);

/// Not thread-safe; belongs to the event loop's thread.
class VmListPoller
{
public:
  VmListPoller(boost::asio::io_context& aContext,
               VmListAddress aAddress,
               EventSink aSink);

  /// Does nothing without an address.
  void Start();
  void Stop();

private:
  void Poll();
  void OnResult(const netutil::ExchangeResult& aResult);

  VmListAddress mAddress;
  EventSink mSink;
  netutil::HttpClientPool mPool;
  boost::asio::steady_timer mTimer;
};

} // namespace cranberrywing::daemon
