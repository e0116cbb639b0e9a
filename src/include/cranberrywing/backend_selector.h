/// \file
/// Chooses a backend server inside a region: two random choices by own
/// in-flight count and latency, corrected by reported load (design 3.7).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
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

private:
  Options mOptions;
  const BackendHealth& mHealth;
  std::mt19937_64 mRandom;
};

} // namespace cranberrywing
