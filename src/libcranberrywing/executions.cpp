// Start of executions, queues of waiting requests, and store calls.
#include "cranberrywing/executions.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Interval at which requests in the slots' queues are retried.
constexpr Milliseconds kQueueRetryInterval{ 50 };

} // namespace

Executions::Executions(Options aOptions,
                       ExecutionsHooks aHooks,
                       SlotTable& aSlots)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mSlots(aSlots)
  , mRandom(mOptions.mSeed)
  , mAnswers(mOptions.mAnswerStoreBytes)
{
}

void Executions::Apply(const SettingsSnapshot& aSettings)
{
  const FleetSettings& fleet = aSettings.mFleet;
  mRetention = fleet.mClaimRetention;
  mTicketLifetime = fleet.mTicketLifetime;
  mSigner.SetSecret(fleet.mTicketSecret);
  const double writesPerSecond =
    std::max(1.0, fleet.mClaimWriteBudget) / std::max(1u, fleet.mSlotOwners);
  mCommitInterval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / writesPerSecond));
}

void Executions::Begin(const ExecutionRequest& aRequest,
                       TimePoint aNow,
                       EffectList& aOut)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  Result<Attempt> attempt = LocateAttempt(aRequest);
  if (!attempt) {
    Refuse(aRequest.mRequest,
           { .mCode = attempt.error().mCode,
             .mExecution = Execution::NotAttempted,
             .mDetail = attempt.error().mMessage });
    return;
  }
  mDeadlines.push({ aRequest.mDeadline, aRequest.mRequest });
  Start(std::move(*attempt), aNow, aOut);
}

void Executions::Start(Attempt aAttempt, TimePoint aNow, EffectList& aOut)
{
  const auto owned = mOwned.find(aAttempt.mSlot);
  if (owned == mOwned.end()) {
    mSlots.Refresh();
    Refuse(aAttempt.mRequest.mRequest,
           { .mCode = ResultCode::NotOwner,
             .mExecution = Execution::NotAttempted,
             .mDetail = "this VM does not own the slot" });
    return;
  }
  const auto active = mActive.find(aAttempt.mExecution);
  if (active != mActive.end()) {
    Join(active->second, aAttempt);
    return;
  }
  SlotState& slot = owned->second;
  if (aAttempt.mTicket) {
    StartTicket(slot, std::move(aAttempt), aNow, aOut);
    return;
  }
  if (!slot.mIsLoaded || slot.mAwaitsHandover) {
    Enqueue(slot, std::move(aAttempt));
    return;
  }
  const auto record = slot.mRecords.find(aAttempt.mExecution);
  if (record != slot.mRecords.end()) {
    HandleRepeat(slot, record->second, aAttempt, aNow);
  } else if (!AcceptsNewExecutions(slot)) {
    Enqueue(slot, std::move(aAttempt));
  } else {
    StartClaim(slot, aAttempt, aNow, aOut);
  }
}

void Executions::StartClaim(SlotState& aSlot,
                            const Attempt& aAttempt,
                            TimePoint aNow,
                            EffectList& aOut)
{
  Active& active = mActive[aAttempt.mExecution];
  active.mSlot = aAttempt.mSlot;
  active.mEpoch = aSlot.mEpoch;
  active.mContent = MakeContentTag(aAttempt.mRequest.mContent);
  active.mPhase = Phase::Committing;
  Join(active, aAttempt);
  aSlot.mPending.push_back(aAttempt.mExecution);
  TryCommit(aNow, aOut);
}

void Executions::Enqueue(SlotState& aSlot, Attempt aAttempt)
{
  mWaitingRequests[aAttempt.mRequest.mRequest] = { .mSlot = aAttempt.mSlot,
                                                   .mExecution = std::nullopt };
  aSlot.mWaiting.push_back(std::move(aAttempt));
}

