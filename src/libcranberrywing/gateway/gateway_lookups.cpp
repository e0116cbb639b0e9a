// Which VMs callers are directed to.
#include <algorithm>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

/// Time for which lookups of a region with more VMs than an answer holds name
/// the same ones, since callers close connections to a VM that a later answer
/// leaves out.
constexpr Duration kTargetChoiceTime = std::chrono::minutes(1);

/// Callers of a lookup that names a single VM ask again so many times earlier.
constexpr int kSingleTargetDivisor = 3;

} // namespace

bool Gateway::HasStarted() const
{
  return mPolicy && mHasRegistrations && !mStoppingSince;
}

bool Gateway::IsReady() const
{
  return HasStarted() &&
         (!mServerReach.IsCutOff() || !mFleet.HasReachingPeer(mNow));
}

std::vector<VmRecord> Gateway::CallerTargets(const RegionId& aRegion,
                                             std::size_t aMaxCount,
                                             TimePoint aNow) const
{
  std::vector<VmRecord> targets = mFleet.CallerTargets(
    aRegion,
    { .mIsReady = HasStarted(), .mIsCutOff = mServerReach.IsCutOff() },
    aNow);
  if (targets.size() > aMaxCount) {
    const std::string item =
      mOptions.mSelf.mVm.mName + '\n' +
      std::to_string(aNow.time_since_epoch() / kTargetChoiceTime);
    std::vector<std::pair<std::uint64_t, VmRecord>> ranked;
    for (VmRecord& target : targets) {
      const std::uint64_t weight = RendezvousWeight(item, target.mVm.mName);
      ranked.emplace_back(weight, std::move(target));
    }
    std::nth_element(ranked.begin(),
                     ranked.begin() + static_cast<std::ptrdiff_t>(aMaxCount),
                     ranked.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first > aRight.first;
                     });
    targets.clear();
    for (std::size_t n = 0; n < aMaxCount; ++n) {
      targets.push_back(std::move(ranked[n].second));
    }
  }
  return targets;
}

Duration Gateway::LookupLifetime(std::size_t aTargets) const
{
  // Callers that know a single VM have no other if that one cannot serve them.
  return aTargets > 1 ? mOptions.mLookupLifetime
                      : mOptions.mLookupLifetime / kSingleTargetDivisor;
}

} // namespace cranberrywing::gateway
