/// \file
/// At-most-once execution of non-idempotent requests by means of claims and
/// tickets, and replay of stored answers to repeated requests (design 3.4).
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

/// The slot and owner that must run a request.
struct ExecutionLocation
{
  std::uint32_t mSlot = 0;
  ExecutionId mExecution;
  /// Owner of the slot, if known.
  std::optional<SlotOwner> mOwner;
  bool mIsOwnedLocally = false;
};

/// Decision on a request passed to Executions::Begin.
struct ExecutionDecision
{
  RequestId mRequest{};
  /// Whether to run the request now: dispatch it once, then call OnAnswered,
  /// OnOutcomeUnknown or OnNotRun.
  bool mRun = false;
  /// If not run: the answer of the earlier execution, or null.
  AnswerContentPtr mAnswer;
  /// If not run and without an answer: the refusal to send.
  Refusal mRefusal;
};

/// Callbacks of Executions to other components.
struct ExecutionsHooks
{
  /// The VM that holds copies of a slot's answers: the usable VM in another
  /// failure domain with the greatest CopyHolderWeight.
  std::function<std::optional<VmId>(std::uint32_t)> mCopyHolder;
  /// All usable peers. After a takeover, those most likely to hold copies are
  /// queried.
  std::function<std::vector<VmId>()> mPeers;
  /// Unix time in seconds, for the expiry of claims and tickets. The driver
  /// sets it at each event.
  std::function<std::int64_t()> mWallSeconds;
};

/// Counters since process start, for metrics and reports.
struct ExecutionCounters
{
  std::uint64_t mClaims = 0;
  /// Commit transactions sent, including retries.
  std::uint64_t mCommits = 0;
  /// Claim batches that the store rejected because the slot had a new owner.
  std::uint64_t mFenceRefusals = 0;
  std::uint64_t mTicketsIssued = 0;
  std::uint64_t mTicketsRun = 0;
  /// Repeated requests that received a stored answer.
  std::uint64_t mReplayed = 0;
  /// Executions that ended, and repeats that were refused, with an unknown
  /// outcome.
  std::uint64_t mUnknown = 0;
  std::uint64_t mCopiesAcknowledged = 0;
  /// Copies that were not acknowledged in time.
  std::uint64_t mCopyTimeouts = 0;
  std::uint64_t mHandoversSent = 0;
  std::uint64_t mHandoversReceived = 0;
};

