/// \file
/// How many requests of one client account may run at one time, and how fast
/// a service finishes requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Finds the level up to which each client account may have requests running,
/// so that the servers are used well and more would only wait inside them,
/// where no fairness applies. Accounts that need less than the level are not
/// held by it, so the level is the water line of max-min fairness.
///
/// The level rises while it holds an account and the servers have room, and
/// falls by a factor when they have none. Room is judged by the servers'
/// reported utilization; without fresh reports, and at once in a sudden
/// overload, by latency. Latency comes from Little's law: the mean of a window
/// is the running count integrated over it, divided by the ends.
///
/// Not thread-safe; owned by FairQueue.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double mFirst = 32;
    /// Reported utilization of the servers that is aimed at in overload. At
    /// 0.87 some accounts within their share still waited too long behind an
    /// account at 5 x its rate: p99 1.12 x alone.
    double mTargetUtilization = 0.85;
    /// Mean latency over its value without queueing, less 1, that is
    /// tolerated.
    double mExcess = 0.1;
    /// Turns adaptation off: only the ceiling applies.
    bool mIsAdaptive = true;
  };

  ConcurrencyLimit();
  explicit ConcurrencyLimit(Options aOptions);

  /// Sets the number of connections, which no level exceeds; at least 1.
  void SetCeiling(std::size_t aCeiling);
  std::size_t Ceiling() const { return mCeiling; }

  /// Requests that an account of the greatest weight may have running.
  double Level() const;
  std::size_t Running() const { return mRunning; }
  /// Tells whether the level keeps a request from running.
  void SetHeld(bool aIsHeld, TimePoint aNow);

  void OnStart(TimePoint aNow);
  void OnFinish(TimePoint aNow);

  /// The servers' reported mean utilization, from 0 to 1, if fresh; to be told
  /// at least every second.
  void OnUtilization(std::optional<double> aUtilization, TimePoint aNow);

  /// Mean latency, or zero while unknown. Rises during a stall, before any
  /// request has ended.
  Duration Latency(TimePoint aNow) const;

private:
  /// The least window latency of the last one to two periods.
  class LeastLatency
  {
  public:
    void Add(double aLatency, TimePoint aNow);
    void Reset(double aLatency, TimePoint aNow);
    double Value() const;

  private:
    double mPrevious = 0;
    double mCurrent = 0;
    TimePoint mPeriodStart{};
  };

  void Advance(TimePoint aNow);
  void StartWindow(TimePoint aNow);
  void CloseWindow(TimePoint aNow);
  void Adapt(double aLatency, TimePoint aNow);
  void Cut(double aLatency, TimePoint aNow);
  void Raise(double aStep);
  double LeastLatencySeen() const;
  /// Latency over its least value that is taken for queueing.
  double Tolerance() const;
  /// Part of the window in which the level held a request.
  double HeldPart(TimePoint aNow) const;

  Options mOptions;
  std::size_t mCeiling = 1;
  double mLevel = 1;
  bool mIsHeld = false;
  std::size_t mRunning = 0;
  TimePoint mWindowStart{};
  TimePoint mLastChange{};
  /// When a request last ended, or the first of those that run began.
  TimePoint mLastProgress{};
  /// Running requests integrated over the window, in request-seconds.
  double mArea = 0;
  std::uint64_t mEnded = 0;
  /// Time of the window in which the level held a request.
  Duration mHeld{};
  std::optional<double> mUtilization;
  TimePoint mNextSteer{};
  /// Until the first sign of queueing the level rises fast.
  bool mIsStarting = true;
  /// Seconds; zero while unknown.
  double mLatency = 0;
  LeastLatency mLeast;
  /// Least latency of the windows of the start.
  double mStartLatency = 0;
  /// Of the last window; seconds.
  double mLastLatency = 0;
  /// Standard deviation of window latencies over their mean, by differences
  /// of successive windows.
  double mDeviation = 0.05;
  /// Consecutive cuts, with level and latency before the first of them.
  std::uint32_t mCuts = 0;
  double mLevelBeforeCuts = 0;
  double mLatencyBeforeCuts = 0;
};

} // namespace cranberrywing
