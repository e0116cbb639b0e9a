/// \file
/// Adaptive limit on the concurrent requests of each client account of a
/// service, and an estimate of the service's latency.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Adapts the level: the number of requests that each client account may have
/// running. It is chosen so that the servers are well utilized, while excess
/// requests wait in this VM's fair queues and not inside the servers, where
/// fairness does not apply. An account that needs less than the level is not
/// limited by it, so the level is the water-filling level of max-min fairness.
///
/// The level rises while it limits an account and the servers have spare
/// capacity, and is multiplied by a factor below 1 when they have none. Spare
/// capacity is judged by the servers' reported utilization. Without recent
/// reports, and immediately in a sudden overload, it is judged by latency. Mean
/// latency follows from Little's law: the integral of the number of running
/// requests over a window, divided by the completions in it.
///
/// Not thread-safe; owned by FairQueue.
class ConcurrencyLimit
{
public:
  struct Options
  {
    double mInitialLevel = 32;
    /// Target for the servers' reported utilization in overload, from 0 to 1.
    /// At 0.87, some accounts within their share still waited too long behind
    /// an account at 5 times its rate: their p99 was 1.12 times the p99 alone.
    double mTargetUtilization = 0.85;
    /// Tolerated increase of the mean latency over its value without queueing,
    /// as a fraction of that value.
    double mLatencyTolerance = 0.1;
    /// If false, the level is not adapted and only the ceiling applies.
    bool mIsAdaptive = true;
  };

  ConcurrencyLimit();
  explicit ConcurrencyLimit(Options aOptions);

  /// Sets the maximum of the level: the service's number of connections. Values
  /// below 1 count as 1.
  void SetCeiling(std::size_t aCeiling);
  std::size_t Ceiling() const { return mCeiling; }

  /// Number of requests that an account of maximum weight may have running.
  double Level() const;
  std::size_t Running() const { return mRunning; }
  /// Sets whether the level currently keeps a request from running.
  void SetLimiting(bool aIsLimiting, TimePoint aNow);

  void OnStart(TimePoint aNow);
  void OnFinish(TimePoint aNow);

  /// Updates the servers' reported mean utilization, from 0 to 1; nullopt
  /// without recent reports. To be called at least every second.
  void OnUtilization(std::optional<double> aUtilization, TimePoint aNow);

  /// Smoothed mean latency; zero while unknown. During a stall it rises before
  /// any request has completed.
  Duration Latency(TimePoint aNow) const;

private:
  /// Minimum of the window latencies over the last one to two periods.
  class WindowedMinLatency
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
  void Decrease(double aLatency, TimePoint aNow);
  void Increase(double aStep);
  double BaselineLatency() const;
  /// Ratio of latency to its baseline above which requests are considered to
  /// queue in the servers.
  double Tolerance() const;
  /// Fraction of the window during which the level limited requests.
  double LimitedFraction(TimePoint aNow) const;

  Options mOptions;
  std::size_t mCeiling = 1;
  double mLevel = 1;
  bool mIsLimiting = false;
  std::size_t mRunning = 0;
  TimePoint mWindowStart{};
  TimePoint mLastChange{};
  /// Time when a request last completed or, if none has since the service was
  /// idle, when the oldest one running started.
  TimePoint mLastProgress{};
  /// Integral of the running requests over the window, in request-seconds.
  double mRunningSeconds = 0;
  std::uint64_t mCompleted = 0;
  /// Time within the window during which the level limited requests.
  Duration mLimitedTime{};
  std::optional<double> mUtilization;
  TimePoint mNextAdjustment{};
  /// Whether no queueing has been seen yet; until then the level rises quickly.
  bool mIsStarting = true;
  /// Smoothed latency in seconds; zero while unknown.
  double mLatency = 0;
  WindowedMinLatency mMinLatency;
  /// Minimum window latency while mIsStarting, in seconds.
  double mStartMinLatency = 0;
  /// Latency of the last window, in seconds.
  double mLastWindowLatency = 0;
  /// Standard deviation of the window latencies relative to their mean,
  /// estimated from differences of successive windows.
  double mRelativeDeviation = 0.05;
  /// Consecutive decreases, and the level and latency before the first of them.
  std::uint32_t mConsecutiveDecreases = 0;
  double mLevelBeforeDecreases = 0;
  double mLatencyBeforeDecreases = 0;
};

} // namespace cranberrywing
