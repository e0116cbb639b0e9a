/// \file
/// Chooses a backend server inside a region: two random choices by own
/// in-flight count and latency, corrected by reported load (design 3.7).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cranberrywing/backend_health.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

enum class SelectionPolicy : std::uint8_t
{
  TwoChoices,
  /// Baselines for measurement.
  RoundRobin,
  LeastReportedLoad,
};

struct SelectionRequest
{
  ServiceId mService;
  RegionId mRegion;
  /// Failure domains of earlier attempts, avoided if another has a server.
  std::vector<FailureDomainId> mAvoidedDomains;
  std::vector<BackendId> mAvoidedBackends;
};

/// Not thread-safe; owned by the reducer.
class BackendSelector
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    SelectionPolicy mPolicy = SelectionPolicy::TwoChoices;
  };

  /// Precondition: aHealth outlives the selector.
  BackendSelector(Options aOptions, const BackendHealth& aHealth);

  void Apply(const SettingsSnapshot& aSettings);

  /// A usable server with a free connection, or null. The pointer holds until
  /// the next Apply.
  const BackendSettings* Select(const SelectionRequest& aRequest,
                                TimePoint aNow);
  void OnDispatch(const BackendId& aBackend);
  /// The exchange ended; no latency if it failed.
  void OnFinish(const BackendId& aBackend, std::optional<Duration> aLatency);
  std::uint32_t InFlight(const BackendId& aBackend) const;
  /// Smoothed latency; zero while unknown.
  Duration Latency(const BackendId& aBackend) const;

private:
  struct Candidate
  {
    BackendSettings mSettings;
    const BackendStatus* mStatus = nullptr;
    std::uint32_t mInFlight = 0;
    /// Seconds; zero while unknown.
    double mLatency = 0;
    /// When mLatency last changed.
    TimePoint mSampled{};
    /// Last time at which an exchange ended, or the first of those that run
    /// began.
    TimePoint mProgress{};
  };

  /// Servers of one service in one region.
  struct Group
  {
    ServiceId mService;
    RegionId mRegion;
    std::vector<Candidate*> mMembers;
    /// Position of the round-robin baseline.
    std::size_t mNext = 0;
  };

  Group* FindGroup(const ServiceId& aService, const RegionId& aRegion);
  void RefreshStatus();
  bool IsFree(const Candidate& aCandidate) const;
  Candidate* Draw(Group& aGroup, const Candidate* aOther, TimePoint aNow);
  Candidate* TwoChoices(Group& aGroup, TimePoint aNow);
  Candidate* RoundRobin(Group& aGroup);
  Candidate* LeastReportedLoad(Group& aGroup);
  /// The best of all free servers that the request does not avoid.
  Candidate* BestOf(Group& aGroup,
                    const SelectionRequest& aRequest,
                    TimePoint aNow);
  double PresentLatency(const Candidate& aCandidate, TimePoint aNow) const;
  double Cost(const Candidate& aCandidate, TimePoint aNow) const;

  Options mOptions;
  const BackendHealth& mHealth;
  std::mt19937_64 mRandom;
  std::unordered_map<BackendId, Candidate> mCandidates;
  std::vector<Group> mGroups;
  /// BackendHealth::Generation() at which status pointers were taken.
  std::uint64_t mGeneration = 0;
  /// Time of the last Select, taken as the time of later exchanges' ends.
  TimePoint mLastSelect{};
  /// Mean latency over all servers, taken for servers without a sample.
  double mUsualLatency = 0;
};

} // namespace cranberrywing
