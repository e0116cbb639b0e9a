#include "cranberrywing/gateway/placement_exchange.h"

#include <catch2/catch.hpp>
#include <limits>

#include "placement_test_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{ seconds(100) };
const RegionId kRegion("r0");
const RegionId kFar("r1");
/// FleetView::Options::mSilenceLimit and two steps of the fixture.
constexpr Duration kTakeOverTime = milliseconds(2600);
/// A repetition to all VMs, and an update.
constexpr Duration kConvergenceTime = seconds(6);

PlacementExchange::Options OptionsOf(const std::string& aVm)
{
  return { .mSelf = { VmId(aVm), { 1 } }, .mRegion = kRegion };
}

/// An exchange of a VM that is the only one of its region, and places.
PlacementExchange PlacingExchange()
{
  PlacementExchange exchange(OptionsOf("a"));
  exchange.Elect({ { VmId("a"), 0 } }, kNow);
  return exchange;
}

VmIncarnation Process(const std::string& aVm, std::uint64_t aNumber = 1)
{
  return { VmId(aVm), { aNumber } };
}

std::vector<std::uint64_t> ServersOf(const PlacementExchange& aExchange,
                                     ObjectHash aObject,
                                     TimePoint aNow = kNow)
{
  const auto servers = aExchange.Find(kFar, aObject, aNow);
  return { servers.begin(), servers.end() };
}

using Servers = std::vector<std::uint64_t>;

} // namespace

// Guards against VMs that disagree on the placing VM, and against a slow VM
// that places although a faster one can.
TEST_CASE("The VM with the greatest link rate places, then rendezvous order")
{
  const std::vector<PlacementCandidate> equal{ { VmId("a"), 0 },
                                               { VmId("b"), 0 },
                                               { VmId("c"), 0 } };
  const std::vector<PlacementCandidate> reversed(equal.rbegin(), equal.rend());
  PlacementExchange one(OptionsOf("a"));
  PlacementExchange other(OptionsOf("c"));
  one.Elect(equal, kNow);
  other.Elect(reversed, kNow);
  CHECK(*one.PlacingVm(kRegion, kNow) == *other.PlacingVm(kRegion, kNow));
  for (const char* fastest : { "a", "b", "c" }) {
    std::vector<PlacementCandidate> rated = equal;
    for (PlacementCandidate& each : rated) {
      each.mLinkMbps = each.mVm == VmId(fastest) ? 200 : 10;
    }
    one.Elect(rated, kNow);
    CHECK(*one.PlacingVm(kRegion, kNow) == VmId(fastest));
  }
  one.Elect({}, kNow);
  CHECK(one.PlacingVm(kRegion, kNow) == nullptr);
}

// Guards against the loss of all placements, and with them of all caches, when
// the placing VM dies.
TEST_CASE("Another VM takes over from a placing VM that dies")
{
  PlacementFleet fleet({});
  fleet.Run(seconds(5));
  REQUIRE(fleet.IsAgreed(kRegion));
  PlacementFleet::Vm& dead = fleet.PlacingVm(kRegion);
  const auto before = fleet.Placed(dead, kRegion, 1);
  const std::uint64_t number = dead.mExchange->NumberOf(kRegion);
  dead.mIsDown = true;
  bool isAlwaysAgreed = true;
  fleet.mOnStep = [&] { isAlwaysAgreed &= fleet.IsAgreed(kRegion); };
  fleet.Run(kTakeOverTime);
  CHECK(&fleet.PlacingVm(kRegion) != &dead);
  for (const auto& vm : fleet.mVms) {
    if (!vm.mIsDown) {
      CHECK(vm.mExchange->NumberOf(kRegion) == number + 1);
      CHECK(*vm.mExchange->PlacingVm(kRegion, fleet.mNow) != dead.mProcess.mVm);
    }
  }
  fleet.Run(seconds(30));
  CHECK(isAlwaysAgreed);
  CHECK(fleet.Placed(fleet.PlacingVm(kRegion), kRegion, 1) == before);
}

