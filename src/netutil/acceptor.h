/// \file
/// Opening the TCP port that a server accepts connections on.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "cranberrywing/result_code.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Opens, binds and listens. Errors: InvalidArgument with the endpoint and
/// the system's reason. Precondition: aAcceptor is closed.
Result<void> ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
                      const Endpoint& aEndpoint);

} // namespace cranberrywing::netutil
