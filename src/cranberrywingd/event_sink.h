/// \file
/// How the daemon's modules hand events to the reducer, and its clocks.
#pragma once

#include <functional>

#include "cranberrywing/event.h"

namespace cranberrywing::daemon {

/// Delivers one event. May be called from inside the carrying out of an
/// effect; the event is then delivered after the present one's effects.
using EventSink = std::function<void(Event)>;

/// Monotonic time as the reducer counts it.
inline TimePoint ReadClock()
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

/// Time of day in Unix milliseconds, for logs. It may jump.
inline std::int64_t WallMilliseconds()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace cranberrywing::daemon
