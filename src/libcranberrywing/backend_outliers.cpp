// Comparison of a group's servers with each other: the part of BackendHealth
// that finds servers that are worse than the rest without failing outright.
#include <algorithm>

#include "cranberrywing/backend_health.h"

namespace cranberrywing {

namespace {

/// A server with fewer exchanges in an interval is not judged.
constexpr std::uint32_t kLeastExchanges = 10;
/// Outliers need others to compare with.
constexpr std::size_t kLeastServers = 4;

std::uint32_t Exchanges(const BackendStatus& aStatus)
{
  return aStatus.mSuccesses + aStatus.mFailures;
}

double SuccessRate(const BackendStatus& aStatus)
{
  return static_cast<double>(aStatus.mSuccesses) /
         static_cast<double>(Exchanges(aStatus));
}

double Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void BackendHealth::Compare(const Group& aGroup,
                            TimePoint aNow,
                            EffectList& aOut)
{
  std::vector<BackendStatus*> judged;
  std::vector<double> rates;
  std::vector<double> latencies;
  for (BackendStatus* status : aGroup.mMembers) {
    if (!status->mUsable || Exchanges(*status) < kLeastExchanges) {
      continue;
    }
    judged.push_back(status);
    rates.push_back(SuccessRate(*status));
    if (status->mSuccesses > 0) {
      latencies.push_back(status->mLatencySum / status->mSuccesses);
    }
  }
  const bool comparable = judged.size() >= kLeastServers;
  const double usualRate = comparable ? Median(rates) : 0;
  const double usualLatency =
    comparable && !latencies.empty() ? Median(latencies) : 0;
  for (BackendStatus* status : judged) {
    const double latency =
      status->mSuccesses == 0 ? 0 : status->mLatencySum / status->mSuccesses;
    const bool fails =
      comparable && SuccessRate(*status) < usualRate - mOptions.mSuccessRateGap;
    const bool isSlow = comparable && usualLatency > 0 &&
                        mOptions.mLatencyFactor > 0 &&
                        latency > mOptions.mLatencyFactor * usualLatency;
    if (fails) {
      Eject(*status, "success_rate", aNow, aOut);
    } else if (isSlow) {
      Eject(*status, "latency", aNow, aOut);
    } else if (status->mEjections > 0 && !status->mEjected) {
      --status->mEjections;
    }
  }
  for (BackendStatus* status : aGroup.mMembers) {
    status->mSuccesses = 0;
    status->mFailures = 0;
    status->mLatencySum = 0;
  }
}

} // namespace cranberrywing
