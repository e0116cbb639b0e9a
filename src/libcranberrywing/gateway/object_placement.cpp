#include "cranberrywing/gateway/object_placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

#include "object_order.h"

namespace cranberrywing::gateway {

namespace {

/// Relative rounding error that is no excess over the bound.
constexpr double kRounding = 1e-9;

/// Positions in ServerLoads.
using Index = std::size_t;

struct LoadedServer
{
  PlacementServer mServer;
  /// Demand of the objects placed here, in slots.
  double mDemand = 0;
  bool mIsToBeRelieved = false;
  std::vector<Index> mObjects;

  double Utilization() const { return mDemand / mServer.mSlots; }
};

struct LoadedObject
{
  ObjectHash mHash = 0;
  double mDemand = 0;
  std::vector<Index> mServers;
  bool mIsMoved = false;
};

/// Sorted by lifetime, so that results do not depend on the caller's order.
std::vector<PlacementServer> UsableServers(
  const std::vector<PlacementServer>& aServers)
{
  std::vector<PlacementServer> usable;
  std::copy_if(aServers.begin(),
               aServers.end(),
               std::back_inserter(usable),
               [](const PlacementServer& aEach) {
                 return std::isfinite(aEach.mSlots) && aEach.mSlots > 0;
               });
  std::sort(usable.begin(),
            usable.end(),
            [](const PlacementServer& aLeft, const PlacementServer& aRight) {
              return std::tie(aLeft.mLifetime, aLeft.mHash, aLeft.mSlots) <
                     std::tie(aRight.mLifetime, aRight.mHash, aRight.mSlots);
            });
  const auto end = std::unique(
    usable.begin(),
    usable.end(),
    [](const PlacementServer& aLeft, const PlacementServer& aRight) {
      return aLeft.mLifetime == aRight.mLifetime;
    });
  usable.erase(end, usable.end());
  return usable;
}

/// Position of a server in the sorted list; nullopt if it is not usable.
std::optional<Index> FindServer(const std::vector<PlacementServer>& aUsable,
                                std::uint64_t aLifetime)
{
  const auto it =
    std::lower_bound(aUsable.begin(),
                     aUsable.end(),
                     aLifetime,
                     [](const PlacementServer& aEach, std::uint64_t aValue) {
                       return aEach.mLifetime < aValue;
                     });
  if (it == aUsable.end() || it->mLifetime != aLifetime) {
    return std::nullopt;
  }
  return static_cast<Index>(it - aUsable.begin());
}

/// Objects and servers of one update. The demand of an object is divided among
/// its servers in proportion to their slots, as requests that go to the
/// earliest expected response are.
class ServerLoads
{
public:
  ServerLoads(const ObjectPlacement::Options& aOptions,
              const std::vector<PlacementServer>& aUsable)
    : mOptions(aOptions)
  {
    mServers.reserve(aUsable.size());
    for (const PlacementServer& each : aUsable) {
      mServers.push_back({ .mServer = each });
      mTotalSlots += each.mSlots;
    }
  }

  /// Adds an object at its servers or, without any, at the first of its order.
  void Add(ObjectHash aObject, double aDemand, std::vector<Index> aServers)
  {
    mTotalDemand += aDemand;
    mObjects.push_back({ .mHash = aObject, .mDemand = aDemand });
    if (aServers.empty()) {
      aServers.push_back(*FirstOfOrder(aObject, [](Index) { return true; }));
    }
    Assign(mObjects.size() - 1, std::move(aServers));
  }

  double MeanUtilization() const { return mTotalDemand / mTotalSlots; }

  /// Utilization up to which objects are placed at a server.
  double Bound() const
  {
    return std::max(mOptions.mMinBound,
                    mOptions.mBoundToMean * MeanUtilization());
  }

  bool IsAboveBound(const LoadedServer& aServer) const
  {
    return aServer.Utilization() > Bound() * (1 + kRounding);
  }

  std::vector<LoadedServer>& Servers() { return mServers; }
  const std::vector<LoadedObject>& Objects() const { return mObjects; }

