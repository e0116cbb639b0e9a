/// \file
/// What the daemon takes out of a caller's request before the decision core
/// sees the content.
#pragma once

#include <string>

#include "cranberrywing/http_types.h"

namespace cranberrywing::daemon {

/// A caller's request, taken apart.
struct CallerRequest
{
  /// Bearer key; empty if none came.
  std::string mKey;
  std::string mIdempotencyKey;
  std::string mTicket;
  /// Zero if the caller gave none.
  Duration mTimeout{};
  /// Without key, ticket, deadline and hop-by-hop fields. The idempotency
  /// key stays, for backend servers that check it too.
  RequestContent mContent;
};

/// Errors: InvalidArgument for a control field that is repeated, empty or
/// malformed. Error texts hold no field's value. Thread-safe.
Result<CallerRequest> ReadCallerRequest(RequestContent aRequest);

/// Removes from a backend server's answer the fields that belong to its
/// connection or to cranberrywing. Thread-safe.
void CleanAnswer(AnswerContent& aAnswer, bool aIsHead);

} // namespace cranberrywing::daemon
