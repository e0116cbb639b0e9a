/// \file
/// A single blocking HTTP exchange, for command-line tools and tests.
#pragma once

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

/// Sends one request on a new connection, blocks until the response is complete
/// and returns it. Errors: PeerUnreachable if no byte of the request was sent,
/// else OutcomeUnknown; the message names the endpoint. Thread-safe.
Result<AnswerContent> Fetch(const Endpoint& aEndpoint,
                            RequestContent aRequest,
                            Duration aTimeout);

} // namespace cranberrywing::netutil
