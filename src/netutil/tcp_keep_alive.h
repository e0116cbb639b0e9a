/// \file
/// Detection of peers that have gone without closing their connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace cranberrywing::netutil {

/// Enables keep-alive probes, which close a connection to an unresponsive peer
/// within about three seconds. Precondition: the socket is open. Errors are
/// ignored. Not thread-safe.
void EnableTcpKeepAlive(boost::asio::ip::tcp::socket& aSocket);

} // namespace cranberrywing::netutil