void Executions::Join(Active& aActive, const Attempt& aAttempt)
{
  const ExecutionRequest& request = aAttempt.mRequest;
  if (MakeContentTag(request.mContent) != aActive.mContent) {
    Refuse(
      request.mRequest,
      { .mCode = ResultCode::IdempotencyKeyReused,
        .mExecution = Execution::NotAttempted,
        .mDetail = "the idempotency key was used for a different request" });
    return;
  }
  mWaitingRequests[request.mRequest] = { .mSlot = aAttempt.mSlot,
                                         .mExecution = aAttempt.mExecution };
  aActive.mWaiters.push_back({ request.mRequest, request.mDeadline });
}

void Executions::HandleRepeat(SlotState& aSlot,
                              Record& aRecord,
                              const Attempt& aAttempt,
                              TimePoint aNow)
{
  const ExecutionRequest& request = aAttempt.mRequest;
  if (MakeContentTag(request.mContent) != aRecord.mContent) {
    Refuse(
      request.mRequest,
      { .mCode = ResultCode::IdempotencyKeyReused,
        .mExecution = Execution::NotAttempted,
        .mDetail = "the idempotency key was used for a different request" });
    return;
  }
  if (aRecord.mOutcome == Outcome::NotRun) {
    if (AcceptsNewExecutions(aSlot)) {
      aRecord.mOutcome = Outcome::Unknown;
      StartRunning(aSlot, aAttempt);
    } else {
      Enqueue(aSlot, aAttempt);
    }
    return;
  }
  const AnswerContentPtr answer = mAnswers.Find(aAttempt.mExecution);
  if (answer) {
    ++mCounters.mReplayed;
    DecideAnswer(request.mRequest, answer);
  } else if (MayOutcomeArrive(aSlot, aRecord, aNow)) {
    Enqueue(aSlot, aAttempt);
  } else {
    RefuseByOutcome(request.mRequest, aRecord.mOutcome);
  }
}

bool Executions::MayOutcomeArrive(const SlotState& aSlot,
                                  const Record& aRecord,
                                  TimePoint aNow) const
{
  if (aRecord.mOutcome != Outcome::Unknown) {
    return false;
  }
  const bool isExpected =
    aRecord.mRunsAtPredecessor && aNow < aSlot.mPredecessorDeadline;
  return isExpected || aNow < aSlot.mCopyQueryDeadline;
}

void Executions::StartRunning(SlotState& aSlot, const Attempt& aAttempt)
{
  const RequestId request = aAttempt.mRequest.mRequest;
  Active& active = mActive[aAttempt.mExecution];
  active.mSlot = aAttempt.mSlot;
  active.mEpoch = aSlot.mEpoch;
  active.mContent = MakeContentTag(aAttempt.mRequest.mContent);
  active.mPhase = Phase::Running;
  active.mRunner = request;
  mRunningRequests[request] = aAttempt.mExecution;
  mWaitingRequests.erase(request);
  mDecisions.push_back(
    { .mRequest = request, .mRun = true, .mAnswer = nullptr, .mRefusal = {} });
}

bool Executions::AcceptsNewExecutions(const SlotState& aSlot) const
{
  return !aSlot.mIsFrozen && !aSlot.mIsFenced;
}

void Executions::RemoveRequest(RequestId aRequest)
{
  const auto it = mWaitingRequests.find(aRequest);
  if (it == mWaitingRequests.end()) {
    return;
  }
  // A queued request that is no longer in mWaitingRequests is dropped at the
  // next retry of its queue.
  if (it->second.mExecution) {
    RemoveWaiter(*it->second.mExecution, aRequest);
  }
  mWaitingRequests.erase(it);
}

void Executions::Tick(TimePoint aNow, EffectList& aOut)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  ExpireCalls(aNow, aOut);
  ExpireWaiters(aNow);
  ExpireCopies(aNow);
  for (auto& [number, slot] : mOwned) {
    ContinueLoad(number, slot, aNow, aOut);
  }
  RetryQueues(aNow, aOut);
  TryCommit(aNow, aOut);
  TickHandover(aNow, aOut);
  Clean(aNow, aOut);
}

