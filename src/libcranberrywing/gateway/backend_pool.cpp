#include "cranberrywing/gateway/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberrywing::gateway {

namespace {

/// Weight of one sample in the moving average of the failure rate.
constexpr double kSampleWeight = 0.25;
/// Service time ratios are capped here, which limits the effect of outliers.
constexpr double kMaxRatio = 8;
/// Failure rate from which a server is ejected.
constexpr double kFailureRateLimit = 0.6;
/// Range of time factors that servers can state.
constexpr double kMinTimeFactor = 0.1;
constexpr double kMaxTimeFactor = 20;

double HalfLifeDecay(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-static_cast<double>(aAge.count()) /
                   static_cast<double>(aHalfLife.count()));
}

bool SameRegistration(const BackendEntry& aLeft, const BackendEntry& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort &&
         aLeft.mFailureDomain == aRight.mFailureDomain &&
         aLeft.mRegion == aRight.mRegion && aLeft.mSlots == aRight.mSlots &&
         aLeft.mIsDraining == aRight.mIsDraining &&
         aLeft.mColdTimeLeft == aRight.mColdTimeLeft &&
         aLeft.mStartedMs == aRight.mStartedMs;
}

} // namespace

std::optional<double> ValidTimeFactor(std::optional<double> aFactor)
{
  const bool isValid =
    aFactor && *aFactor >= kMinTimeFactor && *aFactor <= kMaxTimeFactor;
  return isValid ? aFactor : std::nullopt;
}

BackendPool::BackendPool(Options aOptions)
  : mOptions(aOptions)
  , mNotices(ServerNotices::Options{})
{
}

bool BackendPool::Upsert(const BackendEntry& aEntry, TimePoint aNow)
{
  std::unique_ptr<Backend>& known = mBackends[aEntry.mBackend];
  const bool isNew = !known;
  if (!isNew) {
    known->mMayBeColdUntil = {};
  }
  if (!isNew && SameRegistration(known->mEntry, aEntry)) {
    return false;
  }
  const bool isRestart =
    !isNew && (known->mEntry.mStartedMs != aEntry.mStartedMs ||
               known->mEntry.mAddress != aEntry.mAddress ||
               known->mEntry.mPort != aEntry.mPort);
  if (isNew || isRestart) {
    // Requests to the previous process still end with OnAttemptEnded for this
    // Backend.
    const std::uint32_t inFlight = isNew ? 0 : known->mInFlight;
    if (isNew) {
      known = std::make_unique<Backend>();
    } else {
      *known = Backend{};
    }
    known->mInFlight = inFlight;
    known->mHash = HashBytes(aEntry.mBackend.mName);
    known->mLifetimeHash =
      HashBytes(std::to_string(aEntry.mStartedMs), known->mHash);
  }
  known->mEntry = aEntry;
  known->mColdUntil = std::max(known->mColdUntil, aNow + aEntry.mColdTimeLeft);
  Reindex();
  return true;
}

bool BackendPool::Remove(const BackendId& aBackend)
{
  if (mBackends.erase(aBackend) == 0) {
    return false;
  }
  Reindex();
  return true;
}

void BackendPool::Reindex()
{
  mByService.clear();
  mByLifetime.clear();
  for (const auto& [id, backend] : mBackends) {
    mByLifetime[backend->mLifetimeHash] = backend.get();
    mByService[backend->mEntry.mService].push_back(backend.get());
  }
}

void BackendPool::SetEvacuated(const FailureDomainId& aDomain,
                               bool aIsEvacuated)
{
  if (aIsEvacuated) {
    mEvacuated.insert(aDomain);
  } else {
    mEvacuated.erase(aDomain);
  }
}

void BackendPool::SuspectCold(const FailureDomainId& aDomain, TimePoint aUntil)
{
  for (const auto& [id, backend] : mBackends) {
    if (backend->mEntry.mFailureDomain == aDomain) {
      backend->mMayBeColdUntil = aUntil;
    }
  }
}

bool BackendPool::IsEvacuated(const FailureDomainId& aDomain) const
{
  return mEvacuated.contains(aDomain);
}

Backend* BackendPool::FindLifetime(std::uint64_t aLifetimeHash)
{
  const auto it = mByLifetime.find(aLifetimeHash);
  return it == mByLifetime.end() ? nullptr : it->second;
}

Backend* BackendPool::Find(const BackendId& aBackend)
{
  const auto it = mBackends.find(aBackend);
  return it == mBackends.end() ? nullptr : it->second.get();
}

const Backend* BackendPool::Find(const BackendId& aBackend) const
{
  const auto it = mBackends.find(aBackend);
  return it == mBackends.end() ? nullptr : it->second.get();
}

const std::vector<Backend*>& BackendPool::BackendsOfService(
  const ServiceId& aService) const
{
  static const std::vector<Backend*> sNone;
  const auto it = mByService.find(aService);
  return it == mByService.end() ? sNone : it->second;
}

