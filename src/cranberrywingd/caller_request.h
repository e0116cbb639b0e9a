/// \file
/// Extraction of control header fields from callers' requests, and removal of
/// connection-specific fields from answers.
#pragma once

#include <string>

#include "cranberrywing/http_types.h"

namespace cranberrywing::daemon {

/// A caller's request, with the control fields separated from the content.
struct CallerRequest
{
  /// Bearer key; empty if there is none.
  std::string mKey;
  std::string mIdempotencyKey;
  /// Execution ticket; empty if there is none.
  std::string mTicket;
  /// Zero if the caller set no deadline.
  Duration mTimeout{};
  /// The request without key, ticket, deadline and hop-by-hop fields. The
  /// idempotency key is kept, for backend servers that also check it.
  RequestContent mContent;
};

/// Separates the control fields of a request from its content. Errors:
/// InvalidArgument for a control field that is repeated, empty or malformed.
/// Error messages never contain a field's value. Thread-safe.
Result<CallerRequest> ReadCallerRequest(RequestContent aRequest);

/// Removes hop-by-hop and "Cranberrywing-" fields from a backend server's
/// answer. aIsHead tells whether the request was a HEAD request, whose answer
/// keeps its Content-Length. Thread-safe.
void SanitizeAnswer(AnswerContent& aAnswer, bool aIsHead);

} // namespace cranberrywing::daemon
