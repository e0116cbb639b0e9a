/// \file
/// The VM-list stand-in as a process.
#pragma once

#include "netutil/http_server.h"
#include "standins/vm_list/vm_list_state.h"

namespace cranberrywing::standins {

/// Serves the list at GET /vms, takes changes at POST /control/vms and the
/// lag at POST /control/lag ({"lag_ms":500}). Not thread-safe.
class VmListServer
{
public:
  VmListServer(boost::asio::io_context& aContext, Milliseconds aLag);

  VmListState& State() { return mState; }
  Result<void> Start(const netutil::Endpoint& aEndpoint);
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
