#include "cranberrywing/backend_health.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace cranberrywing {

namespace {

/// Negative reports in a row that count as unhealthy; a single lost probe is
/// not enough.
constexpr std::uint32_t kUnhealthyReports = 2;
/// A success of this VM's own requests within this many probe intervals
/// outweighs negative health reports.
constexpr double kRecentSuccessIntervals = 2;
/// Factor of a server at the beginning of its slow start.
constexpr double kMinSlowStartFactor = 0.02;
/// Minimum fraction of the usable servers that must have a recent load report.
constexpr double kMinFreshFraction = 0.8;
/// Probes are sent early by up to this fraction of their interval, never late,
/// so that a drain is detected within the interval.
constexpr double kProbeJitter = 0.25;
/// Time after a request of this VM during which a server counts as in use.
constexpr Duration kRecentUseTime = std::chrono::seconds(10);

} // namespace

double BackendStatus::SlowStartFactor(TimePoint aNow) const
{
  if (!mSlowStartSince || mSlowStart <= Duration::zero()) {
    return 1;
  }
  const double part =
    ToSeconds(aNow - *mSlowStartSince) / ToSeconds(mSlowStart);
  return std::clamp(part, kMinSlowStartFactor, 1.0);
}

bool BackendStatus::IsReportedUnhealthy() const
{
  return mUnhealthyReports >= kUnhealthyReports;
}

bool BackendStatus::HasFailed() const
{
  return IsReportedUnhealthy() && mConsecutiveFailures > 0;
}

bool BackendStatus::HasRecentSuccess(TimePoint aNow) const
{
  if (!mLastSuccess || mConsecutiveFailures > 0) {
    return false;
  }
  const Duration age = aNow - *mLastSuccess;
  return ToSeconds(age) <= kRecentSuccessIntervals * ToSeconds(mProbeInterval);
}

BackendHealth::BackendHealth(Options aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
}

void BackendHealth::Apply(const SettingsSnapshot& aSettings,
                          TimePoint aNow,
                          EffectList& aOut)
{
  std::unordered_map<BackendId, BackendStatus> previous;
  previous.swap(mStatus);
  for (const auto& [id, service] : aSettings.mServices) {
    for (const BackendSettings& backend : service.mBackends) {
      auto node = previous.extract(backend.mBackend);
      if (node) {
        mStatus.insert(std::move(node));
      }
      AddBackend(service, backend, aNow, aOut);
    }
  }
  for (const auto& [id, status] : previous) {
    aOut.push_back(effect::CloseBackendConnections{ id });
  }
  mConfigured = mConfigured || !mStatus.empty();
  ++mGeneration;
  RebuildGroups(aSettings);
  for (const Group& group : mGroups) {
    UpdateUsability(group, aNow, aOut);
  }
  mNextTick = aNow;
}

void BackendHealth::AddBackend(const ServiceSettings& aService,
                               const BackendSettings& aBackend,
                               TimePoint aNow,
                               EffectList& aOut)
{
  const auto [it, isNew] = mStatus.try_emplace(aBackend.mBackend);
  BackendStatus& status = it->second;
  const bool moved =
    !isNew && (status.mSettings.mAddress != aBackend.mAddress ||
               status.mSettings.mPort != aBackend.mPort);
  if (moved) {
    status = {};
    aOut.push_back(effect::CloseBackendConnections{ aBackend.mBackend });
  }
  status.mSettings = aBackend;
  status.mService = aService.mService;
  status.mSlowStart = aService.mSlowStart;
  status.mProbeInterval = aService.mProbeInterval;
  if (!isNew && !moved) {
    return;
  }
  // Servers of the first configuration were running before this process
  // started; only servers added later go through slow start.
  if (mConfigured) {
    status.mSlowStartSince = aNow;
  }
  std::uniform_real_distribution<double> part(0, 1);
  const double wait = ToSeconds(status.mProbeInterval) * part(mRandom);
  status.mNextProbe = aNow + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(wait));
}

void BackendHealth::RebuildGroups(const SettingsSnapshot& aSettings)
{
  mGroups.clear();
  for (const auto& item : aSettings.mServices) {
    const ServiceSettings& service = item.second;
    for (const BackendSettings& backend : service.mBackends) {
      const auto it =
        std::find_if(mGroups.begin(), mGroups.end(), [&](const Group& aGroup) {
          return aGroup.mService == service.mService &&
                 aGroup.mRegion == backend.mRegion;
        });
      Group& group = it == mGroups.end() ? mGroups.emplace_back() : *it;
      group.mService = service.mService;
      group.mRegion = backend.mRegion;
      group.mMembers.push_back(FindMutable(backend.mBackend));
    }
  }
}

