/// \file
/// Test fixture: VMs that pass on the changes of a store.
#pragma once

#include <optional>
#include <vector>

#include "cranberrywing/gateway/store_relay.h"

namespace cranberrywing::gateway::testing {

inline constexpr Duration kTick = std::chrono::milliseconds(25);
/// Time until a pull or a call of the store has an answer.
inline constexpr Duration kRoundTrip = std::chrono::milliseconds(50);
/// Maximum wait of a watch of a VM that confirms, and of another one.
inline const Duration kConfirmInterval =
  StoreFollower::Options{}.mConfirmInterval;
inline const Duration kWatchWait = StoreFollower::Options{}.mWatchWait;
/// Time after the wait of a watch at which it counts as failed.
inline const Duration kCallTimeout = StoreFollower::Options{}.mCallTimeout;

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

} // namespace cranberrywing::gateway::testing
