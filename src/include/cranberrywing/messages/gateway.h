/// \file
/// Messages between gateways: the status that a VM reports to the others.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Demand of a VM's callers for a service.
struct ServiceDemand
{
  ServiceId mService;
  float mRequestsPerSecond = 0;
  /// Mean number of server slots that these requests keep busy.
  float mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRequestsPerSecond, mSlots);
  }
};

/// Number of requests that a VM has in flight at one backend server.
struct BackendInFlight
{
  /// Hash of the server's identifier.
  std::uint64_t mBackend = 0;
  std::uint16_t mRequests = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRequests);
  }
};

namespace message {

/// Sent several times per second to the VMs of the own region, and less often
/// and without mInFlight to all others.
struct GatewayStatus
{
  /// Revision of the configuration that the sender applies.
  Revision mPolicy;
  bool mIsLeaving = false;
  std::vector<ServiceDemand> mDemand;
  std::vector<BackendInFlight> mInFlight;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPolicy, mIsLeaving, mDemand, mInFlight);
  }
};

} // namespace message
} // namespace cranberrywing
