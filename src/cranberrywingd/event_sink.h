/// \file
/// Event delivery from the I/O modules to the reducer, and the daemon's clocks.
#pragma once

#include <ctime>
#include <functional>

#include "cranberrywing/event.h"

namespace cranberrywing::daemon {

/// Delivers one event. May be called while an effect is executed; the event is
/// then queued until all effects of the current event are executed.
using EventSink = std::function<void(Event)>;

/// Current time of the monotonic clock that the reducer uses. It also counts
/// the time for which the VM was suspended, so that leases, quotas and ages do
/// not outlive a suspension. Thread-safe.
inline TimePoint ReadClock()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Wall-clock time in Unix milliseconds. It may jump, so it must not be used
/// for intervals. Thread-safe.
inline std::int64_t WallMilliseconds()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace cranberrywing::daemon
