/// \file
/// How many requests of one service may run at one time, and how fast the
/// service finishes them.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Measures latency by Little's law from starts and ends alone: the mean
/// latency of a window is the integral of the running count over the ends.
///
/// Not thread-safe; owned by FairQueue.
class ConcurrencyLimit
{
public:
  /// Sets the hard upper bound; at least 1 always applies.
  void SetCeiling(std::size_t aCeiling);

  bool MayStart() const { return mRunning < Limit(); }
  std::size_t Running() const { return mRunning; }
  std::size_t Limit() const;

  void OnStart(TimePoint aNow);
  void OnFinish(TimePoint aNow);

  /// Mean latency, or zero while unknown. Rises during a stall, before any
  /// request has ended.
  Duration Latency(TimePoint aNow) const;
  /// Expected wait of a request with aAhead others before it, when the limit
  /// is reached; zero while the latency is unknown.
  Duration Wait(std::size_t aAhead, TimePoint aNow) const;

private:
  void Advance(TimePoint aNow);
  void CloseWindow(TimePoint aNow);

  std::size_t mCeiling = 1;
  std::size_t mRunning = 0;
  TimePoint mWindowStart{};
  TimePoint mLastChange{};
  /// Running requests integrated over the window, in request-seconds.
  double mArea = 0;
  std::uint64_t mEnded = 0;
  /// Seconds; zero while unknown.
  double mLatency = 0;
};

} // namespace cranberrywing
