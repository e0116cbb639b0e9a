#include <algorithm>
#include <cmath>
#include <utility>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

/// Maximum number of limits in a message, so that it fits into a few packets.
constexpr std::size_t kMaxLimitsPerMessage = 256;
/// Interval at which the VMs of a region tell each other that a limit holds on;
/// much shorter than kRateLimitValidity, as messages may get lost.
constexpr Duration kRateLimitTellInterval = std::chrono::seconds(2);
/// Number of VMs of other regions that a VM tells its region's limits at a
/// time. Any VM tells them all.
constexpr std::size_t kLimitReceivers = 3;
/// Time for which the end of a limit is told again with each message.
constexpr Duration kEndRepeatTime = std::chrono::seconds(2);

StatedRateLimit ToMessage(const Backend& aBackend, TimePoint aNow)
{
  const BackendRateLimit& limit = aBackend.mRateLimit;
  const auto age =
    std::chrono::duration_cast<Milliseconds>(aNow - limit.mStatedAt).count();
  return { .mBackend = aBackend.mLifetimeHash,
           .mPerSecond = limit.mPerSecond.value_or(-1),
           .mAgeMs =
             static_cast<std::uint32_t>(std::max<std::int64_t>(0, age)) };
}

} // namespace

void Gateway::LearnRateLimit(Backend& aBackend,
                             std::optional<double> aPerSecond,
                             TimePoint aStatedAt,
                             std::string_view aSource)
{
  const auto before = aBackend.mRateLimit.mPerSecond;
  if (!mPool.OnRateLimitStated(aBackend, aPerSecond, aStatedAt)) {
    return;
  }
  aBackend.mIsRateLimitNews = true;
  UpdateRateQuota(aBackend);
  RecordRateLimit(aBackend, before, aSource);
}

void Gateway::RecordRateLimit(const Backend& aBackend,
                              std::optional<double> aBefore,
                              std::string_view aSource)
{
  const auto toText = [](const std::optional<double>& aLimit) {
    return aLimit ? std::to_string(*aLimit) : std::string();
  };
  Record("backend_rate_limit",
         { { "backend", aBackend.mEntry.mBackend.mName },
           { "per_s", toText(aBackend.mRateLimit.mPerSecond) },
           { "before", toText(aBefore) },
           { "source", std::string(aSource) },
           { "age_ms", std::to_string(ToMessage(aBackend, mNow).mAgeMs) },
           { "quota", std::to_string(aBackend.mRateQuota.mRequests) },
           { "usable", std::to_string(aBackend.mUsableFraction) },
           { "in_flight", std::to_string(aBackend.mInFlight) } });
}

void Gateway::LearnRateLimit(Backend& aBackend,
                             const event::BackendReplied& aEvent)
{
  const bool isRefusal = aEvent.mKind == event::ReplyKind::NotRun;
  // Failed and refused requests may be answered by a part of the server that
  // does not know its limit.
  const bool isSuccess =
    !isRefusal && aEvent.mAnswer && aEvent.mAnswer->mStatus < 300;
  if (aEvent.mRateLimit || isSuccess) {
    LearnRateLimit(
      aBackend, aEvent.mRateLimit, mNow, isRefusal ? "refusal" : "answer");
  }
}

void Gateway::OnMessage(const message::BackendRateLimits& aMessage)
{
  for (const StatedRateLimit& stated : aMessage.mLimits) {
    Backend* const backend = mPool.FindLifetime(stated.mBackend);
    if (!backend || !std::isfinite(stated.mPerSecond)) {
      continue;
    }
    LearnRateLimit(*backend,
                   stated.mPerSecond < 0 ? std::nullopt
                                         : std::optional(stated.mPerSecond),
                   mNow - Milliseconds(stated.mAgeMs),
                   "vm");
    // The own region hears this from the sender as well.
    backend->mRateLimitToldAt = backend->mRateLimit.mStatedAt;
    backend->mIsRateLimitNews = false;
  }
}

