/// \file
/// The text of execution tickets: who may run what, in which slot and epoch,
/// until when; authenticated with HMAC-SHA-256 (design 3.4).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct TicketFields
{
  std::uint32_t mSlot = 0;
  /// Epoch of the owner that issued the ticket.
  std::uint64_t mEpoch = 0;
  /// Unique in the slot and epoch.
  std::uint64_t mNumber = 0;
  /// Wall-clock seconds after which the ticket never runs.
  std::int64_t mExpirySeconds = 0;

  bool operator==(const TicketFields&) const = default;
};

/// Not thread-safe.
class TicketSigner
{
public:
  /// Tickets of the secret before this one stay valid, so that a change of
  /// the secret costs no ticket holder an answer.
  void SetSecret(const std::string& aSecret);

  /// Errors: NoConfiguration if no secret is set.
  Result<std::string> Issue(const TicketFields& aFields,
                            const AccountId& aAccount,
                            const RouteId& aRoute) const;
  /// Errors: InvalidTicket if the text is malformed, forged, or issued for
  /// another account or route.
  Result<TicketFields> Verify(std::string_view aText,
                              const AccountId& aAccount,
                              const RouteId& aRoute) const;

private:
  std::string mSecret;
  std::string mPreviousSecret;
};

} // namespace cranberrywing
