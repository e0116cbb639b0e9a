#include "cranberrywing/drain.h"

namespace cranberrywing {

namespace {

/// Time after the longest deadline by which a drain ends in any case.
constexpr Duration kFinishMargin = std::chrono::seconds(1);

/// The last requests are refused this long before the drain ends, so that the
/// refusals are sent before the process exits.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(200);

} // namespace

DrainController::DrainController(DrainHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void DrainController::Start(Duration aLookupLifetime,
                            Duration aLongestDeadline,
                            TimePoint aNow,
                            EffectList& aOut)
{
  if (mStage != DrainStage::Serving) {
    return;
  }
  mStage = DrainStage::Linger;
  mLingerEnd = aNow + aLookupLifetime;
  mFinishEnd = mLingerEnd + aLongestDeadline + kFinishMargin;
  // Half of the time is reserved for requests that a slow handover delays.
  mHandoverEnd = mLingerEnd + aLongestDeadline / 2;
  mHooks.mLeave(false, aNow, aOut);
  aOut.push_back(effect::RecordTimeline{ .mName = "drain_started" });
}

void DrainController::Tick(TimePoint aNow, EffectList& aOut)
{
  if (mStage == DrainStage::Linger && aNow >= mLingerEnd) {
    mStage = DrainStage::Handover;
    mHooks.mStartHandover(aNow, aOut);
    aOut.push_back(effect::RecordTimeline{ .mName = "drain_handover" });
  }
  const bool mayFinish = mStage == DrainStage::Handover &&
                         (mHooks.mIsHandedOver() || aNow >= mHandoverEnd);
  if (mayFinish) {
    mStage = DrainStage::Finish;
  }
  const bool mayExit = mStage == DrainStage::Finish &&
                       (mHooks.mInFlight() == 0 || aNow >= mFinishEnd);
  if (mayExit) {
    mStage = DrainStage::Exited;
    const std::size_t remaining = mHooks.mInFlight();
    mHooks.mRefuseRemaining(aOut);
    mHooks.mLeave(true, aNow, aOut);
    aOut.push_back(effect::RecordTimeline{
      .mName = "drain_finished",
      .mFields = { { "refused_requests", std::to_string(remaining) } } });
    aOut.push_back(effect::Exit{});
  }
}

std::optional<TimePoint> DrainController::LatestDeadline() const
{
  if (mStage == DrainStage::Serving) {
    return std::nullopt;
  }
  return mFinishEnd - kAnswerMargin;
}

bool DrainController::ClosesConnections() const
{
  return mStage != DrainStage::Serving;
}

} // namespace cranberrywing
