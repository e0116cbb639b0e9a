/// \file
/// Time lines of several daemons in one order.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

struct TimelineRow
{
  std::int64_t mWallMs = 0;
  /// Wall time raised to that of the VM's entry before; set by
  /// MergeTimelines.
  std::int64_t mOrderMs = 0;
  std::string mVm;
  std::uint64_t mNumber = 0;
  std::string mEvent;
  boost::json::object mFields;
};

/// One daemon's entries. Errors: those of the daemon; Malformed.
Result<std::vector<TimelineRow>> ReadTimeline(const ApiClient& aClient,
                                              const netutil::Endpoint& aDaemon,
                                              std::uint64_t aSince);

/// Orders by wall time, VM and sequence number. A daemon that was given twice
/// counts once. Wall clocks step back; the entries of one VM are nevertheless
/// in the order of their numbers. Thread-safe.
void MergeTimelines(std::vector<TimelineRow>& aRows);

/// Wall time as 2026-01-31T12:00:00.000Z. Thread-safe.
std::string FormatWallTime(std::int64_t aWallMs);

void PrintTimeline(Invocation& aInvocation,
                   const std::vector<TimelineRow>& aRows);

} // namespace cranberrywing::cli