// Guards against a VM that goes on with a number from before its pause, which
// all others ignore, so that their entries expire.
TEST_CASE("A placing VM that was paused continues where the other one is")
{
  PlacementFleet fleet({});
  fleet.Run(seconds(5));
  PlacementFleet::Vm& paused = fleet.PlacingVm(kRegion);
  const auto before = fleet.Placed(paused, kRegion, 1);
  paused.mPausedUntil = fleet.mNow + seconds(5);
  bool isAlwaysAgreed = true;
  fleet.mOnStep = [&] { isAlwaysAgreed &= fleet.IsAgreed(kRegion); };
  fleet.Run(seconds(5) + kConvergenceTime);
  CHECK(&fleet.PlacingVm(kRegion) == &paused);
  const std::uint64_t number = paused.mExchange->NumberOf(kRegion);
  for (const auto& vm : fleet.mVms) {
    CHECK(vm.mExchange->NumberOf(kRegion) == number);
  }
  fleet.Run(seconds(30));
  CHECK(isAlwaysAgreed);
  CHECK(fleet.Placed(paused, kRegion, 1) == before);
}

// Guards against the same fault when all that was sent to the VM meanwhile is
// lost, and with it the present number.
TEST_CASE("A placing VM that was cut off is told the present number")
{
  PlacementFleet fleet({});
  fleet.Run(seconds(5));
  PlacementFleet::Vm& cutOff = fleet.PlacingVm(kRegion);
  const std::uint64_t number = cutOff.mExchange->NumberOf(kRegion);
  fleet.mIsCut = [&](const auto& aFrom, const auto& aTo) {
    return &aFrom == &cutOff || &aTo == &cutOff;
  };
  const TimePoint cutAt = fleet.mNow;
  fleet.Run(kTakeOverTime);
  for (const auto& vm : fleet.mVms) {
    if (&vm != &cutOff) {
      CHECK(*vm.mExchange->PlacingVm(kRegion, fleet.mNow) !=
            cutOff.mProcess.mVm);
    }
  }
  // The last repetition that it received is up to 4 s older than the cut.
  fleet.Run(cutAt + seconds(7) - fleet.mNow);
  CHECK_FALSE(fleet.Placed(cutOff, kFar, 1).empty());
  fleet.Run(cutAt + seconds(13) - fleet.mNow);
  CHECK(fleet.Placed(cutOff, kFar, 1).empty());
  fleet.mIsCut = nullptr;
  fleet.Run(kConvergenceTime);
  CHECK(fleet.IsAgreed(kRegion));
  CHECK(fleet.IsAgreed(kFar));
  CHECK(&fleet.PlacingVm(kRegion) == &cutOff);
  CHECK(cutOff.mExchange->NumberOf(kRegion) > number);
}

// Guards against entries that alternate, or vanish, while two VMs place the
// objects of a region because they do not hear each other.
TEST_CASE("Two VMs that place at the same time end up with the same entries")
{
  PlacementFleet fleet({ .mVmsPerRegion = 4 });
  fleet.Run(seconds(5));
  PlacementFleet::Vm& first = fleet.PlacingVm(kRegion);
  // The one that places if the first one is not heard.
  std::vector<PlacementCandidate> others;
  for (const auto& vm : fleet.mVms) {
    if (vm.mRegion == kRegion && &vm != &first) {
      others.push_back({ vm.mProcess.mVm, 0 });
    }
  }
  PlacementExchange view(OptionsOf("x"));
  view.Elect(others, fleet.mNow);
  PlacementFleet::Vm& second = fleet.Find(*view.PlacingVm(kRegion, fleet.mNow));
  fleet.mIsCut = [&](const auto& aFrom, const auto& aTo) {
    return (&aFrom == &first && &aTo == &second) ||
           (&aFrom == &second && &aTo == &first);
  };
  std::size_t unplaced = 0;
  bool haveBothPlaced = false;
  fleet.mOnStep = [&] {
    haveBothPlaced |=
      first.mExchange->IsPlacing() && second.mExchange->IsPlacing();
    for (const auto& vm : fleet.mVms) {
      unplaced += fleet.Placed(vm, kRegion, 1).empty() ? 1 : 0;
    }
  };
  fleet.Run(seconds(20));
  CHECK(haveBothPlaced);
  CHECK(unplaced == 0);
  fleet.mIsCut = nullptr;
  fleet.Run(kConvergenceTime);
  CHECK(unplaced == 0);
  CHECK(fleet.IsAgreed(kRegion));
}