  /// Relieves servers, the busiest first, by at most mMaxMoves moves.
  void Relieve()
  {
    std::vector<bool> isStuck(mServers.size());
    for (std::size_t moves = 0; moves < mOptions.mMaxMoves;) {
      std::optional<Index> busiest;
      for (Index n = 0; n < mServers.size(); ++n) {
        const LoadedServer& server = mServers[n];
        if (server.mIsToBeRelieved && !isStuck[n] && IsAboveBound(server) &&
            (!busiest ||
             server.Utilization() > mServers[*busiest].Utilization())) {
          busiest = n;
        }
      }
      if (!busiest) {
        return;
      }
      const std::size_t made =
        RelieveServer(*busiest, mOptions.mMaxMoves - moves);
      isStuck[*busiest] = made == 0;
      moves += made;
    }
  }

private:
  double SlotsOf(const std::vector<Index>& aServers) const
  {
    double slots = 0;
    for (const Index each : aServers) {
      slots += mServers[each].mServer.mSlots;
    }
    return slots;
  }

  /// Demand of an object at one of its servers, in slots.
  double DemandAt(const LoadedObject& aObject, Index aServer) const
  {
    return aObject.mDemand * mServers[aServer].mServer.mSlots /
           SlotsOf(aObject.mServers);
  }

  static bool IsServedBy(const LoadedObject& aObject, Index aServer)
  {
    return std::find(aObject.mServers.begin(),
                     aObject.mServers.end(),
                     aServer) != aObject.mServers.end();
  }

  /// First server of an object's order that satisfies aCondition.
  template<class Condition>
  std::optional<Index> FirstOfOrder(ObjectHash aObject,
                                    Condition aCondition) const
  {
    std::optional<Index> first;
    std::uint64_t firstDraw = 0;
    for (Index n = 0; n < mServers.size(); ++n) {
      const std::uint64_t draw =
        detail::Mix(aObject, mServers[n].mServer.mHash);
      if ((!first || draw > firstDraw) && aCondition(n)) {
        first = n;
        firstDraw = draw;
      }
    }
    return first;
  }

  /// Whether the server stays within the bound if its utilization grows.
  bool HasRoom(Index aServer, double aUtilization) const
  {
    return mServers[aServer].Utilization() + aUtilization <=
           Bound() * (1 + kRounding);
  }

  void Assign(Index aObject, std::vector<Index> aServers)
  {
    LoadedObject& object = mObjects[aObject];
    for (const Index each : object.mServers) {
      mServers[each].mDemand -= DemandAt(object, each);
      std::erase(mServers[each].mObjects, aObject);
    }
    object.mServers = std::move(aServers);
    for (const Index each : object.mServers) {
      mServers[each].mDemand += DemandAt(object, each);
      mServers[each].mObjects.push_back(aObject);
    }
  }

  /// Moves or divides the largest object that fits elsewhere. Returns the
  /// number of servers that get an object; 0 if none fits.
  std::size_t RelieveServer(Index aServer, std::size_t aMaxMoves)
  {
    std::vector<std::pair<double, Index>> bySize;
    for (const Index each : mServers[aServer].mObjects) {
      bySize.emplace_back(-DemandAt(mObjects[each], aServer), each);
    }
    std::sort(bySize.begin(), bySize.end());
    for (const auto& [size, object] : bySize) {
      const std::vector<Index>& servers = mObjects[object].mServers;
      std::vector<Index> next = Divide(mObjects[object], aServer, aMaxMoves);
      std::size_t moves = next.size() - servers.size();
      if (moves == 0) {
        const auto target = FindTarget(mObjects[object], aServer);
        if (!target) {
          continue;
        }
        std::replace(next.begin(), next.end(), aServer, *target);
        moves = 1;
      }
      mObjects[object].mIsMoved = true;
      Assign(object, std::move(next));
      return moves;
    }
    return 0;
  }

