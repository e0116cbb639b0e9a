#include "cranberrywing/gateway/object_demand.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing::gateway {

ObjectDemandCounter::ObjectDemandCounter(Options aOptions)
  : mOptions(aOptions)
{
}

double ObjectDemandCounter::SlotsOf(const Average& aAverage,
                                    TimePoint aNow) const
{
  return aAverage.mSlots * std::exp(-ToSeconds(aNow - aAverage.mAt) /
                                    ToSeconds(mOptions.mTimeConstant));
}

void ObjectDemandCounter::Count(const ServiceId& aService,
                                const RegionId& aRegion,
                                ObjectHash aObject,
                                Duration aServiceTime,
                                TimePoint aNow)
{
  Averages& objects = mGroups[aService][aRegion];
  auto it = objects.find(aObject);
  if (it == objects.end()) {
    if (objects.size() >= mOptions.mMaxTracked) {
      DropLessBusyHalf(objects, aNow);
    }
    it = objects.try_emplace(aObject).first;
  }
  Average& average = it->second;
  average = { .mSlots =
                SlotsOf(average, aNow) +
                ToSeconds(aServiceTime) / ToSeconds(mOptions.mTimeConstant),
              .mAt = aNow };
}

void ObjectDemandCounter::DropLessBusyHalf(Averages& aObjects,
                                           TimePoint aNow) const
{
  std::vector<std::pair<double, ObjectHash>> demands;
  demands.reserve(aObjects.size());
  for (const auto& [object, average] : aObjects) {
    demands.emplace_back(SlotsOf(average, aNow), object);
  }
  const auto middle =
    demands.begin() + static_cast<std::ptrdiff_t>((demands.size() + 1) / 2);
  std::nth_element(demands.begin(), middle, demands.end());
  for (auto it = demands.begin(); it != middle; ++it) {
    aObjects.erase(it->second);
  }
}

std::vector<ObjectDemand> ObjectDemandCounter::Busiest(const Group& aGroup,
                                                       std::size_t aMaxCount,
                                                       TimePoint aNow) const
{
  std::vector<ObjectDemand> demands;
  const auto service = mGroups.find(aGroup.mService);
  if (service == mGroups.end()) {
    return demands;
  }
  const auto group = service->second.find(aGroup.mRegion);
  if (group == service->second.end()) {
    return demands;
  }
  for (const auto& [object, average] : group->second) {
    if (aNow - average.mAt <= mOptions.mRetention) {
      demands.push_back({ object, static_cast<float>(SlotsOf(average, aNow)) });
    }
  }
  const std::size_t count = std::min(aMaxCount, demands.size());
  std::partial_sort(demands.begin(),
                    demands.begin() + static_cast<std::ptrdiff_t>(count),
                    demands.end(),
                    [](const ObjectDemand& aLeft, const ObjectDemand& aRight) {
                      return aLeft.mSlots != aRight.mSlots
                               ? aLeft.mSlots > aRight.mSlots
                               : aLeft.mObject < aRight.mObject;
                    });
  demands.resize(count);
  return demands;
}

std::vector<ObjectDemandCounter::Group> ObjectDemandCounter::Groups() const
{
  std::vector<Group> groups;
  for (const auto& [service, regions] : mGroups) {
    for (const auto& [region, objects] : regions) {
      if (!objects.empty()) {
        groups.push_back({ service, region });
      }
    }
  }
  std::sort(groups.begin(), groups.end());
  return groups;
}

void ObjectDemandCounter::Prune(TimePoint aNow)
{
  for (auto& [service, regions] : mGroups) {
    for (auto& [region, objects] : regions) {
      std::erase_if(objects, [&](const auto& aEntry) {
        return aNow - aEntry.second.mAt > mOptions.mRetention;
      });
    }
    std::erase_if(regions,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }
  std::erase_if(mGroups,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::size_t ObjectDemandCounter::Size() const
{
  std::size_t size = 0;
  for (const auto& [service, regions] : mGroups) {
    for (const auto& [region, objects] : regions) {
      size += objects.size();
    }
  }
  return size;
}

} // namespace cranberrywing::gateway
