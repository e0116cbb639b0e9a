/// \file
/// At-most-once execution of non-idempotent requests by claims and tickets,
/// and the answers kept for repeats (design 3.4).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/answer_store.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/execution_state.h"
#include "cranberrywing/slots.h"
#include "cranberrywing/ticket.h"
#include "cranberrywing/wall_clock.h"

namespace cranberrywing {

/// Where a request has to run.
struct ExecutionLocation
{
  std::uint32_t mSlot = 0;
  ExecutionId mExecution;
  /// Owner of the slot, if one is known.
  std::optional<SlotOwner> mOwner;
  bool mIsOwnedLocally = false;
};

/// What became of a waiting request.
struct ExecutionDecision
{
  RequestId mRequest{};
  /// Run it now: dispatch once, then call OnAnswered, OnOutcomeUnknown or
  /// OnNotRun.
  bool mRun = false;
  /// Else an answer of the earlier execution, if set.
  AnswerContentPtr mAnswer;
  /// Else this refusal.
  Refusal mRefusal;
};

struct ExecutionsHooks
{
  /// The usable VM in another failure domain with the greatest
  /// CopyHolderWeight, to hold copies of a slot's answers.
  std::function<std::optional<VmId>(std::uint32_t)> mCopyHolder;
  /// Every usable peer; the likely holders are asked for copies after a
  /// takeover.
  std::function<std::vector<VmId>()> mPeers;
  /// Wall clock in seconds, for the expiry of claims and tickets; set by the
  /// driver at each event.
  std::function<std::int64_t()> mWallSeconds;
};

/// Counters since the start, for metrics and reports.
struct ExecutionCounters
{
  std::uint64_t mClaims = 0;
  /// Transactions that carried claims, counting repeated ones.
  std::uint64_t mCommits = 0;
  std::uint64_t mFenceRefusals = 0;
  std::uint64_t mTicketsIssued = 0;
  std::uint64_t mTicketsRun = 0;
  /// Repeats that were given a kept answer.
  std::uint64_t mReplayed = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mCopiesAcknowledged = 0;
  std::uint64_t mCopyTimeouts = 0;
  std::uint64_t mHandoversSent = 0;
  std::uint64_t mHandoversReceived = 0;
};

/// Not thread-safe; owned by the reducer.
class Executions
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/claims/";
    std::uint64_t mSeed = 1;
    /// Longest wait for a copy's acknowledgement.
    Duration mCopyAckTimeout = std::chrono::milliseconds(20);
    /// Most bytes of kept answers; the oldest are dropped first, after which
    /// a repeat is told Completed without the answer.
    std::size_t mAnswerStoreBytes = 32u << 20;
    /// A store call without a reply counts as lost after this time.
    Duration mCallTimeout = std::chrono::seconds(5);
    /// Wait for the predecessor's message after a planned handover.
    Duration mHandoverTimeout = std::chrono::seconds(1);
    /// Wait for copies from peers after a takeover, before a repeat of an
    /// execution without an answer is told Unknown.
    Duration mCopyQueryTimeout = std::chrono::milliseconds(500);
    /// Most claims of one commit over all slots, so that a transaction with
    /// a merge stays below a megabyte in base64. One is the baseline of a
    /// store write per request, for benchmarks.
    std::size_t mClaimsPerCommit = kMaxBatchClaims;
  };

  /// Precondition: aSlots outlives this object.
  Executions(Options aOptions, ExecutionsHooks aHooks, SlotTable& aSlots);

  void Apply(const SettingsSnapshot& aSettings);

  /// Slot and execution of a request. Errors: IdempotencyKeyRequired,
  /// ConflictingIdentities, InvalidTicket.
  Result<ExecutionLocation> Locate(const ExecutionRequest& aRequest) const;

  /// Starts a request whose slot this process owns. Its decision comes from
  /// TakeDecisions, at once or after a claim was committed. A refusal with
  /// NotOwner means that the slot has moved and this request did not run
  /// here: it may be forwarded to the new owner.
  void Begin(const ExecutionRequest& aRequest,
             TimePoint aNow,
             EffectList& aOut);
  std::vector<ExecutionDecision> TakeDecisions();
  /// Another VM refused a request of a slot with NotOwner: the owners are
  /// read again.
  void OnNotOwner();
  /// The caller has gone or the request was refused elsewhere. An execution
  /// that runs goes on, to keep its answer.
  void RemoveRequest(RequestId aRequest);

  /// The backend server's answer. It is kept, copied, then given to all who
  /// wait: the first caller too gets it through TakeDecisions.
  void OnAnswered(RequestId aRequest,
                  AnswerContentPtr aAnswer,
                  TimePoint aNow,
                  EffectList& aOut);
  /// The request may have run; all who wait are told so and it never runs
  /// again.
  void OnOutcomeUnknown(RequestId aRequest, TimePoint aNow, EffectList& aOut);
  /// No byte reached a server and none will; the same key may run later.
  void OnNotRun(RequestId aRequest,
                Refusal aRefusal,
                TimePoint aNow,
                EffectList& aOut);

  /// A new ticket for a slot that this process owns; NotOwner if it owns
  /// none, so that the caller is sent to an owner.
  Result<std::string> IssueTicket(const AccountId& aAccount,
                                  const RouteId& aRoute,
                                  TimePoint aNow);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnSlotAcquired(std::uint32_t aSlot,
                      std::uint64_t aEpoch,
                      TimePoint aNow,
                      EffectList& aOut);
  void OnSlotLost(std::uint32_t aSlot, TimePoint aNow, EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopy& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyAck& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyQuery& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::SlotHandover& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

  /// Whether a slot has nothing running or being committed.
  bool IsIdle(std::uint32_t aSlot) const;
  /// Stops running requests of the slot and returns its state for handover.
  message::SlotHandover Freeze(std::uint32_t aSlot, std::uint64_t aEpoch);

  const ExecutionCounters& Counters() const { return mCounters; }
  /// Whether the slot's claims are loaded, so that new ones can be taken.
  bool IsLoaded(std::uint32_t aSlot) const;
  /// Executions known of the slots owned here.
  std::size_t RecordCount() const;
  const AnswerStore& Answers() const { return mAnswers; }

private:
  using Outcome = message::ExecutionOutcome;
  using Record = detail::ExecutionEntry;
  using Attempt = detail::ExecutionAttempt;
  using SlotState = detail::SlotExecutions;
  using Phase = detail::ExecutionPhase;
  using Waiter = detail::ExecutionWaiter;
  using Active = detail::ActiveExecution;
  using WaitLocation = detail::WaitLocation;
  using Deadline = detail::WaitDeadline;
  using BatchPart = detail::BatchPart;
  using BatchMerge = detail::BatchMerge;
  using CommitGroup = detail::CommitGroup;
  using Departing = detail::DepartingSlot;

  enum class Call : std::uint8_t
  {
    Commit,
    ReadBack,
    Load,
    Clean,
  };

  struct PendingCall
  {
    Call mCall = Call::Commit;
    std::uint32_t mSlot = 0;
    std::uint64_t mEpoch = 0;
    TimePoint mSentAt{};
    std::vector<std::string> mKeys;
  };

  // executions.cpp
  Result<Attempt> LocateAttempt(const ExecutionRequest& aRequest) const;
  void Start(Attempt aAttempt, TimePoint aNow, EffectList& aOut);
  void StartClaim(SlotState& aSlot,
                  const Attempt& aAttempt,
                  TimePoint aNow,
                  EffectList& aOut);
  void Enqueue(SlotState& aSlot, Attempt aAttempt);
  void Join(Active& aActive, const Attempt& aAttempt);
  void Repeat(SlotState& aSlot,
              Record& aRecord,
              const Attempt& aAttempt,
              TimePoint aNow);
  /// Whether a peer may still tell the answer of an unknown execution.
  bool MayOutcomeArrive(const SlotState& aSlot,
                        const Record& aRecord,
                        TimePoint aNow) const;
  void Run(SlotState& aSlot, const Attempt& aAttempt);
  bool AcceptsNew(const SlotState& aSlot) const;
  void RetryQueues(TimePoint aNow, EffectList& aOut);
  void RetryQueue(SlotState& aSlot, TimePoint aNow, EffectList& aOut);
  SlotState* FindState(std::uint32_t aSlot, std::uint64_t aEpoch);
  void Send(PendingCall aCall, StoreTxn aTxn, TimePoint aNow, EffectList& aOut);
  void ExpireCalls(TimePoint aNow, EffectList& aOut);
  void OnReply(const PendingCall& aCall,
               const Result<StoreReply>& aReply,
               TimePoint aNow,
               EffectList& aOut);

  // executions_outcomes.cpp
  void Refuse(RequestId aRequest, Refusal aRefusal);
  void DecideAnswer(RequestId aRequest, AnswerContentPtr aAnswer);
  void RefuseAll(const Active& aActive, const Refusal& aRefusal);
  void RefuseByOutcome(RequestId aRequest, Outcome aOutcome);
  void ExpireWaiters(TimePoint aNow);
  void ExpireWaiter(RequestId aRequest, TimePoint aNow);
  void ExpireQueue(std::uint32_t aSlot, TimePoint aNow);
  /// Whether neither this request nor an earlier one of its identity ran.
  bool IsKnownNotRun(const SlotState& aSlot,
                     const Attempt& aAttempt,
                     TimePoint aNow) const;
  void RemoveWaiter(const ExecutionId& aExecution, RequestId aRequest);
  void SetOutcome(const Active& aActive,
                  const ExecutionId& aExecution,
                  Outcome aOutcome);
  void ReleaseAnswer(const ExecutionId& aExecution);

  // executions_claims.cpp
  void TryCommit(TimePoint aNow, EffectList& aOut);
  bool TakeCommitToken(TimePoint aNow);
  CommitGroup BuildGroup();
  bool AddPart(CommitGroup& aGroup, std::uint32_t aNumber, SlotState& aSlot);
  void AddMerge(CommitGroup& aGroup,
                std::uint32_t aNumber,
                const SlotState& aSlot,
                std::uint64_t aBatchNumber);
  void AddPut(StoreTxn& aTxn,
              const std::string& aKey,
              const ClaimBatch& aBatch);
  std::string BatchKey(std::uint32_t aSlot,
                       std::uint64_t aEpoch,
                       std::uint64_t aNumber) const;
  std::string SlotPrefix(std::uint32_t aSlot) const;
  void SendGroup(TimePoint aNow, EffectList& aOut);
  void ReadBack(TimePoint aNow, EffectList& aOut);
  void OnCommitReply(const Result<StoreReply>& aReply,
                     TimePoint aNow,
                     EffectList& aOut);
  void OnReadBackReply(const Result<StoreReply>& aReply,
                       TimePoint aNow,
                       EffectList& aOut);
  void CompleteGroup(TimePoint aNow);
  void CompleteClaim(SlotState& aSlot,
                     const BatchPart& aPart,
                     const Claim& aClaim,
                     TimePoint aNow);
  void AbandonGroup();

  // executions_load.cpp
  void ContinueLoad(std::uint32_t aNumber,
                    SlotState& aSlot,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnLoadReply(const PendingCall& aCall,
                   const Result<StoreReply>& aReply,
                   TimePoint aNow,
                   EffectList& aOut);
  bool LoadEntry(SlotState& aSlot, const StoreEntry& aEntry);
  void Clean(TimePoint aNow, EffectList& aOut);
  void PruneNextSlot();
  void OnCleanReply(const PendingCall& aCall, const Result<StoreReply>& aReply);

  // executions_tickets.cpp
  void StartTicket(SlotState& aSlot,
                   Attempt aAttempt,
                   TimePoint aNow,
                   EffectList& aOut);
  bool OwnsEpoch(const SlotState& aSlot, std::uint64_t aEpoch) const;
  void StartNewTicket(SlotState& aSlot, Attempt aAttempt);
  void StartForeignTicket(SlotState& aSlot, Attempt aAttempt, TimePoint aNow);

  // executions_answers.cpp
  void SendCopy(const ExecutionId& aExecution,
                Active& aActive,
                TimePoint aNow,
                EffectList& aOut);
  std::optional<VmId> CopyTarget(const Active& aActive) const;
  void ReleaseCopied(TimePoint aNow);
  void QueryCopies(std::uint32_t aSlot, EffectList& aOut) const;

  // executions_handover.cpp
  message::SlotHandover BuildHandover(std::uint32_t aNumber,
                                      const SlotState& aSlot) const;
  void AddAnswers(std::uint32_t aNumber,
                  message::SlotHandover& aMessage,
                  std::vector<ExecutionId>& aRest) const;
  bool IsCommitting(std::uint32_t aSlot, std::uint64_t aEpoch) const;
  bool HasActive(std::uint32_t aSlot, std::uint64_t aEpoch) const;
  void TickHandover(TimePoint aNow, EffectList& aOut);
  void ContinueDeparting(std::uint32_t aNumber,
                         Departing& aDeparting,
                         TimePoint aNow,
                         EffectList& aOut);
  void SendHandover(std::uint32_t aNumber,
                    Departing& aDeparting,
                    EffectList& aOut);
  void ApplyHandover(std::uint32_t aNumber,
                     SlotState& aSlot,
                     const message::SlotHandover& aMessage,
                     TimePoint aNow,
                     EffectList& aOut);
  void ApplyHandoverRecord(SlotState& aSlot,
                           const message::ExecutionRecord& aRecord);
  void ApplyLateOutcome(SlotState& aSlot,
                        const message::ExecutionRecord& aRecord);
  void RefuseSlot(std::uint32_t aNumber, SlotState& aSlot, TimePoint aNow);

  Options mOptions;
  ExecutionsHooks mHooks;
  SlotTable& mSlots;
  TicketSigner mSigner;
  WallClock mWall;
  std::mt19937_64 mRandom;

  Duration mRetention = std::chrono::hours(24);
  Duration mTicketLifetime = std::chrono::minutes(10);
  Duration mCommitInterval = std::chrono::milliseconds(100);

  std::map<std::uint32_t, SlotState> mOwned;
  std::map<std::uint32_t, Departing> mDeparting;
  /// Handovers that arrived before the store's record of the new owner.
  std::map<std::uint32_t, message::SlotHandover> mEarlyHandovers;
  std::unordered_map<ExecutionId, Active, ExecutionIdHash> mActive;
  std::unordered_map<RequestId, WaitLocation> mRequests;
  std::unordered_map<RequestId, ExecutionId> mRunners;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
    mDeadlines;
  std::vector<ExecutionDecision> mDecisions;

  std::optional<CommitGroup> mGroup;
  double mCommitTokens = 0;
  TimePoint mTokensAt{};
  TimePoint mCommitRetry{};
  std::uint32_t mNextCommitSlot = 0;
  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, PendingCall> mCalls;

  AnswerStore mAnswers;
  std::uint64_t mNextCopy = 1;
  std::map<std::uint64_t, ExecutionId> mCopies;

  TimePoint mNextQueueRetry{};
  TimePoint mNextClean{};
  TimePoint mNextPrune{};
  std::uint32_t mPruneSlot = 0;
  std::uint32_t mTicketSlot = 0;
  ExecutionCounters mCounters;
};

} // namespace cranberrywing