  /// First server that can take an object over from another one.
  std::optional<Index> FindTarget(const LoadedObject& aObject,
                                  Index aFrom) const
  {
    const double otherSlots =
      SlotsOf(aObject.mServers) - mServers[aFrom].mServer.mSlots;
    return FirstOfOrder(aObject.mHash, [&](Index aServer) {
      const double slots = otherSlots + mServers[aServer].mServer.mSlots;
      return HasRoom(aServer, aObject.mDemand / slots) &&
             !IsServedBy(aObject, aServer);
    });
  }

  /// The servers of an object, with further ones if it needs more than the
  /// bound of its servers.
  std::vector<Index> Divide(const LoadedObject& aObject,
                            Index aBusy,
                            std::size_t aMaxMoves) const
  {
    const std::size_t present = aObject.mServers.size();
    const double needed = aObject.mDemand / SlotsOf(aObject.mServers) *
                          static_cast<double>(present);
    const std::size_t most =
      std::min(mOptions.mMaxServers, present + aMaxMoves);
    if (needed <= Bound() * (1 + kRounding) * static_cast<double>(present) ||
        most <= present) {
      return aObject.mServers;
    }
    for (std::size_t count = present + 1; count <= most; ++count) {
      const double utilization = needed / static_cast<double>(count);
      std::vector<Index> divided =
        AddServers(aObject, count, [&](Index aServer) {
          return HasRoom(aServer, utilization);
        });
      if (divided.size() == count) {
        return divided;
      }
    }
    // Servers without enough room are better than a server that is even
    // busier. Their other objects move away next.
    const double utilization = needed / static_cast<double>(most);
    const double limit = mServers[aBusy].Utilization();
    return AddServers(aObject, most, [&](Index aServer) {
      return mServers[aServer].Utilization() + utilization < limit;
    });
  }

  /// Adds the first servers of the order that satisfy aCondition, up to a
  /// number of servers in all.
  template<class Condition>
  std::vector<Index> AddServers(const LoadedObject& aObject,
                                std::size_t aCount,
                                Condition aCondition) const
  {
    std::vector<Index> servers = aObject.mServers;
    while (servers.size() < aCount) {
      const auto next = FirstOfOrder(aObject.mHash, [&](Index aServer) {
        return aCondition(aServer) &&
               std::find(servers.begin(), servers.end(), aServer) ==
                 servers.end();
      });
      if (!next) {
        break;
      }
      servers.push_back(*next);
    }
    return servers;
  }

