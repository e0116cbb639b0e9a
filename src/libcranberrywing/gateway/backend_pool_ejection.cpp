// Which servers this VM does not use after failures, and their health checks.
#include <algorithm>

#include "cranberrywing/gateway/backend_pool.h"

namespace cranberrywing::gateway {

void BackendPool::Eject(Backend& aBackend, TimePoint aNow)
{
  aBackend.mEjectionTime = std::clamp(2 * aBackend.mEjectionTime,
                                      mOptions.mEjectionTime,
                                      mOptions.mMaxEjectionTime);
  aBackend.mEjectedUntil = aNow + aBackend.mEjectionTime;
  aBackend.mEjectedAt = aNow;
  aBackend.mNeedsProbe = true;
  aBackend.mOtherVmLoad = 0;
}

void BackendPool::RequireProbe(Backend& aBackend, TimePoint aNow)
{
  if (!aBackend.mNeedsProbe) {
    aBackend.mNeedsProbe = true;
    aBackend.mEjectedUntil = aNow;
    aBackend.mEjectedAt = aNow;
  }
}

std::size_t BackendPool::ForgiveFailures(TimePoint aSince, TimePoint aNow)
{
  std::size_t forgiven = 0;
  for (const auto& [id, backend] : mBackends) {
    const bool wasEjected = backend->mEjectedAt >= aSince;
    if (!wasEjected && backend->mFailureAt < aSince) {
      continue;
    }
    forgiven += wasEjected ? 1 : 0;
    if (wasEjected) {
      backend->mEjectedUntil = aNow;
      backend->mEjectionTime = Duration::zero();
      backend->mNeedsProbe = false;
      backend->mEjectedAt = TimePoint{};
    }
    backend->mServiceTimeRatios.clear();
    backend->mSlowness = 1;
    backend->mFailureRate = 0;
    backend->mConsecutiveFailures = 0;
  }
  return forgiven;
}

void BackendPool::OnProbeResult(Backend& aBackend,
                                bool aIsHealthy,
                                TimePoint aNow)
{
  aBackend.mIsProbing = false;
  if (!aIsHealthy) {
    Eject(aBackend, aNow);
    return;
  }
  aBackend.mNeedsProbe = false;
  aBackend.mConsecutiveFailures = 0;
  aBackend.mFailureRate = 0;
}

std::vector<Backend*> BackendPool::TakeProbesDue(TimePoint aNow)
{
  std::vector<Backend*> due;
  for (const auto& [id, backend] : mBackends) {
    if (!backend->mNeedsProbe || backend->mIsProbing ||
        aNow < backend->mEjectedUntil || !IsEligible(*backend) ||
        IsWaiting(*backend, aNow)) {
      continue;
    }
    const bool isLimited = IsRateLimited(*backend, aNow);
    if (!isLimited || MaySendLimited(*backend, aNow)) {
      if (isLimited) {
        backend->mLimitedSends.push_back(aNow);
      }
      backend->mIsProbing = true;
      due.push_back(backend.get());
    }
  }
  return due;
}

} // namespace cranberrywing::gateway
