/// \file
/// Head of an HTTP/1.1 request.
#pragma once

#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Serializes the request line and header fields up to and including the empty
/// line. Adds Content-Length, and Host if aRequest has none. Thread-safe.
std::string SerializeHead(const RequestContent& aRequest,
                          const std::vector<Header>& aExtraHeaders,
                          const Endpoint& aEndpoint);

} // namespace cranberrywing::netutil
