/// \file
/// Decides which backend servers of a service in one region serve an object, if
/// the first server of its rendezvous order has more demand than it can serve
/// without queues while others have free slots.
#pragma once

#include <cstdint>
#include <map>
#include <set>
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
    /// Time for which a demand counts unless it is set again: several
    /// intervals of its reports.
    Duration mDemandLifetime = std::chrono::seconds(5);
    /// A server that was within the bound is relieved at once if its demand
    /// exceeds the bound by this factor, and otherwise only after mReliefDelay,
    /// since the demand of an object fluctuates by 30 % between reports. With
    /// 262 objects that do so, 1.3 and 10 s lead to 155 moves in 300 s, 1.15
    /// and 10 s to 642, and 1.5 and 10 s to 99, with equal latencies.
    double mTolerance = 1.3;
    Duration mReliefDelay = std::chrono::seconds(10);
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
  /// cached, over all VMs; replaces the value set before. Values that are no
  /// finite number above zero count as no demand. Ignored for object 0.
  void SetDemand(ObjectHash aObject, double aSlots, TimePoint aNow);
  /// Adopts a placement that another VM has decided; without servers, the
  /// object's placement ends. Servers beyond mMaxServers are ignored.
  void Restore(const PlacedObject& aPlaced, TimePoint aNow);
  /// Moves objects away from servers above the bound and ends placements that
  /// are not needed any more or whose servers are gone. aServers are those that
  /// may be used now, in any order; those without slots are left out. Returns
  /// the placements that have changed, by object; those without servers have
  /// ended. The result depends only on the calls before and on the arguments,
  /// and not on the order of SetDemand calls for different objects. Takes about
  /// 1 ms of CPU time for 300 servers and 1,000 objects.
  std::vector<PlacedObject> Update(const std::vector<PlacementServer>& aServers,
                                   TimePoint aNow);

  /// All placements in force.
  const std::map<ObjectHash, Entry>& Placed() const { return mPlaced; }

private:
  struct Demand
  {
    double mSlots = 0;
    TimePoint mAt{};
  };

  /// Ends placements without demand or servers; adds them, and those that lost
  /// some of their servers, to aChanged.
  void Prune(const std::vector<PlacementServer>& aUsable,
             TimePoint aNow,
             std::set<ObjectHash>& aChanged);
  /// Whether a server above the bound is to be relieved now.
  bool IsToBeRelieved(std::uint64_t aLifetime,
                      double aDemandToBound,
                      TimePoint aNow) const;
  /// Moves objects and adds them to aChanged.
  void Rebalance(const std::vector<PlacementServer>& aUsable,
                 TimePoint aNow,
                 std::set<ObjectHash>& aChanged);

  Options mOptions;
  std::map<ObjectHash, Demand> mDemand;
  std::map<ObjectHash, Entry> mPlaced;
  /// Time at which a server was last within the bound, by lifetime. Servers
  /// without demand and those being relieved are left out.
  std::map<std::uint64_t, TimePoint> mWithinBoundAt;
};

} // namespace cranberrywing::gateway
