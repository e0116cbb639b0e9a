/// \file
/// Log of the gateway's decisions as key=value lines on standard output. The
/// volume is limited, and writing never blocks.
#pragma once

#include <cstdint>
#include <string>

#include "cranberrywing/effect.h"

namespace cranberrywing::daemon {

/// Lines beyond the limits per second are dropped, and their number is logged
/// in the first line of the next second. Lines for answered requests have a
/// limit of their own, so that they cannot displace others. Not thread-safe.
class DecisionLog
{
public:
  struct Options
  {
    /// Maximum lines per second for answered requests.
    std::uint32_t mAnsweredLinesPerSecond = 50;
    /// Maximum lines per second for all other events.
    std::uint32_t mOtherLinesPerSecond = 300;
    /// Maximum size of unwritten output; lines beyond it are dropped.
    std::size_t mBufferBytes = 256 * 1024;
    /// File descriptor to write to. It is set to non-blocking mode.
    int mDescriptor = 1;
  };

  DecisionLog(Options aOptions, VmId aVm);

  /// Buffers one line, unless a limit is reached.
  void Record(const effect::RecordTimeline& aRecord, TimePoint aNow);
  /// Writes buffered output without blocking. Called once per tick.
  void Flush();
  /// Lines dropped since the start.
  std::uint64_t Dropped() const { return mDroppedTotal; }

private:
  void StartSecond(TimePoint aNow);
  void Append(const effect::RecordTimeline& aRecord, TimePoint aNow);

  Options mOptions;
  VmId mVm;
  TimePoint mSecond{};
  std::uint32_t mAnsweredCount = 0;
  std::uint32_t mOtherCount = 0;
  std::uint64_t mDroppedUnreported = 0;
  std::uint64_t mDroppedTotal = 0;
  std::string mBuffer;
};

} // namespace cranberrywing::daemon
