#include "cranberrywing/slots.h"

#include <catch2/catch.hpp>
#include <set>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

std::map<std::uint32_t, SlotOwner> Owners(const Node& aNode)
{
  std::map<std::uint32_t, SlotOwner> owners;
  for (std::uint32_t n = 0; n < aNode.mSlots->SlotCount(); ++n) {
    owners[n] = aNode.mSlots->Owner(n).value_or(SlotOwner{});
  }
  return owners;
}

std::size_t Owned(const Node& aNode)
{
  return aNode.mSlots->OwnedSlots().size();
}

} // namespace

// Guards against slots that stay without an owner, or all with one.
TEST_CASE("slots are shared by the nodes that start together")
{
  Fleet fleet(3);
  fleet.Run(4s);
  for (std::uint32_t slot = 0; slot < 64; ++slot) {
    CHECK(fleet.OwnerOf(slot) != nullptr);
  }
  for (const auto& [vm, node] : fleet.mNodes) {
    CHECK(Owned(node) > 8);
  }
}

// Guards against owners in one failure domain, or more owners than set.
TEST_CASE("owners are spread over failure domains and limited in number")
{
  std::vector<std::pair<VmId, FailureDomainId>> vms;
  for (int n = 0; n < 40; ++n) {
    // The first domain has most of the VMs.
    const int domain = n < 30 ? 0 : n % 4;
    vms.emplace_back("vm-" + std::to_string(n), std::to_string(domain));
  }
  const std::vector<VmId> chosen = ChooseSlotOwners(vms, 8);
  REQUIRE(chosen.size() == 8);
  std::map<FailureDomainId, int> counts;
  for (const auto& [vm, domain] : vms) {
    counts[domain] += std::count(chosen.begin(), chosen.end(), vm);
  }
  for (const auto& [domain, count] : counts) {
    CHECK(count == 2);
  }
  std::reverse(vms.begin(), vms.end());
  CHECK(ChooseSlotOwners(vms, 8) == chosen);

  FleetSettings settings;
  settings.mSlotOwners = 2;
  Fleet fleet(4, settings);
  fleet.Run(10s);
  std::set<VmIncarnation> owners;
  for (const auto& [slot, owner] : Owners(fleet.At(0))) {
    owners.insert(owner.mProcess);
  }
  CHECK(owners.size() == 2);
}

// Guards against a takeover from an owner that is only slow, and against
// slots that stay with a dead one.
TEST_CASE("a dead owner's slots move after lease and takeover delay")
{
  Fleet fleet(3);
  fleet.Run(4s);
  Node& dead = fleet.At(0);
  const auto before = Owners(dead);
  fleet.Kill(dead);
  fleet.Run(4s);
  CHECK(Owners(fleet.At(1)) == before);
  SECTION("without proof of death") {}
  SECTION("on proof of death, at once")
  {
    fleet.mDead.insert(dead.mSelf);
    fleet.Run(500ms);
  }
  if (fleet.mDead.empty()) {
    fleet.Run(3s);
  }
  for (const auto& [slot, owner] : Owners(fleet.At(1))) {
    const SlotOwner& old = before.at(slot);
    const bool wasDeads = old.mProcess == dead.mSelf;
    CHECK(owner.mProcess != dead.mSelf);
    CHECK(owner.mEpoch == old.mEpoch + (wasDeads ? 1 : 0));
  }
}

// Guards against a process that takes its predecessor's epoch as its own.
TEST_CASE("a restarted process takes new epochs")
{
  Fleet fleet(1);
  fleet.Run(4s);
  fleet.Start(fleet.At(0));
  fleet.Run(4s);
  for (const auto& [slot, owner] : Owners(fleet.At(0))) {
    CHECK(owner.mProcess == fleet.At(0).mSelf);
    CHECK(owner.mEpoch == 2);
  }
}

// Guards against takeovers, and so unknown outcomes, that an outage of the
// store alone would cause when all leases have run out in it.
TEST_CASE("slots stay where they are over a store outage")
{
  Fleet fleet(3);
  fleet.Run(4s);
  const auto before = Owners(fleet.At(0));
  for (auto& [vm, node] : fleet.mNodes) {
    node.mFault = StoreFault::Outage;
  }
  fleet.Run(600s);
  for (auto& [vm, node] : fleet.mNodes) {
    node.mFault = StoreFault::None;
  }
  fleet.Run(20s);
  CHECK(Owners(fleet.At(0)) == before);
}

// Guards against a process that does not know of a takeover that succeeded.
TEST_CASE("a takeover whose answer was lost is found by reading")
{
  Fleet fleet(1);
  fleet.Run(1s);
  fleet.At(0).mFault = StoreFault::LostAnswer;
  fleet.Run(1s);
  fleet.At(0).mFault = StoreFault::None;
  fleet.Run(8s);
  CHECK(Owned(fleet.At(0)) == 64);
  for (const auto& [slot, owner] : Owners(fleet.At(0))) {
    CHECK(owner.mEpoch <= 2);
  }
}

// Guards against owners that keep their load when VMs are added.
TEST_CASE("a VM that joins later is handed its slots")
{
  Fleet fleet(2);
  fleet.Kill(fleet.At(1));
  fleet.Run(4s);
  CHECK(Owned(fleet.At(0)) == 64);
  fleet.Start(fleet.At(1));
  fleet.Run(60s);
  CHECK(Owned(fleet.At(0)) + Owned(fleet.At(1)) == 64);
  CHECK(Owned(fleet.At(1)) > 16);
  CHECK(fleet.At(1).mExecutions->Counters().mHandoversReceived ==
        Owned(fleet.At(1)));
}

// Guards against two owners of one key: a changed setting must not change the
// slot of a key whose claims are recorded.
TEST_CASE("the recorded slot count takes precedence over the setting")
{
  Fleet fleet(2);
  fleet.Run(4s);
  fleet.mSettings.mFleet.mSlotCount = 16;
  fleet.Start(fleet.At(1));
  fleet.At(0).mSlots->Apply(fleet.mSettings);
  fleet.Run(4s);
  CHECK(fleet.At(0).mSlots->SlotCount() == 64);
  CHECK(fleet.At(1).mSlots->SlotCount() == 64);
}

// Guards against VMs that never learn of a takeover, or ask the store often.
TEST_CASE("a VM that owns nothing learns owners with few calls")
{
  FleetSettings settings;
  settings.mSlotOwners = 2;
  Fleet fleet(3, settings);
  fleet.Run(4s);
  Node* other = nullptr;
  for (auto& [vm, node] : fleet.mNodes) {
    other = Owned(node) == 0 ? &node : other;
  }
  REQUIRE(other != nullptr);
  fleet.Run(60s);
  const std::size_t before = other->mStoreCalls;
  fleet.Run(120s);
  CHECK(other->mStoreCalls - before <= 4);

  // Once an owner is unusable, the others look at once and then less often.
  Node& dead = *fleet.OwnerOf(0u);
  settings.mSlotOwners = 1;
  fleet.mSettings.mFleet.mSlotOwners = 1;
  for (auto& [vm, node] : fleet.mNodes) {
    node.mSlots->Apply(fleet.mSettings);
  }
  fleet.Kill(dead);
  fleet.Run(60s);
  for (const auto& [slot, owner] : Owners(*other)) {
    CHECK(owner.mProcess != dead.mSelf);
  }
}
