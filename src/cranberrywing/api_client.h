/// \file
/// Client of the daemons' administration API.
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberrywing/context.h"

namespace cranberrywing::cli {

/// Named values of a request's query; empty values are left out.
using Query = std::vector<std::pair<std::string, std::string>>;

/// A path with an encoded query. Thread-safe.
std::string MakeTarget(std::string_view aPath, const Query& aQuery = {});

/// Percent-encodes a name for use as one path segment. Thread-safe.
std::string EncodeSegment(std::string_view aName);

/// The error that an answer of a daemon holds. Thread-safe.
Error ReadProblem(const AnswerContent& aAnswer);

/// The error's message with the daemon that it comes from. Thread-safe.
std::string WithDaemon(const netutil::Endpoint& aDaemon, const Error& aError);

/// Not thread-safe.
class ApiClient
{
public:
  struct Options
  {
    /// Asked in this order.
    std::vector<netutil::Endpoint> mDaemons;
    std::string mToken;
    /// For one exchange. A daemon takes up to 10 s to tell the outcome of a
    /// write while the store is down.
    Duration mTimeout = std::chrono::seconds(15);
  };

  ApiClient(Options aOptions, Transport aTransport);

  /// GET of the first daemon that can answer. Errors: those of the daemons.
  Result<AnswerContent> Get(const std::string& aTarget) const;
  /// Get, then the body as an object.
  Result<boost::json::object> GetObject(const std::string& aTarget) const;
  /// GET of one daemon.
  Result<boost::json::object> GetObjectFrom(const netutil::Endpoint& aDaemon,
                                            const std::string& aTarget) const;
  /// Sends a request that may change something. Another daemon is tried only
  /// if the one before surely did not take it. Errors: those of the daemons;
  /// OutcomeUnknown if the answer was lost.
  Result<AnswerContent> Send(const RequestContent& aRequest) const;

  const std::vector<netutil::Endpoint>& Daemons() const
  {
    return mOptions.mDaemons;
  }

private:
  Result<AnswerContent> Exchange(const netutil::Endpoint& aDaemon,
                                 RequestContent aRequest) const;
  Result<AnswerContent> TryAll(const RequestContent& aRequest,
                               bool aIsRead) const;

  Options mOptions;
  Transport mTransport;
};

} // namespace cranberrywing::cli