void BackendHealth::Tick(TimePoint aNow, EffectList& aOut)
{
  if (aNow < mNextTick) {
    return;
  }
  if (aNow >= mNextOutlierCheck) {
    for (const Group& group : mGroups) {
      CheckOutliers(group, aNow, aOut);
    }
    mNextOutlierCheck = aNow + mOptions.mOutlierCheckInterval;
  }
  EndEjections(aNow, aOut);
  mNextTick = mNextOutlierCheck;
  for (const Group& group : mGroups) {
    for (BackendStatus* status : group.mMembers) {
      if (status->mNextProbe <= aNow) {
        Probe(*status, aNow, aOut);
      }
      mNextTick = std::min(mNextTick, status->mNextProbe);
      if (status->mEjected) {
        mNextTick = std::min(mNextTick, status->mEjectedUntil);
      }
    }
  }
}

void BackendHealth::Probe(BackendStatus& aStatus,
                          TimePoint aNow,
                          EffectList& aOut)
{
  const bool isRemote = !mOptions.mRegion.IsEmpty() &&
                        aStatus.mSettings.mRegion != mOptions.mRegion;
  const bool isUsed =
    aStatus.mLastExchange && aNow - *aStatus.mLastExchange < kRecentUseTime;
  const double factor =
    isRemote && !isUsed ? mOptions.mRemoteProbeIntervalFactor : 1;
  aStatus.mNextProbe = aNow + Jittered(aStatus.mProbeInterval, factor);
  aOut.push_back(effect::ProbeBackend{ aStatus.mSettings.mBackend,
                                       aStatus.mSettings.mAddress,
                                       aStatus.mSettings.mPort });
}

void BackendHealth::RecordUse(BackendStatus& aStatus, TimePoint aNow)
{
  const bool isNew =
    !aStatus.mLastExchange || aNow - *aStatus.mLastExchange >= kRecentUseTime;
  aStatus.mLastExchange = aNow;
  if (isNew && aStatus.mNextProbe > aNow + aStatus.mProbeInterval) {
    aStatus.mNextProbe = aNow;
    mNextTick = aNow;
  }
}

Duration BackendHealth::Jittered(Duration aInterval, double aFactor)
{
  std::uniform_real_distribution<double> factor(1 - kProbeJitter, 1);
  const double seconds = ToSeconds(aInterval) * aFactor * factor(mRandom);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::max(seconds, 0.01)));
}

void BackendHealth::OnHealth(const event::HealthReported& aEvent,
                             TimePoint aNow,
                             EffectList& aOut)
{
  BackendStatus* status = FindMutable(aEvent.mBackend);
  if (status == nullptr) {
    return;
  }
  const bool drainChanged = status->mReportsDraining != aEvent.mDraining;
  status->mReportsDraining = aEvent.mDraining;
  if (aEvent.mHealthy) {
    status->mUnhealthyReports = 0;
  } else {
    ++status->mUnhealthyReports;
  }
  if (drainChanged || !status->mUsable || !aEvent.mHealthy) {
    UpdateGroupUsability(*status, aNow, aOut);
  }
}

void BackendHealth::OnLoad(const event::LoadReported& aEvent, TimePoint aNow)
{
  BackendStatus* status = FindMutable(aEvent.mBackend);
  if (status != nullptr) {
    status->mLoad = aEvent.mReport;
    status->mLoadTime = aNow;
  }
}

void BackendHealth::OnSuccess(const BackendId& aBackend,
                              Duration aLatency,
                              TimePoint aNow)
{
  BackendStatus* status = FindMutable(aBackend);
  if (status == nullptr) {
    return;
  }
  RecordUse(*status, aNow);
  status->mConsecutiveFailures = 0;
  status->mLastSuccess = aNow;
  ++status->mSuccesses;
  status->mLatencySum += ToSeconds(aLatency);
}

