#include "cranberrywing/gateway/region_plan.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

const RegionId kNear("near");
const RegionId kFar("far");
const RegionId kThird("third");
const ServiceId kService("ordering");

RegionalLoad Load(double aNearSlots, double aNearDemand)
{
  RegionalLoad load;
  load.mCapacity = { { kNear, aNearSlots }, { kFar, 48 }, { kThird, 48 } };
  load.mEligibleCapacity = load.mCapacity;
  load.mDemand = { { kNear, aNearDemand }, { kFar, 16 }, { kThird, 16 } };
  return load;
}

double ShareOf(const RegionPlan& aPlan, const RegionId& aRegion)
{
  const RegionShares& shares = *aPlan.Shares(kService);
  const auto it = shares.find(aRegion);
  return it == shares.end() ? 0 : it->second;
}

} // namespace

TEST_CASE("A region with enough capacity serves all of its own demand")
{
  const RegionShares shares = PlanShares(Load(48, 10), kNear, 0.7);
  CHECK(shares.at(kNear) == Approx(1));
}

// A region with a third of the callers and few servers.
TEST_CASE("Excess demand goes to regions in proportion to their spare capacity")
{
  RegionalLoad load = Load(8, 16);
  load.mCapacity[kThird] = 96;
  const RegionShares shares = PlanShares(load, kNear, 0.7);
  CHECK(shares.at(kNear) == Approx(0.7 * 8 / 16));
  const double far = 0.7 * 48 - 16;
  const double third = 0.7 * 96 - 16;
  CHECK(shares.at(kFar) / shares.at(kThird) == Approx(far / third));
}

// Guards against queues at the servers of a region with a tenth of the servers
// and a third of the callers, while those of other regions have free slots.
TEST_CASE("A small region sends requests elsewhere before its servers queue")
{
  RegionPlan plan({ .mOwnRegion = kNear });
  plan.Update(kService, Load(8, 16), TimePoint{ std::chrono::seconds(10) });
  CHECK(ShareOf(plan, kNear) * 16 <= 0.6 * 8);
}

// A small region that is home to a large account of callers elsewhere.
TEST_CASE("Requests that may run elsewhere make room for those that may not")
{
  RegionalLoad load = Load(40, 30);
  load.mBoundDemand = { { kNear, 18 } };
  const RegionShares shares = PlanShares(load, kNear, 0.7);
  CHECK(shares.at(kNear) == Approx((0.7 * 40 - 18) / 30));
  load.mBoundDemand = { { kFar, 30 } };
  const RegionShares others = PlanShares(load, kNear, 0.7);
  CHECK(others.count(kFar) == 0);
  CHECK(others.at(kNear) == Approx(0.7 * 40 / 30));
}

// Guards against sending what may run anywhere to a region that is more than
// filled by what may not.
TEST_CASE("A region filled by what is bound to it gets nothing else")
{
  RegionalLoad load = Load(8, 10);
  load.mBoundDemand = { { kNear, 20 } };
  const RegionShares shares = PlanShares(load, kNear, 0.7);
  CHECK(shares.count(kNear) == 0);
  CHECK(shares.at(kFar) == Approx(0.5));
  CHECK(shares.at(kThird) == Approx(0.5));
}

// Guards against requests of an account that may run in several other regions
// all going to the one whose name comes first.
TEST_CASE("Requests that may not run in the plan's regions go by capacity")
{
  RegionalLoad load = Load(48, 10);
  load.mCapacity[kThird] = 144;
  load.mEligibleCapacity = load.mCapacity;
  RegionPlan plan({ .mOwnRegion = kNear });
  plan.Update(kService, load, TimePoint{ std::chrono::seconds(10) });
  REQUIRE(ShareOf(plan, kNear) == Approx(1));
  const auto isElsewhere = [](const RegionId& aRegion) {
    return aRegion != kNear;
  };
  CHECK(plan.Rank(kService, 0.24, isElsewhere).front() == kFar);
  CHECK(plan.Rank(kService, 0.26, isElsewhere).front() == kThird);
  CHECK(plan.Rank(kService, 0.99, isElsewhere) ==
        std::vector<RegionId>{ kThird, kFar });
}

