/// \file
/// Checks whether a TCP connection to an endpoint can be opened.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "cranberrywing/types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Opens a connection and closes it without sending anything. Calls aHandler
/// exactly once, never from within this call, with whether the connection was
/// opened within aTimeout.
///
/// Not thread-safe: call it from the event loop's thread. Preconditions:
/// aHandler is set; what it refers to outlives the event loop's run.
void CheckConnection(boost::asio::io_context& aContext,
                     const Endpoint& aEndpoint,
                     Duration aTimeout,
                     std::function<void(bool)> aHandler);

} // namespace cranberrywing::netutil
