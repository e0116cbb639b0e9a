/// \file
/// Virtual time for tests and benchmarks: actions run in order of their
/// time, and time passes only between them.
#pragma once

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::testing {

/// Not thread-safe.
class EventQueue
{
public:
  using Action = std::function<void()>;

  TimePoint Now() const { return mNow; }

  /// Runs the action after the delay; actions of one moment run in the order
  /// of their scheduling.
  void After(Duration aDelay, Action aAction)
  {
    mEntries.push({ mNow + aDelay, mNextOrder++, std::move(aAction) });
  }

  /// Runs the action every period, at first after the delay.
  void Every(Duration aDelay, Duration aPeriod, Action aAction)
  {
    After(aDelay, [this, aPeriod, action = std::move(aAction)]() mutable {
      action();
      Every(aPeriod, aPeriod, std::move(action));
    });
  }

  void RunFor(Duration aDuration)
  {
    const TimePoint end = mNow + aDuration;
    while (!mEntries.empty() && mEntries.top().mTime <= end) {
      // The entry is removed before it runs, as it may schedule others.
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
