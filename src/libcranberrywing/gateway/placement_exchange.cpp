#include "cranberrywing/gateway/placement_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberrywing::gateway {

namespace {

/// Greater numbers are taken for errors, since the next one could overflow.
constexpr std::uint64_t kMaxNumber = std::uint64_t{ 1 } << 62U;

/// Longest time for which repetitions are caught up, so that a VM does not send
/// a burst after a pause.
constexpr Duration kMaxCatchUp = std::chrono::milliseconds(250);

} // namespace

PlacementExchange::PlacementExchange(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void PlacementExchange::Elect(
  const std::vector<PlacementCandidate>& aCandidates,
  TimePoint aNow)
{
  const PlacementCandidate* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const PlacementCandidate& each : aCandidates) {
    const std::uint64_t weight =
      RendezvousWeight(mOptions.mRegion.mName, each.mVm.mName);
    if (!best || each.mLinkMbps > best->mLinkMbps ||
        (each.mLinkMbps == best->mLinkMbps && weight > bestWeight)) {
      best = &each;
      bestWeight = weight;
    }
  }
  const VmId elected = best ? best->mVm : VmId();
  if (elected == mElected) {
    return;
  }
  const bool wasPlacing = IsPlacing();
  mElected = elected;
  Region& own = Own();
  SetPlacingVm(mOptions.mRegion, own, mElected);
  if (IsPlacing()) {
    // Without entries to continue with, other VMs may not have been heard yet.
    const bool hasPredecessor =
      own.mNumber > 0 && aNow - own.mAcceptedAt <= mOptions.mEntryLifetime;
    mNextUpdate = hasPredecessor ? aNow : aNow + mOptions.mUpdateInterval;
    mRepeatedAt = aNow;
    mRepetitionsDue = 0;
    for (auto& [object, entry] : own.mEntries) {
      entry.mIsAdopted = false;
    }
  } else if (wasPlacing && !mElected.IsEmpty() &&
             own.mSender == mOptions.mSelf) {
    HandOver(mElected, aNow);
  }
}

void PlacementExchange::SetPlacingVm(const RegionId& aRegion,
                                     Region& aState,
                                     const VmId& aVm)
{
  if (aState.mReportedPlacingVm != aVm) {
    mChanges.push_back({ aRegion, aVm, aState.mReportedPlacingVm });
    aState.mReportedPlacingVm = aVm;
  }
}

bool PlacementExchange::TakeUpdateDue(TimePoint aNow)
{
  if (!IsPlacing() || aNow < mNextUpdate) {
    return false;
  }
  mNextUpdate = aNow + mOptions.mUpdateInterval;
  return true;
}

bool PlacementExchange::TakeReportDue(TimePoint aNow)
{
  if (mNextReport == TimePoint{}) {
    // VMs that start at the same time report at different ones.
    constexpr std::uint64_t kParts = 1000;
    const auto part =
      static_cast<Duration::rep>(HashBytes(mOptions.mSelf.mVm.mName) % kParts);
    mNextReport =
      aNow + mOptions.mReportInterval * part / Duration::rep{ kParts };
  }
  if (aNow < mNextReport) {
    return false;
  }
  mNextReport = aNow + mOptions.mReportInterval;
  return true;
}

bool PlacementExchange::HasExpired(const Entry& aEntry, TimePoint aNow) const
{
  return aNow - aEntry.mReceivedAt > mOptions.mEntryLifetime;
}

bool PlacementExchange::IsAccepted(const Region& aRegion,
                                   const VmIncarnation& aFrom,
                                   std::uint64_t aNumber,
                                   TimePoint aNow) const
{
  if (aNumber == 0 || aNumber > kMaxNumber) {
    return false;
  }
  // No entry of the known number is in force any more.
  if (aNow - aRegion.mAcceptedAt > mOptions.mEntryLifetime) {
    return true;
  }
  // A later process of the placing VM does not know the number.
  const bool isLaterProcess = aFrom.mVm == aRegion.mSender.mVm &&
                              aFrom.mIncarnation > aRegion.mSender.mIncarnation;
  return aNumber > aRegion.mNumber || isLaterProcess ||
         (aNumber == aRegion.mNumber && aFrom == aRegion.mSender);
}

