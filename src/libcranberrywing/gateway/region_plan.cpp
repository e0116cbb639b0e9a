#include "cranberrywing/gateway/region_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

#include "duration_math.h"

namespace cranberrywing::gateway {

namespace {

double ValueOf(const std::map<RegionId, double>& aValues,
               const RegionId& aRegion)
{
  const auto it = aValues.find(aRegion);
  return it == aValues.end() ? 0 : it->second;
}

double SumOf(const std::map<RegionId, double>& aValues)
{
  return std::accumulate(
    aValues.begin(), aValues.end(), 0.0, [](double aSum, const auto& aEntry) {
      return aSum + aEntry.second;
    });
}

/// Slots that each region has for requests that may run anywhere, at a given
/// utilization.
std::map<RegionId, double> AvailableSlots(const RegionalLoad& aLoad,
                                          double aUtilization)
{
  std::map<RegionId, double> available;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    available[region] =
      std::max(0.0, aUtilization * slots - ValueOf(aLoad.mBoundDemand, region));
  }
  return available;
}

/// Lowest utilization of all regions, but at least aMinimum, at which there are
/// slots for all requests that may run anywhere. Regions that are filled by
/// what is bound to them do not count.
double RequiredUtilization(const RegionalLoad& aLoad, double aMinimum)
{
  std::map<RegionId, double> open = aLoad.mCapacity;
  std::erase_if(open, [](const auto& aEntry) { return aEntry.second <= 0; });
  while (!open.empty()) {
    double busy = SumOf(aLoad.mDemand);
    for (const auto& [region, slots] : open) {
      busy += ValueOf(aLoad.mBoundDemand, region);
    }
    const double utilization = std::max(aMinimum, busy / SumOf(open));
    const std::size_t filled = std::erase_if(open, [&](const auto& aEntry) {
      return utilization * aEntry.second <
             ValueOf(aLoad.mBoundDemand, aEntry.first);
    });
    if (filled == 0) {
      return utilization;
    }
  }
  return aMinimum;
}

/// Removes regions without capacity and scales the other shares to a sum of 1.
void DropEmptyRegions(RegionShares& aShares, const RegionalLoad& aLoad)
{
  std::erase_if(aShares, [&](const auto& aEntry) {
    return ValueOf(aLoad.mCapacity, aEntry.first) <= 0;
  });
  const double sum = SumOf(aShares);
  for (auto& [region, share] : aShares) {
    share = sum > 0 ? share / sum : 0;
  }
}

using Segments = std::vector<std::pair<RegionId, double>>;

/// Moves the segment that contains the position to the front; the others
/// follow, the largest first. The segments together stand for [0, 1).
void MoveChosenToFront(Segments& aSegments, double aPosition)
{
  double sum = 0;
  for (const auto& [region, size] : aSegments) {
    sum += size;
  }
  double end = 0;
  const auto chosen =
    std::find_if(aSegments.begin(), aSegments.end(), [&](const auto& aSegment) {
      end += aSegment.second;
      return aPosition * sum < end;
    });
  if (aSegments.empty()) {
    return;
  }
  const auto first =
    chosen == aSegments.end() ? std::prev(aSegments.end()) : chosen;
  std::rotate(aSegments.begin(), first, std::next(first));
  std::stable_sort(std::next(aSegments.begin()),
                   aSegments.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.second > aRight.second;
                   });
}

} // namespace

RegionShares PlanShares(const RegionalLoad& aLoad,
                        const RegionId& aOwn,
                        double aUtilization)
{
  const double capacity = SumOf(aLoad.mCapacity);
  if (capacity <= 0) {
    return {};
  }
  // If the total demand exceeds the target utilization, all regions are planned
  // with the same higher utilization.
  const std::map<RegionId, double> available =
    AvailableSlots(aLoad, RequiredUtilization(aLoad, aUtilization));
  const double demand = ValueOf(aLoad.mDemand, aOwn);
  const double ownCapacity = ValueOf(available, aOwn);
  const double own = demand <= ownCapacity ? 1.0 : ownCapacity / demand;
  RegionShares spare;
  for (const auto& [region, slots] : available) {
    const double spareSlots = slots - ValueOf(aLoad.mDemand, region);
    if (region != aOwn && spareSlots > 0) {
      spare[region] = spareSlots;
    }
  }
  const double spareSum = SumOf(spare);
  RegionShares shares;
  if (ownCapacity > 0) {
    shares[aOwn] = spareSum > 0 ? own : 1.0;
  }
  for (const auto& [region, spareSlots] : spare) {
    shares[region] = (1 - (ownCapacity > 0 ? own : 0)) * spareSlots / spareSum;
  }
  if (shares.empty()) {
    for (const auto& [region, slots] : aLoad.mCapacity) {
      shares[region] = slots / capacity;
    }
  }
  std::erase_if(shares, [](const auto& aEntry) { return aEntry.second <= 0; });
  return shares;
}

