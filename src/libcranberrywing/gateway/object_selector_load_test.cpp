#include <catch2/catch.hpp>

#include "testing/object_memory_model.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;

// Guards against an overload caused by server selection itself when a service
// runs close to its capacity: a request that leaves its object's server for a
// shorter queue misses the next server's cache, takes more than three times the
// service time there, and the growing queue makes further requests leave.
TEST_CASE("Under load requests wait for a server that has their object cached")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    const ObjectMemoryLoad load{ .mLoad = 0.8, .mSeed = seed };
    const ObjectMemoryResult chosen =
      ObjectMemoryModel(load, ChooseByObject({})).Run();
    const ObjectMemoryResult early =
      ObjectMemoryModel(load, ChooseByObject({ .mMissCost = 0 })).Run();
    const ObjectMemoryResult two =
      ObjectMemoryModel(load, ChooseLeastLoadedOfTwo(seed)).Run();
    INFO("fraction within target: "
         << chosen.WithinTarget() << ", without miss penalty "
         << early.WithinTarget() << ", two choices " << two.WithinTarget());
    CHECK(chosen.WithinTarget() > early.WithinTarget() + 0.1);
    CHECK(chosen.WithinTarget() > two.WithinTarget() + 0.1);
    CHECK(chosen.Misses() < early.Misses() / 2);
  }
}

// Guards against a miss penalty so high that requests for a popular object are
// refused while other servers are idle.
TEST_CASE("A hot object gets a second server at low load")
{
  const ObjectMemoryLoad load{ .mObjects = 4, .mLoad = 0.2 };
  const ObjectMemoryResult result =
    ObjectMemoryModel(load, ChooseByObject({})).Run();
  CHECK(result.Refused() < 0.01);
}