void PlacementExchange::SetEntry(Region& aRegion,
                                 const PlacedObject& aPlaced,
                                 TimePoint aNow) const
{
  auto it = aRegion.mEntries.find(aPlaced.mObject);
  if (it == aRegion.mEntries.end()) {
    if (aRegion.mEntries.size() >= mOptions.mMaxEntriesPerRegion) {
      return;
    }
    it = aRegion.mEntries.try_emplace(aPlaced.mObject).first;
  }
  Entry& entry = it->second;
  entry.mServers = aPlaced.mServers;
  if (entry.mServers.size() > mOptions.mMaxServersPerEntry) {
    entry.mServers.resize(mOptions.mMaxServersPerEntry);
  }
  entry.mReceivedAt = aNow;
  entry.mIsAdopted = false;
}

void PlacementExchange::OnMessage(const VmIncarnation& aFrom,
                                  const RegionId& aRegion,
                                  const message::ObjectPlacements& aMessage,
                                  TimePoint aNow)
{
  if (aFrom.mVm == mOptions.mSelf.mVm) {
    return;
  }
  Region& region = mRegions[aRegion];
  if (!IsAccepted(region, aFrom, aMessage.mNumber, aNow)) {
    if (aRegion == mOptions.mRegion && region.mSender == mOptions.mSelf) {
      HandOver(aFrom.mVm, aNow);
    }
    return;
  }
  region.mNumber = aMessage.mNumber;
  region.mSender = aFrom;
  region.mAcceptedAt = aNow;
  for (const PlacedObject& placed : aMessage.mObjects) {
    SetEntry(region, placed, aNow);
  }
  if (aRegion != mOptions.mRegion) {
    SetPlacingVm(aRegion, region, aFrom.mVm);
  }
}

void PlacementExchange::OnMessage(const VmIncarnation& aFrom,
                                  const message::ObjectDemands& aMessage,
                                  TimePoint aNow)
{
  auto& reports = mReports[aFrom.mVm];
  if (!reports.contains(aMessage.mService) &&
      reports.size() >= mOptions.mMaxServicesPerReport) {
    return;
  }
  Report& report = reports[aMessage.mService];
  report = { .mReceivedAt = aNow, .mObjects = {} };
  double sum = 0;
  for (const ObjectDemand& demand : aMessage.mObjects) {
    const bool isSane = std::isfinite(demand.mSlots) && demand.mSlots > 0 &&
                        demand.mSlots <= mOptions.mMaxReportSlots;
    if (isSane && report.mObjects.size() < kMaxReportedObjects) {
      report.mObjects.push_back(demand);
      sum += demand.mSlots;
    }
  }
  if (sum > mOptions.mMaxReportSlots) {
    const auto factor = static_cast<float>(mOptions.mMaxReportSlots / sum);
    for (ObjectDemand& demand : report.mObjects) {
      demand.mSlots *= factor;
    }
  }
}

PlacementExchange::Demand PlacementExchange::ReportedDemand(
  const ServiceId& aService,
  TimePoint aNow) const
{
  Demand demand;
  for (const auto& [vm, reports] : mReports) {
    const auto it = reports.find(aService);
    if (it == reports.end() ||
        aNow - it->second.mReceivedAt > mOptions.mReportValidity) {
      continue;
    }
    for (const ObjectDemand& each : it->second.mObjects) {
      demand[each.mObject] += each.mSlots;
    }
  }
  return demand;
}

std::vector<PlacedObject> PlacementExchange::TakeAdopted(TimePoint aNow)
{
  std::vector<PlacedObject> adopted;
  for (auto& [object, entry] : Own().mEntries) {
    if (!std::exchange(entry.mIsAdopted, true) && !entry.mServers.empty() &&
        !HasExpired(entry, aNow)) {
      adopted.push_back({ object, entry.mServers });
    }
  }
  return adopted;
}

