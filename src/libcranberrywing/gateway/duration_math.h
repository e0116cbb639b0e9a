/// \file
/// Helpers for durations that several modules of the gateway use.
#pragma once

#include "cranberrywing/types.h"

namespace cranberrywing::gateway::detail {

/// Multiplies a duration. Precondition: the product is within Duration's range.
/// Thread-safe.
inline Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

/// Time constant of the moving average of arrivals, in seconds: long enough to
/// cover a few requests of a VM with little traffic, and short compared with
/// changes of demand.
inline constexpr double kArrivalTimeConstantSeconds = 2.0;

} // namespace cranberrywing::gateway::detail
