/// \file
/// Which backend servers may be used: own failures, health and load reports,
/// drains, ejection and slow start (design 3.7).
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// What is known of one backend server.
struct BackendStatus
{
  BackendSettings mSettings;
  ServiceId mService;
  Duration mSlowStart{};
  Duration mProbeInterval{};

  /// Whether the server may get new work.
  bool mUsable = true;
  /// The server says that it is leaving.
  bool mClaimsDraining = false;
  std::uint32_t mUnhealthyReports = 0;
  std::uint32_t mConsecutiveFailures = 0;
  /// Own exchanges since the last comparison with the other servers.
  std::uint32_t mSuccesses = 0;
  std::uint32_t mFailures = 0;
  /// Seconds, summed over mSuccesses.
  double mLatencySum = 0;
  /// Successive ejections; lowered by time without one.
  std::uint32_t mEjections = 0;
  bool mEjected = false;
  TimePoint mEjectedUntil{};
  /// When the server last became usable after a time of being cold; unset if
  /// it is warm.
  std::optional<TimePoint> mColdSince;
  std::optional<TimePoint> mLastSuccess;
  /// When an own exchange last ended.
  std::optional<TimePoint> mLastUse;
  TimePoint mNextProbe{};
  std::optional<event::LoadReport> mLoad;
  TimePoint mLoadTime{};

  bool IsDraining() const { return mSettings.mDraining || mClaimsDraining; }
  /// Its health endpoint says so more than once in a row.
  bool ClaimsUnhealthy() const;
  /// Reports and own exchanges agree that it does not work.
  bool HasFailed() const;
  /// Recent own exchanges show that it works.
  bool IsProvenGood(TimePoint aNow) const;
  /// From near 0 for a cold server to 1 for a warm one.
  double SlowStartFactor(TimePoint aNow) const;
};

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
    /// Least part of a service's servers in a region that stays in use,
    /// however many look bad; only drained servers and those whose reports
    /// and own failures agree are exempt.
    double mFloor = 0.5;
    /// Region whose servers are probed at the service's interval; empty for
    /// all regions.
    RegionId mRegion{};
    /// Servers of other regions are probed this many times less often while
    /// this VM sends them nothing.
    double mRemoteProbeFactor = 5;
    /// Time between comparisons of servers with each other.
    Duration mCompareInterval = std::chrono::seconds(5);
    /// Success rate below the others' mean by this much is an outlier.
    double mSuccessRateGap = 0.15;
    /// Mean latency above this multiple of the others' median is an outlier;
    /// zero turns ejection on latency off.
    double mLatencyFactor = 3;
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
  double SlowStartFactor(const BackendId& aBackend, TimePoint aNow) const;
  /// Whether reports and own observations agree that the server does not
  /// answer at all.
  bool IsDown(const BackendId& aBackend) const;

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

  /// Mean reported utilization of the region's usable servers, under the same
  /// conditions.
  std::optional<double> Utilization(const ServiceId& aService,
                                    const RegionId& aRegion,
                                    Duration aMaxAge,
                                    TimePoint aNow) const;

  /// The server's status, or null. The pointer holds until Generation()
  /// changes.
  const BackendStatus* Find(const BackendId& aBackend) const;
  /// Rises with each Apply.
  std::uint64_t Generation() const { return mGeneration; }

private:
  /// Servers of one service in one region, between which work is chosen.
  struct Group
  {
    ServiceId mService;
    RegionId mRegion{};
    std::vector<BackendStatus*> mMembers;
  };

  BackendStatus* FindMutable(const BackendId& aBackend);
  const Group* FindGroup(const ServiceId& aService,
                         const RegionId& aRegion) const;
  void AddBackend(const ServiceSettings& aService,
                  const BackendSettings& aBackend,
                  TimePoint aNow,
                  EffectList& aOut);
  void RebuildGroups(const SettingsSnapshot& aSettings);
  /// Decides anew which servers of the group are usable.
  void Review(const Group& aGroup, TimePoint aNow, EffectList& aOut);
  void ReviewGroupOf(const BackendStatus& aStatus,
                     TimePoint aNow,
                     EffectList& aOut);
  void SetUsable(BackendStatus& aStatus,
                 bool aUsable,
                 TimePoint aNow,
                 EffectList& aOut);
  void Eject(BackendStatus& aStatus,
             std::string_view aReason,
             TimePoint aNow,
             EffectList& aOut);
  void EndEjections(TimePoint aNow, EffectList& aOut);
  void Compare(const Group& aGroup, TimePoint aNow, EffectList& aOut);
  void Probe(BackendStatus& aStatus, TimePoint aNow, EffectList& aOut);
  /// Takes note of an own exchange, from which on the server is probed at its
  /// interval.
  void NoteUse(BackendStatus& aStatus, TimePoint aNow);
  Duration Jittered(Duration aInterval, double aFactor);

  Options mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<BackendId, BackendStatus> mStatus;
  std::vector<Group> mGroups;
  std::uint64_t mGeneration = 0;
  bool mConfigured = false;
  /// Next time at which Tick has anything to do.
  TimePoint mNextWork{};
  TimePoint mNextCompare{};
};

} // namespace cranberrywing
