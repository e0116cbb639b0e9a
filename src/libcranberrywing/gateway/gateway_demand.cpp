#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kArrivalTimeConstantSeconds;

namespace {

/// Interval of messages to VMs of other regions, and the number of VMs that get
/// one at a time.
constexpr Duration kCrossRegionInterval = std::chrono::milliseconds(1000);
constexpr std::size_t kCrossRegionPeers = 12;
/// Times per kCrossRegionInterval that a VM is told the busy servers of another
/// region, by all its VMs together.
constexpr std::size_t kLoadReportsPerReceiver = 2;
/// Bounds such a message to a datagram of about 1 KB.
constexpr std::size_t kMaxBusyServers = 80;
/// Demand of the own region, in server slots, below which its shares are set
/// without a limit on the rate of change.
constexpr double kIdleSlots = 0.05;
/// Utilization of the servers that is assumed before there are requests. The
/// first requests are slow, because no server has their objects cached.
constexpr double kInitialUtilization = 0.8;

} // namespace

double Gateway::RateOf(const Arrivals& aArrivals) const
{
  return aArrivals.mPerSecond * std::exp(-ToSeconds(mNow - aArrivals.mAt) /
                                         kArrivalTimeConstantSeconds);
}

double Gateway::ArrivalRate(const ServiceId& aService) const
{
  const auto it = mArrivals.find(aService);
  return it == mArrivals.end() ? 0 : RateOf(it->second);
}

std::vector<ServiceDemand> Gateway::OwnDemand() const
{
  std::vector<ServiceDemand> demands;
  for (const auto& [service, arrivals] : mArrivals) {
    const double rate = ArrivalRate(service);
    demands.push_back({ service,
                        static_cast<float>(rate),
                        static_cast<float>(UnboundSlots(service)) });
  }
  return demands;
}

double Gateway::MeanSeconds(const ServiceId& aService) const
{
  return ToSeconds(mServiceTimes.Mean(aService).value_or(Duration::zero()));
}

double Gateway::UnboundSlots(const ServiceId& aService) const
{
  double rate = ArrivalRate(aService);
  const auto it = mBoundArrivals.find(aService);
  if (it != mBoundArrivals.end()) {
    for (const auto& [region, arrivals] : it->second) {
      rate -= RateOf(arrivals);
    }
  }
  return std::max(0.0, rate) * MeanSeconds(aService);
}

std::vector<BoundDemand> Gateway::OwnBoundDemand() const
{
  std::vector<BoundDemand> demands;
  for (const auto& [service, regions] : mBoundArrivals) {
    for (const auto& [region, arrivals] : regions) {
      const double slots = RateOf(arrivals) * MeanSeconds(service);
      demands.push_back({ service, region, static_cast<float>(slots) });
    }
  }
  return demands;
}

std::vector<BoundDemand> Gateway::RegionBoundDemand() const
{
  std::vector<BoundDemand> demands = OwnBoundDemand();
  for (BoundDemand& demand : demands) {
    demand.mSlots += static_cast<float>(
      mFleet.OwnBoundDemand(demand.mRegion, demand.mService, mNow));
  }
  return demands;
}

void Gateway::SendRegionDemand()
{
  if (mNow < mNextCrossRegionStatus) {
    return;
  }
  mNextCrossRegionStatus = mNow + kCrossRegionInterval;
  std::vector<const Peer*> receivers;
  for (const auto& [id, peer] : mFleet.Peers()) {
    if (peer.mRecord.mRegion != mOptions.mSelf.mRegion && IsReceiver(peer)) {
      receivers.push_back(&peer);
    }
  }
  message::RegionDemand message{ .mIsLeaving = mStoppingSince.has_value(),
                                 .mDemand = OwnDemand() };
  for (ServiceDemand& demand : message.mDemand) {
    demand.mSlots += static_cast<float>(
      mFleet.Demand(mOptions.mSelf.mRegion, demand.mService, mNow));
    demand.mRequestsPerSecond +=
      static_cast<float>(mFleet.OwnRegionRate(demand.mService, mNow));
  }
  const message::BoundDemands bound{ .mIsOfRegion = true,
                                     .mDemand = RegionBoundDemand() };
  const std::size_t count = std::min(kCrossRegionPeers, receivers.size());
  for (std::size_t n = 0; n < count; ++n) {
    const Peer& peer = *receivers[mNextDemandReceiver++ % receivers.size()];
    const RelayEndpoint receiver{ peer.mRecord.mVm,
                                  peer.mRecord.mAddress,
                                  peer.mRecord.mPeerPort };
    SendStatusTo(receiver, message);
    if (!bound.mDemand.empty()) {
      SendTo(receiver, bound);
    }
  }
  SendRegionRateLimits(receivers);
  SendServerLoads(receivers);
}

void Gateway::SendServerLoads(const std::vector<const Peer*>& aReceivers)
{
  if (mServerReach.IsCutOff()) {
    return;
  }
  const RegionId& own = mOptions.mSelf.mRegion;
  const message::RegionServerLoads message{ mPool.BusiestOf(
    own, kMaxBusyServers, mNow) };
  const std::size_t senders = mFleet.VmsOfRegion(own).size();
  const std::size_t count = std::min(
    aReceivers.size(),
    (kLoadReportsPerReceiver * aReceivers.size() + senders - 1) / senders);
  for (std::size_t n = 0; n < count; ++n) {
    const VmRecord& vm =
      aReceivers[mNextLoadReceiver++ % aReceivers.size()]->mRecord;
    SendTo({ vm.mVm, vm.mAddress, vm.mPeerPort }, message);
  }
}

