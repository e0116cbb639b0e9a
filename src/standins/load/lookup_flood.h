/// \file
/// Sends pipelined lookups as fast as they are answered, to measure the lookup
/// rate of a daemon.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "standins/load/load_options.h"

namespace cranberrywing::standins {

/// Counts of a run.
struct FloodResult
{
  /// Answers with status 200.
  std::uint64_t mAnswers = 0;
  /// Answers with any other status.
  std::uint64_t mFailures = 0;
  /// Measured length of the run.
  double mSeconds = 0;
};

/// Keeps aOptions.mPipeline lookups in flight on each of aOptions.mConnections
/// connections for aOptions.mStartPeriod. Blocks. Errors: PeerUnreachable if a
/// connection cannot be opened.
Result<FloodResult> RunLookupFlood(const LoadOptions& aOptions);

} // namespace cranberrywing::standins
