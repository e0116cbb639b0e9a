/// \file
/// Divides a route's requests among its services by their weights.
#pragma once

#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/policy.h"

namespace cranberrywing::gateway {

/// Smooth weighted round robin: after any number of requests each part is off
/// its weight by less than one request, so a fleet of n VMs is off by less
/// than n. Not thread-safe; owned by the gateway.
class ServiceSplit
{
public:
  /// The service of the route's next request. Precondition: the route has a
  /// service with a positive weight.
  const ServiceId& Next(const RoutePolicy& aRoute);
  /// Forgets routes that the policy lacks.
  void Retain(const Policy& aPolicy);

private:
  struct Part
  {
    ServiceId mService;
    double mWeight = 0;
    double mCredit = 0;
  };

  std::unordered_map<RouteId, std::vector<Part>> mRoutes;
};

} // namespace cranberrywing::gateway
