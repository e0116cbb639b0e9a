// Decisions on requests: answers, refusals and expired deadlines.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// Delay after which a caller may repeat a request that was refused.
constexpr Milliseconds kRetryAfter{ 1'000 };

Refusal UnknownRefusal(std::string aDetail)
{
  return { .mCode = ResultCode::OutcomeUnknown,
           .mExecution = Execution::Unknown,
           .mDetail = std::move(aDetail) };
}

} // namespace

std::vector<ExecutionDecision> Executions::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

void Executions::OnNotOwner()
{
  mSlots.Refresh();
}

void Executions::Refuse(RequestId aRequest, Refusal aRefusal)
{
  mWaitingRequests.erase(aRequest);
  mDecisions.push_back({ .mRequest = aRequest,
                         .mRun = false,
                         .mAnswer = nullptr,
                         .mRefusal = std::move(aRefusal) });
}

void Executions::DecideAnswer(RequestId aRequest, AnswerContentPtr aAnswer)
{
  mWaitingRequests.erase(aRequest);
  mDecisions.push_back({ .mRequest = aRequest,
                         .mRun = false,
                         .mAnswer = std::move(aAnswer),
                         .mRefusal = {} });
}

void Executions::RefuseAll(const Active& aActive, const Refusal& aRefusal)
{
  if (aActive.mPhase != Phase::Committing) {
    Refuse(aActive.mRunner, aRefusal);
  }
  for (const Waiter& waiter : aActive.mWaiters) {
    Refuse(waiter.mRequest, aRefusal);
  }
}

void Executions::RefuseByOutcome(RequestId aRequest, Outcome aOutcome)
{
  if (aOutcome == Outcome::Completed) {
    Refuse(
      aRequest,
      { .mCode = ResultCode::NotAccepted,
        .mExecution = Execution::Completed,
        .mDetail = "the request ran, but its answer is no longer stored" });
    return;
  }
  ++mCounters.mUnknown;
  Refuse(aRequest,
         UnknownRefusal("an earlier request with this identity may have run "
                        "and will not run again"));
}

void Executions::ExpireWaiters(TimePoint aNow)
{
  while (!mDeadlines.empty() && mDeadlines.top().mTime <= aNow) {
    const RequestId request = mDeadlines.top().mRequest;
    mDeadlines.pop();
    if (mWaitingRequests.contains(request)) {
      ExpireWaiter(request, aNow);
    }
  }
}

void Executions::ExpireWaiter(RequestId aRequest, TimePoint aNow)
{
  const WaitTarget target = mWaitingRequests.at(aRequest);
  if (!target.mExecution) {
    ExpireQueue(target.mSlot, aNow);
    return;
  }
  RemoveWaiter(*target.mExecution, aRequest);
  const auto active = mActive.find(*target.mExecution);
  if (active == mActive.end() || active->second.mPhase == Phase::Committing) {
    // Once the lease has expired, a repeat may have run at a new owner.
    const bool isConfirmed = mSlots.IsConfirmedOwner(target.mSlot, aNow);
    Refuse(
      aRequest,
      { .mCode = ResultCode::StoreUnavailable,
        .mExecution = isConfirmed ? Execution::NotRun : Execution::NotAttempted,
        .mDetail =
          "the claim was not committed to the store before the deadline",
        .mRetryAfter = kRetryAfter });
    return;
  }
  Refuse(aRequest,
         { .mCode = ResultCode::DeadlineExceeded,
           .mExecution = Execution::Unknown,
           .mDetail = "the execution did not complete before the deadline",
           .mRetryAfter = kRetryAfter });
}

void Executions::ExpireQueue(std::uint32_t aSlot, TimePoint aNow)
{
  // Expires all due requests of the queue in one pass, so that a long queue is
  // not scanned once per request.
  const auto owned = mOwned.find(aSlot);
  if (owned == mOwned.end()) {
    return;
  }
  SlotState& slot = owned->second;
  std::erase_if(slot.mWaiting, [&](const Attempt& aAttempt) {
    const ExecutionRequest& request = aAttempt.mRequest;
    if (request.mDeadline > aNow ||
        !mWaitingRequests.contains(request.mRequest)) {
      return false;
    }
    const bool isNotRun = IsKnownNotRun(slot, aAttempt, aNow);
    Refuse(
      request.mRequest,
      { .mCode = ResultCode::DeadlineExceeded,
        .mExecution = isNotRun ? Execution::NotRun : Execution::NotAttempted,
        .mDetail = "the slot did not accept the request before the deadline",
        .mRetryAfter = kRetryAfter });
    return true;
  });
}

