/// \file
/// Tracks the health of backend servers and decides which of them may receive
/// new requests, from the outcomes of this VM's own requests, health and load
/// reports, drains, outlier ejection and slow start (design 3.7).
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

/// Health state of one backend server.
struct BackendStatus
{
  BackendSettings mSettings;
  ServiceId mService;
  Duration mSlowStart{};
  Duration mProbeInterval{};

  /// Whether the server may receive new requests.
  bool mUsable = true;
  /// The server's health endpoint reports that it is draining.
  bool mReportsDraining = false;
  std::uint32_t mUnhealthyReports = 0;
  std::uint32_t mConsecutiveFailures = 0;
  /// Outcomes of this VM's requests since the last outlier check.
  std::uint32_t mSuccesses = 0;
  std::uint32_t mFailures = 0;
  /// Sum of the latencies of mSuccesses, in seconds.
  double mLatencySum = 0;
  /// Number of successive ejections, which sets the length of the next one;
  /// decremented by each outlier check that finds no outlier.
  std::uint32_t mEjections = 0;
  bool mEjected = false;
  TimePoint mEjectedUntil{};
  /// Start of the most recent slow start; unset if the server has been usable
  /// since the first configuration.
  std::optional<TimePoint> mSlowStartSince;
  std::optional<TimePoint> mLastSuccess;
  /// End of this VM's most recent request to the server.
  std::optional<TimePoint> mLastExchange;
  TimePoint mNextProbe{};
  std::optional<event::LoadReport> mLoad;
  TimePoint mLoadTime{};

  bool IsDraining() const { return mSettings.mDraining || mReportsDraining; }
  /// Whether several health reports in a row were negative.
  bool IsReportedUnhealthy() const;
  /// Whether both health reports and this VM's own requests show a failure.
  bool HasFailed() const;
  /// Whether the last request of this VM succeeded, recently enough to outweigh
  /// a negative health report.
  bool HasRecentSuccess(TimePoint aNow) const;
  /// Share of its normal traffic that the server should receive: from near 0
  /// at the beginning of slow start to 1 outside of it.
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
    Duration mInitialEjectionTime = std::chrono::seconds(5);
    Duration mMaxEjectionTime = std::chrono::minutes(5);
    /// Minimum fraction of a service's servers in a region that stays in use,
    /// however many are suspect. Draining servers and those for which
    /// HasFailed() holds are exempt and can be removed beyond it.
    double mMinUsableFraction = 0.5;
    /// Region whose servers are probed at the service's interval. If empty,
    /// this applies to all regions.
    RegionId mRegion{};
    /// Factor on the probe interval of servers of other regions while this VM
    /// sends them no requests.
    double mRemoteProbeIntervalFactor = 5;
    /// Time between checks for outliers among the servers of a group.
    Duration mOutlierCheckInterval = std::chrono::seconds(5);
    /// A server whose success rate is lower than the group's median by more
    /// than this is an outlier.
    double mSuccessRateGap = 0.15;
    /// A server whose mean latency exceeds this multiple of the group's median
    /// is an outlier. Zero disables ejection by latency.
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

  /// Whether the server may receive new requests.
  bool IsUsable(const BackendId& aBackend, TimePoint aNow) const;
  /// Share of its normal traffic that the server should receive: from near 0
  /// at the beginning of slow start to 1 outside of it.
  double SlowStartFactor(const BackendId& aBackend, TimePoint aNow) const;
  /// Whether both health reports and this VM's own requests show that the
  /// server is down.
  bool IsDown(const BackendId& aBackend) const;

  struct AgedLoad
  {
    event::LoadReport mReport;
    Duration mAge{};
  };
  std::optional<AgedLoad> Load(const BackendId& aBackend, TimePoint aNow) const;

  /// Capacity of a region's usable servers for a service, in requests per
  /// second. The capacity of a server in slow start is scaled by its
  /// SlowStartFactor().
  double Capacity(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  /// Sum of the request rates that the region's servers report, in requests per
  /// second, extrapolated to servers without a recent report. Reports older
  /// than aMaxAge are ignored; nullopt if too few of the usable servers have a
  /// recent one.
  std::optional<double> ReportedRate(const ServiceId& aService,
                                     const RegionId& aRegion,
                                     Duration aMaxAge,
                                     TimePoint aNow) const;

  /// Mean reported utilization of the region's usable servers, from 0 to 1,
  /// under the same conditions as ReportedRate().
  std::optional<double> Utilization(const ServiceId& aService,
                                    const RegionId& aRegion,
                                    Duration aMaxAge,
                                    TimePoint aNow) const;

  /// The server's status, or null if the settings lack it. The pointer is valid
  /// until Generation() changes.
  const BackendStatus* Find(const BackendId& aBackend) const;
  /// Incremented by each call of Apply.
  std::uint64_t Generation() const { return mGeneration; }

private:
  /// Servers of one service in one region, which are compared with each other
  /// and among which requests are balanced.
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
  /// Recomputes which servers of the group are usable.
  void UpdateUsability(const Group& aGroup, TimePoint aNow, EffectList& aOut);
  void UpdateGroupUsability(const BackendStatus& aStatus,
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
  void CheckOutliers(const Group& aGroup, TimePoint aNow, EffectList& aOut);
  void Probe(BackendStatus& aStatus, TimePoint aNow, EffectList& aOut);
  /// Records a request of this VM, after which a remote server is probed at its
  /// service's interval.
  void RecordUse(BackendStatus& aStatus, TimePoint aNow);
  Duration Jittered(Duration aInterval, double aFactor);

  Options mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<BackendId, BackendStatus> mStatus;
  std::vector<Group> mGroups;
  std::uint64_t mGeneration = 0;
  bool mConfigured = false;
  /// Earliest time at which Tick has work to do.
  TimePoint mNextTick{};
  TimePoint mNextOutlierCheck{};
};

} // namespace cranberrywing
