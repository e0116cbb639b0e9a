/// \file
/// Learns how long requests of each route take at a server of usual speed.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "cranberrywing/gateway/object_selector.h"
#include "cranberrywing/gateway/policy.h"

namespace cranberrywing::gateway {

/// Not thread-safe; owned by the gateway.
class ServiceTimes
{
public:
  ExpectedTimes Expect(const RoutePolicy& aRoute,
                       const ServiceId& aService) const;
  /// An answer that did not wait in the server's queue. aWasWarm: the server
  /// handled the object recently.
  void Learn(const RoutePolicy& aRoute,
             const ServiceId& aService,
             bool aWasWarm,
             Duration aLatency);
  /// Mean over the service's answers; nullopt before the first.
  std::optional<Duration> Mean(const ServiceId& aService) const;

private:
  struct RouteTimes
  {
    std::optional<Duration> mWarm;
    std::optional<Duration> mUnknown;
  };

  std::map<std::pair<RouteId, ServiceId>, RouteTimes> mRoutes;
  std::map<ServiceId, Duration> mMeans;
};

} // namespace cranberrywing::gateway
