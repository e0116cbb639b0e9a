// Issue and execution of tickets. A ticket is run only by the owner of its
// epoch or, after a planned handover, by that owner's successor.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// Time after a ticket's expiry for which its record is retained, so that a
/// late repeat still receives the answer or a definite outcome.
constexpr std::chrono::seconds kTicketGracePeriod{ 600 };

} // namespace

Result<std::string> Executions::IssueTicket(const AccountId& aAccount,
                                            const RouteId& aRoute,
                                            TimePoint aNow)
{
  mWallClock.Observe(mHooks.mWallSeconds(), aNow);
  auto it = mOwned.upper_bound(mLastTicketSlot);
  for (std::size_t n = 0; n < mOwned.size(); ++n, ++it) {
    if (it == mOwned.end()) {
      it = mOwned.begin();
    }
    SlotState& slot = it->second;
    if (!AcceptsNewExecutions(slot)) {
      continue;
    }
    const auto lifetime =
      std::chrono::duration_cast<std::chrono::seconds>(mTicketLifetime);
    const TicketFields fields{
      .mSlot = it->first,
      .mEpoch = slot.mEpoch,
      .mNumber = slot.mNextTicket,
      .mExpirySeconds = mWallClock.ForExpiry() + lifetime.count(),
    };
    Result<std::string> ticket = mSigner.Issue(fields, aAccount, aRoute);
    if (ticket) {
      ++slot.mNextTicket;
      ++mCounters.mTicketsIssued;
      mLastTicketSlot = it->first;
    }
    return ticket;
  }
  return MakeError(ResultCode::NotOwner, "this VM owns no slot");
}

bool Executions::OwnsEpoch(const SlotState& aSlot, std::uint64_t aEpoch) const
{
  const auto& inherited = aSlot.mInheritedEpochs;
  return aEpoch == aSlot.mEpoch ||
         std::find(inherited.begin(), inherited.end(), aEpoch) !=
           inherited.end();
}

void Executions::StartTicket(SlotState& aSlot,
                             Attempt aAttempt,
                             TimePoint aNow,
                             EffectList&)
{
  const auto record = aSlot.mRecords.find(aAttempt.mExecution);
  if (record != aSlot.mRecords.end()) {
    HandleRepeat(aSlot, record->second, aAttempt, aNow);
  } else if (aAttempt.mTicket->mEpoch > aSlot.mEpoch) {
    mSlots.Refresh();
    Refuse(aAttempt.mRequest.mRequest,
           { .mCode = ResultCode::NotOwner,
             .mExecution = Execution::NotAttempted,
             .mDetail = "the ticket's slot has a later owner" });
  } else if (OwnsEpoch(aSlot, aAttempt.mTicket->mEpoch)) {
    StartNewTicket(aSlot, std::move(aAttempt));
  } else {
    StartForeignTicket(aSlot, std::move(aAttempt), aNow);
  }
}

void Executions::StartNewTicket(SlotState& aSlot, Attempt aAttempt)
{
  const std::int64_t expiry = aAttempt.mTicket->mExpirySeconds;
  if (mWallClock.ForExpiry() >= expiry) {
    // Records are retained at least for the grace time. Until it ends, the
    // absence of a record proves that the ticket did not run.
    const bool isCertain =
      mWallClock.ForExpiry() < expiry + kTicketGracePeriod.count();
    Refuse(aAttempt.mRequest.mRequest,
           { .mCode = ResultCode::InvalidTicket,
             .mExecution = isCertain ? Execution::NotRun : Execution::Unknown,
             .mDetail = "the ticket has expired" });
    return;
  }
  if (!AcceptsNewExecutions(aSlot)) {
    Enqueue(aSlot, std::move(aAttempt));
    return;
  }
  aSlot.mRecords[aAttempt.mExecution] = {
    .mContent = MakeContentTag(aAttempt.mRequest.mContent),
    .mExpirySeconds =
      static_cast<std::uint32_t>(expiry + kTicketGracePeriod.count()),
    .mOutcome = Outcome::Unknown,
    .mIsTicket = true,
  };
  ++mCounters.mTicketsRun;
  StartRunning(aSlot, aAttempt);
}

void Executions::StartForeignTicket(SlotState& aSlot,
                                    Attempt aAttempt,
                                    TimePoint aNow)
{
  const AnswerContentPtr answer = mAnswers.Find(aAttempt.mExecution);
  if (answer) {
    ++mCounters.mReplayed;
    DecideAnswer(aAttempt.mRequest.mRequest, answer);
  } else if (aSlot.mAwaitsHandover || aNow < aSlot.mCopyQueryDeadline) {
    Enqueue(aSlot, std::move(aAttempt));
  } else {
    RefuseByOutcome(aAttempt.mRequest.mRequest, Outcome::Unknown);
  }
}

} // namespace cranberrywing
