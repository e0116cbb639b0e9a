#include "cranberrywing/gateway/object_placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <set>

#include "cranberrywing/gateway/object_selector.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace std::chrono_literals;

namespace {

/// Servers of 4 slots, and demand that is reported once a second.
struct Fixture
{
  explicit Fixture(std::size_t aServers)
  {
    for (std::size_t n = 0; n < aServers; ++n) {
      AddServer();
    }
  }

  std::uint64_t AddServer()
  {
    const std::string name = std::to_string(mPool.All().size());
    mPool.Upsert(
      { .mBackend = BackendId(name), .mService = mService, .mSlots = 4 }, mNow);
    const Backend& added = *mPool.Find(BackendId(name));
    mServers.push_back({ added.mLifetimeHash, added.mHash, 4 });
    return added.mLifetimeHash;
  }

  void RemoveServer(std::uint64_t aLifetime)
  {
    std::erase_if(mServers, [&](const PlacementServer& aEach) {
      return aEach.mLifetime == aLifetime;
    });
  }

  /// The server to which ObjectSelector sends an object without placement.
  std::uint64_t FirstOfOrder(ObjectHash aObject)
  {
    const auto selection = ObjectSelector({}).Choose(
      mPool, mPool.BackendsOfService(mService), aObject, {}, mNow);
    return selection->mBackend->mLifetimeHash;
  }

  /// Finds the next object that ObjectSelector sends to a server.
  ObjectHash NextObjectOf(std::uint64_t aLifetime)
  {
    do {
      ++mLastObject;
    } while (FirstOfOrder(mLastObject) != aLifetime);
    return mLastObject;
  }

  std::vector<PlacedObject> Update()
  {
    mNow += 1s;
    for (const auto& [object, slots] : mDemand) {
      mPlacement.SetDemand(object, slots, mNow);
    }
    return mPlacement.Update(mServers, mNow);
  }

  std::size_t CountMoves(int aUpdates)
  {
    std::size_t moves = 0;
    for (int n = 0; n < aUpdates; ++n) {
      moves += Update().size();
    }
    return moves;
  }

  /// Demand at the busiest server, as a fraction of its slots.
  double HighestUtilization()
  {
    std::map<std::uint64_t, double> demand;
    for (const auto& [object, slots] : mDemand) {
      std::vector<std::uint64_t> servers{ FirstOfOrder(object) };
      if (const auto it = mPlacement.Placed().find(object);
          it != mPlacement.Placed().end()) {
        servers = it->second.mServers;
      }
      for (const std::uint64_t each : servers) {
        demand[each] += slots / static_cast<double>(servers.size());
      }
    }
    double highest = 0;
    for (const auto& [server, slots] : demand) {
      highest = std::max(highest, slots / 4);
    }
    return highest;
  }

  const ServiceId mService{ "ordering" };
  BackendPool mPool{ {} };
  std::vector<PlacementServer> mServers;
  std::map<ObjectHash, double> mDemand;
  ObjectPlacement mPlacement{ {} };
  TimePoint mNow{ 100s };
  ObjectHash mLastObject = 0;
};

/// 200 objects that need 0.45 of the slots of 50 servers.
Fixture MakeUnevenDemand()
{
  Fixture fixture(50);
  double total = 0;
  for (ObjectHash n = 1; n <= 200; ++n) {
    fixture.mDemand[n] = std::pow(n, -0.2);
    total += fixture.mDemand[n];
  }
  for (auto& [object, slots] : fixture.mDemand) {
    slots *= 0.45 * 200 / total;
  }
  return fixture;
}

} // namespace

// Guards against queues at a server that is first for too many objects, and
// against an order that differs from that of ObjectSelector.
TEST_CASE("The largest objects that fit leave a server above the bound")
{
  Fixture fixture(4);
  const std::uint64_t busy = fixture.mServers[0].mLifetime;
  const ObjectHash small = fixture.NextObjectOf(busy);
  const ObjectHash large = fixture.NextObjectOf(busy);
  const ObjectHash tooLarge = fixture.NextObjectOf(busy);
  fixture.mDemand = { { small, 0.3 }, { large, 0.8 }, { tooLarge, 1.7 } };
  for (std::size_t n = 1; n < 4; ++n) {
    fixture.mDemand[fixture.NextObjectOf(fixture.mServers[n].mLifetime)] = 0.5;
  }
  const auto changed = fixture.Update();
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].mObject == large);
  // The first of the order among the other servers.
  fixture.mPool.Remove(BackendId("0"));
  CHECK(changed[0].mServers == std::vector{ fixture.FirstOfOrder(large) });
  CHECK(fixture.CountMoves(60) == 0);
}

