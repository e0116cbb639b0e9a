/// \file
/// The VM's time line: the last entries in memory for the administration
/// API, and each entry as one key=value log line.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"

namespace cranberrywing::daemon {

struct TimelineEntry
{
  std::uint64_t mNumber = 0;
  /// Unix time in milliseconds.
  std::int64_t mWallMs = 0;
  effect::RecordTimeline mRecord;
};

/// One line of key=value pairs; values with spaces, quotes, equals signs or
/// control characters are quoted and escaped. Thread-safe.
std::string FormatLogLine(const effect::RecordTimeline& aRecord);

/// Not thread-safe.
class Timeline
{
public:
  explicit Timeline(std::size_t aCapacity = 4096);

  /// Keeps the entry and logs it.
  void Record(effect::RecordTimeline aRecord, std::int64_t aWallMs);
  /// Entries with a number of at least aNumber, oldest first.
  std::vector<TimelineEntry> Since(std::uint64_t aNumber) const;
  /// Number that the next entry gets.
  std::uint64_t NextNumber() const { return mNextNumber; }

private:
  std::size_t mCapacity;
  std::uint64_t mNextNumber = 1;
  std::deque<TimelineEntry> mEntries;
};

} // namespace cranberrywing::daemon
