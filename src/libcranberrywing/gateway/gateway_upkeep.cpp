#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::ToMs;

namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// Interval of status messages to VMs of the own region. With more than
/// kSameRegionPeers of them it grows in proportion, which bounds the messages
/// per second that a VM sends.
constexpr Duration kSameRegionInterval = std::chrono::milliseconds(200);
constexpr std::size_t kSameRegionPeers = 6;
/// Upper bound of that interval: a VM that is silent for longer than
/// FleetView::Options::mSilenceLimit is no longer named to callers.
constexpr Duration kMaxSameRegionInterval = std::chrono::milliseconds(1200);

/// Minimum change of a region's share that is logged.
constexpr double kLoggedShareChange = 0.1;

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

double ValueOf(const std::map<RegionId, double>& aValues,
               const RegionId& aRegion)
{
  const auto it = aValues.find(aRegion);
  return it == aValues.end() ? 0 : it->second;
}

/// Interval of status messages to the given number of VMs of the own region.
Duration SameRegionInterval(std::size_t aPeers)
{
  const auto factor = static_cast<Duration::rep>(
    (std::max(aPeers, kSameRegionPeers) + kSameRegionPeers - 1) /
    kSameRegionPeers);
  return std::min(kSameRegionInterval * factor, kMaxSameRegionInterval);
}

} // namespace

void Gateway::BroadcastRequestBlocks()
{
  for (const message::RequestBlock& block : mCrashGuard.TakePeerMessages()) {
    for (const auto& [id, peer] : mFleet.Peers()) {
      SendTo({ id, peer.mRecord.mAddress, peer.mRecord.mPeerPort }, block);
    }
  }
}

void Gateway::RepeatRequestBlocks()
{
  const auto blocks = mCrashGuard.TakeBlocksToRepeat(mNow);
  if (blocks.empty()) {
    return;
  }
  std::vector<RelayEndpoint> receivers;
  for (const auto& [id, peer] : mFleet.Peers()) {
    if (IsReceiver(peer)) {
      receivers.push_back(
        { id, peer.mRecord.mAddress, peer.mRecord.mPeerPort });
    }
  }
  if (receivers.empty()) {
    return;
  }
  const RelayEndpoint& next = receivers[mNextBlockReceiver % receivers.size()];
  ++mNextBlockReceiver;
  for (const message::RequestBlock& block : blocks) {
    SendTo(next, block);
  }
}

void Gateway::TellRequestBlocks(const VmId& aVm)
{
  const auto it = mFleet.Peers().find(aVm);
  if (it == mFleet.Peers().end()) {
    return;
  }
  const VmRecord& record = it->second.mRecord;
  for (const message::RequestBlock& block : mCrashGuard.NextBlocks(mNow)) {
    SendTo({ aVm, record.mAddress, record.mPeerPort }, block);
  }
}

void Gateway::RelayStoreChanges()
{
  mStoreRelay.Tick(mFleet, mNow);
  const effect::FollowStore follow{ .mFollowing = mStoreRelay.Following(mNow),
                                    .mIsConfirming =
                                      mStoreRelay.IsConfirming(mNow) };
  if (follow != mFollowStore) {
    mFollowStore = follow;
    mEffects.push_back(follow);
  }
  if (const auto pull = mStoreRelay.TakePull(mNow)) {
    mEffects.push_back(effect::PullStoreChanges{ *pull });
  }
  for (const RelayEndpoint& receiver : mStoreRelay.TakeQueries(mNow)) {
    SendTo(receiver, mStoreRelay.Query(mNow));
  }
  for (const RelayEndpoint& receiver : mStoreRelay.TakeReceivers(mNow)) {
    SendTo(receiver, mStoreRelay.News());
  }
}

void Gateway::SendTo(const RelayEndpoint& aReceiver, Message aMessage)
{
  mEffects.push_back(effect::SendMessage{ .mTo = aReceiver.mVm,
                                          .mAddress = aReceiver.mAddress,
                                          .mPort = aReceiver.mPort,
                                          .mMessage = std::move(aMessage) });
}

bool Gateway::IsReceiver(const Peer& aPeer) const
{
  return !aPeer.mIsExpired || mFleet.IsHeard(aPeer, mNow);
}

