#include "cranberrywing/executions.h"

#include <catch2/catch.hpp>

#include "execution_fleet_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;

namespace {

/// Three nodes with every slot owned and loaded.
struct Settled : Fleet
{
  Settled()
    : Fleet(3)
  {
    Run(4s);
  }
};

} // namespace

// Guards against slots that stay without an owner, or all with one.
TEST_CASE("slots are shared by the nodes that start together")
{
  Settled fleet;
  for (std::uint32_t slot = 0; slot < 64; ++slot) {
    CHECK(fleet.OwnerOf(slot) != nullptr);
  }
  for (const auto& [vm, node] : fleet.mNodes) {
    CHECK(node.mSlots->OwnedSlots().size() > 8);
  }
}

// Guards against a second run of a key, and against a repeat without answer.
TEST_CASE("a repeated key is given the first answer")
{
  Settled fleet;
  const TestRequest request{ .mKey = "order-1" };
  const RequestId first = fleet.Submit(request);
  fleet.Run(30ms);
  CHECK(fleet.Find(first) == nullptr);
  const RequestId second = fleet.Submit(request);
  fleet.Run(200ms);
  const RequestId third = fleet.Submit(request);
  fleet.Run(50ms);
  for (const RequestId id : { first, second, third }) {
    REQUIRE(fleet.Find(id) != nullptr);
    REQUIRE(fleet.Get(id).mAnswer != nullptr);
    CHECK(fleet.Get(id).mAnswer->mBody == "answer to order-1");
  }
  CHECK(fleet.Runs("order-1") == 1);
}
