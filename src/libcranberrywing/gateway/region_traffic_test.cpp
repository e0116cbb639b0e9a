#include "cranberrywing/gateway/region_traffic.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

TEST_CASE("Planned and actual regions of requests are counted by window")
{
  const RegionId near("near");
  const RegionId far("far");
  const ServiceId service("ordering");
  RegionTraffic traffic({ .mWindow = std::chrono::seconds(2) });
  TimePoint now{ std::chrono::seconds(10) };
  CHECK(traffic.TakeEnded(now).empty());
  traffic.OnSent(service, near, near, PlanExit::None);
  traffic.OnSent(service, near, far, PlanExit::NotAllowed);
  CHECK(traffic.TakeEnded(now + std::chrono::milliseconds(1999)).empty());
  const auto ended = traffic.TakeEnded(now + std::chrono::seconds(2));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].mService == service);
  CHECK(ended[0].mPlanned.at(near) == 2);
  CHECK(ended[0].mSent.at(near) == 1);
  CHECK(ended[0].mSent.at(far) == 1);
  CHECK(ended[0].mExits.at(PlanExit::NotAllowed) == 1);
  CHECK(traffic.TakeEnded(now + std::chrono::seconds(4)).empty());
}