std::vector<ServiceId> BackendPool::Services() const
{
  std::vector<ServiceId> services;
  for (const auto& [service, backends] : mByService) {
    services.push_back(service);
  }
  std::sort(services.begin(), services.end());
  return services;
}

bool BackendPool::IsEligible(const Backend& aBackend) const
{
  return !aBackend.mEntry.mIsDraining &&
         !mNotices.IsLeaving(aBackend.mLifetimeHash) &&
         !mEvacuated.contains(aBackend.mEntry.mFailureDomain);
}

bool BackendPool::IsUsable(const Backend& aBackend, TimePoint aNow) const
{
  return IsEligible(aBackend) && !IsWaiting(aBackend, aNow) &&
         !aBackend.mNeedsProbe && aNow >= aBackend.mEjectedUntil;
}

bool BackendPool::IsWaiting(const Backend& aBackend, TimePoint aNow) const
{
  return aNow < mNotices.WaitEnd(aBackend.mLifetimeHash);
}

bool BackendPool::IsCold(const Backend& aBackend, TimePoint aNow) const
{
  return aNow < aBackend.mColdUntil || aNow < aBackend.mMayBeColdUntil;
}

bool BackendPool::IsRateLimited(const Backend& aBackend, TimePoint aNow) const
{
  const BackendRateLimit& limit = aBackend.mRateLimit;
  return limit.mPerSecond &&
         aNow - limit.mStatedAt <=
           kRateLimitValidity + aBackend.mRateQuota.mLapseDelay;
}

bool BackendPool::MaySendLimited(Backend& aBackend, TimePoint aNow) const
{
  std::deque<TimePoint>& sends = aBackend.mLimitedSends;
  while (!sends.empty() && aNow - sends.front() > aBackend.mRateQuota.mWindow) {
    sends.pop_front();
  }
  return sends.size() < aBackend.mRateQuota.mRequests;
}

bool BackendPool::OnRateLimitStated(Backend& aBackend,
                                    std::optional<double> aPerSecond,
                                    TimePoint aStatedAt)
{
  BackendRateLimit& limit = aBackend.mRateLimit;
  if (aStatedAt <= limit.mStatedAt) {
    return false;
  }
  const bool isChanged = limit.mPerSecond != aPerSecond;
  if (aPerSecond || limit.mPerSecond) {
    limit = { .mPerSecond = aPerSecond, .mStatedAt = aStatedAt };
  }
  if (isChanged && !aPerSecond) {
    aBackend.mLimitedSends.clear();
  }
  return isChanged;
}

double BackendPool::Load(const Backend& aBackend, TimePoint aNow) const
{
  const Duration age = aNow - aBackend.mOtherVmLoadAt;
  double others =
    aBackend.mOtherVmLoad * HalfLifeDecay(age, mOptions.mLoadHalfLife);
  const Duration peerAge = aNow - aBackend.mPeerInFlightAt;
  others = std::max(others,
                    aBackend.mPeerInFlight *
                      HalfLifeDecay(peerAge, mOptions.mLoadHalfLife));
  if (aNow - aBackend.mToldLoadAt <= mOptions.mToldLoadValidity) {
    others = std::max(others, aBackend.mToldLoad - aBackend.mInFlight);
  }
  return aBackend.mInFlight + others;
}

double BackendPool::Slowness(const Backend& aBackend, TimePoint aNow) const
{
  const Duration age = aNow - aBackend.mSlownessAt;
  const double known = HalfLifeDecay(age, mOptions.mSlownessHalfLife);
  const double failureRate =
    aBackend.mFailureRate *
    HalfLifeDecay(aNow - aBackend.mFailureAt, mOptions.mSlownessHalfLife);
  // A failed request costs its caller about one additional service time.
  return 1 + (aBackend.mSlowness - 1) * known + 2 * failureRate;
}

double BackendPool::TimeFactor(const Backend& aBackend, TimePoint aNow) const
{
  if (aBackend.mTimeFactor == 1) {
    return 1;
  }
  return 1 + (aBackend.mTimeFactor - 1) *
               HalfLifeDecay(aNow - aBackend.mTimeFactorAt,
                             mOptions.mTimeFactorHalfLife);
}

bool BackendPool::IsWarm(const Backend& aBackend,
                         ObjectHash aObject,
                         TimePoint aNow) const
{
  const auto it = aBackend.mObjects.find(aObject);
  return it != aBackend.mObjects.end() &&
         aNow - it->second < mOptions.mObjectRetention;
}

bool BackendPool::IsSilent(const Backend& aBackend,
                           Duration aTailLatency,
                           TimePoint aNow) const
{
  const auto limit = std::max(
    mOptions.mMinSilence,
    Duration(static_cast<Duration::rep>(
      static_cast<double>(aTailLatency.count()) * mOptions.mSilenceFactor)));
  return aBackend.mInFlight > 0 && aNow - aBackend.mAwaitingSince > limit;
}

