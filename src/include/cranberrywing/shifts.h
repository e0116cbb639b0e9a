/// \file
/// Operators' shifts of a service between regions, as ramps under a cap
/// (design 3.5).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

struct ShiftHooks
{
  /// Whether the target region is healthy and measured well enough for the
  /// service to take a further step.
  std::function<bool(const ServiceId&, const RegionId&, TimePoint)> mMayAdvance;
  /// Peers of this VM's region, for learning how far shifts have come.
  std::function<std::vector<VmId>()> mRegionPeers;
};

/// Not thread-safe; owned by the reducer.
class ShiftController
{
public:
  struct Options
  {
    RegionId mRegion;
    Duration mStepInterval = std::chrono::seconds(1);
  };

  ShiftController(Options aOptions, ShiftHooks aHooks);

  void Apply(const SettingsSnapshot& aSettings,
             TimePoint aNow,
             EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  /// Target regions with the part of this region's traffic that each gets.
  std::vector<std::pair<RegionId, double>> ShiftedFractions(
    const ServiceId& aService,
    TimePoint aNow) const;

  /// Another VM of the region tells or asks how far a shift has come.
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ShiftProgress& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

  /// A shift as this VM carries it out, for reports.
  struct Progress
  {
    ServiceId mService;
    RegionId mTo;
    double mShiftedFraction = 0;
    double mTarget = 0;
    /// Whether the operator or mMayAdvance holds it.
    bool mIsHeld = false;
  };
  std::vector<Progress> Report() const;

private:
  struct Ramp
  {
    ServiceId mService;
    RegionId mTo;
    double mShiftedFraction = 0;
    double mTarget = 0;
    double mCapPerMinute = 0;
    bool mPaused = false;
    bool mIsHeld = false;
    /// While set, the progress of the region's other VMs is awaited.
    std::optional<TimePoint> mAwaitsPeersUntil;
    /// Peers that have answered.
    std::uint32_t mAnswers = 0;
  };

  Ramp& FindOrAdd(const ServiceId& aService, const ShiftSettings& aShift);
  void Step(Ramp& aRamp, Duration aElapsed, TimePoint aNow, EffectList& aOut);
  void SetHeld(Ramp& aRamp, bool aIsHeld, EffectList& aOut);
  /// Part of the service's traffic that no ramp moves.
  double Unmoved(const ServiceId& aService) const;
  void AskPeers(Ramp& aRamp, TimePoint aNow, EffectList& aOut);

  Options mOptions;
  ShiftHooks mHooks;
  std::vector<Ramp> mRamps;
  bool mConfigured = false;
  TimePoint mLastStep{};
};

} // namespace cranberrywing
