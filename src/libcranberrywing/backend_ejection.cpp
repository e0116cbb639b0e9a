// The parts of BackendHealth that take servers out of use and back: ejection,
// the floor, and comparison of a group's servers with each other.
#include <algorithm>
#include <cmath>
#include <string>

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

effect::RecordTimeline Entry(std::string aName, const BackendStatus& aStatus)
{
  return { std::move(aName),
           { { "service", aStatus.mService.mName },
             { "backend", aStatus.mSettings.mBackend.mName } } };
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

void BackendHealth::ReviewGroupOf(const BackendStatus& aStatus,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  const Group* group = FindGroup(aStatus.mService, aStatus.mSettings.mRegion);
  if (group != nullptr) {
    Review(*group, aNow, aOut);
  }
}

void BackendHealth::Review(const Group& aGroup,
                           TimePoint aNow,
                           EffectList& aOut)
{
  std::vector<BackendStatus*> doubtful;
  std::size_t serving = 0;
  for (BackendStatus* status : aGroup.mMembers) {
    if (status->IsDraining()) {
      SetUsable(*status, false, aNow, aOut);
      continue;
    }
    ++serving;
    const bool isBad =
      status->HasFailed() || status->mEjected ||
      (status->ClaimsUnhealthy() && !status->IsProvenGood(aNow));
    if (isBad) {
      doubtful.push_back(status);
    } else {
      SetUsable(*status, true, aNow, aOut);
    }
  }
  // Worst evidence first: the floor keeps the least suspicious in use.
  const auto evidence = [](const BackendStatus* aStatus) {
    return (aStatus->HasFailed() ? 2 : 0) + (aStatus->mEjected ? 1 : 0);
  };
  std::stable_sort(doubtful.begin(),
                   doubtful.end(),
                   [&](const auto* aLeft, const auto* aRight) {
                     if (evidence(aLeft) != evidence(aRight)) {
                       return evidence(aLeft) > evidence(aRight);
                     }
                     return !aLeft->mUsable && aRight->mUsable;
                   });
  const auto kept = static_cast<std::size_t>(
    std::ceil(mOptions.mFloor * static_cast<double>(serving)));
  std::size_t left = serving;
  for (BackendStatus* status : doubtful) {
    const bool mayGo = status->HasFailed() || left > kept;
    SetUsable(*status, !mayGo, aNow, aOut);
    left -= mayGo ? 1 : 0;
  }
}

void BackendHealth::SetUsable(BackendStatus& aStatus,
                              bool aUsable,
                              TimePoint aNow,
                              EffectList& aOut)
{
  if (aStatus.mUsable == aUsable) {
    return;
  }
  aStatus.mUsable = aUsable;
  if (aUsable) {
    aStatus.mColdSince = aNow;
    aOut.push_back(Entry("backend_usable", aStatus));
    return;
  }
  aOut.push_back(Entry("backend_unusable", aStatus));
  aOut.push_back(effect::CloseBackendConnections{ aStatus.mSettings.mBackend });
}

void BackendHealth::Eject(BackendStatus& aStatus,
                          std::string_view aReason,
                          TimePoint aNow,
                          EffectList& aOut)
{
  if (aStatus.mEjected) {
    return;
  }
  aStatus.mEjected = true;
  const std::uint32_t doublings = std::min(aStatus.mEjections, 16u);
  const Duration time = mOptions.mFirstEjection * (1u << doublings);
  aStatus.mEjectedUntil = aNow + std::min(time, mOptions.mLongestEjection);
  ++aStatus.mEjections;
  mNextWork = std::min(mNextWork, aStatus.mEjectedUntil);
  effect::RecordTimeline entry = Entry("backend_ejected", aStatus);
  entry.mFields.push_back({ "reason", std::string(aReason) });
  aOut.push_back(std::move(entry));
  ReviewGroupOf(aStatus, aNow, aOut);
}

void BackendHealth::EndEjections(TimePoint aNow, EffectList& aOut)
{
  for (const Group& group : mGroups) {
    bool changed = false;
    for (BackendStatus* status : group.mMembers) {
      if (status->mEjected && aNow >= status->mEjectedUntil) {
        status->mEjected = false;
        status->mConsecutiveFailures = 0;
        changed = true;
      }
    }
    if (changed) {
      Review(group, aNow, aOut);
    }
  }
}

} // namespace cranberrywing
