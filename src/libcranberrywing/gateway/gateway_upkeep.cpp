#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kArrivalSeconds;
using detail::ToMs;

namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// Interval of status messages to VMs of the own region, up to kNearPeers of
/// them; it grows with more, so that the cost for a VM stays the same.
constexpr Duration kNearInterval = std::chrono::milliseconds(200);
constexpr std::size_t kNearPeers = 6;
constexpr Duration kFarInterval = std::chrono::milliseconds(1000);
constexpr std::size_t kFarPeers = 12;
/// Last moment before the kill at which the process ends by itself.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

/// Demand of the own region below which its shares are set at once.
constexpr double kIdleSlots = 0.05;
/// Use of the servers that is planned with before there are requests.
constexpr double kGuessedUse = 0.5;
/// Change of a region's share that is logged.
constexpr double kRecordedChange = 0.1;

bool DiffersBy(const RegionShares& aLeft,
               const RegionShares& aRight,
               double aChange)
{
  const auto differs = [&](const RegionShares& aOne,
                           const RegionShares& aOther) {
    return std::any_of(aOne.begin(), aOne.end(), [&](const auto& aEntry) {
      const auto it = aOther.find(aEntry.first);
      const double other = it == aOther.end() ? 0 : it->second;
      return std::abs(aEntry.second - other) >= aChange;
    });
  };
  return differs(aLeft, aRight) || differs(aRight, aLeft);
}

Duration Stretch(Duration aInterval, std::size_t aPeers, std::size_t aUsual)
{
  const auto factor = static_cast<Duration::rep>(
    (std::max(aPeers, aUsual) + aUsual - 1) / aUsual);
  return aInterval * factor;
}

} // namespace

void Gateway::TellBlocks()
{
  for (const message::RequestBlock& block : mCrashGuard.TakeNewBlocks()) {
    for (const auto& [id, peer] : mFleet.Peers()) {
      mOut.push_back(effect::SendMessage{ .mTo = id,
                                          .mAddress = peer.mRecord.mAddress,
                                          .mPort = peer.mRecord.mPeerPort,
                                          .mMessage = block });
    }
  }
}

double Gateway::ArrivalRate(const ServiceId& aService) const
{
  const auto it = mArrivals.find(aService);
  if (it == mArrivals.end()) {
    return 0;
  }
  return it->second.mPerSecond *
         std::exp(-ToSeconds(mNow - it->second.mAt) / kArrivalSeconds);
}

void Gateway::SendStatus()
{
  const bool isNearDue = mNow >= mNextNearStatus;
  const bool isFarDue = mNow >= mNextFarStatus;
  if (!isNearDue && !isFarDue) {
    return;
  }
  message::GatewayStatus status;
  status.mPolicy = mPolicy ? mPolicy->GetRevision() : Revision{};
  status.mIsLeaving = mStoppingSince.has_value();
  for (const auto& [service, arrivals] : mArrivals) {
    const double rate = ArrivalRate(service);
    const double seconds =
      ToSeconds(mTimes.Mean(service).value_or(Duration::zero()));
    status.mDemand.push_back({ service,
                               static_cast<float>(rate),
                               static_cast<float>(rate * seconds) });
  }
  message::GatewayStatus far = status;
  for (const auto& [id, backend] : mPool.All()) {
    if (backend->mInFlight > 0) {
      status.mInFlight.push_back(
        { backend->mHash, static_cast<std::uint16_t>(backend->mInFlight) });
    }
  }
  std::size_t nearPeers = 0;
  std::size_t farPeers = 0;
  for (const auto& [id, peer] : mFleet.Peers()) {
    const bool isNear = peer.mRecord.mRegion == mOptions.mSelf.mRegion;
    ++(isNear ? nearPeers : farPeers);
    if (peer.mIsLapsed || !(isNear ? isNearDue : isFarDue)) {
      continue;
    }
    mOut.push_back(effect::SendMessage{ .mTo = id,
                                        .mAddress = peer.mRecord.mAddress,
                                        .mPort = peer.mRecord.mPeerPort,
                                        .mMessage = isNear ? status : far });
  }
  if (isNearDue) {
    mNextNearStatus = mNow + Stretch(kNearInterval, nearPeers, kNearPeers);
  }
  if (isFarDue) {
    mNextFarStatus = mNow + Stretch(kFarInterval, farPeers, kFarPeers);
  }
}

