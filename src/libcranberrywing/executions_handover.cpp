// Acquisition and loss of slots, and transfer of their state in a planned
// handover.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// The final message is sent twice in case its connection is lost.
constexpr int kFinalSends = 2;
/// Interval between the final messages. SlotTable waits longer than this before
/// it reports its slots as released; see kHandoverSendTime in
/// slots_release.cpp.
constexpr Milliseconds kHandoverResendInterval{ 200 };
/// Maximum size of the answers in a handover message. Further answers are sent
/// before it as AnswerCopy.
constexpr std::size_t kHandoverAnswerBytes = 1u << 20;
/// Exceeds any route's timeout: by then the previous owner has reported the
/// outcomes of its last executions, or it has died.
constexpr std::chrono::seconds kPredecessorTimeout{ 60 };
/// Maximum number of earlier epochs whose tickets are accepted. Tickets of
/// older epochs have expired long ago.
constexpr std::size_t kMaxInheritedEpochs = 16;

std::size_t SizeOf(const AnswerContent& aAnswer)
{
  std::size_t bytes = aAnswer.mBody.size();
  for (const Header& header : aAnswer.mHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  return bytes;
}

effect::RecordTimeline MakeSlotEvent(std::string aName,
                                     std::uint32_t aSlot,
                                     std::uint64_t aEpoch)
{
  return { .mName = std::move(aName),
           .mFields = { { "slot", std::to_string(aSlot) },
                        { "epoch", std::to_string(aEpoch) } } };
}

} // namespace

void Executions::OnSlotAcquired(std::uint32_t aSlot,
                                std::uint64_t aEpoch,
                                TimePoint aNow,
                                EffectList& aOut)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  aOut.push_back(MakeSlotEvent("slot_acquired", aSlot, aEpoch));
  mDeparting.erase(aSlot);
  SlotState& slot = mOwned[aSlot];
  slot = SlotState{};
  slot.mEpoch = aEpoch;
  slot.mCopyQueryDeadline = aNow + mOptions.mCopyQueryTimeout;
  QueryCopies(aSlot, aOut);
  if (mSlots.IsHandedOver(aSlot)) {
    slot.mAwaitsHandover = true;
    slot.mHandoverDeadline = aNow + mOptions.mHandoverTimeout;
  }
  const auto early = mEarlyHandovers.find(aSlot);
  if (early != mEarlyHandovers.end()) {
    const message::SlotHandover handover = std::move(early->second);
    mEarlyHandovers.erase(early);
    ApplyHandover(aSlot, slot, handover, aNow, aOut);
  }
  ContinueLoad(aSlot, slot, aNow, aOut);
}

void Executions::OnSlotLost(std::uint32_t aSlot,
                            TimePoint aNow,
                            EffectList& aOut)
{
  const auto owned = mOwned.find(aSlot);
  if (owned == mOwned.end()) {
    return;
  }
  SlotState state = std::move(owned->second);
  mOwned.erase(owned);
  aOut.push_back(MakeSlotEvent("slot_lost", aSlot, state.mEpoch));
  const std::optional<SlotOwner> owner = mSlots.Owner(aSlot);
  // Only the owner of an epoch can mark the next epoch as handed over.
  const bool isPlanned =
    owner && mSlots.IsHandedOver(aSlot) && owner->mEpoch == state.mEpoch + 1;
  RefuseSlotRequests(aSlot, state, aNow);
  if (isPlanned) {
    mDeparting[aSlot] = { .mState = std::move(state),
                          .mSuccessor = owner->mProcess.mVm,
                          .mIsSent = false,
                          .mFinalSendsLeft = kFinalSends,
                          .mNextSend = aNow };
    TickHandover(aNow, aOut);
  }
}

void Executions::RefuseSlotRequests(std::uint32_t aNumber,
                                    SlotState& aSlot,
                                    TimePoint aNow)
{
  Refusal refusal{
    .mCode = ResultCode::NotOwner,
    .mExecution = Execution::NotAttempted,
    .mDetail = "the slot has moved to another owner",
  };
  for (const Attempt& attempt : std::exchange(aSlot.mWaiting, {})) {
    refusal.mExecution = IsKnownNotRun(aSlot, attempt, aNow)
                           ? Execution::NotRun
                           : Execution::NotAttempted;
    if (mWaitingRequests.contains(attempt.mRequest.mRequest)) {
      Refuse(attempt.mRequest.mRequest, refusal);
    }
  }
  refusal.mExecution = Execution::NotAttempted;
  std::vector<ExecutionId> uncommitted;
  for (const auto& [execution, active] : mActive) {
    if (active.mSlot == aNumber && active.mPhase == Phase::Committing) {
      uncommitted.push_back(execution);
    }
  }
  std::sort(uncommitted.begin(), uncommitted.end());
  for (const ExecutionId& execution : uncommitted) {
    const auto active = mActive.find(execution);
    RefuseAll(active->second, refusal);
    mActive.erase(active);
  }
  aSlot.mPending.clear();
}