// Guards against entries that go back to an older state or vanish because of
// what the network does to messages.
TEST_CASE("Lost, doubled, late and reordered messages only delay entries")
{
  PlacementFleet fleet({});
  fleet.mLoss = 0.3;
  fleet.mDoubled = 0.3;
  fleet.mMaxDelay = seconds(3);
  std::map<const PlacementFleet::Vm*, std::uint64_t> numbers;
  bool isDecreasing = false;
  fleet.mOnStep = [&] {
    for (const auto& vm : fleet.mVms) {
      const std::uint64_t number = vm.mExchange->NumberOf(kRegion);
      isDecreasing |= number < std::exchange(numbers[&vm], number);
    }
  };
  fleet.Run(seconds(30));
  CHECK_FALSE(isDecreasing);
  // Two of three repetitions within an entry's lifetime may be lost.
  CHECK(fleet.IsAgreed(kRegion));
  fleet.mLoss = 0;
  fleet.mMaxDelay = milliseconds(1);
  fleet.Run(seconds(3) + kConvergenceTime);
  CHECK(fleet.IsAgreed(kRegion));
  CHECK(fleet.IsAgreed(kFar));
}

// Guards against an ended entry that a late message brings back, and against
// another VM's entries under the number of the present ones.
TEST_CASE("Only higher numbers, or the same from the same VM, are accepted")
{
  PlacementExchange exchange(OptionsOf("a"));
  const auto receive =
    [&](const VmIncarnation& aFrom, std::uint64_t aNumber, Servers aServers) {
      exchange.OnMessage(
        aFrom, kFar, { aNumber, { { 5, std::move(aServers) } } }, kNow);
      return ServersOf(exchange, 5);
    };
  CHECK(receive(Process("x"), 3, { 1 }) == Servers{ 1 });
  CHECK(receive(Process("x"), 2, { 2 }) == Servers{ 1 });
  CHECK(receive(Process("y"), 3, { 3 }) == Servers{ 1 });
  CHECK(receive(Process("x"), 3, { 4 }) == Servers{ 4 });
  CHECK(receive(Process("y"), 4, {}).empty());
  CHECK(receive(Process("x"), 3, { 4 }).empty());
  CHECK(*exchange.PlacingVm(kFar, kNow) == VmId("y"));
  // A later process of the same VM begins anew.
  CHECK(receive(Process("y", 2), 1, { 6 }) == Servers{ 6 });
  // The next number after this one would be zero.
  const auto greatest = std::numeric_limits<std::uint64_t>::max();
  CHECK(receive(Process("z"), greatest, { 7 }) == Servers{ 6 });
}

// Guards against entries of a region whose VMs are all gone, and against a
// region that is not heard any more after its numbers began anew.
TEST_CASE("Entries that are not repeated expire, and so does their number")
{
  PlacementExchange exchange(OptionsOf("a"));
  exchange.OnMessage(Process("x"), kFar, { 9, { { 5, { 1 } } } }, kNow);
  CHECK(ServersOf(exchange, 5, kNow + seconds(12)) == Servers{ 1 });
  const TimePoint later = kNow + milliseconds(12001);
  CHECK(ServersOf(exchange, 5, later).empty());
  CHECK(exchange.EntryCount(later) == 0);
  CHECK(exchange.PlacingVm(kFar, later) == nullptr);
  exchange.OnMessage(Process("y"), kFar, { 1, { { 5, { 2 } } } }, later);
  CHECK(ServersOf(exchange, 5, later) == Servers{ 2 });
}