void Gateway::SendStatusTo(const RelayEndpoint& aReceiver, Message aMessage)
{
  if (mServerReach.IsCutOff()) {
    SendTo(aReceiver, message::ServerReachStatus{ true });
  }
  SendTo(aReceiver, std::move(aMessage));
}

void Gateway::SendStatus()
{
  SendSameRegionStatus();
  SendRegionDemand();
}

void Gateway::SendSameRegionStatus()
{
  if (mNow < mNextSameRegionStatus) {
    return;
  }
  message::GatewayStatus status;
  status.mPolicy = mPolicy ? mPolicy->GetRevision() : Revision{};
  status.mIsLeaving = mStoppingSince.has_value();
  status.mDemand = OwnDemand();
  for (const auto& [id, backend] : mPool.All()) {
    // What hangs on lost links keeps no server busy.
    if (backend->mInFlight > 0 && !mServerReach.IsCutOff()) {
      status.mInFlight.push_back(
        { backend->mHash, static_cast<std::uint16_t>(backend->mInFlight) });
    }
  }
  const message::BoundDemands bound{ .mDemand = OwnBoundDemand() };
  const message::BackendRateLimits limits = TakeStatedRateLimits();
  std::size_t peers = 0;
  for (const auto& [id, peer] : mFleet.Peers()) {
    if (peer.mRecord.mRegion == mOptions.mSelf.mRegion && IsReceiver(peer)) {
      ++peers;
      const RelayEndpoint receiver{ id,
                                    peer.mRecord.mAddress,
                                    peer.mRecord.mPeerPort };
      SendStatusTo(receiver, status);
      if (!bound.mDemand.empty()) {
        SendTo(receiver, bound);
      }
      if (!limits.mLimits.empty()) {
        SendTo(receiver, limits);
      }
    }
  }
  mNextSameRegionStatus = mNow + SameRegionInterval(peers);
}

void Gateway::UpdatePlan()
{
  if (mNow < mNextPlan) {
    return;
  }
  mNextPlan = mNow + kPlanInterval;
  UpdateRateQuotas();
  for (const ServiceId& service : mPool.Services()) {
    const RegionalLoad load = ComputeRegionalLoad(service);
    mRegionPlan.Update(service, load, mNow);
    RecordShares(service, load);
  }
  // Requests that other VMs have in flight at each server. Only VMs of the own
  // region report them.
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
  const RegionShares* const shares = mRegionPlan.Shares(aService);
  RegionShares& recorded = mRecordedShares[aService];
  if (!shares || !DiffersBy(*shares, recorded, kLoggedShareChange)) {
    return;
  }
  recorded = *shares;
  std::vector<cranberrywing::effect::Field> fields{
    { "service", aService.mName },
    { "own_per_s", std::to_string(std::lround(ArrivalRate(aService))) },
    { "mean_ms", ToMs(mServiceTimes.Mean(aService).value_or(Duration::zero())) }
  };
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const double part = ValueOf(*shares, region);
    const double busy = ValueOf(aLoad.mDemand, region);
    fields.push_back(
      { region.mName,
        std::to_string(std::lround(100 * part)) + "%/" +
          std::to_string(std::lround(slots)) + "slots/" +
          std::to_string(std::lround(busy)) + "busy/" +
          std::to_string(std::lround(ValueOf(aLoad.mBoundDemand, region))) +
          "bound" });
  }
  Record("region_shares", std::move(fields));
}

void Gateway::ProbeServers()
{
  if (!mPolicy || mServerReach.IsCutOff()) {
    return;
  }
  for (Backend* const backend : mPool.TakeProbesDue(mNow)) {
    const ServicePolicy* const service =
      mPolicy->FindService(backend->mEntry.mService);
    if (!service) {
      backend->mIsProbing = false;
      continue;
    }
    mEffects.push_back(
      effect::ProbeBackend{ .mBackend = backend->mEntry.mBackend,
                            .mLifetime = backend->mLifetimeHash,
                            .mAddress = backend->mEntry.mAddress,
                            .mPort = backend->mEntry.mPort,
                            .mHealthPath = service->mHealthPath });
  }
}

} // namespace cranberrywing::gateway
