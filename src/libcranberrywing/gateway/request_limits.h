/// \file
/// Limits that sending a request and judging its outcome share.
#pragma once

#include <string>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway::detail {

/// Wait that callers are told when nothing better is known.
inline constexpr Duration kUsualRetry = std::chrono::milliseconds(250);

/// An answer that comes this much before the deadline still reaches the
/// caller in time.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(15);

/// Whole milliseconds, for logs. Thread-safe.
inline std::string ToMs(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aDuration).count());
}

} // namespace cranberrywing::gateway::detail