message::BackendRateLimits Gateway::TakeStatedRateLimits()
{
  message::BackendRateLimits message;
  for (const auto& [id, backend] : mPool.All()) {
    const BackendRateLimit& limit = backend->mRateLimit;
    // The end of a limit is stated once and may get lost on the way.
    const bool hasEndedLately =
      !limit.mPerSecond && mNow - limit.mStatedAt <= kEndRepeatTime;
    const bool isDue =
      backend->mIsRateLimitNews || hasEndedLately ||
      limit.mStatedAt - backend->mRateLimitToldAt >= kRateLimitTellInterval;
    if (isDue && message.mLimits.size() < kMaxLimitsPerMessage) {
      backend->mRateLimitToldAt = limit.mStatedAt;
      backend->mIsRateLimitNews = false;
      message.mLimits.push_back(ToMessage(*backend, mNow));
    }
  }
  return message;
}

message::BackendRateLimits Gateway::RegionRateLimits() const
{
  message::BackendRateLimits message;
  for (const auto& [id, backend] : mPool.All()) {
    const bool isRecent =
      backend->mRateLimit.mStatedAt != TimePoint{} &&
      mNow - backend->mRateLimit.mStatedAt <= kRateLimitValidity;
    if (isRecent && backend->mEntry.mRegion == mOptions.mSelf.mRegion &&
        message.mLimits.size() < kMaxLimitsPerMessage) {
      message.mLimits.push_back(ToMessage(*backend, mNow));
    }
  }
  return message;
}

void Gateway::SendRegionRateLimits(const std::vector<const Peer*>& aReceivers)
{
  const message::BackendRateLimits limits = RegionRateLimits();
  const std::size_t count =
    limits.mLimits.empty() ? 0 : std::min(kLimitReceivers, aReceivers.size());
  for (std::size_t n = 0; n < count; ++n) {
    const VmRecord& vm =
      aReceivers[mNextLimitReceiver++ % aReceivers.size()]->mRecord;
    SendTo({ vm.mVm, vm.mAddress, vm.mPeerPort }, limits);
  }
}

void Gateway::UpdateRateQuota(Backend& aBackend)
{
  if (!mPool.IsRateLimited(aBackend, mNow)) {
    aBackend.mUsableFraction = 1;
    aBackend.mRateWeight = 1;
    return;
  }
  const double perSecond = *aBackend.mRateLimit.mPerSecond;
  aBackend.mRateQuota =
    BackendRateQuota(perSecond,
                     aBackend.mHash,
                     mFleet.VmsOfRegion(aBackend.mEntry.mRegion),
                     mOptions.mSelf.mVm);
  const auto mean = mServiceTimes.Mean(aBackend.mEntry.mService);
  aBackend.mUsableFraction =
    mean ? UsableFraction(perSecond, *mean, aBackend.mEntry.mSlots) : 1;
}

void Gateway::UpdateRateWeights(const ServiceId& aService)
{
  const RegionId& own = mOptions.mSelf.mRegion;
  RateLimitedGroup group;
  std::vector<Backend*> limited;
  for (Backend* const backend : mPool.BackendsOfService(aService)) {
    if (backend->mEntry.mRegion != own || !mPool.IsUsable(*backend, mNow)) {
      continue;
    }
    if (mPool.IsRateLimited(*backend, mNow)) {
      limited.push_back(backend);
      group.mLimitSum += backend->mRateQuota.mFleetRate;
    } else {
      ++group.mUnlimited;
    }
  }
  if (limited.empty()) {
    return;
  }
  const RegionShares* const shares = mRegionPlan.Shares(aService);
  const auto share =
    shares ? shares->find(own) : RegionShares::const_iterator{};
  const double ownShare = shares && share != shares->end() ? share->second : 1;
  group.mDemand =
    ownShare * (mFleet.OwnRegionRate(aService, mNow) + ArrivalRate(aService));
  for (Backend* const backend : limited) {
    backend->mRateWeight =
      RateLimitWeight(backend->mRateQuota.mFleetRate, group);
  }
}

void Gateway::UpdateRateQuotas()
{
  for (const auto& [id, backend] : mPool.All()) {
    if (!backend->mRateLimit.mPerSecond) {
      continue;
    }
    if (!mPool.IsRateLimited(*backend, mNow)) {
      // The server did not state this, so other VMs are not told.
      const auto before = std::exchange(backend->mRateLimit.mPerSecond, {});
      backend->mLimitedSends.clear();
      RecordRateLimit(*backend, before, "lapsed");
    }
    UpdateRateQuota(*backend);
  }
  for (const ServiceId& service : mPool.Services()) {
    UpdateRateWeights(service);
  }
}

} // namespace cranberrywing::gateway
