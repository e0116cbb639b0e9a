#include "cranberrywing/gateway/store_relay.h"

#include <catch2/catch.hpp>
#include <set>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(25);
/// Time until a pull or a call of the store has an answer.
constexpr Duration kRoundTrip = std::chrono::milliseconds(50);
/// Maximum wait of a watch of a VM that confirms, and of another one.
constexpr Duration kConfirmInterval = std::chrono::milliseconds(500);
constexpr Duration kWatchWait = std::chrono::seconds(5);
/// Time after the wait of a watch at which it counts as failed.
constexpr Duration kCallTimeout = std::chrono::seconds(1);
/// Bound within which each VM has to know a change: the shortest drain bound of
/// the deployments served.
constexpr Duration kBound = std::chrono::milliseconds(2500);

/// A watch of the store in progress.
struct PendingWatch
{
  TimePoint mStartedAt{};
  Duration mWait{};
  bool mIsAnswerLost = false;
};

/// One VM: its relay, and a model of its store follower.
struct Vm
{
  VmRecord mRecord;
  FleetView mFleet;
  StoreRelay mRelay;
  std::int64_t mRevision = 0;
  std::optional<TimePoint> mConfirmedAt;
  StoreFollowing mFollowing = StoreFollowing::Patient;
  TimePoint mNextStoreCall{};
  std::optional<PendingWatch> mWatch;
  std::optional<std::pair<TimePoint, StorePull>> mPull;
  bool mIsRunning = true;
  bool mReachesStore = true;
  /// Delay of the messages that the VM sends.
  Duration mDelay{};
  std::uint64_t mStoreCalls = 0;
};

/// VMs of one region in failure domains, with a store whose revision the test
/// sets. Messages arrive in the next tick.
class RelayFleet
{
public:
  RelayFleet(int aDomains, int aVmsPerDomain)
  {
    for (int domain = 0; domain < aDomains; ++domain) {
      for (int n = 0; n < aVmsPerDomain; ++n) {
        const std::string name =
          "vm-" + std::to_string(domain) + "-" + std::to_string(n);
        const VmRecord record{ .mVm = VmId(name),
                               .mIncarnation = { 1 },
                               .mRegion = RegionId("north"),
                               .mFailureDomain = FailureDomainId(
                                 "north-" + std::to_string(domain)),
                               .mAddress = name,
                               .mPeerPort = 7000 };
        mVms.push_back({ .mRecord = record,
                         .mFleet = FleetView({ .mSelf = record }),
                         .mRelay = StoreRelay({ .mSelf = record }) });
      }
    }
    for (Vm& vm : mVms) {
      vm.mRevision = mStoreRevision;
      for (const Vm& other : mVms) {
        vm.mFleet.Register(other.mRecord, mNow);
      }
    }
    Run(std::chrono::seconds(3));
  }

  Vm& Find(const VmId& aVm)
  {
    return *std::find_if(mVms.begin(), mVms.end(), [&](const Vm& aEach) {
      return aEach.mRecord.mVm == aVm;
    });
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      Tick();
    }
  }

  /// Runs until all running VMs know the store's revision, and returns the time
  /// that it took.
  Duration RunUntilKnown()
  {
    const TimePoint start = mNow;
    const auto isKnown = [&](const Vm& aVm) {
      return !aVm.mIsRunning || aVm.mRevision >= mStoreRevision;
    };
    while (!std::all_of(mVms.begin(), mVms.end(), isKnown) &&
           mNow - start < std::chrono::seconds(60)) {
      Tick();
    }
    return mNow - start;
  }

  std::size_t FollowerCount() const
  {
    return static_cast<std::size_t>(
      std::count_if(mVms.begin(), mVms.end(), [](const Vm& aVm) {
        return aVm.mIsRunning && aVm.mFollowing != StoreFollowing::Off;
      }));
  }

  std::uint64_t StoreCalls() const
  {
    std::uint64_t calls = 0;
    for (const Vm& vm : mVms) {
      calls += vm.mStoreCalls;
    }
    return calls;
  }

  /// The VMs that follow the store.
  std::vector<Vm*> Followers()
  {
    std::vector<Vm*> followers;
    for (Vm& vm : mVms) {
      if (vm.mIsRunning && vm.mFollowing != StoreFollowing::Off) {
        followers.push_back(&vm);
      }
    }
    return followers;
  }

  std::int64_t mStoreRevision = 1;
  /// Whether the answers to watches are lost.
  bool mLosesAnswers = false;
  std::vector<Vm> mVms;
  TimePoint mNow{ std::chrono::seconds(1000) };

