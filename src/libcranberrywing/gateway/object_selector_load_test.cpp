#include <catch2/catch.hpp>

#include "testing/object_memory_model.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;

// Pattern: a service near its limit whose servers remember objects. Guards
// against the overload that the choice itself made on days of high load: each
// request that left its object's server for a shorter queue cost the next
// server more than three times the work, and the queues there sent on more.
TEST_CASE("Under load requests wait for a server that knows their object")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    const ObjectMemoryLoad load{ .mLoad = 0.8, .mSeed = seed };
    const ObjectMemoryResult chosen =
      ObjectMemoryModel(load, ChooseByObject({})).Run();
    const ObjectMemoryResult early =
      ObjectMemoryModel(load, ChooseByObject({ .mMissCost = 0 })).Run();
    const ObjectMemoryResult two =
      ObjectMemoryModel(load, ChooseOfTwo(seed)).Run();
    INFO("in target: " << chosen.InTarget() << ", without cost of a miss "
                       << early.InTarget() << ", two choices "
                       << two.InTarget());
    CHECK(chosen.InTarget() > early.InTarget() + 0.1);
    CHECK(chosen.InTarget() > two.InTarget() + 0.1);
    CHECK(chosen.Misses() < early.Misses() / 2);
  }
}

// Guards against a cost of misses so high that a popular object's requests are
// refused while other servers are idle.
TEST_CASE("A hot object gets a second server at low load")
{
  const ObjectMemoryLoad load{ .mObjects = 4, .mLoad = 0.2 };
  const ObjectMemoryResult result =
    ObjectMemoryModel(load, ChooseByObject({})).Run();
  CHECK(result.Refused() < 0.01);
}
