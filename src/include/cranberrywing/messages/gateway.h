/// \file
/// Peer messages of gateways: what a VM tells of its load and knowledge.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// What a VM's callers ask of a service.
struct ServiceDemand
{
  ServiceId mService;
  float mRequestsPerSecond = 0;
  /// Server slots that these requests keep busy.
  float mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRequestsPerSecond, mSlots);
  }
};

/// A VM's requests at one backend server.
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

/// Sent several times a second to VMs of the own region, and less often,
/// without mInFlight, to the others.
struct GatewayStatus
{
  /// Configuration in force at the sender.
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