void BackendPool::OnSent(Backend& aBackend, ObjectHash aObject, TimePoint aNow)
{
  if (aBackend.mInFlight == 0) {
    aBackend.mAwaitingSince = aNow;
  }
  ++aBackend.mInFlight;
  if (IsCold(aBackend, aNow)) {
    aBackend.mColdSends.push_back(aNow);
  }
  if (IsRateLimited(aBackend, aNow)) {
    aBackend.mLimitedSends.push_back(aNow);
  }
  if (aObject == 0) {
    return;
  }
  if (aBackend.mObjects.size() >= mOptions.mMaxObjects) {
    const auto oldest =
      std::min_element(aBackend.mObjects.begin(),
                       aBackend.mObjects.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    aBackend.mObjects.erase(oldest);
  }
  aBackend.mObjects[aObject] = aNow;
}

void BackendPool::OnAttemptEnded(Backend& aBackend,
                                 bool aHasAnswered,
                                 TimePoint aNow)
{
  if (aHasAnswered) {
    aBackend.mAwaitingSince = aNow;
  }
  if (aBackend.mInFlight > 0) {
    --aBackend.mInFlight;
  }
}

void BackendPool::OnLoadSample(Backend& aBackend,
                               const LoadSample& aLoad,
                               TimePoint aNow)
{
  const double total = aLoad.mRunning + aLoad.mWaiting;
  aBackend.mOtherVmLoad = std::max(0.0, total - aBackend.mInFlight);
  aBackend.mOtherVmLoadAt = aNow;
  if (const auto factor = ValidTimeFactor(aLoad.mTimeFactor)) {
    aBackend.mTimeFactor = *factor;
    aBackend.mTimeFactorAt = aNow;
  }
}

void BackendPool::OnRegionLoads(const RegionId& aRegion,
                                const std::vector<BusyBackend>& aBusy,
                                TimePoint aNow)
{
  for (const auto& [id, backend] : mBackends) {
    if (backend->mEntry.mRegion == aRegion) {
      backend->mToldLoad = 0;
      backend->mToldLoadAt = aNow;
    }
  }
  for (const BusyBackend& busy : aBusy) {
    Backend* const backend = FindLifetime(busy.mBackend);
    if (backend && backend->mEntry.mRegion == aRegion) {
      backend->mToldLoad = busy.mRequests;
    }
  }
}

std::vector<BusyBackend> BackendPool::BusiestOf(const RegionId& aRegion,
                                                std::size_t aMaxCount,
                                                TimePoint aNow) const
{
  constexpr double kMaxRequests = std::numeric_limits<std::uint16_t>::max();
  std::vector<BusyBackend> busy;
  for (const auto& [id, backend] : mBackends) {
    const double load = Load(*backend, aNow);
    if (backend->mEntry.mRegion == aRegion && load >= backend->mEntry.mSlots) {
      busy.push_back(
        { backend->mLifetimeHash,
          static_cast<std::uint16_t>(std::min(load, kMaxRequests)) });
    }
  }
  const std::size_t count = std::min(aMaxCount, busy.size());
  std::partial_sort(busy.begin(),
                    busy.begin() + static_cast<std::ptrdiff_t>(count),
                    busy.end(),
                    [](const BusyBackend& aLeft, const BusyBackend& aRight) {
                      return aLeft.mRequests > aRight.mRequests;
                    });
  busy.resize(count);
  return busy;
}

void BackendPool::AddServiceTimeRatio(Backend& aBackend,
                                      double aRatio,
                                      TimePoint aNow)
{
  aBackend.mServiceTimeRatios.push_back(std::clamp(aRatio, 1.0, kMaxRatio));
  if (aBackend.mServiceTimeRatios.size() > mOptions.mRatioWindowSize) {
    aBackend.mServiceTimeRatios.pop_front();
  }
  aBackend.mSlowness =
    aBackend.mServiceTimeRatios.size() < mOptions.mRatioWindowSize
      ? 1
      : *std::min_element(aBackend.mServiceTimeRatios.begin(),
                          aBackend.mServiceTimeRatios.end());
  aBackend.mSlownessAt = aNow;
}

void BackendPool::OnSuccess(Backend& aBackend, double aRatio, TimePoint aNow)
{
  AddServiceTimeRatio(aBackend, aRatio, aNow);
  aBackend.mFailureRate *= 1 - kSampleWeight;
  aBackend.mConsecutiveFailures = 0;
  aBackend.mEjectionTime = Duration::zero();
}

void BackendPool::OnTimeout(Backend& aBackend, double aRatio, TimePoint aNow)
{
  AddServiceTimeRatio(aBackend, aRatio, aNow);
  OnFailure(aBackend, aNow);
}

bool BackendPool::OnFailure(Backend& aBackend, TimePoint aNow)
{
  aBackend.mFailureRate += kSampleWeight * (1 - aBackend.mFailureRate);
  aBackend.mFailureAt = aNow;
  ++aBackend.mConsecutiveFailures;
  if (aBackend.mConsecutiveFailures < mOptions.mFailureLimit &&
      aBackend.mFailureRate < kFailureRateLimit) {
    return false;
  }
  Eject(aBackend, aNow);
  return true;
}

} // namespace cranberrywing::gateway