bool Executions::IsCommitting(std::uint32_t aSlot, std::uint64_t aEpoch) const
{
  const bool isInGroup = mGroup && std::any_of(mGroup->mParts.begin(),
                                               mGroup->mParts.end(),
                                               [&](const BatchPart& aPart) {
                                                 return aPart.mSlot == aSlot &&
                                                        aPart.mEpoch == aEpoch;
                                               });
  return isInGroup ||
         std::any_of(mActive.begin(), mActive.end(), [&](const auto& aEntry) {
           const Active& active = aEntry.second;
           return active.mSlot == aSlot && active.mEpoch == aEpoch &&
                  active.mPhase == Phase::Committing;
         });
}

bool Executions::HasActive(std::uint32_t aSlot, std::uint64_t aEpoch) const
{
  return IsCommitting(aSlot, aEpoch) ||
         std::any_of(mActive.begin(), mActive.end(), [&](const auto& aEntry) {
           return aEntry.second.mSlot == aSlot &&
                  aEntry.second.mEpoch == aEpoch;
         });
}

bool Executions::IsIdle(std::uint32_t aSlot) const
{
  const auto it = mOwned.find(aSlot);
  return it == mOwned.end() || !HasActive(aSlot, it->second.mEpoch);
}

message::SlotHandover Executions::Freeze(std::uint32_t aSlot,
                                         std::uint64_t aEpoch)
{
  SlotState* slot = FindState(aSlot, aEpoch);
  if (slot == nullptr) {
    message::SlotHandover handover;
    handover.mSlot = aSlot;
    handover.mEpoch = aEpoch;
    return handover;
  }
  slot->mIsFrozen = true;
  return BuildHandover(aSlot, *slot);
}

message::SlotHandover Executions::BuildHandover(std::uint32_t aNumber,
                                                const SlotState& aSlot) const
{
  message::SlotHandover handover;
  handover.mSlot = aNumber;
  handover.mEpoch = aSlot.mEpoch;
  handover.mInheritedEpochs = aSlot.mInheritedEpochs;
  for (const auto& [execution, record] : aSlot.mRecords) {
    const auto active = mActive.find(execution);
    const bool isRunning = active != mActive.end() &&
                           active->second.mEpoch == aSlot.mEpoch &&
                           active->second.mPhase == Phase::Running;
    const Outcome outcome = isRunning ? Outcome::Running : record.mOutcome;
    // Claims loaded from the store have the outcome Unknown by default.
    if (record.mIsTicket || outcome != Outcome::Unknown) {
      handover.mRecords.push_back(
        { .mExecution = execution,
          .mContent = { .mHigh = 0, .mLow = record.mContent },
          .mExpirySeconds = record.mExpirySeconds,
          .mOutcome = outcome,
          .mIsTicket = record.mIsTicket });
    }
  }
  return handover;
}

void Executions::AddAnswers(std::uint32_t aNumber,
                            message::SlotHandover& aMessage,
                            std::vector<ExecutionId>& aRemaining) const
{
  std::size_t bytes = 0;
  for (const ExecutionId& execution : mAnswers.FindBySlot(aNumber)) {
    const AnswerContentPtr answer = mAnswers.Find(execution);
    bytes += SizeOf(*answer);
    if (bytes > kHandoverAnswerBytes) {
      aRemaining.push_back(execution);
    } else {
      aMessage.mAnswers.push_back({ execution, aNumber, *answer });
    }
  }
}

void Executions::TickHandover(TimePoint aNow, EffectList& aOut)
{
  for (auto& [number, departing] : mDeparting) {
    ContinueDeparting(number, departing, aNow, aOut);
  }
  std::erase_if(mDeparting, [](const auto& aEntry) {
    return aEntry.second.mFinalSendsLeft == 0;
  });
}

void Executions::ContinueDeparting(std::uint32_t aNumber,
                                   Departing& aDeparting,
                                   TimePoint aNow,
                                   EffectList& aOut)
{
  const std::uint64_t epoch = aDeparting.mState.mEpoch;
  // A claim whose commit is still pending may or may not be in the store. Once
  // the commit is resolved, the successor can be informed that it did not run.
  if (aNow < aDeparting.mNextSend || IsCommitting(aNumber, epoch)) {
    return;
  }
  const bool isFinal = !HasActive(aNumber, epoch);
  if (!isFinal && aDeparting.mIsSent) {
    return;
  }
  if (isFinal) {
    --aDeparting.mFinalSendsLeft;
    aDeparting.mNextSend = aNow + kHandoverResendInterval;
  }
  SendHandover(aNumber, aDeparting, aOut);
}

