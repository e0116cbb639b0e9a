#include "cranberrywing/shifts.h"

#include <algorithm>
#include <string>

namespace cranberrywing {

namespace {

/// Time for which a VM that starts during a shift waits for the progress of its
/// peers.
constexpr Duration kPeerReplyTimeout = std::chrono::seconds(3);
/// Fractions that differ by less than this count as equal.
constexpr double kEpsilon = 1e-9;

effect::RecordTimeline TimelineEntry(std::string aName,
                                     const ServiceId& aService,
                                     const RegionId& aTo,
                                     double aShiftedFraction)
{
  return { std::move(aName),
           { { "service", aService.mName },
             { "to", aTo.mName },
             { "moved", std::to_string(aShiftedFraction) } } };
}

} // namespace

ShiftController::ShiftController(Options aOptions, ShiftHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
{
}

void ShiftController::Apply(const SettingsSnapshot& aSettings,
                            TimePoint aNow,
                            EffectList& aOut)
{
  // A shift that was removed from the settings ramps back at its last rate.
  for (Ramp& ramp : mRamps) {
    ramp.mTarget = 0;
    ramp.mPaused = false;
  }
  for (const auto& [id, service] : aSettings.mServices) {
    for (const ShiftSettings& shift : service.mShifts) {
      if (shift.mFrom != mOptions.mRegion || shift.mTo == shift.mFrom) {
        continue;
      }
      const std::size_t known = mRamps.size();
      Ramp& ramp = FindOrAdd(id, shift);
      ramp.mTarget = std::clamp(shift.mTarget, 0.0, 1.0);
      ramp.mCapPerMinute = std::max(0.0, shift.mCapPerMinute);
      ramp.mPaused = shift.mPaused;
      if (mRamps.size() > known) {
        aOut.push_back(TimelineEntry("shift_started", id, shift.mTo, 0));
        if (!mConfigured) {
          QueryPeers(ramp, aNow, aOut);
        }
      }
    }
  }
  if (!mConfigured) {
    mLastStep = aNow;
  }
  mConfigured = true;
}

ShiftController::Ramp& ShiftController::FindOrAdd(const ServiceId& aService,
                                                  const ShiftSettings& aShift)
{
  const auto it =
    std::find_if(mRamps.begin(), mRamps.end(), [&](const Ramp& aRamp) {
      return aRamp.mService == aService && aRamp.mTo == aShift.mTo;
    });
  if (it != mRamps.end()) {
    return *it;
  }
  Ramp& ramp = mRamps.emplace_back();
  ramp.mService = aService;
  ramp.mTo = aShift.mTo;
  return ramp;
}

void ShiftController::QueryPeers(Ramp& aRamp, TimePoint aNow, EffectList& aOut)
{
  if (!mHooks.mRegionPeers) {
    return;
  }
  if (!aRamp.mPeerReplyDeadline) {
    aRamp.mPeerReplyDeadline = aNow + kPeerReplyTimeout;
  }
  for (const VmId& peer : mHooks.mRegionPeers()) {
    effect::SendMessage send;
    send.mTo = peer;
    send.mMessage =
      message::ShiftProgress{ aRamp.mService, aRamp.mTo, 0, true };
    aOut.push_back(std::move(send));
  }
}

void ShiftController::Tick(TimePoint aNow, EffectList& aOut)
{
  if (aNow - mLastStep < mOptions.mStepInterval) {
    return;
  }
  // A process that was paused must not catch up, which would exceed the cap.
  const Duration elapsed =
    std::min(aNow - mLastStep, 2 * mOptions.mStepInterval);
  mLastStep = aNow;
  for (Ramp& ramp : mRamps) {
    Step(ramp, elapsed, aNow, aOut);
  }
  std::erase_if(mRamps, [](const Ramp& aRamp) {
    return aRamp.mTarget <= 0 && aRamp.mShiftedFraction <= 0 &&
           !aRamp.mPeerReplyDeadline;
  });
}

void ShiftController::Step(Ramp& aRamp,
                           Duration aElapsed,
                           TimePoint aNow,
                           EffectList& aOut)
{
  if (aRamp.mPeerReplyDeadline) {
    const bool isExpired = aNow >= *aRamp.mPeerReplyDeadline;
    if (!isExpired && aRamp.mPeerReplies == 0) {
      QueryPeers(aRamp, aNow, aOut);
      return;
    }
    aRamp.mPeerReplyDeadline.reset();
  }
  const double distance = aRamp.mTarget - aRamp.mShiftedFraction;
  if (std::abs(distance) < kEpsilon) {
    return;
  }
  const bool isIncrease = distance > 0;
  const bool mayAdvance = !isIncrease || !mHooks.mMayAdvance ||
                          mHooks.mMayAdvance(aRamp.mService, aRamp.mTo, aNow);
  SetHeld(aRamp, aRamp.mPaused || !mayAdvance, aOut);
  if (aRamp.mIsHeld) {
    return;
  }
  // Divide by a minute plus two intervals: a window of a minute may contain one
  // step more than its length, and must not exceed the cap.
  const Duration minute = std::chrono::minutes(1) + 2 * mOptions.mStepInterval;
  const double maxStep = aRamp.mCapPerMinute *
                         static_cast<double>(aElapsed.count()) /
                         static_cast<double>(minute.count());
  double step = std::clamp(distance, -maxStep, maxStep);
  step = std::min(step, UnshiftedFraction(aRamp.mService));
  aRamp.mShiftedFraction += step;
  if (std::abs(aRamp.mTarget - aRamp.mShiftedFraction) < kEpsilon) {
    aRamp.mShiftedFraction = aRamp.mTarget;
    aOut.push_back(TimelineEntry(
      "shift_reached", aRamp.mService, aRamp.mTo, aRamp.mShiftedFraction));
  }
}

void ShiftController::SetHeld(Ramp& aRamp, bool aIsHeld, EffectList& aOut)
{
  if (aRamp.mIsHeld == aIsHeld) {
    return;
  }
  aRamp.mIsHeld = aIsHeld;
  aOut.push_back(TimelineEntry(aIsHeld ? "shift_held" : "shift_resumed",
                               aRamp.mService,
                               aRamp.mTo,
                               aRamp.mShiftedFraction));
}

double ShiftController::UnshiftedFraction(const ServiceId& aService) const
{
  double unshifted = 1;
  for (const Ramp& ramp : mRamps) {
    unshifted -= ramp.mService == aService ? ramp.mShiftedFraction : 0;
  }
  return std::max(0.0, unshifted);
}

void ShiftController::OnMessage(const VmIncarnation& aFrom,
                                const message::ShiftProgress& aMessage,
                                TimePoint,
                                EffectList& aOut)
{
  const auto it =
    std::find_if(mRamps.begin(), mRamps.end(), [&](const Ramp& aRamp) {
      return aRamp.mService == aMessage.mService && aRamp.mTo == aMessage.mTo;
    });
  if (it == mRamps.end()) {
    return;
  }
  if (aMessage.mIsQuery) {
    // A VM that is itself waiting for its peers has no progress to report.
    if (!it->mPeerReplyDeadline) {
      effect::SendMessage send;
      send.mTo = aFrom.mVm;
      send.mMessage = message::ShiftProgress{
        it->mService, it->mTo, it->mShiftedFraction, false
      };
      aOut.push_back(std::move(send));
    }
    return;
  }
  if (it->mPeerReplyDeadline) {
    // Start with the mean of all replies, which leaves the region's mean
    // unchanged.
    ++it->mPeerReplies;
    const double mean =
      it->mShiftedFraction +
      (aMessage.mShiftedFraction - it->mShiftedFraction) / it->mPeerReplies;
    it->mShiftedFraction = std::clamp(mean, 0.0, 1.0);
  }
}

std::vector<std::pair<RegionId, double>> ShiftController::ShiftedFractions(
  const ServiceId& aService,
  TimePoint) const
{
  std::vector<std::pair<RegionId, double>> shifted;
  for (const Ramp& ramp : mRamps) {
    if (ramp.mService == aService && ramp.mShiftedFraction > 0) {
      shifted.emplace_back(ramp.mTo, ramp.mShiftedFraction);
    }
  }
  return shifted;
}

std::vector<ShiftController::Progress> ShiftController::Report() const
{
  std::vector<Progress> report;
  for (const Ramp& ramp : mRamps) {
    report.push_back({ ramp.mService,
                       ramp.mTo,
                       ramp.mShiftedFraction,
                       ramp.mTarget,
                       ramp.mIsHeld });
  }
  return report;
}

} // namespace cranberrywing
