/// \file
/// Decisions as key=value lines on standard output, bounded in volume and
/// without ever waiting for the reader.
#pragma once

#include <cstdint>
#include <string>

#include "cranberrywing/effect.h"

namespace cranberrywing::daemon {

/// Lines above the limit of a second are dropped and counted in the next
/// second's first line; those of answered requests are dropped first. Not
/// thread-safe.
class DecisionLog
{
public:
  struct Options
  {
    /// Lines of answered requests in a second.
    std::uint32_t mUsualLines = 50;
    /// All other lines in a second.
    std::uint32_t mOtherLines = 300;
    /// Output that waits for the reader; lines beyond it are dropped.
    std::size_t mBufferBytes = 256 * 1024;
    /// File descriptor written to. It is made non-blocking.
    int mDescriptor = 1;
  };

  DecisionLog(Options aOptions, VmId aVm);

  void Record(const effect::RecordTimeline& aRecord, TimePoint aNow);
  /// Writes what the reader takes. Called once per tick.
  void Flush();
  std::uint64_t Dropped() const { return mDroppedInAll; }

private:
  void StartSecond(TimePoint aNow);
  void Append(const effect::RecordTimeline& aRecord, TimePoint aNow);

  Options mOptions;
  VmId mVm;
  TimePoint mSecond{};
  std::uint32_t mUsual = 0;
  std::uint32_t mOther = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedInAll = 0;
  std::string mBuffer;
};

} // namespace cranberrywing::daemon
