/// \file
/// HTTP forms of lookups and tickets on the caller port.
#pragma once

#include <optional>
#include <string>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing::daemon {

inline constexpr std::string_view kLookupPath = "/v1/lookup";
inline constexpr std::string_view kTicketPath = "/v1/tickets";

/// Whether a target is the path, with or without a query. Thread-safe.
bool HasPath(std::string_view aTarget, std::string_view aPath);

struct LookupQuery
{
  event::LookupArrived mLookup;
  /// Whether an execution ticket is wanted with the answer.
  bool mWantsTicket = false;
};

/// Reads GET /v1/lookup?client=IP&account=A&route=R[&key=K][&ticket=1].
/// Without client, the caller's own address counts. Errors: InvalidArgument.
/// Thread-safe.
Result<LookupQuery> ReadLookup(std::string_view aTarget,
                               std::string_view aRemoteAddress);

/// Route of POST /v1/tickets, from the query or a JSON body {"route":"R"}.
/// Errors: InvalidArgument. Thread-safe.
Result<RouteId> ReadTicketRoute(const RequestContent& aRequest);

/// {"vms":[{"vm":..,"address":..,"port":..}],"lifetime_ms":..}, with
/// "ticket" and "ticket_lifetime_ms" if a ticket was wanted, or
/// "ticket_vm" if another VM issues it. Thread-safe.
AnswerContentPtr EncodeLookup(const effect::AnswerLookup& aAnswer,
                              const effect::AnswerTicket* aTicket);

/// 201 with the ticket, or 307 to the VM that issues tickets. Thread-safe.
AnswerContentPtr EncodeTicket(const effect::AnswerTicket& aAnswer,
                              const std::string& aTarget);

} // namespace cranberrywing::daemon
