/// \file
/// JSON responses, and errors as application/problem+json (RFC 9457).
#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string_view>

#include "cranberrywing/http_types.h"

namespace cranberrywing::netutil {

/// Builds the response for a rejected request: the members "code" and
/// "execution", Retry-After if the refusal has a retry delay, and
/// WWW-Authenticate for status 401. Thread-safe.
AnswerContentPtr MakeProblemResponse(const Refusal& aRefusal);

/// Builds the response for an error of the administration API. aMembers are
/// added to the problem object and replace members of the same name.
/// Thread-safe.
AnswerContentPtr MakeProblemResponse(const Error& aError,
                                     boost::json::object aMembers = {});

/// Builds a response with a JSON body. Thread-safe.
AnswerContentPtr MakeJsonResponse(unsigned aStatus,
                                  const boost::json::value& aBody);

} // namespace cranberrywing::netutil
