/// \file
/// Messages between peers for at-most-once execution. Members are serialized
/// in the order of the serialize functions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Identifies an execution: a hash of account, route and the caller's
/// idempotency key, or of a ticket's slot, epoch and number.
struct ExecutionId
{
  ContentDigest mDigest;

  auto operator<=>(const ExecutionId&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDigest);
  }
};

/// An answer stored for repeated requests.
struct StoredAnswer
{
  ExecutionId mExecution;
  std::uint32_t mSlot = 0;
  AnswerContent mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mExecution, mSlot, mAnswer);
  }
};

namespace message {

/// A non-idempotent request, forwarded by the VM that received it to its slot's
/// owner.
struct ForwardedRequest
{
  /// Chosen by the sender; returned in the answer or refusal.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  /// Name of the API key of the request, so that the owner can check whether it
  /// has been withdrawn.
  std::string mKeyName;
  std::string mIdempotencyKey;
  std::string mTicket;
  RequestContent mContent;
  std::uint32_t mTimeoutMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber,
             mAccount,
             mKeyName,
             mIdempotencyKey,
             mTicket,
             mContent,
             mTimeoutMs);
  }
};

/// The owner's reply to ForwardedRequest: an answer.
struct ForwardedAnswer
{
  std::uint64_t mNumber = 0;
  AnswerContent mAnswer;
  bool mReplayed = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAnswer, mReplayed);
  }
};

/// The owner's reply to ForwardedRequest: a refusal.
struct ForwardedRefusal
{
  std::uint64_t mNumber = 0;
  Refusal mRefusal;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRefusal);
  }
};

/// Copy of a stored answer for a VM in another failure domain.
struct AnswerCopy
{
  /// Returned in AnswerCopyAck; zero if no acknowledgement is wanted.
  std::uint64_t mNumber = 0;
  StoredAnswer mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAnswer);
  }
};

struct AnswerCopyAck
{
  std::uint64_t mNumber = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber);
  }
};

/// A slot's new owner queries copies of the slot's answers.
struct AnswerCopyQuery
{
  std::uint32_t mSlot = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSlot);
  }
};

/// Known outcome of an execution.
enum class ExecutionOutcome : std::uint8_t
{
  /// The execution may have run and will not run again.
  Unknown,
  Completed,
  /// The execution provably did not run at a backend server; it may run later.
  NotRun,
  /// The execution is running at the sender of the handover message, which
  /// reports the outcome later.
  Running,
};

/// One execution in a handover message.
struct ExecutionRecord
{
  ExecutionId mExecution;
  /// Contains only the part of the request's digest that is stored with claims
  /// (MakeContentTag).
  ContentDigest mContent;
  /// Unix time in seconds from which the record may be removed.
  std::int64_t mExpirySeconds = 0;
  ExecutionOutcome mOutcome = ExecutionOutcome::Unknown;
  bool mIsTicket = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mExecution, mContent, mExpirySeconds, mOutcome, mIsTicket);
  }
};

/// State of a slot, sent by its previous owner to the new one after a planned
/// handover: as soon as no commit is pending, and again when the last execution
/// has ended.
struct SlotHandover
{
  std::uint32_t mSlot = 0;
  /// Epoch in which the sender owned the slot. It starts no more executions in
  /// this epoch.
  std::uint64_t mEpoch = 0;
  /// Earlier epochs whose state was handed over to the sender.
  std::vector<std::uint64_t> mInheritedEpochs;
  /// All tickets that the sender has run, and claims whose outcome is not the
  /// one implied by the store's claim batches (Unknown).
  std::vector<ExecutionRecord> mRecords;
  /// The newest answers that fit in the message. Older ones are sent before it
  /// as AnswerCopy.
  std::vector<StoredAnswer> mAnswers;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSlot, mEpoch, mInheritedEpochs, mRecords, mAnswers);
  }
};

} // namespace message
} // namespace cranberrywing
