/// \file
/// HTTP server of the VM list stand-in.
#pragma once

#include "netutil/http_server.h"
#include "standins/vm_list/vm_list_state.h"

namespace cranberrywing::standins {

/// Serves the list at GET /vms. POST /control/vms changes a VM (see
/// ParseVmChange), POST /control/lag sets the lag ({"lag_ms":500}). Not
/// thread-safe.
class VmListServer
{
public:
  /// aLag is the delay until a change appears in the list.
  VmListServer(boost::asio::io_context& aContext, Milliseconds aLag);

  VmListState& State() { return mState; }
  /// Errors: InvalidArgument with the address.
  Result<void> Start(const netutil::Endpoint& aEndpoint);
  /// Stops listening and closes all connections.
  void Stop();
  std::uint16_t Port() const { return mServer.Port(); }

private:
  AnswerContentPtr Answer(const RequestContent& aRequest);
  AnswerContentPtr SetVm(const std::string& aBody);
  AnswerContentPtr SetLag(const std::string& aBody);

  VmListState mState;
  netutil::HttpServer mServer;
};

} // namespace cranberrywing::standins
