/// \file
/// Faults that the store stand-in injects, set through its control endpoint.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::standins {

/// How the store stand-in fails as a whole.
enum class Outage : std::uint8_t
{
  None,
  /// Open connections are closed and new ones refused.
  Refuse,
  /// Requests are read but neither applied nor answered.
  Silent,
  /// Requests are answered with gRPC status 14 (UNAVAILABLE) and not applied.
  Error,
};

/// Active faults; the defaults inject none.
struct Faults
{
  Outage mOutage = Outage::None;
  /// Delay before a request is applied, in milliseconds.
  std::int64_t mDelayMs = 0;
  /// Delay between applying a request and answering it, in milliseconds.
  std::int64_t mAnswerDelayMs = 0;
  /// Number of further writes that are applied but not answered: the
  /// connection is closed instead.
  std::int64_t mAnswersToDrop = 0;
  /// Watches stay open but send neither changes nor progress notifications.
  bool mStaleWatch = false;
};

/// Returns aFaults with the members of aBody applied, for example
/// {"outage":"refuse","delay_ms":50,"lose_answers":2,"stale_watch":true}.
/// Errors: InvalidArgument if any member is unknown or has an invalid value.
/// Thread-safe.
Result<Faults> ApplyFaults(const Faults& aFaults,
                           const boost::json::object& aBody);

/// JSON form that ApplyFaults accepts. Thread-safe.
boost::json::object EncodeFaults(const Faults& aFaults);

} // namespace cranberrywing::standins