RegionalLoad Gateway::LoadOf(const ServiceId& aService) const
{
  RegionalLoad load;
  for (const Backend* backend : mPool.BackendsOfService(aService)) {
    const RegionId& region = backend->mEntry.mRegion;
    load.mCapacity[region] += 0;
    load.mOffered[region] += 0;
    if (!mPool.IsOffered(*backend)) {
      continue;
    }
    load.mOffered[region] += backend->mEntry.mSlots;
    // Servers that are slow or await a health check count in full: they come
    // and go too fast for traffic to follow.
    if (mNow >= backend->mEjectedUntil) {
      load.mCapacity[region] += backend->mEntry.mSlots;
    }
  }
  const RegionId& own = mOptions.mSelf.mRegion;
  const double seconds =
    ToSeconds(mTimes.Mean(aService).value_or(Duration::zero()));
  for (const auto& [region, slots] : load.mOffered) {
    load.mDemand[region] = mFleet.Demand(region, aService, mNow);
  }
  load.mDemand[own] =
    mFleet.Demand(own, aService, mNow) + ArrivalRate(aService) * seconds;
  if (load.mDemand[own] < kIdleSlots) {
    load.mIsIdle = true;
    std::map<RegionId, std::size_t> vms;
    for (const SharingVm& vm : mFleet.SharingVms()) {
      ++vms[vm.mRegion];
    }
    load.mDemand = GuessDemand(load.mOffered, vms, kGuessedUse);
  }
  return load;
}

void Gateway::UpdatePlan()
{
  if (mNow < mNextPlan) {
    return;
  }
  mNextPlan = mNow + kPlanInterval;
  for (const ServiceId& service : mPool.Services()) {
    const RegionalLoad load = LoadOf(service);
    mPlan.Update(service, load, mNow);
    RecordShares(service, load);
  }
  // What others of the region have in flight at each server.
  std::unordered_map<std::uint64_t, double> inFlight;
  for (const auto& [id, peer] : mFleet.Peers()) {
    for (const BackendInFlight& entry : peer.mStatus.mInFlight) {
      inFlight[entry.mBackend] += entry.mRequests;
    }
  }
  for (const auto& [id, backend] : mPool.All()) {
    const auto it = inFlight.find(backend->mHash);
    backend->mPeerInFlight = it == inFlight.end() ? 0 : it->second;
    backend->mPeerInFlightAt = mNow;
  }
}

void Gateway::RecordShares(const ServiceId& aService, const RegionalLoad& aLoad)
{
  const RegionShares* const shares = mPlan.Shares(aService);
  RegionShares& recorded = mRecordedShares[aService];
  if (!shares || !DiffersBy(*shares, recorded, kRecordedChange)) {
    return;
  }
  recorded = *shares;
  std::vector<cranberrywing::effect::Field> fields{
    { "service", aService.mName },
    { "own_per_s", std::to_string(std::lround(ArrivalRate(aService))) },
    { "mean_ms", ToMs(mTimes.Mean(aService).value_or(Duration::zero())) }
  };
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const auto share = shares->find(region);
    const auto demand = aLoad.mDemand.find(region);
    const double part = share == shares->end() ? 0 : share->second;
    const double busy = demand == aLoad.mDemand.end() ? 0 : demand->second;
    fields.push_back({ region.mName,
                       std::to_string(std::lround(100 * part)) + "%/" +
                         std::to_string(std::lround(slots)) + "slots/" +
                         std::to_string(std::lround(busy)) + "busy" });
  }
  Record("region_shares", std::move(fields));
}

void Gateway::ProbeServers()
{
  if (!mPolicy) {
    return;
  }
  for (Backend* const backend : mPool.TakeProbesDue(mNow)) {
    const ServicePolicy* const service =
      mPolicy->FindService(backend->mEntry.mService);
    if (!service) {
      backend->mIsProbing = false;
      continue;
    }
    mOut.push_back(effect::ProbeBackend{ .mBackend = backend->mEntry.mBackend,
                                         .mAddress = backend->mEntry.mAddress,
                                         .mPort = backend->mEntry.mPort,
                                         .mHealthPath = service->mHealthPath });
  }
}

void Gateway::ContinueStop()
{
  if (!mStoppingSince || mHasExited) {
    return;
  }
  const Duration age = mNow - *mStoppingSince;
  const bool isQuiet = age >= mOptions.mStopAccepting && mRequests.empty();
  if (age >= mOptions.mStopAccepting && !mHasClosedCallers) {
    mHasClosedCallers = true;
    mOut.push_back(effect::CloseCallerConnections{});
  }
  if (isQuiet || age >= mOptions.mStopLimit - kStopMargin) {
    mHasExited = true;
    Record("stopped", { { "in_flight", std::to_string(mRequests.size()) } });
    mOut.push_back(effect::Exit{});
  }
}

} // namespace cranberrywing::gateway
