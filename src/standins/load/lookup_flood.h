/// \file
/// Pipelined lookups as fast as they are answered, for measuring a daemon's
/// lookup rate.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "standins/load/load_options.h"

namespace cranberrywing::standins {

struct FloodResult
{
  std::uint64_t mAnswers = 0;
  std::uint64_t mFailures = 0;
  double mSeconds = 0;
};

/// Runs aOptions.mConnections connections with aOptions.mPipeline lookups in
/// flight each for aOptions.mTime. Errors: PeerUnreachable.
Result<FloodResult> RunLookupFlood(const LoadOptions& aOptions);

} // namespace cranberrywing::standins
