/// \file
/// What Executions keeps of slots, executions and commits.
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

/// One caller's wish for an execution.
struct ExecutionRequest
{
  RequestId mRequest{};
  AccountId mAccount;
  RouteId mRoute;
  /// Exactly one of the two is set.
  std::string mIdempotencyKey;
  std::string mTicket;
  /// Digest of method, target and body.
  ContentDigest mContent;
  TimePoint mDeadline{};
};

namespace detail {

/// An execution that is neither waiting nor running. One that runs has
/// Unknown here, which is what becomes of it if this process ends.
struct ExecutionEntry
{
  ContentTag mContent = 0;
  std::uint32_t mExpirySeconds = 0;
  message::ExecutionOutcome mOutcome = message::ExecutionOutcome::Unknown;
  bool mIsTicket = false;
  /// It ran at the former owner when the slot was handed over, and its
  /// outcome is yet to be told. Until then it is Unknown.
  bool mRunsAtPredecessor = false;
};

using ExecutionTable =
  boost::unordered_flat_map<ExecutionId, ExecutionEntry, ExecutionIdHash>;

/// A request with its execution, located.
struct ExecutionAttempt
{
  ExecutionRequest mRequest;
  std::uint32_t mSlot = 0;
  ExecutionId mExecution;
  std::optional<TicketFields> mTicket;
};

struct SlotExecutions
{
  std::uint64_t mEpoch = 0;
  bool mIsLoaded = false;
  bool mIsFrozen = false;
  /// A commit was refused by the fence; the loss is yet to be read.
  bool mIsFenced = false;
  bool mAwaitsHandover = false;
  bool mHasHandoverState = false;
  TimePoint mHandoverDeadline{};
  TimePoint mCopyQueryDeadline{};
  /// Until when news of executions at the former owner are waited for.
  TimePoint mPredecessorDeadline{};
  std::vector<std::uint64_t> mInheritedEpochs;
  ExecutionTable mRecords;
  ClaimLog mLog;
  std::uint64_t mNextBatch = 1;
  std::uint64_t mNextTicket = 1;
  /// Claims for the next commit.
  std::vector<ExecutionId> mPending;
  /// Requests that wait for loading, for a handover or for copies.
  std::vector<ExecutionAttempt> mWaiting;
  std::string mLoadCursor;
  TimePoint mLoadRetry{};
  bool mIsReading = false;
};

enum class ExecutionPhase : std::uint8_t
{
  Committing,
  Running,
  /// Finished; the answer's copy is on its way.
  Copying,
};

struct ExecutionWaiter
{
  RequestId mRequest{};
  TimePoint mDeadline{};
};

/// An execution that is being claimed, runs, or waits for its copy.
struct ActiveExecution
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  ContentTag mContent = 0;
  ExecutionPhase mPhase = ExecutionPhase::Committing;
  RequestId mRunner{};
  std::vector<ExecutionWaiter> mWaiters;
  AnswerContentPtr mAnswer;
  std::uint64_t mCopyNumber = 0;
  TimePoint mCopyDeadline{};
};

/// Where a request waits: in a slot's queue or for an execution.
struct WaitLocation
{
  std::uint32_t mSlot = 0;
  std::optional<ExecutionId> mExecution;
};

struct WaitDeadline
{
  TimePoint mTime{};
  RequestId mRequest{};

  auto operator<=>(const WaitDeadline&) const = default;
};

struct BatchPart
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  std::string mKey;
  ClaimBatch mBatch;
};

/// Records of one slot that a commit replaces by one.
struct BatchMerge
{
  std::uint32_t mSlot = 0;
  std::uint64_t mEpoch = 0;
  std::string mKey;
  ClaimBatch mBatch;
  std::vector<std::string> mMergedKeys;
};

/// One commit. Repeated unchanged until its outcome is certain.
struct CommitGroup
{
  std::vector<BatchPart> mParts;
  std::vector<BatchMerge> mMerges;
  StoreTxn mTxn;
  bool mIsInFlight = false;
  /// An earlier sending may have taken effect.
  bool mIsUncertain = false;
  TimePoint mRetry{};
};

struct DepartingSlot
{
  SlotExecutions mState;
  VmId mSuccessor;
  bool mIsSent = false;
  /// Sendings of the state in which nothing runs any more.
  int mFinalSendsLeft = 0;
  TimePoint mNextSend{};
};

} // namespace detail
} // namespace cranberrywing