void BackendHealth::OnFailure(const BackendId& aBackend,
                              event::FailureKind aKind,
                              TimePoint aNow,
                              EffectList& aOut)
{
  BackendStatus* status = FindMutable(aBackend);
  // A server that sheds load is healthy; the selector directs requests to other
  // servers.
  if (status == nullptr || aKind == event::FailureKind::Shed) {
    return;
  }
  RecordUse(*status, aNow);
  ++status->mConsecutiveFailures;
  ++status->mFailures;
  if (status->mConsecutiveFailures >= mOptions.mConsecutiveFailures) {
    Eject(*status, "consecutive_failures", aNow, aOut);
  } else if (status->IsReportedUnhealthy()) {
    UpdateGroupUsability(*status, aNow, aOut);
  }
}

bool BackendHealth::IsUsable(const BackendId& aBackend, TimePoint) const
{
  const BackendStatus* status = Find(aBackend);
  return status != nullptr && status->mUsable;
}

double BackendHealth::SlowStartFactor(const BackendId& aBackend,
                                      TimePoint aNow) const
{
  const BackendStatus* status = Find(aBackend);
  return status == nullptr ? 0 : status->SlowStartFactor(aNow);
}

bool BackendHealth::IsDown(const BackendId& aBackend) const
{
  const BackendStatus* status = Find(aBackend);
  return status != nullptr && status->HasFailed();
}

std::optional<BackendHealth::AgedLoad> BackendHealth::Load(
  const BackendId& aBackend,
  TimePoint aNow) const
{
  const BackendStatus* status = Find(aBackend);
  if (status == nullptr || !status->mLoad) {
    return std::nullopt;
  }
  return AgedLoad{ *status->mLoad, aNow - status->mLoadTime };
}

double BackendHealth::Capacity(const ServiceId& aService,
                               const RegionId& aRegion,
                               TimePoint aNow) const
{
  const Group* group = FindGroup(aService, aRegion);
  double capacity = 0;
  if (group != nullptr) {
    for (const BackendStatus* status : group->mMembers) {
      if (status->mUsable) {
        capacity += status->mSettings.mCapacity * status->SlowStartFactor(aNow);
      }
    }
  }
  return capacity;
}

std::optional<double> BackendHealth::ReportedRate(const ServiceId& aService,
                                                  const RegionId& aRegion,
                                                  Duration aMaxAge,
                                                  TimePoint aNow) const
{
  const Group* group = FindGroup(aService, aRegion);
  if (group == nullptr) {
    return std::nullopt;
  }
  double rate = 0;
  std::size_t fresh = 0;
  std::size_t usable = 0;
  for (const BackendStatus* status : group->mMembers) {
    usable += status->mUsable ? 1 : 0;
    if (!status->mLoad || aNow - status->mLoadTime > aMaxAge) {
      continue;
    }
    rate += status->mLoad->mRequestsPerSecond;
    fresh += status->mUsable ? 1 : 0;
  }
  if (usable == 0 || fresh < kMinFreshFraction * static_cast<double>(usable)) {
    return std::nullopt;
  }
  // Servers without a recent report are assumed to carry the mean rate.
  return rate * static_cast<double>(usable) / static_cast<double>(fresh);
}

std::optional<double> BackendHealth::Utilization(const ServiceId& aService,
                                                 const RegionId& aRegion,
                                                 Duration aMaxAge,
                                                 TimePoint aNow) const
{
  const Group* group = FindGroup(aService, aRegion);
  if (group == nullptr) {
    return std::nullopt;
  }
  double sum = 0;
  std::size_t fresh = 0;
  std::size_t usable = 0;
  for (const BackendStatus* status : group->mMembers) {
    if (!status->mUsable) {
      continue;
    }
    ++usable;
    if (status->mLoad && aNow - status->mLoadTime <= aMaxAge) {
      sum += status->mLoad->mUtilization;
      ++fresh;
    }
  }
  if (usable == 0 || fresh < kMinFreshFraction * static_cast<double>(usable)) {
    return std::nullopt;
  }
  return sum / static_cast<double>(fresh);
}

const BackendStatus* BackendHealth::Find(const BackendId& aBackend) const
{
  const auto it = mStatus.find(aBackend);
  return it == mStatus.end() ? nullptr : &it->second;
}

BackendStatus* BackendHealth::FindMutable(const BackendId& aBackend)
{
  const auto it = mStatus.find(aBackend);
  return it == mStatus.end() ? nullptr : &it->second;
}

const BackendHealth::Group* BackendHealth::FindGroup(
  const ServiceId& aService,
  const RegionId& aRegion) const
{
  for (const Group& group : mGroups) {
    if (group.mService == aService && group.mRegion == aRegion) {
      return &group;
    }
  }
  return nullptr;
}

} // namespace cranberrywing