/// Runs each execution of the owned slots at most once. A request with an
/// idempotency key runs after its claim was committed to the store; a request
/// with a ticket runs at the owner of the ticket's epoch without a store write.
///
/// Not thread-safe; owned by the reducer.
class Executions
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/claims/";
    std::uint64_t mSeed = 1;
    /// Maximum wait for a copy's acknowledgement before the answer is sent.
    Duration mCopyAckTimeout = std::chrono::milliseconds(20);
    /// Maximum size of the answer store in bytes. The oldest answers are
    /// evicted first; a repeat is then refused with Execution::Completed.
    std::size_t mAnswerStoreBytes = 32u << 20;
    /// Time after which a store call without a reply is treated as lost.
    Duration mCallTimeout = std::chrono::seconds(5);
    /// Maximum wait for the previous owner's message after a planned handover.
    Duration mHandoverTimeout = std::chrono::seconds(1);
    /// Maximum wait for copies from peers after a takeover, before a repeat of
    /// an execution without a stored answer is refused as Unknown.
    Duration mCopyQueryTimeout = std::chrono::milliseconds(500);
    /// Maximum number of claims in one commit over all slots, so that a
    /// transaction with a merge stays below one megabyte in base64. Benchmarks
    /// set 1 to measure a store write per request as the baseline.
    std::size_t mClaimsPerCommit = kMaxBatchClaims;
  };

  /// Precondition: aSlots outlives this object.
  Executions(Options aOptions, ExecutionsHooks aHooks, SlotTable& aSlots);

  /// Applies new settings: retention, ticket secret and lifetime, and the rate
  /// of commits.
  void Apply(const SettingsSnapshot& aSettings);

  /// Returns the slot and execution of a request. Errors:
  /// IdempotencyKeyRequired, ConflictingIdentities, InvalidTicket.
  Result<ExecutionLocation> Locate(const ExecutionRequest& aRequest) const;

  /// Starts a request whose slot this process owns. TakeDecisions returns the
  /// decision on it, immediately or once a claim has been committed. A refusal
  /// with NotOwner means that the slot has moved and the request did not run
  /// here, so it may be forwarded to the new owner.
  void Begin(const ExecutionRequest& aRequest,
             TimePoint aNow,
             EffectList& aOut);
  /// Returns and clears the decisions since the last call, in order.
  std::vector<ExecutionDecision> TakeDecisions();
  /// Call when another VM refused a request with NotOwner. Requests a new read
  /// of the slot owners.
  void OnNotOwner();
  /// Removes a waiting request, because its caller has disconnected or it was
  /// refused elsewhere. A running execution continues so that its answer can be
  /// stored.
  void RemoveRequest(RequestId aRequest);

  /// Call with the backend server's answer to a running request. The answer is
  /// stored, copied to another failure domain and then sent to all waiting
  /// requests, including the running one, through TakeDecisions.
  void OnAnswered(RequestId aRequest,
                  AnswerContentPtr aAnswer,
                  TimePoint aNow,
                  EffectList& aOut);
  /// Call when a running request failed and may have reached a backend server.
  /// All waiting requests are refused as Unknown; the execution never runs
  /// again.
  void OnOutcomeUnknown(RequestId aRequest, TimePoint aNow, EffectList& aOut);
  /// Call when a running request ended and provably did not run at a backend
  /// server. All waiting requests are refused with aRefusal; a later request
  /// with the same identity may run.
  void OnNotRun(RequestId aRequest,
                Refusal aRefusal,
                TimePoint aNow,
                EffectList& aOut);

  /// Issues a ticket for a slot that this process owns. Errors: NotOwner if it
  /// owns none, so that the caller is sent to an owner; NoConfiguration if no
  /// ticket secret is set.
  Result<std::string> IssueTicket(const AccountId& aAccount,
                                  const RouteId& aRoute,
                                  TimePoint aNow);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Called by SlotTable when this process has become the owner of a slot.
  void OnSlotAcquired(std::uint32_t aSlot,
                      std::uint64_t aEpoch,
                      TimePoint aNow,
                      EffectList& aOut);
  /// Called by SlotTable when this process is no longer the owner of a slot.
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

  /// Whether the slot has no execution that is being committed or running.
  bool IsIdle(std::uint32_t aSlot) const;
  /// Stops starting executions of the slot and returns its state for handover.
  message::SlotHandover Freeze(std::uint32_t aSlot, std::uint64_t aEpoch);

  const ExecutionCounters& Counters() const { return mCounters; }
  /// Whether the slot's claims have been loaded, so that it accepts new ones.
  bool IsLoaded(std::uint32_t aSlot) const;
  /// Number of executions recorded for the owned slots.
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
  using WaitTarget = detail::WaitTarget;
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
  void HandleRepeat(SlotState& aSlot,
                    Record& aRecord,
                    const Attempt& aAttempt,
                    TimePoint aNow);
  /// Whether a peer may still report the answer or outcome of an execution
  /// whose outcome is unknown.
  bool MayOutcomeArrive(const SlotState& aSlot,
                        const Record& aRecord,
                        TimePoint aNow) const;
  void StartRunning(SlotState& aSlot, const Attempt& aAttempt);
  bool AcceptsNewExecutions(const SlotState& aSlot) const;
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
  /// Whether neither this request nor an earlier one with the same identity can
  /// have run.
  bool IsKnownNotRun(const SlotState& aSlot,
                     const Attempt& aAttempt,
                     TimePoint aNow) const;
  void RemoveWaiter(const ExecutionId& aExecution, RequestId aRequest);
  void SetOutcome(const Active& aActive,
                  const ExecutionId& aExecution,
                  Outcome aOutcome);
  void DeliverAnswer(const ExecutionId& aExecution);

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
  void RequeueGroup();

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
  void ExpireCopies(TimePoint aNow);
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
  void RefuseSlotRequests(std::uint32_t aNumber,
                          SlotState& aSlot,
                          TimePoint aNow);

  Options mOptions;
  ExecutionsHooks mHooks;
  SlotTable& mSlots;
  TicketSigner mSigner;
  WallClock mWallClock;
  std::mt19937_64 mRandom;

  Duration mRetention = std::chrono::hours(24);
  Duration mTicketLifetime = std::chrono::minutes(10);
  Duration mCommitInterval = std::chrono::milliseconds(100);

  std::map<std::uint32_t, SlotState> mOwned;
  std::map<std::uint32_t, Departing> mDeparting;
  /// Handover messages received before the slot record that names this process
  /// as the new owner was read.
  std::map<std::uint32_t, message::SlotHandover> mEarlyHandovers;
  std::unordered_map<ExecutionId, Active, ExecutionIdHash> mActive;
  std::unordered_map<RequestId, WaitTarget> mWaitingRequests;
  std::unordered_map<RequestId, ExecutionId> mRunningRequests;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
    mDeadlines;
  std::vector<ExecutionDecision> mDecisions;

  std::optional<CommitGroup> mGroup;
  double mCommitTokens = 0;
  TimePoint mTokensUpdatedAt{};
  TimePoint mNextCommit{};
  std::uint32_t mNextCommitSlot = 0;
  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, PendingCall> mCalls;

  AnswerStore mAnswers;
  std::uint64_t mNextCopy = 1;
  std::map<std::uint64_t, ExecutionId> mPendingCopies;

  TimePoint mNextQueueRetry{};
  TimePoint mNextClean{};
  TimePoint mNextPrune{};
  std::uint32_t mLastPrunedSlot = 0;
  std::uint32_t mLastTicketSlot = 0;
  ExecutionCounters mCounters;
};

} // namespace cranberrywing