std::vector<PlacedObject> PlacementExchange::ChangesTo(
  const std::vector<PlacedObject>& aPlaced)
{
  std::map<ObjectHash, Entry>& entries = Own().mEntries;
  std::vector<PlacedObject> changes;
  std::vector<ObjectHash> objects;
  for (const PlacedObject& placed : aPlaced) {
    objects.push_back(placed.mObject);
    const auto it = entries.find(placed.mObject);
    const bool isKnown =
      it != entries.end() && it->second.mServers == placed.mServers;
    if (!isKnown) {
      changes.push_back(placed);
    }
  }
  std::sort(objects.begin(), objects.end());
  for (const auto& [object, entry] : entries) {
    if (!entry.mServers.empty() &&
        !std::binary_search(objects.begin(), objects.end(), object)) {
      changes.push_back({ object, {} });
    }
  }
  return changes;
}

std::vector<PlacedObject> PlacementExchange::Publish(
  const std::vector<PlacedObject>& aPlaced,
  const std::vector<VmId>& aReceivers,
  TimePoint aNow)
{
  Region& own = Own();
  std::erase_if(own.mEntries, [&](const auto& aEntry) {
    return HasExpired(aEntry.second, aNow);
  });
  const std::vector<PlacedObject> changes = ChangesTo(aPlaced);
  for (const PlacedObject& change : changes) {
    own.mEntries[change.mObject] = { .mServers = change.mServers,
                                     .mReceivedAt = aNow,
                                     .mIsAdopted = true };
  }
  for (auto& [object, entry] : own.mEntries) {
    if (!entry.mServers.empty()) {
      entry.mReceivedAt = aNow;
    }
  }
  own.mAcceptedAt = aNow;
  if (!changes.empty() || own.mSender != mOptions.mSelf) {
    // Other VMs accept 1 once the entries of the greatest number have expired.
    own.mNumber = own.mNumber >= kMaxNumber ? 1 : own.mNumber + 1;
    own.mSender = mOptions.mSelf;
    for (const VmId& receiver : aReceivers) {
      SendEntries(receiver, changes);
    }
  }
  return changes;
}

void PlacementExchange::SendEntries(const VmId& aTo,
                                    const std::vector<PlacedObject>& aEntries)
{
  auto it = aEntries.begin();
  do {
    const auto count =
      std::min(static_cast<std::ptrdiff_t>(mOptions.mMaxEntriesPerMessage),
               aEntries.end() - it);
    mMessages.push_back(
      { aTo,
        message::ObjectPlacements{ .mNumber = Own().mNumber,
                                   .mObjects = { it, it + count } } });
    it += count;
  } while (it != aEntries.end());
}

void PlacementExchange::HandOver(const VmId& aTo, TimePoint aNow)
{
  if (aNow < mNextHandover) {
    return;
  }
  mNextHandover = aNow + mOptions.mHandoverInterval;
  std::vector<PlacedObject> entries;
  for (const auto& [object, entry] : Own().mEntries) {
    if (!entry.mServers.empty() && !HasExpired(entry, aNow)) {
      entries.push_back({ object, entry.mServers });
    }
  }
  SendEntries(aTo, entries);
}

std::vector<PlacedObject> PlacementExchange::EntriesAfter(
  std::optional<ObjectHash> aAfter,
  TimePoint aNow) const
{
  std::vector<PlacedObject> found;
  const Region* const own = FindRegion(mOptions.mRegion);
  if (!own) {
    return found;
  }
  auto it = aAfter ? own->mEntries.upper_bound(*aAfter) : own->mEntries.begin();
  for (; it != own->mEntries.end() &&
         found.size() < mOptions.mMaxEntriesPerMessage;
       ++it) {
    if (!it->second.mServers.empty() && !HasExpired(it->second, aNow)) {
      found.push_back({ it->first, it->second.mServers });
    }
  }
  return found;
}

void PlacementExchange::AdvanceReceiver(const std::vector<VmId>& aReceivers)
{
  const bool isInProgress =
    mRepeatAfter &&
    std::binary_search(aReceivers.begin(), aReceivers.end(), mRepeatTo);
  if (isInProgress) {
    return;
  }
  mRepeatAfter.reset();
  const auto next =
    std::upper_bound(aReceivers.begin(), aReceivers.end(), mRepeatTo);
  mRepeatTo = next == aReceivers.end() ? aReceivers.front() : *next;
}

