/// \file
/// Merges the event timelines of several daemons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// An entry of a timeline.
struct TimelineRow
{
  std::int64_t mWallMs = 0;
  /// Sort key: the wall time, but not less than that of the preceding entry of
  /// the same VM. Set by MergeTimelines.
  std::int64_t mOrderMs = 0;
  std::string mVm;
  std::uint64_t mNumber = 0;
  std::string mEvent;
  boost::json::object mFields;
};

/// Reads the entries of one daemon from sequence number aSince on. Errors:
/// those of the daemon; Malformed.
Result<std::vector<TimelineRow>> ReadTimeline(const ApiClient& aClient,
                                              const netutil::Endpoint& aDaemon,
                                              std::uint64_t aSince);

/// Sorts by wall time, VM and sequence number, and removes duplicates of
/// daemons that were given twice. The entries of one VM stay in the order of
/// their sequence numbers, even if its wall clock was set back. Thread-safe.
void MergeTimelines(std::vector<TimelineRow>& aRows);

/// Formats a wall time in UTC as 2026-01-31T12:00:00.000Z. Thread-safe.
std::string FormatWallTime(std::int64_t aWallMs);

/// Prints the entries as a table or JSON.
void PrintTimeline(Invocation& aInvocation,
                   const std::vector<TimelineRow>& aRows);

} // namespace cranberrywing::cli