std::map<RegionId, double> EstimateInitialDemand(
  const std::map<RegionId, double>& aCapacity,
  const std::map<RegionId, std::size_t>& aVms,
  double aUtilization)
{
  std::size_t vms = 0;
  for (const auto& [region, count] : aVms) {
    vms += count;
  }
  std::map<RegionId, double> demand;
  for (const auto& [region, count] : aVms) {
    demand[region] = aUtilization * SumOf(aCapacity) *
                     static_cast<double>(count) / static_cast<double>(vms);
  }
  return demand;
}

RegionPlan::RegionPlan(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

bool RegionPlan::HasLostCapacity(const Service& aService,
                                 const RegionalLoad& aLoad) const
{
  return std::any_of(
    aService.mShares.begin(), aService.mShares.end(), [&](const auto& aEntry) {
      const double before = ValueOf(aService.mEligibleCapacity, aEntry.first);
      const double now = ValueOf(aLoad.mEligibleCapacity, aEntry.first);
      return now < before * (1 - mOptions.mUrgentLossFraction);
    });
}

double RegionPlan::MaxChangePerSecond(double aRequestsPerSecond) const
{
  const double seconds = ToSeconds(mOptions.mShiftWindow);
  const double requests = std::max(1.0, aRequestsPerSecond * seconds);
  // Difference of the fractions of two windows, each with a variance of at most
  // 1 / (4 * requests).
  const double deviation = std::sqrt(0.5 / requests);
  const double change =
    std::max(mOptions.mMaxShift - mOptions.mShiftDeviations * deviation,
             mOptions.mMinShiftUse * mOptions.mMaxShift);
  return change / seconds;
}

void RegionPlan::Update(const ServiceId& aService,
                        const RegionalLoad& aLoad,
                        TimePoint aNow)
{
  const RegionShares target =
    PlanShares(aLoad, mOptions.mOwnRegion, mOptions.mUtilization);
  const auto [it, isNew] = mServices.try_emplace(aService);
  Service& service = it->second;
  // Registrations arrive one by one before the first requests, so shares
  // computed from the first ones must not persist.
  if (isNew || aLoad.mIsIdle || service.mShares.empty()) {
    service = { .mShares = target,
                .mEligibleCapacity = aLoad.mEligibleCapacity,
                .mUpdatedAt = aNow };
    return;
  }
  if (HasLostCapacity(service, aLoad)) {
    service.mUrgentUntil = aNow + mOptions.mUrgentTime;
  }
  DropEmptyRegions(service.mShares, aLoad);
  if (service.mShares.empty()) {
    service.mShares = target;
  }
  double distance = 0;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    distance +=
      std::abs(ValueOf(target, region) - ValueOf(service.mShares, region)) / 2;
  }
  const double rate = aNow < service.mUrgentUntil
                        ? mOptions.mUrgentMaxChangePerSecond
                        : MaxChangePerSecond(aLoad.mRequestsPerSecond);
  const double step = rate * ToSeconds(aNow - service.mUpdatedAt);
  const double part = distance <= step ? 1.0 : step / distance;
  RegionShares next;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const double before = ValueOf(service.mShares, region);
    const double share = before + part * (ValueOf(target, region) - before);
    if (share > 0) {
      next[region] = share;
    }
  }
  service.mShares = std::move(next);
  // The reference capacity for losses decays slowly, so that a gradual loss in
  // small steps is detected as well.
  for (const auto& [region, slots] : aLoad.mEligibleCapacity) {
    double& known = service.mEligibleCapacity[region];
    known = std::max(slots, known - step * known);
  }
  service.mUpdatedAt = aNow;
}

std::vector<RegionId> RegionPlan::Rank(const ServiceId& aService,
                                       double aPosition) const
{
  return Rank(aService, aPosition, [](const RegionId&) { return true; });
}

std::vector<RegionId> RegionPlan::Rank(
  const ServiceId& aService,
  double aPosition,
  const std::function<bool(const RegionId&)>& aMayServe) const
{
  std::vector<RegionId> ranked;
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return ranked;
  }
  const RegionShares& shares = it->second.mShares;
  Segments planned;
  Segments others;
  for (const auto& entry : shares) {
    if (aMayServe(entry.first)) {
      planned.push_back(entry);
    }
  }
  for (const auto& entry : it->second.mEligibleCapacity) {
    if (!shares.contains(entry.first) && aMayServe(entry.first)) {
      others.push_back(entry);
    }
  }
  // The own region comes first in the segments of shares, so that its objects
  // stay in the region while its share does not shrink.
  std::stable_partition(
    planned.begin(), planned.end(), [&](const auto& aEntry) {
      return aEntry.first == mOptions.mOwnRegion;
    });
  MoveChosenToFront(planned.empty() ? others : planned, aPosition);
  for (const Segments* const segments : { &planned, &others }) {
    for (const auto& [region, size] : *segments) {
      ranked.push_back(region);
    }
  }
  return ranked;
}

const RegionShares* RegionPlan::Shares(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? nullptr : &it->second.mShares;
}

} // namespace cranberrywing::gateway