// Guards against the same if the plan gives several of them a share.
TEST_CASE("Requests that may run in some of the plan's regions go by shares")
{
  RegionPlan plan({ .mOwnRegion = kNear, .mUtilization = 0.7 });
  plan.Update(kService, Load(8, 16), TimePoint{ std::chrono::seconds(10) });
  const double own = ShareOf(plan, kNear);
  const double far = ShareOf(plan, kFar);
  REQUIRE(own == Approx(0.35));
  REQUIRE(far == Approx(0.325));
  const auto isAllowed = [](const RegionId& aRegion) {
    return aRegion != kThird;
  };
  const double border = own / (own + far);
  CHECK(plan.Rank(kService, border - 0.01, isAllowed) ==
        std::vector<RegionId>{ kNear, kFar });
  CHECK(plan.Rank(kService, border + 0.01, isAllowed) ==
        std::vector<RegionId>{ kFar, kNear });
}

// Guards against traffic oscillating between regions: without a limit on the
// rate of change, 39 of 100 requests changed their region within two seconds
// where 15 are allowed.
TEST_CASE("A change of demand moves few requests in two seconds")
{
  RegionPlan plan({ .mOwnRegion = kNear });
  TimePoint now{ std::chrono::seconds(10) };
  plan.Update(kService, Load(8, 4), now);
  double before = ShareOf(plan, kNear);
  for (int n = 0; n < 40; ++n) {
    for (int step = 0; step < 8; ++step) {
      now += std::chrono::milliseconds(250);
      plan.Update(kService, Load(8, 30), now);
    }
    const double share = ShareOf(plan, kNear);
    CHECK(std::abs(share - before) <= 0.15);
    before = share;
  }
  CHECK(before < 0.3);
}

// The fraction that is observed in a window varies more if it has few requests.
TEST_CASE("Shares change faster the more requests there are")
{
  const RegionPlan plan({ .mOwnRegion = kNear, .mMaxShift = 0.15 });
  CHECK(plan.MaxChangePerSecond(10) < plan.MaxChangePerSecond(300));
  CHECK(plan.MaxChangePerSecond(300) < plan.MaxChangePerSecond(3000));
  CHECK(2 * plan.MaxChangePerSecond(1e9) <= 0.15);
  CHECK(plan.MaxChangePerSecond(0) > 0.03);
}

// Pattern: one of the four failure domains of a region is evacuated.
TEST_CASE("The loss of a quarter of a region's servers moves requests at once")
{
  RegionPlan plan({ .mOwnRegion = kNear, .mUtilization = 0.7 });
  TimePoint now{ std::chrono::seconds(1) };
  plan.Update(kService, Load(48, 32), now);
  CHECK(ShareOf(plan, kNear) == Approx(1));
  for (int n = 0; n < 8; ++n) {
    now += std::chrono::milliseconds(250);
    plan.Update(kService, Load(36, 32), now);
  }
  CHECK(ShareOf(plan, kNear) == Approx(0.7 * 36 / 32));
}

// Guards against shares that persist from the first registrations: all requests
// were sent to the region whose servers had registered first.
TEST_CASE("Without requests the shares follow the registrations at once")
{
  RegionPlan plan({ .mOwnRegion = kNear });
  TimePoint now{ std::chrono::seconds(1) };
  RegionalLoad load;
  load.mIsIdle = true;
  load.mCapacity = { { kFar, 4 } };
  load.mEligibleCapacity = load.mCapacity;
  plan.Update(kService, load, now);
  CHECK(ShareOf(plan, kFar) == Approx(1));
  load = Load(48, 10);
  load.mIsIdle = true;
  plan.Update(kService, load, now + std::chrono::milliseconds(250));
  CHECK(ShareOf(plan, kNear) == Approx(1));
}

// Guards against applying the limited rate of change when all servers of a
// region are lost.
TEST_CASE("A region that lost its servers gets no more requests")
{
  RegionPlan plan({ .mOwnRegion = kNear });
  const TimePoint now{ std::chrono::seconds(1) };
  plan.Update(kService, Load(48, 10), now);
  plan.Update(kService, Load(0, 10), now + std::chrono::milliseconds(250));
  CHECK(ShareOf(plan, kNear) == Approx(0));
  CHECK(plan.Rank(kService, 0.1).front() != kNear);
}

TEST_CASE("The initial demand estimate follows the number of VMs")
{
  const auto demand = EstimateInitialDemand(
    { { kNear, 8 }, { kFar, 92 } }, { { kNear, 3 }, { kFar, 1 } }, 0.5);
  CHECK(demand.at(kNear) == Approx(37.5));
  CHECK(demand.at(kFar) == Approx(12.5));
}
