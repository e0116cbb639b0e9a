/// \file
/// Operators' shifts of a service between regions, as ramps under a cap
/// (design 3.5).
#pragma once

#include <functional>
#include <map>
#include <string>
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
  std::vector<std::pair<RegionId, double>> Moved(const ServiceId& aService,
                                                 TimePoint aNow) const;

private:
  Options mOptions;
  ShiftHooks mHooks;
};

} // namespace cranberrywing
