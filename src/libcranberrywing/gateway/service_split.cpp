#include "cranberrywing/gateway/service_split.h"

#include <algorithm>
#include <set>

namespace cranberrywing::gateway {

const ServiceId& ServiceSplit::Next(const RoutePolicy& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  std::vector<Part>& parts = mRoutes[aRoute.mRoute];
  const bool isSame =
    std::equal(parts.begin(),
               parts.end(),
               aRoute.mServices.begin(),
               aRoute.mServices.end(),
               [](const Part& aPart, const auto& aWeighted) {
                 return aPart.mService == aWeighted.mService &&
                        aPart.mWeight == aWeighted.mWeight;
               });
  if (!isSame) {
    parts.clear();
    for (const WeightedService& weighted : aRoute.mServices) {
      parts.push_back({ weighted.mService, weighted.mWeight, 0 });
    }
  }
  double sum = 0;
  for (Part& part : parts) {
    part.mCredit += part.mWeight;
    sum += part.mWeight;
  }
  const auto chosen = std::max_element(
    parts.begin(), parts.end(), [](const Part& aLeft, const Part& aRight) {
      return aLeft.mCredit < aRight.mCredit;
    });
  chosen->mCredit -= sum;
  return chosen->mService;
}

void ServiceSplit::RetainRoutes(const Policy& aPolicy)
{
  std::set<RouteId> routes;
  for (const RoutePolicy& route : aPolicy.Content().mRoutes) {
    routes.insert(route.mRoute);
  }
  std::erase_if(mRoutes, [&](const auto& aEntry) {
    return !routes.contains(aEntry.first);
  });
}

} // namespace cranberrywing::gateway
