#include "store_relay_for_tests.h"

#include <catch2/catch.hpp>
#include <set>

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;

namespace {

/// Bound within which each VM has to know a change: the shortest drain bound of
/// the deployments served.
constexpr Duration kBound = std::chrono::milliseconds(2500);

} // namespace

TEST_CASE("In calm one VM of each group follows the store")
{
  RelayFleet large(3, 10);
  CHECK(large.FollowerCount() == 3);
  std::set<FailureDomainId> domains;
  for (const Vm* vm : large.Followers()) {
    domains.insert(vm->mRecord.mFailureDomain);
  }
  CHECK(domains.size() == 3);
  CHECK(RelayFleet(2, 3).FollowerCount() == 1);
  CHECK(RelayFleet(1, 1).FollowerCount() == 1);
}

TEST_CASE("A change reaches all VMs at once")
{
  RelayFleet fleet(3, 10);
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() <= std::chrono::milliseconds(600));
}

// Pattern: a VM that others rely on dies, is paused or loses power, and a
// server is drained at the same moment.
TEST_CASE("Changes arrive in time although the elected VM has failed")
{
  RelayFleet fleet(3, 10);
  for (Vm* const vm : fleet.Followers()) {
    vm->mIsRunning = false;
  }
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() < kBound);
  fleet.Run(std::chrono::seconds(5));
  CHECK(fleet.FollowerCount() == 3);
}

// Guards against VMs that stay on an old configuration for seconds: the answers
// to one round of watches are lost, and nothing else of the store's.
TEST_CASE(
  "Changes arrive in time although the answers to all watches were lost")
{
  for (RelayFleet fleet :
       { RelayFleet(3, 10), RelayFleet(3, 2), RelayFleet(1, 1) }) {
    fleet.mLosesAnswers = true;
    ++fleet.mStoreRevision;
    fleet.Run(std::chrono::milliseconds(700));
    fleet.mLosesAnswers = false;
    ++fleet.mStoreRevision;
    CHECK(fleet.RunUntilKnown() < kBound);
  }
}

TEST_CASE("In calm the first elected VM reads the store for all")
{
  RelayFleet fleet(9, 10);
  const std::uint64_t calls = fleet.StoreCalls();
  fleet.Run(std::chrono::seconds(10));
  // A long watch of each elected VM, and short ones of the first.
  CHECK(fleet.StoreCalls() - calls <= 9 * 2 + 20);
  for (const Vm& vm : fleet.mVms) {
    const auto age = vm.mRelay.Age(fleet.mNow);
    REQUIRE(age);
    CHECK(*age <= StoreRelay::Options{}.mAgeLimit);
  }
}

// Pattern: the store turns some VMs away and serves the others.
TEST_CASE("VMs that the store turns away learn changes from the others")
{
  RelayFleet fleet(3, 10);
  for (Vm& vm : fleet.mVms) {
    vm.mReachesStore = vm.mRecord.mVm == fleet.mVms.back().mRecord.mVm;
  }
  fleet.Run(std::chrono::seconds(3));
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() < kBound);
  // Only elected VMs keep asking the store for themselves.
  const std::uint64_t calls = fleet.StoreCalls();
  fleet.Run(std::chrono::seconds(10));
  CHECK(fleet.StoreCalls() - calls < 10 * 30);
}

TEST_CASE("The elected VMs are cut off from the store at a change")
{
  RelayFleet fleet(3, 10);
  for (Vm* const vm : fleet.Followers()) {
    vm->mReachesStore = false;
  }
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() < kBound);
}

// Pattern: the store is down for all. Each VM once asked it several times a
// second.
TEST_CASE("In an outage few calls are made, and the return is noticed soon")
{
  RelayFleet fleet(3, 10);
  for (Vm& vm : fleet.mVms) {
    vm.mReachesStore = false;
  }
  fleet.Run(std::chrono::seconds(5));
  const std::uint64_t calls = fleet.StoreCalls();
  fleet.Run(std::chrono::seconds(10));
  CHECK(fleet.StoreCalls() - calls <= 10 * (30 + 3 * 4));
  for (Vm& vm : fleet.mVms) {
    vm.mReachesStore = true;
  }
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() <= std::chrono::seconds(1));
}

// Pattern: the link of an elected VM is congested, so that its messages arrive
// seconds late. They say that nothing had changed when they were sent.
TEST_CASE("Late messages do not pass for recent ones")
{
  RelayFleet fleet(3, 10);
  for (Vm* const vm : fleet.Followers()) {
    vm->mDelay = std::chrono::seconds(3);
  }
  ++fleet.mStoreRevision;
  CHECK(fleet.RunUntilKnown() < kBound);
}

// Pattern: a VM restarts while the store turns it away. It knows no other VM.
TEST_CASE("A restarted VM that the store turns away gets a copy from its group")
{
  RelayFleet fleet(3, 10);
  Vm& vm = fleet.mVms[4];
  vm.mIsRunning = false;
  fleet.Run(std::chrono::seconds(5));
  vm.mRelay = StoreRelay({ .mSelf = vm.mRecord });
  vm.mFleet = FleetView({ .mSelf = vm.mRecord });
  vm.mRevision = 0;
  vm.mReachesStore = false;
  vm.mIsRunning = true;
  CHECK(fleet.RunUntilKnown() < std::chrono::seconds(3));
}

