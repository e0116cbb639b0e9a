/// \file
/// Discrete-event scheduler with virtual time, for tests and benchmarks.
#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::testing {

/// Runs actions in order of their scheduled time. Virtual time advances only
/// between actions. Not thread-safe.
class EventQueue
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return mNow; }

  /// Schedules the action after the delay. Actions scheduled for the same time
  /// run in the order in which they were scheduled.
  void After(Duration aDelay, Action aAction)
  {
    mEntries.push({ mNow + aDelay, mNextOrder++, std::move(aAction) });
  }

  /// Schedules the action periodically, for the first time after the delay.
  void Every(Duration aDelay, Duration aPeriod, Action aAction)
  {
    After(aDelay, [this, aPeriod, action = std::move(aAction)]() mutable {
      action();
      Every(aPeriod, aPeriod, std::move(action));
    });
  }

  /// Advances virtual time by the duration and runs the actions that fall due.
  void RunFor(Duration aDuration)
  {
    const TimePoint end = mNow + aDuration;
    while (!mEntries.empty() && mEntries.top().mTime <= end) {
      // Removed before the action runs, because the action may schedule others.
      Entry entry = std::move(const_cast<Entry&>(mEntries.top()));
      mEntries.pop();
      mNow = entry.mTime;
      entry.mAction();
    }
    mNow = end;
  }

private:
  struct Entry
  {
    TimePoint mTime;
    std::uint64_t mOrder;
    Action mAction;

    bool operator<(const Entry& aOther) const
    {
      return mTime != aOther.mTime ? mTime > aOther.mTime
                                   : mOrder > aOther.mOrder;
    }
  };

  TimePoint mNow{};
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Entry> mEntries;
};

} // namespace cranberrywing::testing