  const ObjectPlacement::Options& mOptions;
  std::vector<LoadedServer> mServers;
  std::vector<LoadedObject> mObjects;
  double mTotalSlots = 0;
  double mTotalDemand = 0;
};

} // namespace

ObjectPlacement::ObjectPlacement(Options aOptions)
  : mOptions(aOptions)
{
}

void ObjectPlacement::SetDemand(ObjectHash aObject,
                                double aSlots,
                                TimePoint aNow)
{
  if (aObject == 0) {
    return;
  }
  if (!std::isfinite(aSlots) || aSlots <= 0) {
    mDemand.erase(aObject);
    return;
  }
  mDemand[aObject] = { .mSlots = aSlots, .mAt = aNow };
  if (const auto it = mPlaced.find(aObject); it != mPlaced.end()) {
    it->second.mDemandAt = aNow;
  }
}

void ObjectPlacement::Restore(const PlacedObject& aPlaced, TimePoint aNow)
{
  std::vector<std::uint64_t> servers;
  for (const std::uint64_t each : aPlaced.mServers) {
    if (servers.size() < mOptions.mMaxServers &&
        std::find(servers.begin(), servers.end(), each) == servers.end()) {
      servers.push_back(each);
    }
  }
  if (servers.empty() || aPlaced.mObject == 0) {
    mPlaced.erase(aPlaced.mObject);
    return;
  }
  mPlaced[aPlaced.mObject] = { .mServers = std::move(servers),
                               .mDemandAt = aNow };
}

std::vector<PlacedObject> ObjectPlacement::Update(
  const std::vector<PlacementServer>& aServers,
  TimePoint aNow)
{
  const std::vector<PlacementServer> usable = UsableServers(aServers);
  std::set<ObjectHash> changed;
  Prune(usable, aNow, changed);
  if (usable.empty()) {
    mWithinBoundAt.clear();
  } else {
    Rebalance(usable, aNow, changed);
  }
  std::vector<PlacedObject> result;
  result.reserve(changed.size());
  for (const ObjectHash each : changed) {
    PlacedObject& placed = result.emplace_back();
    placed.mObject = each;
    if (const auto it = mPlaced.find(each); it != mPlaced.end()) {
      placed.mServers = it->second.mServers;
    }
  }
  return result;
}

void ObjectPlacement::Prune(const std::vector<PlacementServer>& aUsable,
                            TimePoint aNow,
                            std::set<ObjectHash>& aChanged)
{
  std::erase_if(mDemand, [&](const auto& aEach) {
    return aNow - aEach.second.mAt >= mOptions.mDemandLifetime;
  });
  for (auto it = mPlaced.begin(); it != mPlaced.end();) {
    Entry& entry = it->second;
    const std::size_t lost =
      std::erase_if(entry.mServers, [&](std::uint64_t aLifetime) {
        return !FindServer(aUsable, aLifetime);
      });
    const bool isOver =
      entry.mServers.empty() || aNow - entry.mDemandAt >= mOptions.mRetention;
    if (isOver || lost > 0) {
      aChanged.insert(it->first);
    }
    it = isOver ? mPlaced.erase(it) : std::next(it);
  }
}

bool ObjectPlacement::IsToBeRelieved(std::uint64_t aLifetime,
                                     double aDemandToBound,
                                     TimePoint aNow) const
{
  const auto it = mWithinBoundAt.find(aLifetime);
  return it == mWithinBoundAt.end() || aDemandToBound > mOptions.mTolerance ||
         aNow - it->second >= mOptions.mReliefDelay;
}

void ObjectPlacement::Rebalance(const std::vector<PlacementServer>& aUsable,
                                TimePoint aNow,
                                std::set<ObjectHash>& aChanged)
{
  ServerLoads loads(mOptions, aUsable);
  for (const auto& [object, demand] : mDemand) {
    std::vector<Index> servers;
    if (const auto it = mPlaced.find(object); it != mPlaced.end()) {
      for (const std::uint64_t each : it->second.mServers) {
        servers.push_back(*FindServer(aUsable, each));
      }
    }
    loads.Add(object, demand.mSlots, std::move(servers));
  }
  for (LoadedServer& each : loads.Servers()) {
    each.mIsToBeRelieved = IsToBeRelieved(
      each.mServer.mLifetime, each.Utilization() / loads.Bound(), aNow);
  }
  if (aUsable.size() >= 2 &&
      loads.MeanUtilization() <= mOptions.mMaxUtilization) {
    loads.Relieve();
  }
  for (const LoadedObject& each : loads.Objects()) {
    if (!each.mIsMoved) {
      continue;
    }
    aChanged.insert(each.mHash);
    Entry& entry = mPlaced[each.mHash];
    entry.mDemandAt = mDemand.at(each.mHash).mAt;
    entry.mServers.clear();
    for (const Index server : each.mServers) {
      entry.mServers.push_back(aUsable[server].mLifetime);
    }
  }
  std::map<std::uint64_t, TimePoint> withinBoundAt;
  for (const LoadedServer& each : loads.Servers()) {
    const std::uint64_t lifetime = each.mServer.mLifetime;
    if (each.mObjects.empty()) {
      continue;
    }
    if (!loads.IsAboveBound(each)) {
      withinBoundAt[lifetime] = aNow;
    } else if (!each.mIsToBeRelieved) {
      withinBoundAt[lifetime] = mWithinBoundAt.at(lifetime);
    }
  }
  mWithinBoundAt = std::move(withinBoundAt);
}

} // namespace cranberrywing::gateway
