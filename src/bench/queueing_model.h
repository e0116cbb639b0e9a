/// \file
/// A small queueing model in virtual time for benchmarks: an event loop and
/// backend servers with a fixed number of workers. It decides nothing.
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

/// Runs actions in order of time, then of scheduling.
class EventLoop
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return mNow; }

  void After(Duration aDelay, Action aAction)
  {
    mQueue.push({ mNow + aDelay, mSequence++, std::move(aAction) });
  }

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

/// Poisson arrivals at a rate that may change while they run.
class Arrivals
{
public:
  Arrivals(EventLoop& aLoop, std::uint64_t aSeed)
    : mLoop(aLoop)
    , mRandom(aSeed)
  {
  }

  /// Calls the hook at a rate in requests per second, until the loop ends.
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

/// A server that runs requests in order of arrival on a number of workers.
/// Service times are exponentially distributed.
class ModelServer
{
public:
  struct Options
  {
    std::size_t mWorkers = 4;
    /// Seconds per request.
    double mServiceTime = 0.02;
    std::uint64_t mSeed = 1;
  };

  using Done = std::function<void(Duration aLatency)>;

  ModelServer(EventLoop& aLoop, Options aOptions)
    : mLoop(aLoop)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  void Submit(Done aDone)
  {
    Account();
    ++mArrived;
    mWaiting.push_back({ mLoop.Now(), std::move(aDone) });
    StartNext();
  }

  /// Load since the last call.
  event::LoadReport TakeReport()
  {
    Account();
    const double seconds = Seconds(mLoop.Now() - mReported);
    event::LoadReport report;
    if (seconds > 0) {
      report.mUtilization =
        mBusySeconds / (seconds * static_cast<double>(mOptions.mWorkers));
      report.mRequestsPerSecond = static_cast<double>(mArrived) / seconds;
    }
    report.mInFlight = static_cast<std::uint32_t>(mBusy + mWaiting.size());
    mReported = mLoop.Now();
    mBusySeconds = 0;
    mArrived = 0;
    return report;
  }

  std::size_t InFlight() const { return mBusy + mWaiting.size(); }

private:
  struct Waiting
  {
    TimePoint mArrived;
    Done mDone;
  };

  void Account()
  {
    mBusySeconds +=
      static_cast<double>(mBusy) * Seconds(mLoop.Now() - mAccounted);
    mAccounted = mLoop.Now();
  }

  void StartNext()
  {
    while (mBusy < mOptions.mWorkers && !mWaiting.empty()) {
      Waiting next = std::move(mWaiting.front());
      mWaiting.pop_front();
      ++mBusy;
      std::exponential_distribution<double> time(1 / mOptions.mServiceTime);
      mLoop.After(FromSeconds(time(mRandom)), [this, next = std::move(next)] {
        Account();
        --mBusy;
        StartNext();
        next.mDone(mLoop.Now() - next.mArrived);
      });
    }
  }

  EventLoop& mLoop;
  Options mOptions;
  std::mt19937_64 mRandom;
  std::deque<Waiting> mWaiting;
  std::size_t mBusy = 0;
  std::uint64_t mArrived = 0;
  double mBusySeconds = 0;
  TimePoint mAccounted{};
  TimePoint mReported{};
};

/// The quantile of the values, from 0 to 1; 0 without values.
inline double Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto place =
    aValues.begin() + static_cast<std::ptrdiff_t>(last * aPart);
  std::nth_element(aValues.begin(), place, aValues.end());
  return *place;
}

} // namespace cranberrywing::bench
