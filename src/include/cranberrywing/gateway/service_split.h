/// \file
/// Divides a route's requests among its services by their weights.
#pragma once

#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/policy.h"

namespace cranberrywing::gateway {

/// Smooth weighted round robin. After any number of requests, each service's
/// count deviates from its weight by less than one request per VM, so for a
/// fleet of n VMs by less than n. Not thread-safe; owned by the gateway.
class ServiceSplit
{
public:
  /// Selects the service of the route's next request. Precondition: the route
  /// has a service with a positive weight.
  const ServiceId& Next(const RoutePolicy& aRoute);
  /// Discards the state of routes that are not in the policy.
  void RetainRoutes(const Policy& aPolicy);

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
