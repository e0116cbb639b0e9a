/// \file
/// Shifts of a service's traffic between regions by operators, carried out as
/// ramps with a maximum rate of change (design 3.5).
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
  /// Returns whether the target region is healthy, and measured well enough,
  /// for the shift of the service to advance.
  std::function<bool(const ServiceId&, const RegionId&, TimePoint)> mMayAdvance;
  /// Returns the peers in this VM's region, from which the progress of shifts
  /// is learned.
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
  /// Target regions of the service's shifts with the fraction of this region's
  /// traffic that each receives at present.
  std::vector<std::pair<RegionId, double>> ShiftedFractions(
    const ServiceId& aService,
    TimePoint aNow) const;

  /// Handles progress, or a query for it, from another VM of the region.
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ShiftProgress& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

  /// Progress of a shift on this VM, for reports.
  struct Progress
  {
    ServiceId mService;
    RegionId mTo;
    double mShiftedFraction = 0;
    double mTarget = 0;
    /// Whether the shift is held by the operator or because mMayAdvance
    /// returned false.
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
    /// While set, the ramp waits until this time for the progress of the
    /// region's other VMs.
    std::optional<TimePoint> mPeerReplyDeadline;
    /// Number of progress replies from peers.
    std::uint32_t mPeerReplies = 0;
  };

  Ramp& FindOrAdd(const ServiceId& aService, const ShiftSettings& aShift);
  void Step(Ramp& aRamp, Duration aElapsed, TimePoint aNow, EffectList& aOut);
  void SetHeld(Ramp& aRamp, bool aIsHeld, EffectList& aOut);
  /// Fraction of the service's traffic that no ramp moves.
  double UnshiftedFraction(const ServiceId& aService) const;
  void QueryPeers(Ramp& aRamp, TimePoint aNow, EffectList& aOut);

  Options mOptions;
  ShiftHooks mHooks;
  std::vector<Ramp> mRamps;
  bool mConfigured = false;
  TimePoint mLastStep{};
};

} // namespace cranberrywing
