/// \file
/// Faults that the control endpoint sets on the store stand-in.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::standins {

enum class Outage : std::uint8_t
{
  None,
  /// Connections are refused.
  Refuse,
  /// Calls are read and never answered; they have no effect.
  Silent,
  /// Calls are answered with gRPC's status 14, unavailable.
  Error,
};

struct Faults
{
  Outage mOutage = Outage::None;
  /// Wait before a call takes effect.
  std::int64_t mDelayMs = 0;
  /// Wait between a call's effect and its answer.
  std::int64_t mAnswerDelayMs = 0;
  /// Number of coming writes that take effect and whose connection is then
  /// closed without an answer.
  std::int64_t mLoseAnswers = 0;
  /// Watches stay open and tell nothing, progress included.
  bool mStaleWatch = false;
};

/// Changes the faults that the object names, for example
/// {"outage":"refuse","delay_ms":50,"lose_answers":2,"stale_watch":true}.
/// Errors: InvalidArgument for an unknown name or a wrong value; nothing is
/// changed then.
Result<Faults> ApplyFaults(const Faults& aFaults,
                           const boost::json::object& aBody);

boost::json::object EncodeFaults(const Faults& aFaults);

} // namespace cranberrywing::standins
