/// \file
/// Opens the listening TCP socket of a server.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "cranberrywing/result_code.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Opens the acceptor, binds it to aEndpoint with SO_REUSEADDR and starts
/// listening. On failure the acceptor may be left open but not listening.
/// Errors: InvalidArgument with the endpoint and the system's error message.
/// Precondition: aAcceptor is closed.
Result<void> ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
                      const Endpoint& aEndpoint);

} // namespace cranberrywing::netutil
