/// \file
/// Which backend servers may be used: own failures, health and load reports,
/// drains, ejection and slow start (design 3.7).
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Not thread-safe; owned by the reducer.
class BackendHealth
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    std::uint32_t mConsecutiveFailures = 5;
    Duration mFirstEjection = std::chrono::seconds(5);
    Duration mLongestEjection = std::chrono::minutes(5);
    /// Least part of a service's servers that stays in use.
    double mFloor = 0.5;
  };

  explicit BackendHealth(Options aOptions);

  void Apply(const SettingsSnapshot& aSettings,
             TimePoint aNow,
             EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  void OnHealth(const event::HealthReported& aEvent,
                TimePoint aNow,
                EffectList& aOut);
  void OnLoad(const event::LoadReported& aEvent, TimePoint aNow);
  void OnSuccess(const BackendId& aBackend, Duration aLatency, TimePoint aNow);
  void OnFailure(const BackendId& aBackend,
                 event::FailureKind aKind,
                 TimePoint aNow,
                 EffectList& aOut);

  /// Whether the server may get new work.
  bool IsUsable(const BackendId& aBackend, TimePoint aNow) const;
  /// From near 0 for a cold server to 1 for a warm one.
  double Warmth(const BackendId& aBackend, TimePoint aNow) const;

  struct AgedLoad
  {
    event::LoadReport mReport;
    Duration mAge{};
  };
  std::optional<AgedLoad> Load(const BackendId& aBackend, TimePoint aNow) const;

  /// Requests per second that the usable servers of a region can carry for a
  /// service, cold servers counted by their warmth.
  double Capacity(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  /// Reported requests per second of the region's servers, none older than
  /// aMaxAge; nullopt if too few reports are fresh to tell.
  std::optional<double> ReportedRate(const ServiceId& aService,
                                     const RegionId& aRegion,
                                     Duration aMaxAge,
                                     TimePoint aNow) const;

private:
  Options mOptions;
};

} // namespace cranberrywing
