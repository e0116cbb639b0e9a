/// \file
/// Queueing model in virtual time for benchmarks: an event loop, Poisson
/// arrivals and backend servers with a fixed number of workers. It contains no
/// traffic control; that is under test. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "cranberrywing/event.h"
#include "cranberrywing/types.h"

namespace cranberrywing::bench {

inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

inline double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Event loop in virtual time. Runs actions in order of their time; actions at
/// the same time run in the order in which they were scheduled.
class EventLoop
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return mNow; }

  /// Schedules an action.
  void After(Duration aDelay, Action aAction)
  {
    mQueue.push({ mNow + aDelay, mSequence++, std::move(aAction) });
  }

  /// Runs all actions up to and including aEnd, then sets the time to aEnd.
  void RunUntil(TimePoint aEnd)
  {
    while (!mQueue.empty() && mQueue.top().mTime <= aEnd) {
      Action action = std::move(const_cast<Item&>(mQueue.top()).mAction);
      mNow = mQueue.top().mTime;
      mQueue.pop();
      action();
    }
    mNow = aEnd;
  }

private:
  struct Item
  {
    TimePoint mTime;
    std::uint64_t mSequence = 0;
    Action mAction;

    bool operator<(const Item& aOther) const
    {
      return std::pair(mTime, mSequence) >
             std::pair(aOther.mTime, aOther.mSequence);
    }
  };

  TimePoint mNow{ std::chrono::seconds(1) };
  std::uint64_t mSequence = 0;
  std::priority_queue<Item> mQueue;
};

/// Poisson arrivals whose rate may change during the run.
class Arrivals
{
public:
  Arrivals(EventLoop& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  /// Calls aHook at the rate that aRate returns, in requests per second, as
  /// long as the loop runs.
  void Start(std::function<double()> aRate, std::function<void()> aHook)
  {
    mRate = std::move(aRate);
    mHook = std::move(aHook);
    Next();
  }

private:
  void Next()
  {
    const double rate = mRate();
    if (rate <= 0) {
      mLoop.After(std::chrono::milliseconds(10), [this] { Next(); });
      return;
    }
    std::exponential_distribution<double> gap(rate);
    mLoop.After(FromSeconds(gap(mRandom)), [this] {
      mHook();
      Next();
    });
  }

  EventLoop& mLoop;
  std::mt19937_64 mRandom;
  std::function<double()> mRate;
  std::function<void()> mHook;
};

/// Server that runs requests in order of arrival on a fixed number of workers,
/// with exponentially distributed service times.
class ModelServer
{
public:
  struct Options
  {
    std::size_t mWorkers = 4;
    /// Mean service time in seconds.
    double mServiceTime = 0.02;
    std::uint64_t mSeed = 1;
  };

  using DoneHandler = std::function<void(Duration aLatency)>;

  ModelServer(EventLoop& aLoop, Options aOptions)
    : mLoop(aLoop)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  /// Queues a request; aDone gets its latency, waiting time included.
  void Submit(DoneHandler aDone)
  {
    AccumulateBusyTime();
    ++mArrived;
    mPending.push_back({ mLoop.Now(), std::move(aDone) });
    StartNext();
  }

  /// Load since the last call of TakeReport.
  event::LoadReport TakeReport()
  {
    AccumulateBusyTime();
    const double seconds = Seconds(mLoop.Now() - mLastReport);
    event::LoadReport report;
    if (seconds > 0) {
      report.mUtilization =
        mBusySeconds / (seconds * static_cast<double>(mOptions.mWorkers));
      report.mRequestsPerSecond = static_cast<double>(mArrived) / seconds;
    }
    report.mInFlight = static_cast<std::uint32_t>(mBusy + mPending.size());
    mLastReport = mLoop.Now();
    mBusySeconds = 0;
    mArrived = 0;
    return report;
  }

  std::size_t InFlight() const { return mBusy + mPending.size(); }

private:
  struct PendingRequest
  {
    TimePoint mArrived;
    DoneHandler mDone;
  };

  /// Adds the workers' busy time since the last call.
  void AccumulateBusyTime()
  {
    mBusySeconds +=
      static_cast<double>(mBusy) * Seconds(mLoop.Now() - mLastAccumulated);
    mLastAccumulated = mLoop.Now();
  }

  void StartNext()
  {
    while (mBusy < mOptions.mWorkers && !mPending.empty()) {
      PendingRequest next = std::move(mPending.front());
      mPending.pop_front();
      ++mBusy;
      std::exponential_distribution<double> time(1 / mOptions.mServiceTime);
      mLoop.After(FromSeconds(time(mRandom)), [this, next = std::move(next)] {
        AccumulateBusyTime();
        --mBusy;
        StartNext();
        next.mDone(mLoop.Now() - next.mArrived);
      });
    }
  }

  EventLoop& mLoop;
  Options mOptions;
  std::mt19937_64 mRandom;
  std::deque<PendingRequest> mPending;
  std::size_t mBusy = 0;
  std::uint64_t mArrived = 0;
  double mBusySeconds = 0;
  TimePoint mLastAccumulated{};
  TimePoint mLastReport{};
};

/// Quantile (0 to 1) of the values; 0 if there are none.
inline double Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto position =
    aValues.begin() + static_cast<std::ptrdiff_t>(last * aQuantile);
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

} // namespace cranberrywing::bench