void Gateway::OnMessage(const VmIncarnation& aFrom,
                        const message::RegionServerLoads& aMessage)
{
  const auto it = mFleet.Peers().find(aFrom.mVm);
  if (it != mFleet.Peers().end() &&
      it->second.mRecord.mRegion != mOptions.mSelf.mRegion) {
    mPool.OnRegionLoads(it->second.mRecord.mRegion, aMessage.mBusy, mNow);
  }
}

RegionalLoad Gateway::ComputeRegionalLoad(const ServiceId& aService) const
{
  RegionalLoad load;
  for (const Backend* backend : mPool.BackendsOfService(aService)) {
    const RegionId& region = backend->mEntry.mRegion;
    load.mCapacity[region] += 0;
    load.mEligibleCapacity[region] += 0;
    if (!mPool.IsEligible(*backend)) {
      continue;
    }
    load.mEligibleCapacity[region] += backend->mEntry.mSlots;
    // Servers that are slow or waiting for a health check count in full: these
    // states change faster than traffic can be shifted between regions.
    if (mNow >= backend->mEjectedUntil && !mPool.IsWaiting(*backend, mNow)) {
      load.mCapacity[region] +=
        backend->mUsableFraction * backend->mEntry.mSlots;
    }
  }
  const RegionId& own = mOptions.mSelf.mRegion;
  for (const auto& [region, slots] : load.mEligibleCapacity) {
    load.mDemand[region] = mFleet.Demand(region, aService, mNow);
    load.mBoundDemand[region] = mFleet.OwnBoundDemand(region, aService, mNow) +
                                mFleet.OtherBoundDemand(region, aService, mNow);
  }
  for (const BoundDemand& demand : OwnBoundDemand()) {
    if (demand.mService == aService) {
      load.mBoundDemand[demand.mRegion] += demand.mSlots;
    }
  }
  load.mDemand[own] =
    mFleet.Demand(own, aService, mNow) + UnboundSlots(aService);
  load.mRequestsPerSecond =
    mFleet.OwnRegionRate(aService, mNow) + ArrivalRate(aService);
  if (load.mDemand[own] < kIdleSlots) {
    load.mIsIdle = true;
    std::map<RegionId, std::size_t> vms;
    for (const SharingVm& vm : mFleet.SharingVms()) {
      ++vms[vm.mRegion];
    }
    load.mDemand =
      EstimateInitialDemand(load.mEligibleCapacity, vms, kInitialUtilization);
  }
  return load;
}

void Gateway::RecordRegionTraffic()
{
  for (const RegionTrafficWindow& window : mRegionTraffic.TakeEnded(mNow)) {
    std::vector<cranberrywing::effect::Field> fields{
      { "service", window.mService.mName }
    };
    for (const auto& [region, count] : window.mPlanned) {
      fields.push_back({ "planned_" + region.mName, std::to_string(count) });
    }
    for (const auto& [region, count] : window.mSent) {
      fields.push_back({ "sent_" + region.mName, std::to_string(count) });
    }
    for (const auto& [exit, count] : window.mExits) {
      fields.push_back({ std::string(ToString(exit)), std::to_string(count) });
    }
    Record("region_traffic", std::move(fields));
  }
}

void Gateway::CountArrival(Arrivals& aArrivals)
{
  aArrivals = { .mPerSecond =
                  RateOf(aArrivals) + 1 / kArrivalTimeConstantSeconds,
                .mAt = mNow };
}

void Gateway::CountDemand(const Request& aRequest)
{
  CountArrival(mArrivals[aRequest.mService]);
  const bool isBound =
    !aRequest.mRoute->mAllowedRegions.empty() ||
    (aRequest.mAccount && !aRequest.mAccount->mAllowedRegions.empty());
  const bool hasPlacement = mOptions.mPlacesObjects && aRequest.mObject != 0;
  if (!isBound && !hasPlacement) {
    return;
  }
  const std::vector<RegionId> ranked = RankRegions(aRequest);
  if (ranked.empty()) {
    return;
  }
  if (isBound) {
    CountArrival(mBoundArrivals[aRequest.mService][ranked.front()]);
  }
  if (hasPlacement) {
    CountObjectDemand(aRequest, ranked.front());
  }
}

std::vector<RegionId> Gateway::RankRegions(const Request& aRequest) const
{
  return mRegionPlan.Rank(
    aRequest.mService, aRequest.mPosition, [&](const RegionId& aRegion) {
      return IsAllowed(aRequest, aRegion);
    });
}

void Gateway::CountRegion(Request& aRequest, const RegionId& aRegion)
{
  const auto ranked = mRegionPlan.Rank(aRequest.mService, aRequest.mPosition);
  const RegionId& planned = ranked.empty() ? aRegion : ranked.front();
  aRequest.mCurrent.mRegion = aRegion;
  aRequest.mCurrent.mPlanExit = planned == aRegion ? PlanExit::None
                                : IsAllowed(aRequest, planned)
                                  ? PlanExit::NoServer
                                  : PlanExit::NotAllowed;
  mRegionTraffic.OnSent(
    aRequest.mService, planned, aRegion, aRequest.mCurrent.mPlanExit);
}

} // namespace cranberrywing::gateway