bool Executions::IsKnownNotRun(const SlotState& aSlot,
                               const Attempt& aAttempt,
                               TimePoint aNow) const
{
  // An earlier request with the same identity may have run; only a complete and
  // current table of records can exclude it. Tickets of an epoch are run only
  // by the epoch's owner, so its table is complete for them.
  const bool isComplete =
    aAttempt.mTicket
      ? OwnsEpoch(aSlot, aAttempt.mTicket->mEpoch)
      : aSlot.mIsLoaded && mSlots.IsConfirmedOwner(aAttempt.mSlot, aNow);
  const auto record = aSlot.mRecords.find(aAttempt.mExecution);
  return isComplete && (record == aSlot.mRecords.end() ||
                        record->second.mOutcome == Outcome::NotRun);
}

void Executions::RemoveWaiter(const ExecutionId& aExecution, RequestId aRequest)
{
  const auto active = mActive.find(aExecution);
  if (active != mActive.end()) {
    std::erase_if(active->second.mWaiters, [aRequest](const Waiter& aWaiter) {
      return aWaiter.mRequest == aRequest;
    });
  }
}

void Executions::SetOutcome(const Active& aActive,
                            const ExecutionId& aExecution,
                            Outcome aOutcome)
{
  SlotState* slot = FindState(aActive.mSlot, aActive.mEpoch);
  if (slot == nullptr) {
    return;
  }
  const auto record = slot->mRecords.find(aExecution);
  if (record != slot->mRecords.end()) {
    record->second.mOutcome = aOutcome;
  }
}

void Executions::OnAnswered(RequestId aRequest,
                            AnswerContentPtr aAnswer,
                            TimePoint aNow,
                            EffectList& aOut)
{
  const auto runner = mRunningRequests.find(aRequest);
  if (runner == mRunningRequests.end()) {
    return;
  }
  const ExecutionId execution = runner->second;
  mRunningRequests.erase(runner);
  Active& active = mActive.at(execution);
  SetOutcome(active, execution, Outcome::Completed);
  mAnswers.Put(active.mSlot, execution, aAnswer, aNow);
  active.mAnswer = std::move(aAnswer);
  active.mPhase = Phase::Copying;
  SendCopy(execution, active, aNow, aOut);
}

void Executions::DeliverAnswer(const ExecutionId& aExecution)
{
  const auto it = mActive.find(aExecution);
  const Active active = std::move(it->second);
  mActive.erase(it);
  mPendingCopies.erase(active.mCopyNumber);
  DecideAnswer(active.mRunner, active.mAnswer);
  for (const Waiter& waiter : active.mWaiters) {
    ++mCounters.mReplayed;
    DecideAnswer(waiter.mRequest, active.mAnswer);
  }
}

void Executions::OnOutcomeUnknown(RequestId aRequest,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  const auto runner = mRunningRequests.find(aRequest);
  if (runner == mRunningRequests.end()) {
    return;
  }
  const auto it = mActive.find(runner->second);
  mRunningRequests.erase(runner);
  const Active active = std::move(it->second);
  mActive.erase(it);
  ++mCounters.mUnknown;
  RefuseAll(active,
            UnknownRefusal("the request may have run at a backend server"));
  TickHandover(aNow, aOut);
}

void Executions::OnNotRun(RequestId aRequest,
                          Refusal aRefusal,
                          TimePoint aNow,
                          EffectList& aOut)
{
  const auto runner = mRunningRequests.find(aRequest);
  if (runner == mRunningRequests.end()) {
    return;
  }
  const auto it = mActive.find(runner->second);
  mRunningRequests.erase(runner);
  const Active active = std::move(it->second);
  SetOutcome(active, it->first, Outcome::NotRun);
  mActive.erase(it);
  RefuseAll(active, aRefusal);
  TickHandover(aNow, aOut);
}

} // namespace cranberrywing
