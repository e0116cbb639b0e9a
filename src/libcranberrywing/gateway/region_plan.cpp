#include "cranberrywing/gateway/region_plan.h"

#include <algorithm>
#include <cmath>
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

/// Takes shares of regions without servers to the others, in proportion.
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

} // namespace

RegionShares PlanShares(const RegionalLoad& aLoad,
                        const RegionId& aOwn,
                        double aUtilization)
{
  const double capacity = SumOf(aLoad.mCapacity);
  if (capacity <= 0) {
    return {};
  }
  // Under a general shortage every region bears the same use.
  const double use = std::max(aUtilization, SumOf(aLoad.mDemand) / capacity);
  const double demand = ValueOf(aLoad.mDemand, aOwn);
  const double room = use * ValueOf(aLoad.mCapacity, aOwn);
  const double own = demand <= room ? 1.0 : room / demand;
  RegionShares spare;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const double free = use * slots - ValueOf(aLoad.mDemand, region);
    if (region != aOwn && free > 0) {
      spare[region] = free;
    }
  }
  const double spareSum = SumOf(spare);
  RegionShares shares;
  if (room > 0) {
    shares[aOwn] = spareSum > 0 ? own : 1.0;
  }
  for (const auto& [region, free] : spare) {
    shares[region] = (1 - (room > 0 ? own : 0)) * free / spareSum;
  }
  if (shares.empty()) {
    for (const auto& [region, slots] : aLoad.mCapacity) {
      shares[region] = slots / capacity;
    }
  }
  std::erase_if(shares, [](const auto& aEntry) { return aEntry.second <= 0; });
  return shares;
}

std::map<RegionId, double> GuessDemand(
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

bool RegionPlan::HasLostRoom(const Service& aService,
                             const RegionalLoad& aLoad) const
{
  return std::any_of(
    aService.mShares.begin(), aService.mShares.end(), [&](const auto& aEntry) {
      const double before = ValueOf(aService.mOffered, aEntry.first);
      const double now = ValueOf(aLoad.mOffered, aEntry.first);
      return now < before * (1 - mOptions.mUrgentLoss);
    });
}

void RegionPlan::Update(const ServiceId& aService,
                        const RegionalLoad& aLoad,
                        TimePoint aNow)
{
  const RegionShares wanted =
    PlanShares(aLoad, mOptions.mOwn, mOptions.mUtilization);
  const auto [it, isNew] = mServices.try_emplace(aService);
  Service& service = it->second;
  // Registrations come in one by one before the first requests.
  if (isNew || aLoad.mIsIdle || service.mShares.empty()) {
    service = { .mShares = wanted,
                .mOffered = aLoad.mOffered,
                .mUpdatedAt = aNow };
    return;
  }
  if (HasLostRoom(service, aLoad)) {
    service.mUrgentUntil = aNow + mOptions.mUrgentTime;
  }
  DropEmptyRegions(service.mShares, aLoad);
  if (service.mShares.empty()) {
    service.mShares = wanted;
  }
  double distance = 0;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    distance +=
      std::abs(ValueOf(wanted, region) - ValueOf(service.mShares, region)) / 2;
  }
  const double rate = aNow < service.mUrgentUntil
                        ? mOptions.mUrgentStepPerSecond
                        : mOptions.mStepPerSecond;
  const double step = rate * ToSeconds(aNow - service.mUpdatedAt);
  const double part = distance <= step ? 1.0 : step / distance;
  RegionShares next;
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const double before = ValueOf(service.mShares, region);
    const double share = before + part * (ValueOf(wanted, region) - before);
    if (share > 0) {
      next[region] = share;
    }
  }
  service.mShares = std::move(next);
  // The reference for losses follows slowly, so that a loss in small parts
  // counts as one.
  for (const auto& [region, slots] : aLoad.mOffered) {
    double& known = service.mOffered[region];
    known = std::max(slots, known - step * known);
  }
  service.mUpdatedAt = aNow;
}

std::vector<RegionId> RegionPlan::Rank(const ServiceId& aService,
                                       double aPosition) const
{
  std::vector<RegionId> ranked;
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return ranked;
  }
  const RegionShares& shares = it->second.mShares;
  // The own region comes first in the line of shares, so that its objects
  // stay while it keeps its share.
  std::vector<std::pair<RegionId, double>> line;
  const auto own = shares.find(mOptions.mOwn);
  if (own != shares.end()) {
    line.emplace_back(*own);
  }
  for (const auto& entry : shares) {
    if (entry.first != mOptions.mOwn) {
      line.emplace_back(entry);
    }
  }
  double end = 0;
  std::size_t chosen = line.empty() ? 0 : line.size() - 1;
  for (std::size_t n = 0; n < line.size(); ++n) {
    end += line[n].second;
    if (aPosition < end) {
      chosen = n;
      break;
    }
  }
  if (!line.empty()) {
    ranked.push_back(line[chosen].first);
    line.erase(line.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  std::stable_sort(
    line.begin(), line.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second > aRight.second;
    });
  for (const auto& [region, share] : line) {
    ranked.push_back(region);
  }
  for (const auto& [region, slots] : it->second.mOffered) {
    if (!shares.contains(region)) {
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