void Executions::RetryQueues(TimePoint aNow, EffectList& aOut)
{
  if (aNow < mNextQueueRetry) {
    return;
  }
  mNextQueueRetry = aNow + kQueueRetryInterval;
  for (auto& [number, slot] : mOwned) {
    if (slot.mAwaitsHandover && aNow >= slot.mHandoverDeadline) {
      slot.mAwaitsHandover = false;
    }
    RetryQueue(slot, aNow, aOut);
  }
}

void Executions::RetryQueue(SlotState& aSlot, TimePoint aNow, EffectList& aOut)
{
  std::vector<Attempt> waiting;
  waiting.swap(aSlot.mWaiting);
  for (Attempt& attempt : waiting) {
    if (mWaitingRequests.erase(attempt.mRequest.mRequest) > 0) {
      Start(std::move(attempt), aNow, aOut);
    }
  }
}

Executions::SlotState* Executions::FindState(std::uint32_t aSlot,
                                             std::uint64_t aEpoch)
{
  const auto owned = mOwned.find(aSlot);
  if (owned != mOwned.end() && owned->second.mEpoch == aEpoch) {
    return &owned->second;
  }
  const auto departing = mDeparting.find(aSlot);
  if (departing != mDeparting.end() &&
      departing->second.mState.mEpoch == aEpoch) {
    return &departing->second.mState;
  }
  return nullptr;
}

void Executions::Send(PendingCall aCall,
                      StoreTxn aTxn,
                      TimePoint aNow,
                      EffectList& aOut)
{
  const std::uint64_t number = mNextCall++;
  aCall.mSentAt = aNow;
  mCalls[number] = std::move(aCall);
  StoreCall request;
  request.mTxn = std::move(aTxn);
  aOut.push_back(effect::CallStore{ .mCall = { Component::Executions, number },
                                    .mRequest = std::move(request) });
}

void Executions::ExpireCalls(TimePoint aNow, EffectList& aOut)
{
  std::vector<PendingCall> expired;
  std::erase_if(mCalls, [&](const auto& aEntry) {
    if (aNow - aEntry.second.mSentAt < mOptions.mCallTimeout) {
      return false;
    }
    expired.push_back(aEntry.second);
    return true;
  });
  for (const PendingCall& call : expired) {
    OnReply(
      call,
      MakeError(ResultCode::OutcomeUnknown, "the store did not reply in time"),
      aNow,
      aOut);
  }
}

void Executions::OnStoreReply(const event::StoreReplied& aReply,
                              TimePoint aNow,
                              EffectList& aOut)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  const auto it = mCalls.find(aReply.mCall.mNumber);
  if (it == mCalls.end()) {
    return;
  }
  const PendingCall call = std::move(it->second);
  mCalls.erase(it);
  OnReply(call, aReply.mReply, aNow, aOut);
}

void Executions::OnReply(const PendingCall& aCall,
                         const Result<StoreReply>& aReply,
                         TimePoint aNow,
                         EffectList& aOut)
{
  switch (aCall.mCall) {
    case Call::Commit:
      OnCommitReply(aReply, aNow, aOut);
      return;
    case Call::ReadBack:
      OnReadBackReply(aReply, aNow, aOut);
      return;
    case Call::Load:
      OnLoadReply(aCall, aReply, aNow, aOut);
      return;
    case Call::Clean:
      OnCleanReply(aCall, aReply);
      return;
  }
}

bool Executions::IsLoaded(std::uint32_t aSlot) const
{
  const auto it = mOwned.find(aSlot);
  return it != mOwned.end() && it->second.mIsLoaded;
}

std::size_t Executions::RecordCount() const
{
  std::size_t count = 0;
  for (const auto& [number, slot] : mOwned) {
    count += slot.mRecords.size();
  }
  return count;
}

} // namespace cranberrywing
