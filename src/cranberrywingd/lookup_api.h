/// \file
/// HTTP encoding of lookups and execution tickets on the caller port.
#pragma once

#include <optional>
#include <string>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing::daemon {

inline constexpr std::string_view kLookupPath = "/v1/lookup";
inline constexpr std::string_view kTicketPath = "/v1/tickets";

/// Whether a request target consists of the path aPath, with or without a
/// query. Thread-safe.
bool HasPath(std::string_view aTarget, std::string_view aPath);

struct LookupQuery
{
  event::LookupArrived mLookup;
  /// Whether the answer is to include an execution ticket.
  bool mWantsTicket = false;
};

/// Decodes GET /v1/lookup?client=IP&account=A&route=R[&key=K][&ticket=1].
/// Without client, aRemoteAddress is used. Errors: InvalidArgument.
/// Thread-safe.
Result<LookupQuery> ReadLookup(std::string_view aTarget,
                               std::string_view aRemoteAddress);

/// Decodes the route of POST /v1/tickets, from the query or a JSON body
/// {"route":"R"}. Errors: InvalidArgument. Thread-safe.
Result<RouteId> ReadTicketRoute(const RequestContent& aRequest);

/// Encodes a lookup answer:
/// {"vms":[{"vm":..,"address":..,"port":..}],"lifetime_ms":..}, with "ticket"
/// and "ticket_lifetime_ms" if a ticket was requested, or "ticket_vm" if
/// another VM issues it. aTicket is null if no ticket was requested.
/// Thread-safe.
AnswerContentPtr EncodeLookup(const effect::AnswerLookup& aAnswer,
                              const effect::AnswerTicket* aTicket);

/// Encodes the answer to a ticket request: 201 with the ticket, or 307 to the
/// VM that issues it, with the target aTarget. Thread-safe.
AnswerContentPtr EncodeTicket(const effect::AnswerTicket& aAnswer,
                              const std::string& aTarget);

} // namespace cranberrywing::daemon
