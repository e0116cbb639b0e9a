/// \file
/// The VM's timeline of events: the most recent entries in memory for the
/// administration API, and each entry as one key=value log line.
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

/// Formats a record as one line of key=value pairs. Values with spaces, quotes,
/// backslashes, equals signs or control characters are quoted and escaped.
/// Thread-safe.
std::string FormatLogLine(const effect::RecordTimeline& aRecord);

/// Ring buffer of the most recent entries. Not thread-safe.
class Timeline
{
public:
  explicit Timeline(std::size_t aCapacity = 4096);

  /// Stores the entry and writes it to the log.
  void Record(effect::RecordTimeline aRecord, std::int64_t aWallMs);
  /// Entries with a number of at least aNumber, oldest first.
  std::vector<TimelineEntry> Since(std::uint64_t aNumber) const;
  /// Number of the next entry to be recorded.
  std::uint64_t NextNumber() const { return mNextNumber; }

private:
  std::size_t mCapacity;
  std::uint64_t mNextNumber = 1;
  std::deque<TimelineEntry> mEntries;
};

} // namespace cranberrywing::daemon
