/// \file
/// How many requests of one service may run at one time, and how fast the
/// service finishes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Finds the number of running requests above which more would only wait
/// inside the backend servers, where no fairness applies.
///
/// Latency is measured by Little's law from starts and ends alone: the mean of
/// a window is the running count integrated over it, divided by the ends. The
/// limit rises while it is reached and latency stays near its least value, and
/// falls by a factor when latency shows queueing. Only windows in which the
/// limit was reached count: a VM that sends less than its part is never cut
/// because of the others.
///
/// Not thread-safe; owned by FairQueue.
class ConcurrencyLimit
{
public:
  struct Options
  {
    std::size_t mFirst = 16;
    /// Reported utilization of the servers that is aimed at.
    double mTargetUtilization = 0.87;
    /// Mean latency over its value without queueing, less 1, that is
    /// tolerated.
    double mExcess = 0.1;
    /// Turns adaptation off: the ceiling alone applies.
    bool mAdapts = true;
  };

  ConcurrencyLimit();
  explicit ConcurrencyLimit(Options aOptions);

  /// Sets the hard upper bound; at least 1 always applies.
  void SetCeiling(std::size_t aCeiling);

  bool MayStart() const { return mRunning < Limit(); }
  std::size_t Running() const { return mRunning; }
  std::size_t Limit() const;

  void OnStart(TimePoint aNow);
  void OnFinish(TimePoint aNow);

  /// The servers' reported mean utilization, from 0 to 1, if fresh; to be told
  /// at least every second. A VM at which several client accounts are short
  /// (aBacklogged) raises its limit in proportion, since each of them is due
  /// the same share of the servers.
  void OnUtilization(std::optional<double> aUtilization,
                     double aBacklogged,
                     TimePoint aNow);

  /// Mean latency, or zero while unknown. Rises during a stall, before any
  /// request has ended.
  Duration Latency(TimePoint aNow) const;
  /// Expected wait of a request with aAhead others before it, when the limit
  /// is reached; zero while the latency is unknown.
  Duration Wait(std::size_t aAhead, TimePoint aNow) const;

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
  /// Part of the window in which no more could run.
  double BoundPart(TimePoint aNow) const;

  Options mOptions;
  std::size_t mCeiling = 1;
  double mLimit = 1;
  std::size_t mRunning = 0;
  TimePoint mWindowStart{};
  TimePoint mLastChange{};
  /// Running requests integrated over the window, in request-seconds.
  double mArea = 0;
  std::uint64_t mEnded = 0;
  /// Time of the window in which no more could run.
  Duration mAtLimit{};
  std::optional<double> mUtilization;
  TimePoint mNextSteer{};
  /// Until the first sign of queueing the limit doubles per latency.
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
  /// Consecutive cuts, with limit and latency before the first of them.
  std::uint32_t mCuts = 0;
  double mLimitBeforeCuts = 0;
  double mLatencyBeforeCuts = 0;
};

} // namespace cranberrywing
