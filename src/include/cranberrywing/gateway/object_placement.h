/// \file
/// Decides which backend servers of a service in one region serve an object, if
/// the first server of its rendezvous order has more demand than it can serve
/// without queues while others have free slots.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/messages/gateway.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// A server that may be used for objects.
struct PlacementServer
{
  /// Backend::mLifetimeHash.
  std::uint64_t mLifetime = 0;
  /// Backend::mHash.
  std::uint64_t mHash = 0;
  /// Requests that it can process concurrently at its present speed.
  double mSlots = 1;
};

/// Placements of the objects of one service at the servers of one region. Not
/// thread-safe; owned by the gateway.
class ObjectPlacement
{
public:
  struct Options
  {
    /// Fraction of a server's slots up to which objects are placed there, if
    /// the mean over all servers is low.
    double mMinBound = 0.5;
    /// The bound as a multiple of the mean utilization of all servers.
    double mBoundToMean = 1.2;
    /// Mean utilization above which no object moves: all servers are full.
    double mMaxUtilization = 0.9;
    /// Objects that may move per update, since each move costs a cache miss.
    std::size_t mMaxMoves = 8;
    /// Servers of one object.
    std::size_t mMaxServers = 4;
    /// Time without demand after which a placement ends.
    Duration mRetention = std::chrono::seconds(30);
  };

  /// Placement of one object.
  struct Entry
  {
    /// PlacementServer::mLifetime of each.
    std::vector<std::uint64_t> mServers;
    TimePoint mDemandAt{};
  };

  explicit ObjectPlacement(Options aOptions);

  /// Sets the slots that an object's requests keep busy while servers have it
  /// cached, over all VMs. Values that are no finite number above zero count as
  /// no demand.
  void SetDemand(ObjectHash aObject, double aSlots, TimePoint aNow);
  /// Adopts a placement that another VM has decided.
  void Restore(const PlacedObject& aPlaced, TimePoint aNow);
  /// Moves objects away from servers above the bound and ends placements that
  /// are not needed any more or whose servers are gone. aServers are those that
  /// may be used now. Returns the placements that have changed; those without
  /// servers have ended.
  std::vector<PlacedObject> Update(const std::vector<PlacementServer>& aServers,
                                   TimePoint aNow);

  const std::map<ObjectHash, Entry>& Placed() const { return mPlaced; }

private:
  struct Demand
  {
    double mSlots = 0;
    TimePoint mAt{};
  };

  Options mOptions;
  std::map<ObjectHash, Demand> mDemand;
  std::map<ObjectHash, Entry> mPlaced;
};

} // namespace cranberrywing::gateway
