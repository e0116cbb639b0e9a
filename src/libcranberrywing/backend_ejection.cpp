// Ejection part of BackendHealth: outlier checks within a group, ejection and
// its end, and the minimum number of usable servers.
#include <algorithm>
#include <cmath>
#include <string>

#include "cranberrywing/backend_health.h"

namespace cranberrywing {

namespace {

/// Servers with fewer requests since the last check are not compared.
constexpr std::uint32_t kMinExchanges = 10;
/// Minimum number of comparable servers for an outlier check.
constexpr std::size_t kMinServers = 4;

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

effect::RecordTimeline TimelineEntry(std::string aName,
                                     const BackendStatus& aStatus)
{
  return { std::move(aName),
           { { "service", aStatus.mService.mName },
             { "backend", aStatus.mSettings.mBackend.mName } } };
}

} // namespace

void BackendHealth::CheckOutliers(const Group& aGroup,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  std::vector<BackendStatus*> compared;
  std::vector<double> rates;
  std::vector<double> latencies;
  for (BackendStatus* status : aGroup.mMembers) {
    if (!status->mUsable || Exchanges(*status) < kMinExchanges) {
      continue;
    }
    compared.push_back(status);
    rates.push_back(SuccessRate(*status));
    if (status->mSuccesses > 0) {
      latencies.push_back(status->mLatencySum / status->mSuccesses);
    }
  }
  const bool comparable = compared.size() >= kMinServers;
  const double medianRate = comparable ? Median(rates) : 0;
  const double medianLatency =
    comparable && !latencies.empty() ? Median(latencies) : 0;
  for (BackendStatus* status : compared) {
    const double latency =
      status->mSuccesses == 0 ? 0 : status->mLatencySum / status->mSuccesses;
    const bool fails = comparable && SuccessRate(*status) <
                                       medianRate - mOptions.mSuccessRateGap;
    const bool isSlow = comparable && medianLatency > 0 &&
                        mOptions.mLatencyFactor > 0 &&
                        latency > mOptions.mLatencyFactor * medianLatency;
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

void BackendHealth::UpdateGroupUsability(const BackendStatus& aStatus,
                                         TimePoint aNow,
                                         EffectList& aOut)
{
  const Group* group = FindGroup(aStatus.mService, aStatus.mSettings.mRegion);
  if (group != nullptr) {
    UpdateUsability(*group, aNow, aOut);
  }
}

void BackendHealth::UpdateUsability(const Group& aGroup,
                                    TimePoint aNow,
                                    EffectList& aOut)
{
  std::vector<BackendStatus*> suspects;
  std::size_t active = 0;
  for (BackendStatus* status : aGroup.mMembers) {
    if (status->IsDraining()) {
      SetUsable(*status, false, aNow, aOut);
      continue;
    }
    ++active;
    const bool isSuspect =
      status->HasFailed() || status->mEjected ||
      (status->IsReportedUnhealthy() && !status->HasRecentSuccess(aNow));
    if (isSuspect) {
      suspects.push_back(status);
    } else {
      SetUsable(*status, true, aNow, aOut);
    }
  }
  // Remove the servers with the strongest evidence first, so that the minimum
  // number in use consists of the least suspicious ones.
  const auto severity = [](const BackendStatus* aStatus) {
    return (aStatus->HasFailed() ? 2 : 0) + (aStatus->mEjected ? 1 : 0);
  };
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [&](const auto* aLeft, const auto* aRight) {
                     if (severity(aLeft) != severity(aRight)) {
                       return severity(aLeft) > severity(aRight);
                     }
                     return !aLeft->mUsable && aRight->mUsable;
                   });
  const auto minUsable = static_cast<std::size_t>(
    std::ceil(mOptions.mMinUsableFraction * static_cast<double>(active)));
  std::size_t usable = active;
  for (BackendStatus* status : suspects) {
    const bool mayRemove = status->HasFailed() || usable > minUsable;
    SetUsable(*status, !mayRemove, aNow, aOut);
    usable -= mayRemove ? 1 : 0;
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
    aStatus.mSlowStartSince = aNow;
    aOut.push_back(TimelineEntry("backend_usable", aStatus));
    return;
  }
  aOut.push_back(TimelineEntry("backend_unusable", aStatus));
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
  const Duration time = mOptions.mInitialEjectionTime * (1u << doublings);
  aStatus.mEjectedUntil = aNow + std::min(time, mOptions.mMaxEjectionTime);
  ++aStatus.mEjections;
  mNextTick = std::min(mNextTick, aStatus.mEjectedUntil);
  effect::RecordTimeline entry = TimelineEntry("backend_ejected", aStatus);
  entry.mFields.push_back({ "reason", std::string(aReason) });
  aOut.push_back(std::move(entry));
  UpdateGroupUsability(aStatus, aNow, aOut);
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
      UpdateUsability(group, aNow, aOut);
    }
  }
}

} // namespace cranberrywing
