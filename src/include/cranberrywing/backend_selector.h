/// \file
/// Selects a backend server within a region by power of two random choices. A
/// server's cost is its number of requests in flight times its smoothed
/// latency, adjusted by its reported load (design 3.7).
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
  /// Baselines for benchmarks.
  RoundRobin,
  LeastReportedLoad,
};

struct SelectionRequest
{
  ServiceId mService;
  RegionId mRegion;
  /// Failure domains of earlier attempts, avoided as long as another domain has
  /// a free server.
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

  /// Returns a usable server with a free connection, or null if there is none.
  /// The pointer is valid until the next Apply.
  const BackendSettings* Select(const SelectionRequest& aRequest,
                                TimePoint aNow);
  void OnDispatch(const BackendId& aBackend);
  /// The request ended; aLatency is nullopt if it failed.
  void OnFinish(const BackendId& aBackend, std::optional<Duration> aLatency);
  std::uint32_t InFlight(const BackendId& aBackend) const;
  /// Exponentially smoothed latency; zero while unknown.
  Duration Latency(const BackendId& aBackend) const;

private:
  struct Candidate
  {
    BackendSettings mSettings;
    const BackendStatus* mStatus = nullptr;
    std::uint32_t mInFlight = 0;
    /// Smoothed latency in seconds; zero while unknown.
    double mLatency = 0;
    /// Time of the last update of mLatency.
    TimePoint mLastSample{};
    /// Time when a request last ended or, if none has since the server was
    /// idle, when the oldest one in flight was sent.
    TimePoint mLastProgress{};
  };

  /// Servers of one service in one region.
  struct Group
  {
    ServiceId mService;
    RegionId mRegion;
    std::vector<Candidate*> mMembers;
    /// Last position of the round-robin policy.
    std::size_t mNext = 0;
  };

  Group* FindGroup(const ServiceId& aService, const RegionId& aRegion);
  void RefreshStatus();
  bool IsFree(const Candidate& aCandidate) const;
  Candidate* DrawRandom(Group& aGroup, const Candidate* aOther, TimePoint aNow);
  Candidate* TwoChoices(Group& aGroup, TimePoint aNow);
  Candidate* RoundRobin(Group& aGroup);
  Candidate* LeastReportedLoad(Group& aGroup);
  /// The free server of lowest cost, preferring servers and failure domains
  /// that the request does not avoid.
  Candidate* SelectBest(Group& aGroup,
                        const SelectionRequest& aRequest,
                        TimePoint aNow);
  double DecayedLatency(const Candidate& aCandidate, TimePoint aNow) const;
  double Cost(const Candidate& aCandidate, TimePoint aNow) const;

  Options mOptions;
  const BackendHealth& mHealth;
  std::mt19937_64 mRandom;
  std::unordered_map<BackendId, Candidate> mCandidates;
  std::vector<Group> mGroups;
  /// BackendHealth::Generation() when the status pointers were last refreshed.
  std::uint64_t mGeneration = 0;
  /// Time of the last Select, used as the time of dispatches and completions
  /// that follow it.
  TimePoint mLastSelect{};
  /// Exponentially smoothed latency over all servers in seconds, used for
  /// servers without a sample.
  double mMeanLatency = 0;
};

} // namespace cranberrywing
