/// \file
/// What the tool uses of its surroundings, so that tests can replace it.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::cli {

/// One exchange with a daemon. Errors: PeerUnreachable if no byte was sent,
/// else OutcomeUnknown.
using Transport = std::function<
  Result<AnswerContent>(const netutil::Endpoint&, RequestContent, Duration)>;

struct Context
{
  std::ostream& mOut;
  std::ostream& mError;
  Transport mTransport;
  std::function<void(Duration)> mSleep;
  /// Values of CRANBERRYWING_DAEMON and CRANBERRYWING_TOKEN.
  std::string mDaemons;
  std::string mToken;
  /// Where an edited document is kept when it could not be written.
  std::string mKeepDirectory = ".";
};

/// Runs one command and returns the exit status. aArguments leaves out the
/// program's name. Never throws.
int RunTool(const std::vector<std::string>& aArguments,
            const Context& aContext);

} // namespace cranberrywing::cli