// Guards against many cache misses at once, and against servers that stay above
// the bound.
TEST_CASE("A few moves per update bring all servers within the bound")
{
  Fixture fixture = MakeUnevenDemand();
  REQUIRE(fixture.HighestUtilization() > 0.8);
  std::size_t moves = 0;
  for (int n = 0; n < 10; ++n) {
    const std::size_t changed = fixture.Update().size();
    CHECK(changed <= 8);
    moves += changed;
  }
  CHECK(fixture.HighestUtilization() <= 1.2 * 0.451);
  CHECK(moves < 60);
  CHECK(fixture.CountMoves(60) == 0);
}

// Guards against cache misses without end: each report of demand differs from
// the one before, and a move for each costs more than the queue it avoids.
TEST_CASE("Placements stay when demand fluctuates by 30 percent")
{
  Fixture fixture = MakeUnevenDemand();
  fixture.CountMoves(10);
  const auto demand = fixture.mDemand;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> factor(0.7, 1.3);
  std::size_t moves = 0;
  for (int n = 0; n < 300; ++n) {
    for (auto& [object, slots] : fixture.mDemand) {
      slots = demand.at(object) * factor(random);
    }
    moves += fixture.Update().size();
  }
  CHECK(moves <= 5);
  // All objects together, as in a short burst.
  for (const double each : { 0.7, 1.3, 0.7, 1.3 }) {
    for (auto& [object, slots] : fixture.mDemand) {
      slots = demand.at(object) * each;
    }
    CHECK(fixture.Update().empty());
  }
}

// Guards against a server that stays busier than the others for good.
TEST_CASE("A small excess over the bound is relieved after a while")
{
  Fixture fixture(3);
  const std::uint64_t busy = fixture.mServers[0].mLifetime;
  fixture.mDemand[fixture.NextObjectOf(busy)] = 1;
  const ObjectHash growing = fixture.NextObjectOf(busy);
  fixture.mDemand[growing] = 0.9;
  REQUIRE(fixture.CountMoves(5) == 0);
  fixture.mDemand[growing] = 1.2;
  CHECK(fixture.CountMoves(9) == 0);
  CHECK(fixture.CountMoves(1) == 1);
}

// Guards against an object that one server cannot serve.
TEST_CASE("An object above the bound is divided among at most four servers")
{
  Fixture fixture(8);
  const auto servers = [&](double aDemand) {
    fixture.mDemand[1] = aDemand;
    fixture.Update();
    const auto it = fixture.mPlacement.Placed().find(1);
    return it == fixture.mPlacement.Placed().end() ? 1
                                                   : it->second.mServers.size();
  };
  CHECK(servers(1.9) == 1);
  CHECK(servers(5) == 3);
  CHECK(servers(1) == 3);
  CHECK(servers(8) == 4);
  CHECK(servers(20) == 4);
  CHECK(fixture.mPlacement.Placed().at(1).mServers[0] ==
        fixture.FirstOfOrder(1));
}

// Guards against a hot object that stays at one server because the others are
// busy too, although less.
TEST_CASE("A hot object is divided when no server has enough room")
{
  Fixture fixture(8);
  for (const PlacementServer& each : fixture.mServers) {
    fixture.mDemand[fixture.NextObjectOf(each.mLifetime)] = 1.5;
  }
  const ObjectHash hot =
    fixture.NextObjectOf(fixture.mServers.front().mLifetime);
  fixture.mDemand[hot] = 4;
  fixture.Update();
  CHECK(fixture.mPlacement.Placed().at(hot).mServers.size() == 4);
}

