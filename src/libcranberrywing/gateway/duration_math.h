/// \file
/// Products and time constants of durations that the gateway's modules share.
#pragma once

#include "cranberrywing/types.h"

namespace cranberrywing::gateway::detail {

/// Precondition: the product is within Duration's range. Thread-safe.
inline Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

/// Time constant of the moving average of arrivals, in seconds: a few
/// requests of a small VM, and short against a change of demand.
inline constexpr double kArrivalSeconds = 2.0;

} // namespace cranberrywing::gateway::detail
