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

// When several nodes start at the same time, every slot must get an owner, and
// not all slots the same one.
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

// Owners must not be concentrated in one failure domain, even if it has most of
// the VMs, and there must not be more owners than configured.
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

// Slots must move away from a dead owner, but not from one that is only slow.
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
  SECTION("immediately on proof of death")
  {
    fleet.mDead.insert(dead.mSelf);
    fleet.Run(500ms);
  }
  if (fleet.mDead.empty()) {
    fleet.Run(3s);
  }
  for (const auto& [slot, owner] : Owners(fleet.At(1))) {
    const SlotOwner& old = before.at(slot);
    const bool wasOwnedByDead = old.mProcess == dead.mSelf;
    CHECK(owner.mProcess != dead.mSelf);
    CHECK(owner.mEpoch == old.mEpoch + (wasOwnedByDead ? 1 : 0));
  }
}

// A restarted process must not reuse the epochs of its predecessor on the VM.
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

// A store outage in which all leases expire must not by itself cause takeovers,
// which would make outcomes unknown.
TEST_CASE("slots keep their owners through a store outage")
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

// A process must learn of its own takeover even if the store's reply was lost.
TEST_CASE("a takeover whose reply was lost is detected by a read")
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

// When a VM joins, existing owners must hand over part of their slots to it.
TEST_CASE("slots are handed over to a VM that joins later")
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

// A changed slot count setting must not change the slot of a key whose claims
// are recorded; otherwise two owners could run the same key.
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

// A VM that owns no slots must learn of takeovers without polling the store
// often.
TEST_CASE("a VM that owns no slots learns owners with few store calls")
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

  // When an owner becomes unusable, the others read immediately and then with
  // backoff.
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