// VMs that hear each other must not take old information for current.
TEST_CASE("Beacons cannot keep a confirmation alive without the store")
{
  RelayFleet fleet(3, 10);
  for (Vm& vm : fleet.mVms) {
    vm.mReachesStore = false;
  }
  fleet.Run(std::chrono::seconds(10));
  for (const Vm& vm : fleet.mVms) {
    const auto age = vm.mRelay.Age(fleet.mNow);
    REQUIRE(age);
    CHECK(*age >= std::chrono::seconds(9));
  }
}

TEST_CASE("A confirmation of a later revision does not cover this VM's copy")
{
  const VmRecord self{ .mVm = VmId("b"), .mRegion = RegionId("r") };
  StoreRelay relay({ .mSelf = self });
  const TimePoint now{ std::chrono::seconds(100) };
  relay.SetProgress({ { 0, 5 }, std::nullopt });
  relay.OnBeacon({ VmId("a"), { 1 } },
                 { .mPosition = { 0, 9 },
                   .mQuerySentAt = relay.Query(now).mSentAt,
                   .mAddress = "a",
                   .mPort = 1 },
                 now);
  CHECK_FALSE(relay.Age(now));
  const auto pull = relay.TakePull(now);
  REQUIRE(pull);
  CHECK(pull->mAfter == StorePosition{ 0, 5 });
  CHECK(pull->mFrom.mVm == VmId("a"));
  CHECK_FALSE(relay.TakePull(now));
  relay.OnPullEnded(PullResult::Applied, now);
  relay.SetProgress({ { 0, 9 }, std::nullopt });
  CHECK(relay.Age(now) == Duration::zero());
}

// Large changes go over the store's fast link, not over that of a small VM.
TEST_CASE("Large changes are pulled from a VM only if the store fails")
{
  StoreRelay relay({ .mSelf = { .mVm = VmId("b"), .mRegion = RegionId("r") } });
  TimePoint now{ std::chrono::seconds(100) };
  relay.SetProgress({ { 0, 5 }, std::nullopt });
  const message::StoreBeacon beacon{ .mPosition = { 0, 9 }, .mAddress = "a" };
  relay.OnBeacon({ VmId("a"), { 1 } }, beacon, now);
  REQUIRE(relay.TakePull(now));
  relay.OnPullEnded(PullResult::TooLarge, now);
  CHECK_FALSE(relay.TakePull(now));
  now += std::chrono::seconds(1);
  relay.OnBeacon({ VmId("a"), { 1 } }, beacon, now);
  const auto pull = relay.TakePull(now);
  REQUIRE(pull);
  CHECK(pull->mMayBeLarge);
}

// Guards against a VM that was cut off while the store was restored: its higher
// revision belongs to the past, and nobody may take it over.
TEST_CASE("A copy of a later epoch is pulled although its revision is lower")
{
  const TimePoint now{ std::chrono::seconds(100) };
  const message::StoreBeacon later{ .mPosition = { 2, 31 }, .mAddress = "a" };
  StoreRelay relay({ .mSelf = { .mVm = VmId("b"), .mRegion = RegionId("r") } });
  relay.SetProgress({ { 1, 90 }, std::nullopt });
  relay.OnBeacon({ VmId("a"), { 1 } }, later, now);
  const auto pull = relay.TakePull(now);
  REQUIRE(pull);
  CHECK(pull->mAfter == StorePosition{ 1, 90 });
  const message::StoreBeacon earlier{ .mPosition = { 1, 90 }, .mAddress = "a" };
  StoreRelay current(
    { .mSelf = { .mVm = VmId("b"), .mRegion = RegionId("r") } });
  current.SetProgress({ { 2, 31 }, std::nullopt });
  current.OnBeacon({ VmId("a"), { 1 } }, earlier, now);
  CHECK_FALSE(current.TakePull(now));
}

TEST_CASE("Entries that another VM keeps since a restore are pulled once")
{
  TimePoint now{ std::chrono::seconds(100) };
  StoreRelay relay({ .mSelf = { .mVm = VmId("b"), .mRegion = RegionId("r") } });
  relay.SetProgress({ { 2, 31 }, std::nullopt, 5 });
  const auto hear = [&](std::uint64_t aDigest) {
    relay.OnBeacon(
      { VmId("a"), { 1 } },
      { .mPosition = { 2, 31 }, .mCarriedDigest = aDigest, .mAddress = "a" },
      now);
  };
  hear(5);
  CHECK_FALSE(relay.TakePull(now));
  hear(6);
  REQUIRE(relay.TakePull(now));
  relay.OnPullEnded(PullResult::Applied, now);
  now += std::chrono::seconds(3);
  hear(6);
  CHECK_FALSE(relay.TakePull(now));
}