void PlacementExchange::Repeat(const std::vector<VmId>& aReceivers,
                               TimePoint aNow)
{
  const Duration elapsed = std::min(aNow - mRepeatedAt, kMaxCatchUp);
  mRepeatedAt = aNow;
  Region& own = Own();
  if (!IsPlacing() || own.mSender != mOptions.mSelf || aReceivers.empty()) {
    return;
  }
  const std::size_t perReceiver = std::max<std::size_t>(
    1,
    (own.mEntries.size() + mOptions.mMaxEntriesPerMessage - 1) /
      mOptions.mMaxEntriesPerMessage);
  mRepetitionsDue += ToSeconds(elapsed) / ToSeconds(mOptions.mRepeatInterval) *
                     static_cast<double>(perReceiver * aReceivers.size());
  for (; mRepetitionsDue >= 1; mRepetitionsDue -= 1) {
    AdvanceReceiver(aReceivers);
    std::vector<PlacedObject> entries = EntriesAfter(mRepeatAfter, aNow);
    mRepeatAfter.reset();
    if (entries.size() == mOptions.mMaxEntriesPerMessage &&
        !EntriesAfter(entries.back().mObject, aNow).empty()) {
      mRepeatAfter = entries.back().mObject;
    }
    SendEntries(mRepeatTo, entries);
  }
}

const VmId* PlacementExchange::PlacingVm(const RegionId& aRegion,
                                         TimePoint aNow) const
{
  if (aRegion == mOptions.mRegion) {
    return mElected.IsEmpty() ? nullptr : &mElected;
  }
  const Region* const region = FindRegion(aRegion);
  const bool isKnown = region && region->mNumber > 0 &&
                       aNow - region->mAcceptedAt <= mOptions.mEntryLifetime;
  return isKnown ? &region->mSender.mVm : nullptr;
}

void PlacementExchange::Prune(TimePoint aNow)
{
  for (auto& [id, region] : mRegions) {
    std::erase_if(region.mEntries, [&](const auto& aEntry) {
      return HasExpired(aEntry.second, aNow);
    });
  }
  for (auto& [vm, reports] : mReports) {
    std::erase_if(reports, [&](const auto& aEntry) {
      return aNow - aEntry.second.mReceivedAt > mOptions.mReportValidity;
    });
  }
  std::erase_if(mReports,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

const PlacementExchange::Region* PlacementExchange::FindRegion(
  const RegionId& aRegion) const
{
  const auto it = mRegions.find(aRegion);
  return it == mRegions.end() ? nullptr : &it->second;
}

std::span<const std::uint64_t> PlacementExchange::Find(const RegionId& aRegion,
                                                       ObjectHash aObject,
                                                       TimePoint aNow) const
{
  const Region* const region = FindRegion(aRegion);
  if (!region) {
    return {};
  }
  const auto it = region->mEntries.find(aObject);
  if (it == region->mEntries.end() || HasExpired(it->second, aNow)) {
    return {};
  }
  return it->second.mServers;
}

std::vector<PlacementMessage> PlacementExchange::TakeMessages()
{
  return std::exchange(mMessages, {});
}

std::vector<PlacingVmChange> PlacementExchange::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::size_t PlacementExchange::EntryCount(TimePoint aNow) const
{
  std::size_t count = 0;
  for (const auto& [id, region] : mRegions) {
    for (const auto& [object, entry] : region.mEntries) {
      count += !entry.mServers.empty() && !HasExpired(entry, aNow) ? 1 : 0;
    }
  }
  return count;
}

std::optional<TimePoint> PlacementExchange::LatestEntryAt(TimePoint aNow) const
{
  std::optional<TimePoint> latest;
  for (const auto& [id, region] : mRegions) {
    for (const auto& [object, entry] : region.mEntries) {
      if (!entry.mServers.empty() && !HasExpired(entry, aNow)) {
        latest = std::max(entry.mReceivedAt, latest.value_or(TimePoint::min()));
      }
    }
  }
  return latest;
}

std::uint64_t PlacementExchange::NumberOf(const RegionId& aRegion) const
{
  const Region* const region = FindRegion(aRegion);
  return region ? region->mNumber : 0;
}

} // namespace cranberrywing::gateway
