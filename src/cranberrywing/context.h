/// \file
/// Environment of the tool (streams, transport, clock, configuration), which
/// tests can replace.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::cli {

/// Runs one HTTP exchange with a daemon within the given time. Errors:
/// PeerUnreachable if no byte of the request was sent, else OutcomeUnknown.
using Transport = std::function<
  Result<AnswerContent>(const netutil::Endpoint&, RequestContent, Duration)>;

struct Context
{
  std::ostream& mOut;
  std::ostream& mError;
  Transport mTransport;
  std::function<void(Duration)> mSleep;
  /// Values of the environment variables CRANBERRYWING_DAEMON and
  /// CRANBERRYWING_TOKEN.
  std::string mDaemons;
  std::string mToken;
  /// Directory for an edited document that could not be written to the
  /// settings.
  std::string mRecoveryDirectory = ".";
};

/// Runs one command and returns the exit status. aArguments excludes the
/// program name. Never throws.
int RunTool(const std::vector<std::string>& aArguments,
            const Context& aContext);

} // namespace cranberrywing::cli
