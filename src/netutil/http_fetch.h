/// \file
/// One blocking exchange, for tools and tests.
#pragma once

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

/// Sends one request on a new connection and waits for the answer. Errors:
/// PeerUnreachable if no byte was sent, else OutcomeUnknown. Thread-safe.
Result<AnswerContent> Fetch(const Endpoint& aEndpoint,
                            RequestContent aRequest,
                            Duration aTimeout);

} // namespace cranberrywing::netutil
