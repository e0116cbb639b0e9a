// Placement of objects at servers: what this VM counts, places, sends and uses.
#include <algorithm>
#include <unordered_set>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

bool IsKnownProcess(const FleetView& aFleet, const VmIncarnation& aProcess)
{
  const auto it = aFleet.Peers().find(aProcess.mVm);
  return it != aFleet.Peers().end() &&
         it->second.mRecord.mIncarnation == aProcess.mIncarnation;
}

} // namespace

void Gateway::OnMessage(const VmIncarnation& aFrom,
                        const message::ObjectDemands& aMessage)
{
  if (mOptions.mPlacesObjects && IsKnownProcess(mFleet, aFrom) &&
      !mPool.BackendsOfService(aMessage.mService).empty()) {
    mPlacementExchange.OnMessage(aFrom, aMessage, mNow);
  }
}

void Gateway::OnMessage(const VmIncarnation& aFrom,
                        const message::ObjectPlacements& aMessage)
{
  if (mOptions.mPlacesObjects && IsKnownProcess(mFleet, aFrom)) {
    const RegionId& region = mFleet.Peers().at(aFrom.mVm).mRecord.mRegion;
    mPlacementExchange.OnMessage(aFrom, region, aMessage, mNow);
  }
}

void Gateway::CountObjectDemand(const Request& aRequest,
                                const RegionId& aRegion)
{
  const ExpectedTimes times =
    mServiceTimes.Estimate(*aRequest.mRoute, aRequest.mService);
  mObjectDemand.Count(
    aRequest.mService, aRegion, aRequest.mObject, times.mWarm, mNow);
}

std::span<const std::uint64_t> Gateway::PlacedServers(
  const Request& aRequest,
  const RegionId& aRegion) const
{
  return mOptions.mPlacesObjects && aRequest.mObject != 0
           ? mPlacementExchange.Find(aRegion, aRequest.mObject, mNow)
           : std::span<const std::uint64_t>();
}

std::vector<PlacementCandidate> Gateway::PlacementCandidates() const
{
  std::vector<PlacementCandidate> candidates;
  if (HasStarted() && !mServerReach.IsCutOff()) {
    candidates.push_back({ mOptions.mSelf.mVm, mOptions.mSelf.mLinkMbps });
  }
  for (const auto& [id, peer] : mFleet.Peers()) {
    // A VM without a configuration is not ready to place objects. A VM that is
    // not heard cannot be told apart from one that does not place any more,
    // even if this VM hears none.
    const bool isReady = mFleet.IsHeard(peer, mNow) && !peer.mIsLeaving &&
                         peer.mStatus.mPolicy.mNumber > 0 &&
                         !mFleet.IsCutOff(peer, mNow);
    if (peer.mRecord.mRegion == mOptions.mSelf.mRegion && isReady) {
      candidates.push_back({ id, peer.mRecord.mLinkMbps });
    }
  }
  return candidates;
}

std::vector<VmId> Gateway::PlacementReceivers() const
{
  std::vector<VmId> receivers;
  for (const auto& [id, peer] : mFleet.Peers()) {
    if (IsReceiver(peer)) {
      receivers.push_back(id);
    }
  }
  return receivers;
}

std::vector<PlacementServer> Gateway::PlacementServers(
  const ServiceId& aService) const
{
  std::vector<PlacementServer> servers;
  for (const Backend* const backend : mPool.BackendsOfService(aService)) {
    // The order of objects is weighted while a server states a rate limit, and
    // ObjectPlacement knows equal weights only.
    // Servers that this VM has ejected or that asked it to wait are back soon,
    // and a move costs a cache miss. Meanwhile the order applies.
    const bool isUsable = mPool.IsEligible(*backend) &&
                          !mPool.IsCold(*backend, mNow) &&
                          !mPool.IsRateLimited(*backend, mNow);
    if (backend->mEntry.mRegion == mOptions.mSelf.mRegion && isUsable) {
      servers.push_back(
        { .mLifetime = backend->mLifetimeHash,
          .mHash = backend->mHash,
          .mSlots = backend->mEntry.mSlots / mPool.Slowness(*backend, mNow) });
    }
  }
  return servers;
}

void Gateway::AdoptPlacements()
{
  for (const PlacedObject& placed : mPlacementExchange.TakeAdopted(mNow)) {
    // The message does not name the service; its servers do.
    for (const std::uint64_t lifetime : placed.mServers) {
      const auto* const backend = mPool.FindLifetime(lifetime);
      const auto it = backend
                        ? mServicePlacements.find(backend->mEntry.mService)
                        : mServicePlacements.end();
      if (it != mServicePlacements.end()) {
        it->second.mPlacement.Restore(placed, mNow);
        break;
      }
    }
  }
}