// Guards against a fleet that stays without entries after a restart, since each
// VM waits for another one's, or ignores numbers that are lower than before.
TEST_CASE("After a restart of all VMs objects are placed again")
{
  PlacementFleet fleet({});
  fleet.Run(seconds(8));
  const auto before = fleet.Placed(fleet.mVms.front(), kRegion, 1);
  for (auto& vm : fleet.mVms) {
    fleet.Start(vm);
  }
  CHECK(fleet.Placed(fleet.mVms.front(), kRegion, 1).empty());
  fleet.Run(seconds(4));
  CHECK(fleet.IsAgreed(kRegion));
  CHECK(fleet.Placed(fleet.mVms.front(), kRegion, 1) != before);
}

// Guards against the same when only the placing VM restarts, faster than the
// others notice.
TEST_CASE("A placing VM that restarts at once is heeded at once")
{
  PlacementFleet fleet({});
  fleet.Run(seconds(8));
  PlacementFleet::Vm& placing = fleet.PlacingVm(kRegion);
  fleet.Start(placing);
  fleet.Run(seconds(5));
  CHECK(&fleet.PlacingVm(kRegion) == &placing);
  CHECK(fleet.IsAgreed(kRegion));
}

// Guards against objects that are moved because of a defective report.
TEST_CASE("Absurd figures in reports are ignored")
{
  PlacementExchange exchange = PlacingExchange();
  const auto demand = [&](const message::ObjectDemands& aReport) {
    exchange.OnMessage(Process("x"), aReport, kNow);
    return exchange.ReportedDemand(kPlacedService, kNow);
  };
  constexpr float kInfinity = std::numeric_limits<float>::infinity();
  const auto sane = demand({ kPlacedService,
                             { { 1, std::numeric_limits<float>::quiet_NaN() },
                               { 2, kInfinity },
                               { 3, -kInfinity },
                               { 4, -1 },
                               { 5, 1e30F },
                               { 6, 0 },
                               { 7, 2 } } });
  CHECK(sane == PlacementExchange::Demand{ { 7, 2 } });

  message::ObjectDemands large{ kPlacedService, {} };
  for (ObjectHash object = 1; object <= 200; ++object) {
    large.mObjects.push_back({ object, 9999 });
  }
  double sum = 0;
  const auto capped = demand(large);
  for (const auto& [object, slots] : capped) {
    sum += slots;
  }
  CHECK(capped.size() == 64);
  CHECK(sum == Approx(10000));
}

// Guards against demand of a VM that is gone, or of an earlier report.
TEST_CASE("Reports are added up, replaced and count for two seconds")
{
  PlacementExchange exchange = PlacingExchange();
  exchange.OnMessage(Process("x"), { kPlacedService, { { 1, 2 } } }, kNow);
  exchange.OnMessage(
    Process("y"), { kPlacedService, { { 1, 3 }, { 2, 1 } } }, kNow);
  CHECK(exchange.ReportedDemand(kPlacedService, kNow) ==
        PlacementExchange::Demand{ { 1, 5 }, { 2, 1 } });
  const TimePoint later = kNow + seconds(2);
  exchange.OnMessage(Process("y"), { kPlacedService, { { 1, 4 } } }, later);
  CHECK(exchange.ReportedDemand(kPlacedService, later) ==
        PlacementExchange::Demand{ { 1, 6 } });
  CHECK(exchange.ReportedDemand(kPlacedService, later + milliseconds(1)) ==
        PlacementExchange::Demand{ { 1, 4 } });
}

