/// \file
/// Internal state of Executions: slots, executions and commits.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/answer_store.h"
#include "cranberrywing/claim_log.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/slot_record.h"
#include "cranberrywing/store.h"
#include "cranberrywing/ticket.h"

namespace cranberrywing {

/// One caller's request for an execution.
struct ExecutionRequest
{
  RequestId mRequest{};
  AccountId mAccount;
  RouteId mRoute;
  /// Exactly one of idempotency key and ticket is set.
  std::string mIdempotencyKey;
  std::string mTicket;
  /// Digest of method, target and body.
  ContentDigest mContent;
  TimePoint mDeadline{};
};

namespace detail {

/// The recorded outcome of an execution. While the execution is running, the
/// outcome is Unknown, since that is the outcome if this process ends.
struct ExecutionEntry
{
  ContentTag mContent = 0;
  std::uint32_t mExpirySeconds = 0;
  message::ExecutionOutcome mOutcome = message::ExecutionOutcome::Unknown;
  bool mIsTicket = false;
  /// Whether the execution was running at the previous owner when the slot was
  /// handed over. Its outcome is Unknown until the previous owner reports it.
  bool mRunsAtPredecessor = false;
};

using ExecutionTable =
  boost::unordered_flat_map<ExecutionId, ExecutionEntry, ExecutionIdHash>;

/// A request with its slot and execution ID.
struct ExecutionAttempt
{
  ExecutionRequest mRequest;
  std::uint32_t mSlot = 0;
  ExecutionId mExecution;
  std::optional<TicketFields> mTicket;
};

/// Executions of one slot that this process owns or is handing over.
struct SlotExecutions
{
  std::uint64_t mEpoch = 0;
  /// Whether all claims of earlier epochs have been read from the store.
  bool mIsLoaded = false;
  /// Whether the slot starts no new executions; see Executions::Freeze.
  bool mIsFrozen = false;
  /// Whether the store rejected a commit because the slot record has changed.
  /// Set until the new record has been read.
  bool mIsFenced = false;
  /// Whether requests wait for the previous owner's handover message.
  bool mAwaitsHandover = false;
  /// Whether the first handover message has been applied. Later ones only
  /// report outcomes.
  bool mHasHandoverState = false;
  TimePoint mHandoverDeadline{};
  TimePoint mCopyQueryDeadline{};
  /// Until when the previous owner may report outcomes of executions that were
  /// running at the handover.
  TimePoint mPredecessorDeadline{};
  /// Earlier epochs whose complete state was handed over to this owner.
  std::vector<std::uint64_t> mInheritedEpochs;
  ExecutionTable mRecords;
  ClaimLog mLog;
  std::uint64_t mNextBatch = 1;
  std::uint64_t mNextTicket = 1;
  /// Claims for the next commit.
  std::vector<ExecutionId> mPending;
  /// Requests that wait for the claims to be loaded, for the handover message
  /// or for copies of answers.
  std::vector<ExecutionAttempt> mWaiting;
  /// Store key at which the next read continues.
  std::string mLoadCursor;
  TimePoint mNextLoad{};
  bool mIsReading = false;
};

enum class ExecutionPhase : std::uint8_t
{
  Committing,
  Running,
  /// Completed; the answer is being copied to another VM.
  Copying,
};

/// A request that waits for an active execution.
struct ExecutionWaiter
{
  RequestId mRequest{};
  TimePoint mDeadline{};
};

/// An execution that is being committed, is running, or waits for its answer
/// to be copied.
struct ActiveExecution
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  ContentTag mContent = 0;
  ExecutionPhase mPhase = ExecutionPhase::Committing;
  /// The request whose dispatch runs the execution.
  RequestId mRunner{};
  std::vector<ExecutionWaiter> mWaiters;
  AnswerContentPtr mAnswer;
  std::uint64_t mCopyNumber = 0;
  TimePoint mCopyDeadline{};
};

/// What a request waits for: an execution, or, if none is set, the slot.
struct WaitTarget
{
  std::uint32_t mSlot = 0;
  std::optional<ExecutionId> mExecution;
};

/// Entry of the queue of deadlines.
struct WaitDeadline
{
  TimePoint mTime{};
  RequestId mRequest{};

  auto operator<=>(const WaitDeadline&) const = default;
};

/// The claims of one slot in a commit.
struct BatchPart
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  std::string mKey;
  ClaimBatch mBatch;
};

/// A merge of one slot's claim records as part of a commit.
struct BatchMerge
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  std::string mKey;
  ClaimBatch mBatch;
  std::vector<std::string> mMergedKeys;
};

/// A group commit: one transaction with claims of several slots. It is repeated
/// unchanged until its outcome is known.
struct CommitGroup
{
  std::vector<BatchPart> mParts;
  std::vector<BatchMerge> mMerges;
  StoreTxn mTxn;
  bool mIsInFlight = false;
  /// Whether an earlier attempt may have taken effect.
  bool mIsUncertain = false;
  TimePoint mNextAttempt{};
};

/// A slot that was handed over and whose state is being sent to the new owner.
struct DepartingSlot
{
  SlotExecutions mState;
  VmId mSuccessor;
  /// Whether the handover message has been sent at least once.
  bool mIsSent = false;
  /// How often the final state, with no execution running, is still to be sent.
  int mFinalSendsLeft = 0;
  TimePoint mNextSend{};
};

} // namespace detail
} // namespace cranberrywing