void Gateway::UpdatePlacements(const std::vector<VmId>& aReceivers)
{
  for (const ServiceId& service : mPool.Services()) {
    mServicePlacements.try_emplace(service,
                                   ServicePlacement{ ObjectPlacement({}), {} });
  }
  AdoptPlacements();
  std::vector<PlacedObject> placed;
  std::unordered_set<ObjectHash> objects;
  for (auto& [service, each] : mServicePlacements) {
    PlacementExchange::Demand demand =
      mPlacementExchange.ReportedDemand(service, mNow);
    for (const auto& [object, slots] : each.mDemand) {
      if (!demand.contains(object)) {
        each.mPlacement.SetDemand(object, 0, mNow);
      }
    }
    for (const auto& [object, slots] : demand) {
      each.mPlacement.SetDemand(object, slots, mNow);
    }
    each.mDemand = std::move(demand);
    each.mPlacement.Update(PlacementServers(service), mNow);
    for (const auto& [object, entry] : each.mPlacement.Placed()) {
      // A faulty report may state an object for two services.
      if (objects.insert(object).second) {
        placed.push_back({ object, entry.mServers });
      }
    }
  }
  for (const PlacedObject& change :
       mPlacementExchange.Publish(placed, aReceivers, mNow)) {
    mCounters.mObjectMoves += change.mServers.empty() ? 0 : 1;
    RecordPlacement(change);
  }
}

void Gateway::RecordPlacement(const PlacedObject& aPlaced)
{
  std::string servers;
  for (const std::uint64_t lifetime : aPlaced.mServers) {
    const Backend* const backend = mPool.FindLifetime(lifetime);
    servers += (servers.empty() ? "" : ",") +
               (backend ? backend->mEntry.mBackend.mName : "unknown");
  }
  double slots = 0;
  for (const auto& [service, each] : mServicePlacements) {
    const auto it = each.mDemand.find(aPlaced.mObject);
    slots += it == each.mDemand.end() ? 0 : it->second;
  }
  Record("object_placed",
         { { "object", std::to_string(aPlaced.mObject) },
           { "servers", servers },
           { "slots", std::to_string(slots) } });
}

void Gateway::ReportObjectDemand()
{
  mObjectDemand.Prune(mNow);
  const VmIncarnation self{ mOptions.mSelf.mVm, mOptions.mSelf.mIncarnation };
  for (const ObjectDemandCounter::Group& group : mObjectDemand.Groups()) {
    const VmId* const vm = mPlacementExchange.PlacingVm(group.mRegion, mNow);
    if (!vm) {
      continue;
    }
    const message::ObjectDemands report{ .mService = group.mService,
                                         .mObjects = mObjectDemand.Busiest(
                                           group, kMaxReportedObjects, mNow) };
    const auto it = mFleet.Peers().find(*vm);
    if (*vm == self.mVm) {
      mPlacementExchange.OnMessage(self, report, mNow);
    } else if (it != mFleet.Peers().end()) {
      const VmRecord& record = it->second.mRecord;
      SendTo({ *vm, record.mAddress, record.mPeerPort }, report);
    }
  }
}

void Gateway::ExchangePlacements()
{
  if (!mOptions.mPlacesObjects) {
    return;
  }
  const bool wasPlacing = mPlacementExchange.IsPlacing();
  mPlacementExchange.Elect(PlacementCandidates(), mNow);
  const bool isPlacing = mPlacementExchange.IsPlacing();
  if (wasPlacing && !isPlacing) {
    mServicePlacements.clear();
  }
  if (mPlacementExchange.TakeReportDue(mNow)) {
    mPlacementExchange.Prune(mNow);
    ReportObjectDemand();
  }
  if (isPlacing) {
    const std::vector<VmId> receivers = PlacementReceivers();
    if (mPlacementExchange.TakeUpdateDue(mNow)) {
      UpdatePlacements(receivers);
    }
    mPlacementExchange.Repeat(receivers, mNow);
  }
  for (PlacementMessage& message : mPlacementExchange.TakeMessages()) {
    const auto it = mFleet.Peers().find(message.mTo);
    if (it != mFleet.Peers().end()) {
      const VmRecord& record = it->second.mRecord;
      SendTo({ message.mTo, record.mAddress, record.mPeerPort },
             std::move(message.mMessage));
    }
  }
  for (const PlacingVmChange& change : mPlacementExchange.TakeChanges()) {
    Record("placing_vm_changed",
           { { "region", change.mRegion.mName },
             { "vm", change.mVm.mName },
             { "before", change.mBefore.mName } });
  }
}

} // namespace cranberrywing::gateway
