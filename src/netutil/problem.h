/// \file
/// Errors as application/problem+json (RFC 9457).
#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string_view>

#include "cranberrywing/http_types.h"

namespace cranberrywing::netutil {

/// A refusal of a caller's request, with members "code" and "execution" and,
/// if it has one, the Retry-After field. Thread-safe.
AnswerContentPtr MakeProblemResponse(const Refusal& aRefusal);

/// An error of the administration API. aMembers are added to the object.
/// Thread-safe.
AnswerContentPtr MakeProblemResponse(const Error& aError,
                                     boost::json::object aMembers = {});

/// An answer with a JSON body. Thread-safe.
AnswerContentPtr MakeJsonResponse(unsigned aStatus,
                                  const boost::json::value& aBody);

} // namespace cranberrywing::netutil
