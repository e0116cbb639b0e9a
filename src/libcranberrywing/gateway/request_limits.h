/// \file
/// Constants and helpers shared by gateway_requests.cpp, gateway_outcomes.cpp
/// and gateway_upkeep.cpp.
#pragma once

#include <string>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway::detail {

/// Retry delay given to callers if no better estimate is known.
inline constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(250);

/// Time reserved for an answer's way to the caller: a request expires this long
/// before its deadline.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(15);

/// Formats a duration in whole milliseconds for logs. Thread-safe.
inline std::string ToMs(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aDuration).count());
}

} // namespace cranberrywing::gateway::detail