// Guards against requests for a server that is gone, and against cache misses
// because of one that is added.
TEST_CASE("Objects of a server that is gone keep their other servers")
{
  Fixture fixture = MakeUnevenDemand();
  fixture.CountMoves(20);
  fixture.mServers.push_back({ .mLifetime = 1, .mHash = 1, .mSlots = 4 });
  CHECK(fixture.Update().empty());

  fixture.mDemand[1] = 7;
  fixture.CountMoves(20);
  const auto divided = fixture.mPlacement.Placed().at(1).mServers;
  REQUIRE(divided.size() >= 3);
  fixture.mDemand[1] = 0.5;
  fixture.RemoveServer(divided[0]);
  std::find_if(fixture.mServers.begin(),
               fixture.mServers.end(),
               [&](const auto& aEach) { return aEach.mLifetime == divided[1]; })
    ->mSlots = 0;
  const auto changed = fixture.Update();
  const PlacedObject remaining{ 1, { divided.begin() + 2, divided.end() } };
  CHECK(std::count(changed.begin(), changed.end(), remaining) == 1);
  for (const auto& [object, entry] : fixture.mPlacement.Placed()) {
    for (const std::uint64_t each : entry.mServers) {
      CHECK(each != divided[0]);
      CHECK(each != divided[1]);
    }
  }
  fixture.mServers.clear();
  CHECK_FALSE(fixture.Update().empty());
  CHECK(fixture.mPlacement.Placed().empty());
}

// Guards against placements that accumulate, and against needless moves back
// while the object has demand.
TEST_CASE("A placement ends 30 s after the last demand")
{
  Fixture fixture(2);
  fixture.mPlacement.Restore({ 7, { fixture.mServers[1].mLifetime } },
                             fixture.mNow);
  fixture.mDemand[7] = 1;
  CHECK(fixture.CountMoves(60) == 0);
  fixture.mDemand[7] = 0;
  CHECK(fixture.CountMoves(29) == 0);
  CHECK(fixture.Update() == std::vector<PlacedObject>{ { 7, {} } });
}

// Guards against moves that help no object, and against figures of a faulty VM.
TEST_CASE("Nothing moves if all servers are full or the demand is absurd")
{
  Fixture fixture(2);
  const std::uint64_t busy = fixture.mServers[0].mLifetime;
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double each : { std::nan(""), infinite, -1e9, 0.0 }) {
    fixture.mDemand[fixture.NextObjectOf(busy)] = each;
  }
  CHECK(fixture.CountMoves(5) == 0);
  for (const double each : { 1.9, 1.9, 1.9, 1.9 }) {
    fixture.mDemand[fixture.NextObjectOf(busy)] = each;
  }
  CHECK(fixture.CountMoves(60) == 0);
  fixture.mDemand.clear();
  fixture.mDemand[fixture.NextObjectOf(busy)] = 1e300;
  CHECK(fixture.CountMoves(5) == 0);
  fixture.mServers.pop_back();
  fixture.mDemand.begin()->second = 3;
  CHECK(fixture.CountMoves(5) == 0);
}

// Guards against VMs that decide differently, or that miss a change: another VM
// learns placements from the returned changes only, and may take over.
TEST_CASE("Changes suffice to continue on another VM, in any order of calls")
{
  Fixture fixture = MakeUnevenDemand();
  fixture.mDemand[1] = 9;
  ObjectPlacement twin({});
  ObjectPlacement follower({});
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> factor(0.3, 2);
  for (ObjectHash n = 0; n < 100; ++n) {
    const double growth = factor(random);
    for (auto& [object, slots] : fixture.mDemand) {
      slots = std::min(9.0, slots * (object % 10 == n % 10 ? growth : 1));
    }
    if (n % 10 == 5) {
      fixture.RemoveServer(fixture.mServers[random() % 20].mLifetime);
      fixture.AddServer();
    }
    const auto changed = fixture.Update();
    for (auto it = fixture.mDemand.rbegin(); it != fixture.mDemand.rend();
         ++it) {
      twin.SetDemand(it->first, it->second, fixture.mNow);
    }
    auto shuffled = fixture.mServers;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    CHECK(twin.Update(shuffled, fixture.mNow) == changed);
    for (const PlacedObject& each : changed) {
      follower.Restore(each, fixture.mNow);
    }
    const auto& placed = fixture.mPlacement.Placed();
    REQUIRE(follower.Placed().size() == placed.size());
    for (const auto& [object, entry] : placed) {
      CHECK(follower.Placed().at(object).mServers == entry.mServers);
      const std::set<std::uint64_t> distinct(entry.mServers.begin(),
                                             entry.mServers.end());
      CHECK(distinct.size() == entry.mServers.size());
      CHECK(distinct.size() <= 4);
    }
  }
}
