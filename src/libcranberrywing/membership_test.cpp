#include "cranberrywing/membership.h"

#include <catch2/catch.hpp>

#include "testing/membership_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLimit = 5s;

/// Upper bound of the detection time: a probe period of 1 s and a suspicion
/// timeout of 3 x log10(12) s.
constexpr Duration kDetection = 8s;

MemberState StateAt(MembershipFleet& aFleet, std::size_t aAt, std::size_t aOf)
{
  const Member* member =
    aFleet.MembershipOf(aAt).Find(MembershipFleet::VmIdOf(aOf));
  return member == nullptr ? MemberState::Dead : member->mUpdate.mState;
}

std::size_t CountCurrent(MembershipFleet& aFleet)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const auto& node = aFleet.At(i);
    const bool runs = node.mRunning && !node.mPaused;
    count +=
      runs && aFleet.MembershipOf(i).IsCurrent(kLimit, aFleet.Now()) ? 1 : 0;
  }
  return count;
}

/// Runs the fleet and returns the minimum number of current VMs seen.
std::size_t MinCurrent(MembershipFleet& aFleet, Duration aDuration)
{
  std::size_t minimum = aFleet.Size();
  for (Duration passed{}; passed < aDuration; passed += 50ms) {
    aFleet.RunFor(50ms);
    minimum = std::min(minimum, CountCurrent(aFleet));
  }
  return minimum;
}

/// The VMs of the first aDomains failure domains; MembershipFleet assigns them
/// round-robin.
std::vector<std::size_t> VmsOfDomains(MembershipFleet& aFleet,
                                      std::size_t aDomains)
{
  std::vector<std::size_t> vms;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (i % 6 < aDomains) {
      vms.push_back(i);
    }
  }
  return vms;
}

} // namespace

// Guards against VMs that do not discover each other from seed addresses, and
// against a new VM that gets the member list of a large fleet late.
TEST_CASE("members find each other within seconds")
{
  MembershipFleet fleet({ .mSize = 115, .mDomains = 19 });
  fleet.RunFor(20s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    REQUIRE(fleet.MembershipOf(i).UsableCount() == fleet.Size());
  }
  fleet.Start(50);
  fleet.RunFor(3s);
  CHECK(fleet.MembershipOf(50).UsableCount() == fleet.Size());
}

// Guards against false suspicions that a member cannot refute, and against
// refutations that do not propagate under packet loss.
TEST_CASE("a suspicion of a living member is refuted")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet({ .mSeed = seed, .mLossProbability = 0.05 });
    fleet.RunFor(10s);
    fleet.Pause(3);
    const auto suspecting = [&fleet] {
      std::size_t count = 0;
      for (std::size_t i = 0; i < fleet.Size(); ++i) {
        count += StateAt(fleet, i, 3) == MemberState::Suspect ? 1 : 0;
      }
      return count;
    };
    for (Duration passed{}; passed < 20s && suspecting() < 2; passed += 50ms) {
      fleet.RunFor(50ms);
    }
    REQUIRE(suspecting() >= 2);
    fleet.Resume(3);
    fleet.RunFor(8s);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      if (i != 3) {
        REQUIRE(StateAt(fleet, i, 3) == MemberState::Alive);
      }
    }
    CHECK(fleet.MembershipOf(3).SelfUpdate().mVersion > 0);
  }
}

// Guards against sending work to a crashed VM, and against treating its
// unreachability as proof of death.
TEST_CASE("a crashed member is unreachable and not dead")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet({ .mSeed = seed, .mLossProbability = 0.02 });
    fleet.RunFor(10s);
    fleet.DeliverVmList({});
    const VmIncarnation process = fleet.MembershipOf(3).Self();
    fleet.Crash(3);
    fleet.RunFor(kDetection + 15s);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      if (i != 3) {
        REQUIRE(StateAt(fleet, i, 3) == MemberState::Unreachable);
        REQUIRE_FALSE(fleet.MembershipOf(i).IsUsable(process.mVm));
        REQUIRE_FALSE(fleet.MembershipOf(i).IsDead(process));
        REQUIRE(fleet.At(i).mDeaths.empty());
      }
    }
  }
}

