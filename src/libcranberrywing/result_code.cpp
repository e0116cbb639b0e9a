#include "cranberrywing/result_code.h"

#include <algorithm>
#include <array>

#include "cranberrywing/http_types.h"

namespace cranberrywing {

namespace {

struct CodeRow
{
  ResultCode mCode;
  std::string_view mName;
  unsigned mStatus;
};

constexpr std::array kCodes{
  CodeRow{ ResultCode::Ok, "ok", 200 },
  CodeRow{ ResultCode::InvalidArgument, "invalid_argument", 400 },
  CodeRow{ ResultCode::InvalidSettings, "invalid_settings", 422 },
  CodeRow{ ResultCode::UnknownNode, "unknown_node", 404 },
  CodeRow{ ResultCode::UnknownRoute, "unknown_route", 404 },
  CodeRow{ ResultCode::IdempotencyKeyRequired,
           "idempotency_key_required",
           428 },
  CodeRow{ ResultCode::IdempotencyKeyReused, "idempotency_key_reused", 422 },
  CodeRow{ ResultCode::ConflictingIdentities, "conflicting_identities", 400 },
  CodeRow{ ResultCode::InvalidTicket, "invalid_ticket", 400 },
  CodeRow{ ResultCode::RequestTooLarge, "request_too_large", 413 },
  CodeRow{ ResultCode::KeyMissing, "key_missing", 401 },
  CodeRow{ ResultCode::KeyUnknown, "key_unknown", 401 },
  CodeRow{ ResultCode::KeyWithdrawn, "key_withdrawn", 401 },
  CodeRow{ ResultCode::OperatorForbidden, "operator_forbidden", 403 },
  CodeRow{ ResultCode::OperatorUnknown, "operator_unknown", 401 },
  CodeRow{ ResultCode::RateExceeded, "rate_exceeded", 429 },
  CodeRow{ ResultCode::Overloaded, "overloaded", 503 },
  CodeRow{ ResultCode::DeadlineTooShort, "deadline_too_short", 503 },
  CodeRow{ ResultCode::RequestBlocked, "request_blocked", 422 },
  CodeRow{ ResultCode::NoBackend, "no_backend", 503 },
  CodeRow{ ResultCode::StoreUnavailable, "store_unavailable", 503 },
  CodeRow{ ResultCode::Isolated, "isolated", 503 },
  CodeRow{ ResultCode::ShuttingDown, "shutting_down", 503 },
  CodeRow{ ResultCode::NotOwner, "not_owner", 503 },
  CodeRow{ ResultCode::BackendFailed, "backend_failed", 502 },
  CodeRow{ ResultCode::DeadlineExceeded, "deadline_exceeded", 504 },
  CodeRow{ ResultCode::NoConfiguration, "no_configuration", 503 },
  CodeRow{ ResultCode::PeerUnreachable, "peer_unreachable", 503 },
  CodeRow{ ResultCode::RevisionConflict, "revision_conflict", 412 },
  CodeRow{ ResultCode::OutcomeUnknown, "outcome_unknown", 504 },
  CodeRow{ ResultCode::NotAccepted, "not_accepted", 409 },
  CodeRow{ ResultCode::Internal, "internal", 500 },
  CodeRow{ ResultCode::Malformed, "malformed", 400 },
};

const CodeRow& RowOf(ResultCode aCode)
{
  const auto it =
    std::find_if(kCodes.begin(), kCodes.end(), [aCode](const CodeRow& aRow) {
      return aRow.mCode == aCode;
    });
  return it == kCodes.end() ? RowOf(ResultCode::Internal) : *it;
}

} // namespace

std::string_view ToString(ResultCode aCode)
{
  return RowOf(aCode).mName;
}

unsigned HttpStatus(ResultCode aCode)
{
  return RowOf(aCode).mStatus;
}

int ExitStatus(ResultCode aCode)
{
  // 1 is reserved for the shell and for failures outside this table.
  const int group = static_cast<int>(aCode) / 100;
  return group == 0 ? 0 : group + 1;
}

std::string_view ToString(Execution aExecution)
{
  switch (aExecution) {
    case Execution::NotRun:
      return "not_run";
    case Execution::Completed:
      return "completed";
    case Execution::Unknown:
      return "unknown";
    case Execution::NotAttempted:
      return "not_attempted";
  }
  return "unknown";
}

} // namespace cranberrywing
