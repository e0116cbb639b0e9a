#include "cranberrywing/gateway/backend_rate_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "cranberrywing/gateway/fleet_quota.h"
#include "duration_math.h"

namespace cranberrywing::gateway {

namespace {

/// Windows from which the shortest suitable one is chosen. A short window
/// spreads the requests evenly; a long one lets a VM have a part of a low
/// limit.
constexpr std::array<double, 4> kWindowSeconds{ 1, 2, 4, 8 };
/// Mean number of requests per window and VM from which a window is suitable.
constexpr std::size_t kMinRequestsPerVm = 2;
/// Number of requests of all VMs per window from which the longest but one
/// window is suitable; with fewer, a few VMs share the limit.
constexpr std::size_t kMinRequests = 1;
/// Time in which a VM that tries whether a limit has ended gets an answer and
/// tells the others.
constexpr Duration kLapseStep = std::chrono::milliseconds(700);
constexpr std::size_t kMaxLapseSteps = 16;
/// Fraction of a limit that is planned; the rest covers that objects differ in
/// their number of requests.
constexpr double kPlannedFraction = 0.9;
/// Demands are rounded to powers of two with exponents that are multiples of
/// this, so that VMs with slightly different views agree.
constexpr double kDemandStep = 0.5;
/// Least part of a group's objects that stay at its servers without a limit.
constexpr double kMinUnlimitedPart = 0.05;
constexpr double kMinWeight = 1.0 / 64;

/// Position of aSelf among the VMs in the server's rendezvous order; the number
/// of VMs if it is not one of them.
std::size_t RankOf(std::uint64_t aBackendHash,
                   const std::vector<VmId>& aVms,
                   const VmId& aSelf)
{
  if (std::find(aVms.begin(), aVms.end(), aSelf) == aVms.end()) {
    return aVms.size();
  }
  const std::string item = std::to_string(aBackendHash);
  const std::uint64_t own = RendezvousWeight(item, aSelf.mName);
  return static_cast<std::size_t>(
    std::count_if(aVms.begin(), aVms.end(), [&](const VmId& aVm) {
      return RendezvousWeight(item, aVm.mName) > own;
    }));
}

} // namespace

RateQuota BackendRateQuota(double aPerSecond,
                           std::uint64_t aBackendHash,
                           const std::vector<VmId>& aVms,
                           const VmId& aSelf)
{
  const double perSecond = std::min(aPerSecond, kMaxRateLimit);
  const auto requestsIn = [perSecond](double aSeconds) {
    // The rounding of the product must not lose a whole request.
    constexpr double kRounding = 1e-6;
    return static_cast<std::size_t>(
      std::floor(perSecond * aSeconds + kRounding));
  };
  std::size_t n = 0;
  while (n + 2 < kWindowSeconds.size() &&
         requestsIn(kWindowSeconds[n]) < kMinRequestsPerVm * aVms.size()) {
    ++n;
  }
  if (requestsIn(kWindowSeconds[n]) < kMinRequests) {
    n = kWindowSeconds.size() - 1;
  }
  const std::size_t total = requestsIn(kWindowSeconds[n]);
  RateQuota quota{
    .mRequests = FleetQuota(total, aBackendHash, aVms, aSelf),
    .mWindow = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kWindowSeconds[n])),
    .mFleetRate = perSecond,
    .mLapseDelay =
      kLapseStep * static_cast<Duration::rep>(std::min(
                     kMaxLapseSteps, RankOf(aBackendHash, aVms, aSelf))),
  };
  if (total < kMinRequestsPerVm * aVms.size()) {
    quota.mFleetRate =
      static_cast<double>(quota.mRequests * aVms.size()) / kWindowSeconds[n];
  }
  return quota;
}

double UsableFraction(double aPerSecond,
                      Duration aMeanServiceTime,
                      std::uint32_t aSlots)
{
  const double busySlots = aPerSecond * ToSeconds(aMeanServiceTime);
  return std::min(1.0, busySlots / std::max(1U, aSlots));
}

double RateLimitWeight(double aPerSecond, const RateLimitedGroup& aGroup)
{
  const double logDemand = std::log2(std::max(1.0, aGroup.mDemand));
  const double demand =
    std::exp2(std::round(logDemand / kDemandStep) * kDemandStep);
  const double limitedPart = kPlannedFraction * aGroup.mLimitSum / demand;
  const double unlimitedPart = std::max(kMinUnlimitedPart, 1 - limitedPart);
  const double perUnlimited =
    unlimitedPart /
    static_cast<double>(std::max<std::size_t>(1, aGroup.mUnlimited));
  const double part = kPlannedFraction * aPerSecond / demand;
  return std::clamp(part / perUnlimited, kMinWeight, 1 / kMinWeight);
}

} // namespace cranberrywing::gateway
