/// \file
/// Client for the administration API of the daemons.
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberrywing/context.h"

namespace cranberrywing::cli {

/// Query parameters as pairs of name and value; parameters with an empty value
/// are omitted.
using Query = std::vector<std::pair<std::string, std::string>>;

/// Builds a request target from a path and an encoded query. Thread-safe.
std::string MakeTarget(std::string_view aPath, const Query& aQuery = {});

/// Percent-encodes a name for use as one path segment. Thread-safe.
std::string EncodeSegment(std::string_view aName);

/// Converts an error response of a daemon to an Error: the result code and
/// detail from its problem+json body, or Malformed if it has none. Thread-safe.
Error ParseProblem(const AnswerContent& aResponse);

/// Prefixes the error message with the daemon's address unless it starts with
/// it. Thread-safe.
std::string PrefixDaemon(const netutil::Endpoint& aDaemon, const Error& aError);

/// Sends requests to the configured daemons, in order, until one can handle the
/// request.
///
/// Not thread-safe.
class ApiClient
{
public:
  struct Options
  {
    /// Daemons to try, in this order.
    std::vector<netutil::Endpoint> mDaemons;
    /// Bearer token of the operator; if empty, no token is sent.
    std::string mToken;
    /// Timeout of one exchange. It exceeds the 10 s that a daemon may take to
    /// report the result of a write while the store is unavailable.
    Duration mTimeout = std::chrono::seconds(15);
  };

  ApiClient(Options aOptions, Transport aTransport);

  /// Sends a GET request; tries the next daemon while one is unreachable or
  /// cannot answer. Errors: those of the daemons.
  Result<AnswerContent> Get(const std::string& aTarget) const;
  /// Like Get, then parses the body as a JSON object. Errors: also Malformed.
  Result<boost::json::object> GetObject(const std::string& aTarget) const;
  /// Sends a GET request to one daemon only and parses the body as a JSON
  /// object.
  Result<boost::json::object> GetObjectFrom(const netutil::Endpoint& aDaemon,
                                            const std::string& aTarget) const;
  /// Sends a request that may change state. The next daemon is tried only if
  /// the previous one certainly did not execute the request. Errors: those of
  /// the daemons; OutcomeUnknown if the response was lost.
  Result<AnswerContent> Send(const RequestContent& aRequest) const;

  const std::vector<netutil::Endpoint>& Daemons() const
  {
    return mOptions.mDaemons;
  }

private:
  Result<AnswerContent> Exchange(const netutil::Endpoint& aDaemon,
                                 RequestContent aRequest) const;
  Result<AnswerContent> SendToDaemons(const RequestContent& aRequest,
                                      bool aIsRead) const;

  Options mOptions;
  Transport mTransport;
};

} // namespace cranberrywing::cli
