/// \file
/// Text format of execution tickets. A ticket permits one execution for an
/// account and route, in a given slot and epoch, until it expires. It is
/// authenticated with HMAC-SHA-256 (design 3.4).
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
  /// Unique within the slot and epoch.
  std::uint64_t mNumber = 0;
  /// Unix time in seconds from which the ticket is no longer run.
  std::int64_t mExpirySeconds = 0;

  bool operator==(const TicketFields&) const = default;
};

/// Issues and verifies tickets with a shared secret. Not thread-safe.
class TicketSigner
{
public:
  /// Sets the secret. Tickets issued with the previous secret remain valid, so
  /// that changing the secret does not invalidate tickets already issued.
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