// Guards against messages beyond what a link of 10 Mbit/s and a datagram carry:
// all entries at once to all VMs, or after a pause all that is overdue.
TEST_CASE("Repetitions are complete, bounded and spread over time")
{
  PlacementExchange exchange = PlacingExchange();
  std::vector<PlacedObject> placed;
  for (ObjectHash object = 1; object <= 120; ++object) {
    placed.push_back({ object, { 10 } });
  }
  std::vector<VmId> receivers;
  for (int n = 0; n < 40; ++n) {
    receivers.emplace_back("vm" + std::to_string(100 + n));
  }
  exchange.Publish(placed, receivers, kNow);
  CHECK(exchange.TakeMessages().size() == 3 * receivers.size());

  std::map<VmId, std::map<ObjectHash, int>> told;
  const auto repeat = [&](TimePoint aNow) {
    exchange.Repeat(receivers, aNow);
    const auto messages = exchange.TakeMessages();
    for (const PlacementMessage& message : messages) {
      const auto& entries =
        std::get<message::ObjectPlacements>(message.mMessage).mObjects;
      CHECK(entries.size() <= 50);
      for (const PlacedObject& entry : entries) {
        ++told[message.mTo][entry.mObject];
      }
    }
    return messages.size();
  };
  TimePoint now = kNow;
  for (; now < kNow + seconds(4); now += milliseconds(25)) {
    CHECK(repeat(now) <= 1);
  }
  repeat(now);
  CHECK(told.size() == receivers.size());
  for (const auto& [vm, objects] : told) {
    CHECK(objects.size() == 120);
  }
  now += seconds(5);
  CHECK(repeat(now) <= 8);
  exchange.Publish(placed, receivers, now);
  // VMs that come and go do not delay the messages to others.
  receivers.erase(receivers.begin() + 5, receivers.begin() + 15);
  told.clear();
  for (const TimePoint end = now + seconds(5); now < end;
       now += milliseconds(25)) {
    repeat(now);
  }
  CHECK(told.size() == 30);
}

// Guards against a number of messages that grows with the square of the fleet.
TEST_CASE("Messages per VM and second stay flat from 30 to 300 VMs")
{
  struct Rates
  {
    double mSent = 0;
    double mReceived = 0;
    /// Of the VM that sends or receives the most, a placing one.
    double mMostSent = 0;
    double mMostReceived = 0;
    std::size_t mLargestStep = 0;
  };
  const auto measure = [](std::size_t aVmsPerRegion) {
    PlacementFleet fleet({ .mVmsPerRegion = aVmsPerRegion,
                           .mObjects = 64,
                           .mStep = milliseconds(100) });
    fleet.Run(seconds(5));
    for (auto& vm : fleet.mVms) {
      vm.mSent = 0;
      vm.mReceived = 0;
      vm.mLargestStep = 0;
    }
    fleet.Run(seconds(8));
    Rates rates;
    const double share = 1 / (8.0 * static_cast<double>(fleet.mVms.size()));
    for (const auto& vm : fleet.mVms) {
      rates.mSent += share * static_cast<double>(vm.mSent);
      rates.mReceived += share * static_cast<double>(vm.mReceived);
      rates.mMostSent =
        std::max(rates.mMostSent, static_cast<double>(vm.mSent) / 8);
      rates.mMostReceived =
        std::max(rates.mMostReceived, static_cast<double>(vm.mReceived) / 8);
      rates.mLargestStep = std::max(rates.mLargestStep, vm.mLargestStep);
    }
    return rates;
  };
  const Rates small = measure(10);
  const Rates large = measure(100);
  INFO("sent per VM and second: "
       << small.mSent << " of 30 VMs, " << large.mSent << " of 300; received "
       << small.mReceived << ", " << large.mReceived << "; in one step "
       << small.mLargestStep << ", " << large.mLargestStep
       << "; by a placing VM " << small.mMostSent << " sent, "
       << small.mMostReceived << " received of 30, " << large.mMostSent
       << " sent, " << large.mMostReceived << " received of 300");
  CHECK(large.mSent <= 1.1 * small.mSent);
  CHECK(large.mReceived <= 1.1 * small.mReceived);
  // The placing VM sends two messages to each of 299 VMs in 4 s, 40 steps.
  CHECK(large.mLargestStep <= 16);
}

// Guards against a region whose objects cannot be placed any more after one
// message with the greatest number.
TEST_CASE("Placing goes on after a message with the greatest number")
{
  PlacementExchange exchange(OptionsOf("a"));
  exchange.Elect({ { VmId("a"), 0 } }, kNow);
  exchange.OnMessage({ VmId("b"), { 1 } },
                     kRegion,
                     message::ObjectPlacements{ std::uint64_t{ 1 } << 62U, {} },
                     kNow);
  exchange.Publish({ { 7, { 1 } } }, {}, kNow);
  CHECK(exchange.NumberOf(kRegion) == 1);
}