// Guards against reclaiming what a living process owns because a VM list is
// stale, omits the VM once, or never contained it.
TEST_CASE(
  "a VM list proves death only of a VM that it had and that is unreachable")
{
  MembershipFleet fleet({});
  fleet.RunFor(10s);
  const VmIncarnation process = fleet.MembershipOf(3).Self();

  SECTION("a member that answers is not dead even if lists omit it")
  {
    fleet.DeliverVmList({});
    fleet.DeliverVmList({ 3 });
    fleet.DeliverVmList({ 3 });
    CHECK_FALSE(fleet.MembershipOf(0).IsDead(process));
  }
  SECTION("a list that never had the VM proves nothing")
  {
    fleet.DeliverVmList({ 3 });
    fleet.Crash(3);
    fleet.RunFor(kDetection + 15s);
    fleet.DeliverVmList({ 3 });
    fleet.DeliverVmList({ 3 });
    CHECK_FALSE(fleet.MembershipOf(0).IsDead(process));
  }
  SECTION("one list without the VM may lag behind its start")
  {
    fleet.DeliverVmList({});
    fleet.Crash(3);
    fleet.RunFor(kDetection + 15s);
    fleet.DeliverVmList({ 3 });
    CHECK_FALSE(fleet.MembershipOf(0).IsDead(process));
    fleet.DeliverVmList({});
    fleet.DeliverVmList({ 3 });
    CHECK_FALSE(fleet.MembershipOf(0).IsDead(process));
    fleet.DeliverVmList({ 3 });
    CHECK(fleet.MembershipOf(0).IsDead(process));
    CHECK(fleet.At(0).mDeaths == std::vector{ process });
  }
  SECTION("a proof by one VM's list reaches the others, and a later process "
          "of the same VM lives")
  {
    fleet.DeliverVmList({});
    fleet.Crash(3);
    fleet.RunFor(kDetection + 15s);
    event::VmListReceived list;
    list.mEntries = { { .mVm = MembershipFleet::VmIdOf(0) } };
    for (std::size_t i = 1; i < fleet.Size(); ++i) {
      if (i != 3) {
        list.mEntries.push_back({ .mVm = MembershipFleet::VmIdOf(i) });
      }
    }
    fleet.DeliverVmListTo(0, list);
    fleet.DeliverVmListTo(0, list);
    fleet.RunFor(10s);
    CHECK(fleet.MembershipOf(7).IsDead(process));
    fleet.Start(3);
    fleet.DeliverVmList({});
    fleet.RunFor(10s);
    CHECK_FALSE(fleet.MembershipOf(7).IsDead(fleet.MembershipOf(3).Self()));
    CHECK(fleet.MembershipOf(7).IsUsable(process.mVm));
  }
}

// Guards against rate shares and slots of a restarted VM that can never be
// reclaimed, and against a stale message reviving the earlier process.
TEST_CASE("a later process of a VM proves the earlier one dead")
{
  MembershipFleet fleet({ .mLossProbability = 0.02 });
  fleet.RunFor(10s);
  const VmIncarnation earlier = fleet.MembershipOf(3).Self();
  const MemberUpdate update = fleet.MembershipOf(3).SelfUpdate();
  fleet.Start(3);
  fleet.RunFor(10s);
  EffectList effects;
  message::Probe stale;
  stale.mGossip.mUpdates = { update };
  fleet.MembershipOf(0).OnMessage(earlier, stale, fleet.Now(), effects);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    REQUIRE(fleet.MembershipOf(i).IsDead(earlier));
    REQUIRE_FALSE(fleet.MembershipOf(i).IsDead(fleet.MembershipOf(3).Self()));
    if (i != 3) {
      REQUIRE(fleet.At(i).mDeaths == std::vector{ earlier });
    }
  }
}

// Guards against a process that was wrongly declared dead and continues to use
// what others have taken over.
TEST_CASE("a process that was declared dead is told so")
{
  MembershipFleet fleet({});
  fleet.RunFor(10s);
  fleet.DeliverVmList({});
  fleet.Pause(3);
  fleet.RunFor(kDetection + 15s);
  fleet.DeliverVmList({ 3 });
  fleet.DeliverVmList({ 3 });
  fleet.RunFor(5s);
  fleet.Resume(3);
  fleet.RunFor(3s);
  CHECK(fleet.MembershipOf(3).IsDeclaredDead());
}

// Guards against new work for a VM that is shutting down, against a refutation
// that makes it alive again, and against declaring it dead before its work has
// ended.
TEST_CASE("a leaving member stays leaving until it has ended")
{
  MembershipFleet fleet({ .mLossProbability = 0.05 });
  fleet.RunFor(10s);
  const VmIncarnation process = fleet.MembershipOf(3).Self();
  fleet.Leave(3, false);
  fleet.RunFor(6s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    REQUIRE_FALSE(fleet.MembershipOf(i).IsUsable(process.mVm));
    REQUIRE_FALSE(fleet.MembershipOf(i).IsDead(process));
  }
  fleet.Leave(3, true);
  fleet.Crash(3);
  fleet.RunFor(10s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    if (i != 3) {
      REQUIRE(fleet.MembershipOf(i).IsDead(process));
    }
  }
}