void Executions::SendHandover(std::uint32_t aNumber,
                              Departing& aDeparting,
                              EffectList& aOut)
{
  message::SlotHandover handover = BuildHandover(aNumber, aDeparting.mState);
  std::vector<ExecutionId> remaining;
  AddAnswers(aNumber, handover, remaining);
  const bool isFirst = !std::exchange(aDeparting.mIsSent, true);
  for (const ExecutionId& execution : remaining) {
    if (isFirst) {
      aOut.push_back(effect::SendMessage{
        .mTo = aDeparting.mSuccessor,
        .mAddress = "",
        .mPort = 0,
        .mTransport = effect::Transport::Stream,
        .mMessage = message::AnswerCopy{
          .mNumber = 0,
          .mAnswer = { execution, aNumber, *mAnswers.Find(execution) } } });
    }
  }
  aOut.push_back(effect::SendMessage{ .mTo = aDeparting.mSuccessor,
                                      .mAddress = "",
                                      .mPort = 0,
                                      .mTransport = effect::Transport::Stream,
                                      .mMessage = std::move(handover) });
  if (isFirst) {
    ++mCounters.mHandoversSent;
    aOut.push_back(
      MakeSlotEvent("slot_handed_over", aNumber, aDeparting.mState.mEpoch));
  }
}

void Executions::OnMessage(const VmIncarnation&,
                           const message::SlotHandover& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  const auto owned = mOwned.find(aMessage.mSlot);
  if (owned != mOwned.end() && owned->second.mEpoch >= aMessage.mEpoch + 1) {
    ApplyHandover(aMessage.mSlot, owned->second, aMessage, aNow, aOut);
    return;
  }
  message::SlotHandover& early = mEarlyHandovers[aMessage.mSlot];
  if (aMessage.mEpoch >= early.mEpoch) {
    early = aMessage;
  }
  mSlots.Refresh();
}

void Executions::ApplyHandover(std::uint32_t aNumber,
                               SlotState& aSlot,
                               const message::SlotHandover& aMessage,
                               TimePoint aNow,
                               EffectList& aOut)
{
  // The predecessor sends its state only after it has permanently stopped
  // starting executions. Its epoch may therefore be treated as this process's
  // own, no matter how late the message arrives.
  const bool isPredecessor =
    mSlots.IsHandedOver(aNumber) && aMessage.mEpoch + 1 == aSlot.mEpoch;
  if (!isPredecessor) {
    return;
  }
  if (std::exchange(aSlot.mHasHandoverState, true)) {
    for (const message::ExecutionRecord& record : aMessage.mRecords) {
      ApplyLateOutcome(aSlot, record);
    }
    return;
  }
  aSlot.mPredecessorDeadline = aNow + kPredecessorTimeout;
  aSlot.mAwaitsHandover = false;
  aSlot.mInheritedEpochs = aMessage.mInheritedEpochs;
  auto& inherited = aSlot.mInheritedEpochs;
  inherited.insert(inherited.begin(), aMessage.mEpoch);
  inherited.resize(std::min(inherited.size(), kMaxInheritedEpochs));
  for (const message::ExecutionRecord& record : aMessage.mRecords) {
    ApplyHandoverRecord(aSlot, record);
  }
  for (const StoredAnswer& stored : aMessage.mAnswers) {
    mAnswers.Put(stored.mSlot,
                 stored.mExecution,
                 std::make_shared<const AnswerContent>(stored.mAnswer),
                 aNow);
  }
  ++mCounters.mHandoversReceived;
  aOut.push_back(
    MakeSlotEvent("slot_handover_taken", aNumber, aMessage.mEpoch));
  RetryQueue(aSlot, aNow, aOut);
}

void Executions::ApplyHandoverRecord(SlotState& aSlot,
                                     const message::ExecutionRecord& aRecord)
{
  Record& record = aSlot.mRecords[aRecord.mExecution];
  // A claim loaded from the store has the outcome Unknown. Only this process
  // could have changed it since, and it has not run the claim, so the
  // predecessor's outcome may replace it.
  record.mContent = MakeContentTag(aRecord.mContent);
  record.mExpirySeconds = static_cast<std::uint32_t>(aRecord.mExpirySeconds);
  record.mRunsAtPredecessor = aRecord.mOutcome == Outcome::Running;
  record.mOutcome =
    record.mRunsAtPredecessor ? Outcome::Unknown : aRecord.mOutcome;
  record.mIsTicket = aRecord.mIsTicket;
}

void Executions::ApplyLateOutcome(SlotState& aSlot,
                                  const message::ExecutionRecord& aRecord)
{
  // Applied only once: a duplicate message must not overwrite a later outcome.
  const auto record = aSlot.mRecords.find(aRecord.mExecution);
  const bool isNew = record != aSlot.mRecords.end() &&
                     record->second.mRunsAtPredecessor &&
                     aRecord.mOutcome != Outcome::Running;
  if (isNew) {
    record->second.mRunsAtPredecessor = false;
    record->second.mOutcome = aRecord.mOutcome;
  }
}

} // namespace cranberrywing
