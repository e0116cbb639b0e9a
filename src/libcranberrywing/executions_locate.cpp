// Mapping of a request to its slot and execution ID.
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// Appends a field with its length, so that different fields never yield equal
/// input.
void AppendField(std::string& aInput, std::string_view aField)
{
  aInput += std::to_string(aField.size());
  aInput += ':';
  aInput += aField;
}

/// The first 128 bits of SHA-256. A cryptographic hash is required so that a
/// caller cannot construct a key whose execution collides with that of another
/// client account.
ExecutionId MakeExecutionId(const std::string& aInput)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aInput.data()),
         aInput.size(),
         digest.data());
  ExecutionId id;
  std::memcpy(&id.mDigest.mHigh, digest.data(), sizeof(id.mDigest.mHigh));
  std::memcpy(&id.mDigest.mLow,
              digest.data() + sizeof(id.mDigest.mHigh),
              sizeof(id.mDigest.mLow));
  return id;
}

ExecutionId MakeClaimExecutionId(const ExecutionRequest& aRequest)
{
  std::string input = "key";
  AppendField(input, aRequest.mAccount.mName);
  AppendField(input, aRequest.mRoute.mName);
  AppendField(input, aRequest.mIdempotencyKey);
  return MakeExecutionId(input);
}

ExecutionId MakeTicketExecutionId(const TicketFields& aTicket)
{
  std::string input = "ticket";
  AppendField(input, std::to_string(aTicket.mSlot));
  AppendField(input, std::to_string(aTicket.mEpoch));
  AppendField(input, std::to_string(aTicket.mNumber));
  return MakeExecutionId(input);
}

} // namespace

Result<Executions::Attempt> Executions::LocateAttempt(
  const ExecutionRequest& aRequest) const
{
  const bool hasKey = !aRequest.mIdempotencyKey.empty();
  const bool hasTicket = !aRequest.mTicket.empty();
  if (hasKey && hasTicket) {
    return MakeError(
      ResultCode::ConflictingIdentities,
      "a request must not have both an idempotency key and a ticket");
  }
  if (!hasKey && !hasTicket) {
    return MakeError(ResultCode::IdempotencyKeyRequired,
                     "the route requires an idempotency key or a ticket");
  }
  Attempt attempt{
    .mRequest = aRequest, .mSlot = 0, .mExecution = {}, .mTicket = std::nullopt
  };
  const std::uint32_t count = std::max(1u, mSlots.SlotCount());
  if (hasKey) {
    attempt.mExecution = MakeClaimExecutionId(aRequest);
    attempt.mSlot =
      static_cast<std::uint32_t>(attempt.mExecution.mDigest.mHigh % count);
    return attempt;
  }
  const Result<TicketFields> ticket =
    mSigner.Verify(aRequest.mTicket, aRequest.mAccount, aRequest.mRoute);
  if (!ticket) {
    return tl::unexpected(ticket.error());
  }
  if (ticket->mSlot >= count) {
    return MakeError(ResultCode::InvalidTicket,
                     "the ticket names an unknown slot");
  }
  attempt.mExecution = MakeTicketExecutionId(*ticket);
  attempt.mSlot = ticket->mSlot;
  attempt.mTicket = *ticket;
  return attempt;
}

Result<ExecutionLocation> Executions::Locate(
  const ExecutionRequest& aRequest) const
{
  const Result<Attempt> attempt = LocateAttempt(aRequest);
  if (!attempt) {
    return tl::unexpected(attempt.error());
  }
  return ExecutionLocation{ .mSlot = attempt->mSlot,
                            .mExecution = attempt->mExecution,
                            .mOwner = mSlots.Owner(attempt->mSlot),
                            .mIsOwnedLocally = mSlots.IsOwner(attempt->mSlot) };
}

} // namespace cranberrywing
