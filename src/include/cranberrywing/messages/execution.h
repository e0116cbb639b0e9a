/// \file
/// Peer messages of at-most-once execution.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Names one intended execution: account, route and the caller's
/// idempotency key, hashed; or a ticket's unique number.
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

/// An answer kept for repeats.
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

/// A non-idempotent request that arrived at a VM other than its slot's owner.
struct ForwardedRequest
{
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  /// Name of the key that came with the request, to check its withdrawal.
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

/// Copy of an answer, for a VM in another failure domain.
struct AnswerCopy
{
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

/// A new owner asks for the copies of a slot's answers.
struct AnswerCopyQuery
{
  std::uint32_t mSlot = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSlot);
  }
};

/// What is known of an execution.
enum class ExecutionOutcome : std::uint8_t
{
  /// It may have run and will not run again.
  Unknown,
  Completed,
  /// No byte of it reached a backend server; it may run.
  NotRun,
  /// It runs at the sender of a handover, which tells its outcome later.
  Running,
};

/// One execution as it is handed over.
struct ExecutionRecord
{
  ExecutionId mExecution;
  /// Of the request's digest only the part that records keep (MakeContentTag).
  ContentDigest mContent;
  /// Wall-clock seconds at which the record may be removed.
  std::int64_t mExpirySeconds = 0;
  ExecutionOutcome mOutcome = ExecutionOutcome::Unknown;
  bool mIsTicket = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mExecution, mContent, mExpirySeconds, mOutcome, mIsTicket);
  }
};

/// The owner of a slot has given it up as planned and passes on its state:
/// at once, and again when the last execution has ended.
struct SlotHandover
{
  std::uint32_t mSlot = 0;
  /// Epoch in which the sender owned the slot and now starts nothing more.
  std::uint64_t mEpoch = 0;
  /// Earlier epochs that were handed over to the sender in the same way.
  std::vector<std::uint64_t> mInheritedEpochs;
  /// Every ticket seen, and claims with an outcome that the store's claim
  /// batches do not tell.
  std::vector<ExecutionRecord> mRecords;
  /// Latest answers, as far as they fit in one message; the others are sent
  /// before as AnswerCopy.
  std::vector<StoredAnswer> mAnswers;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSlot, mEpoch, mInheritedEpochs, mRecords, mAnswers);
  }
};

} // namespace message
} // namespace cranberrywing