private:
  void Tick()
  {
    mNow += kTick;
    auto arrived = std::exchange(mMessages, {});
    for (const SentMessage& message : arrived) {
      if (message.mArrivesAt > mNow) {
        mMessages.push_back(message);
      } else if (Find(message.mTo).mIsRunning) {
        Receive(Find(message.mTo), message);
      }
    }
    for (Vm& vm : mVms) {
      if (vm.mIsRunning) {
        Step(vm);
      }
    }
  }

  void Step(Vm& aVm)
  {
    // Status messages keep the VMs usable to each other.
    for (Vm& other : mVms) {
      if (other.mIsRunning && other.mFleet.Peers().contains(aVm.mRecord.mVm)) {
        aVm.mFleet.OnStatus({ other.mRecord.mVm, { 1 } }, {}, mNow);
      }
    }
    CallStore(aVm);
    FinishPull(aVm);
    aVm.mRelay.SetProgress({ { 0, aVm.mRevision }, aVm.mConfirmedAt });
    aVm.mRelay.Tick(aVm.mFleet, mNow);
    aVm.mFollowing = aVm.mRelay.Following(mNow);
    if (aVm.mFollowing == StoreFollowing::Off) {
      aVm.mConfirmedAt.reset();
    }
    if (const auto pull = aVm.mRelay.TakePull(mNow)) {
      aVm.mPull = { mNow + kRoundTrip, *pull };
    }
    for (const RelayEndpoint& receiver : aVm.mRelay.TakeQueries(mNow)) {
      Send(aVm, receiver.mVm, aVm.mRelay.Query(mNow));
    }
    for (const RelayEndpoint& receiver : aVm.mRelay.TakeReceivers(mNow)) {
      Send(aVm, receiver.mVm, aVm.mRelay.News());
    }
  }

  void Send(const Vm& aFrom, const VmId& aTo, Message aMessage)
  {
    mMessages.push_back(
      { aTo, aFrom.mRecord.mVm, mNow + aFrom.mDelay, std::move(aMessage) });
  }

  struct SentMessage
  {
    VmId mTo;
    VmId mFrom;
    TimePoint mArrivesAt{};
    Message mMessage;
  };

  void Receive(Vm& aVm, const SentMessage& aMessage)
  {
    if (const auto* const beacon =
          std::get_if<message::StoreBeacon>(&aMessage.mMessage)) {
      aVm.mRelay.OnBeacon({ aMessage.mFrom, { 1 } }, *beacon, mNow);
    } else if (const auto* const query =
                 std::get_if<message::StoreQuery>(&aMessage.mMessage)) {
      if (const auto answer = aVm.mRelay.Answer(*query, mNow)) {
        Send(aVm, aMessage.mFrom, *answer);
      }
    }
  }

  void CallStore(Vm& aVm)
  {
    if (aVm.mFollowing == StoreFollowing::Off) {
      aVm.mWatch.reset();
      return;
    }
    if (aVm.mReachesStore) {
      Watch(aVm);
      return;
    }
    aVm.mWatch.reset();
    aVm.mConfirmedAt.reset();
    if (mNow >= aVm.mNextStoreCall) {
      ++aVm.mStoreCalls;
      aVm.mNextStoreCall = mNow + (aVm.mFollowing == StoreFollowing::Eager
                                     ? std::chrono::milliseconds(300)
                                     : std::chrono::milliseconds(1000));
    }
  }

  /// Watches as StoreFollower does, without pauses.
  void Watch(Vm& aVm)
  {
    const bool isConfirming = aVm.mRelay.IsConfirming(mNow);
    const bool isReplaced =
      aVm.mWatch && isConfirming && aVm.mWatch->mWait > kConfirmInterval;
    if (!aVm.mWatch || isReplaced) {
      ++aVm.mStoreCalls;
      const Duration shortWait =
        aVm.mConfirmedAt.value_or(TimePoint()) + kConfirmInterval - mNow;
      aVm.mWatch = { mNow,
                     isConfirming ? std::max(shortWait, Duration::zero())
                                  : kWatchWait };
    }
    const Duration age = mNow - aVm.mWatch->mStartedAt;
    if (aVm.mWatch->mIsAnswerLost) {
      if (age >= aVm.mWatch->mWait + kCallTimeout) {
        aVm.mWatch.reset();
        aVm.mConfirmedAt.reset();
      }
    } else if (aVm.mRevision < mStoreRevision || age >= aVm.mWatch->mWait) {
      if (mLosesAnswers) {
        aVm.mWatch->mIsAnswerLost = true;
        return;
      }
      aVm.mWatch.reset();
      aVm.mConfirmedAt = mNow;
      aVm.mRevision = std::max(aVm.mRevision, mStoreRevision);
    }
  }

  void FinishPull(Vm& aVm)
  {
    if (!aVm.mPull || mNow < aVm.mPull->first) {
      return;
    }
    const Vm& source = Find(aVm.mPull->second.mFrom.mVm);
    aVm.mPull.reset();
    if (source.mIsRunning) {
      aVm.mRevision = std::max(aVm.mRevision, source.mRevision);
    }
    aVm.mRelay.OnPullEnded(
      source.mIsRunning ? PullResult::Applied : PullResult::Failed, mNow);
  }

  std::vector<SentMessage> mMessages;
};

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
