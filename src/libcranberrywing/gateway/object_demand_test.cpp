#include "cranberrywing/gateway/object_demand.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };
constexpr Duration kServiceTime = std::chrono::milliseconds(200);
const ServiceId kService("ordering");
const RegionId kNear("near");
const RegionId kFar("far");

} // namespace

// Guards against demand that is over- or underestimated: the placing VM would
// move objects of servers that are not overloaded, or leave them.
TEST_CASE("An object's demand is its rate times its service time")
{
  ObjectDemandCounter counter({});
  TimePoint now = kStart;
  for (int n = 0; n < 400; ++n) {
    now += std::chrono::milliseconds(25);
    counter.Count(kService, kNear, 1, kServiceTime, now);
    if (n % 4 == 0) {
      counter.Count(kService, kNear, 2, kServiceTime, now);
    }
  }
  const auto busiest = counter.Busiest({ kService, kNear }, 64, now);
  REQUIRE(busiest.size() == 2);
  CHECK(busiest[0].mObject == 1);
  CHECK(busiest[0].mSlots == Approx(40 * 0.2).epsilon(0.05));
  CHECK(busiest[1].mSlots == Approx(10 * 0.2).epsilon(0.05));
  CHECK(counter.Busiest({ kService, kNear }, 1, now).size() == 1);
  CHECK(counter.Busiest({ kService, kFar }, 64, now).empty());

  const auto later =
    counter.Busiest({ kService, kNear }, 64, now + std::chrono::seconds(2));
  CHECK(later[0].mSlots == Approx(busiest[0].mSlots / 2.718).epsilon(0.01));
}

// Guards against a VM that runs out of memory, or drops its busiest objects,
// when callers request ever new objects.
TEST_CASE("New objects neither exhaust memory nor displace busy ones")
{
  ObjectDemandCounter counter({ .mMaxTracked = 100 });
  TimePoint now = kStart;
  ObjectHash next = 1000;
  for (int n = 0; n < 1000; ++n) {
    now += std::chrono::milliseconds(10);
    counter.Count(kService, kNear, 1, kServiceTime, now);
    for (int fresh = 0; fresh < 20; ++fresh) {
      counter.Count(kService, kNear, ++next, kServiceTime, now);
    }
    CHECK(counter.Size() <= 100);
  }
  const auto busiest = counter.Busiest({ kService, kNear }, 1, now);
  REQUIRE(busiest.size() == 1);
  CHECK(busiest[0].mObject == 1);
  CHECK(busiest[0].mSlots == Approx(100 * 0.2).epsilon(0.05));
}

// Guards against reports of objects that nobody requests any more.
TEST_CASE("Objects without requests are dropped")
{
  ObjectDemandCounter counter({});
  counter.Count(kService, kNear, 1, kServiceTime, kStart);
  counter.Count(
    kService, kFar, 2, kServiceTime, kStart + std::chrono::seconds(3));
  counter.Prune(kStart + std::chrono::seconds(6));
  CHECK(counter.Groups() ==
        std::vector<ObjectDemandCounter::Group>{ { kService, kFar } });
  counter.Prune(kStart + std::chrono::seconds(9));
  CHECK(counter.Groups().empty());
}