// Guards against refusing keyed traffic when the store is down for all VMs, so
// that no withdrawal can be accepted anywhere.
TEST_CASE("a store outage alone leaves every VM current")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet({ .mSeed = seed, .mLossProbability = 0.02 });
    fleet.RunFor(10s);
    REQUIRE(CountCurrent(fleet) == fleet.Size());
    fleet.SetStoreGroup(-1);
    CHECK(MinCurrent(fleet, 60s) == fleet.Size());
  }
}

// Guards against one VM failure during a store outage stopping keyed traffic on
// all other VMs, although another VM of its failure domain still responds.
TEST_CASE("one crashed VM in a store outage leaves the others current")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet({ .mSeed = seed, .mLossProbability = 0.02 });
    fleet.RunFor(10s);
    fleet.SetStoreGroup(-1);
    fleet.RunFor(20s);
    fleet.Crash(3);
    CHECK(MinCurrent(fleet, 60s) == fleet.Size() - 1);
  }
}

// Guards against withdrawn keys that remain valid in a network partition that
// can reach neither the store nor the VMs that may have accepted the
// withdrawal.
TEST_CASE("VMs that cannot reach store or peers stop being current")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet({ .mSeed = seed });
    fleet.RunFor(10s);
    const std::vector<std::size_t> cut = VmsOfDomains(fleet, GENERATE(1, 2, 4));
    for (const std::size_t vm : cut) {
      fleet.At(vm).mGroup = 1;
    }
    fleet.RunFor(kLimit + 1s);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      const bool isCut = std::find(cut.begin(), cut.end(), i) != cut.end();
      REQUIRE(fleet.MembershipOf(i).IsCurrent(kLimit, fleet.Now()) == !isCut);
      REQUIRE(fleet.MembershipOf(i).IsCurrent(0s, fleet.Now()));
    }
    for (const std::size_t vm : cut) {
      fleet.At(vm).mGroup = 0;
    }
    fleet.RunFor(10s);
    CHECK(CountCurrent(fleet) == fleet.Size());
  }
}

// Guards against a resumed process that treats messages from before its pause
// as recent, and against accepting edits on a VM that is cut off from its
// peers.
TEST_CASE("a paused or isolated VM is not current and accepts no edits")
{
  MembershipFleet fleet({});
  fleet.RunFor(10s);
  fleet.Pause(4);
  fleet.RunFor(8s);
  fleet.At(4).mGroup = 1;
  fleet.Resume(4);
  CHECK_FALSE(fleet.MembershipOf(4).IsCurrent(kLimit, fleet.Now()));
  fleet.RunFor(500ms);
  CHECK_FALSE(fleet.MembershipOf(4).IsCurrent(kLimit, fleet.Now()));
  CHECK_FALSE(fleet.MembershipOf(4).MayAcceptEdits(kLimit, fleet.Now()));
  CHECK(fleet.MembershipOf(5).MayAcceptEdits(kLimit, fleet.Now()));
}

// Guards against a VM that learns of a newer configuration, cannot fetch it and
// continues to accept keys.
TEST_CASE("a VM that stays behind a known version is not current")
{
  MembershipFleet fleet({ .mSize = 2 });
  fleet.RunFor(10s);
  EffectList effects;
  message::Probe probe;
  probe.mGossip.mVersion.mRevision.mNumber = 9;
  auto& node = fleet.At(0);
  fleet.MembershipOf(0).OnMessage(
    fleet.MembershipOf(1).Self(), probe, fleet.Now(), effects);
  node.mVersion.mRevision.mNumber = 1;
  fleet.RunFor(kLimit + 1s);
  node.mVersion.mRevision.mNumber = 1;
  CHECK_FALSE(fleet.MembershipOf(0).IsCurrent(kLimit, fleet.Now()));
}

// Guards against datagrams that the network would fragment or drop.
TEST_CASE("gossip stays within the datagram limit")
{
  MembershipFleet fleet({ .mSize = 60,
                          .mDomains = 19,
                          .mLossProbability = 0.1,
                          .mCountBytes = true });
  fleet.RunFor(5s);
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.Start(i);
  }
  fleet.RunFor(5s);
  CHECK(fleet.LargestDatagram() <= 1200);
  CHECK(fleet.LargestDatagram() > 900);
}
