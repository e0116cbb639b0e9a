/// \file
/// Test fixture: the placement exchanges of VMs in several regions, connected
/// by a network that can lose, double, delay and cut messages, on a virtual
/// clock.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/gateway/placement_exchange.h"

namespace cranberrywing::gateway::testing {

inline const ServiceId kPlacedService("ordering");

/// Not thread-safe.
class PlacementFleet
{
public:
  struct Options
  {
    std::size_t mRegions = 3;
    std::size_t mVmsPerRegion = 3;
    /// Objects that the callers of each VM request in each region.
    std::size_t mObjects = 5;
    Duration mStep = std::chrono::milliseconds(50);
  };

  struct Vm
  {
    VmIncarnation mProcess;
    RegionId mRegion;
    std::unique_ptr<PlacementExchange> mExchange;
    TimePoint mStartedAt{};
    bool mIsDown = false;
    TimePoint mPausedUntil{};
    std::map<VmId, TimePoint> mHeardAt;
    /// Placements that the VM has decided or adopted while it places.
    std::map<ObjectHash, std::vector<std::uint64_t>> mPlaced;
    /// Messages that arrive while it is paused.
    std::vector<std::function<void()>> mInbox;
    std::size_t mSent = 0;
    std::size_t mReceived = 0;
    std::size_t mLargestStep = 0;
  };

  explicit PlacementFleet(Options aOptions)
    : mOptions(aOptions)
  {
    for (std::size_t region = 0; region < mOptions.mRegions; ++region) {
      for (std::size_t n = 0; n < mOptions.mVmsPerRegion; ++n) {
        const std::string name = "r" + std::to_string(region);
        Vm vm;
        vm.mRegion = RegionId(name);
        vm.mProcess.mVm = VmId(name + "-vm" + std::to_string(n));
        mVms.push_back(std::move(vm));
        Start(mVms.back());
      }
    }
  }

  /// Starts a new process on the VM.
  void Start(Vm& aVm)
  {
    aVm.mProcess.mIncarnation = { ++mProcesses };
    aVm.mExchange =
      std::make_unique<PlacementExchange>(PlacementExchange::Options{
        .mSelf = aVm.mProcess, .mRegion = aVm.mRegion });
    aVm.mStartedAt = mNow;
    aVm.mIsDown = false;
    aVm.mHeardAt.clear();
    aVm.mPlaced.clear();
    aVm.mInbox.clear();
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += mOptions.mStep;
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto handler = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        handler();
      }
      for (Vm& vm : mVms) {
        if (IsRunning(vm)) {
          Step(vm);
        }
      }
      if (mOnStep) {
        mOnStep();
      }
    }
  }

  bool IsRunning(const Vm& aVm) const
  {
    return !aVm.mIsDown && mNow >= aVm.mPausedUntil;
  }

  Vm& Find(const VmId& aVm)
  {
    for (Vm& vm : mVms) {
      if (vm.mProcess.mVm == aVm) {
        return vm;
      }
    }
    throw std::out_of_range("no such VM");
  }

  /// The VM of the region that all its running VMs have elected.
  Vm& PlacingVm(const RegionId& aRegion)
  {
    for (const Vm& vm : mVms) {
      if (IsRunning(vm) && vm.mRegion == aRegion) {
        return Find(*vm.mExchange->PlacingVm(aRegion, mNow));
      }
    }
    throw std::out_of_range("no running VM");
  }

  std::vector<std::uint64_t> Placed(const Vm& aVm,
                                    const RegionId& aRegion,
                                    ObjectHash aObject) const
  {
    const auto servers = aVm.mExchange->Find(aRegion, aObject, mNow);
    return { servers.begin(), servers.end() };
  }

  /// Whether all running VMs have the same placement of each object of the
  /// region, and all objects are placed.
  bool IsAgreed(const RegionId& aRegion) const
  {
    const Vm* first = nullptr;
    for (const Vm& vm : mVms) {
      if (!IsRunning(vm)) {
        continue;
      }
      first = first ? first : &vm;
      for (ObjectHash object = 1; object <= mOptions.mObjects; ++object) {
        const auto servers = Placed(vm, aRegion, object);
        if (servers.empty() || servers != Placed(*first, aRegion, object)) {
          return false;
        }
      }
    }
    return true;
  }

  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<Vm> mVms;
  /// Whether messages from one VM to another are lost; status messages, too.
  std::function<bool(const Vm&, const Vm&)> mIsCut;
  double mLoss = 0;
  double mDoubled = 0;
  Duration mMaxDelay = std::chrono::milliseconds(1);
  /// Called after each step.
  std::function<void()> mOnStep;

private:
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(2500);

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  void Step(Vm& aVm)
  {
    for (const auto& handler : std::exchange(aVm.mInbox, {})) {
      handler();
    }
    TellStatus(aVm);
    std::vector<PlacementCandidate> candidates{ { aVm.mProcess.mVm, 0 } };
    std::vector<VmId> receivers;
    for (const Vm& other : mVms) {
      if (&other == &aVm) {
        continue;
      }
      receivers.push_back(other.mProcess.mVm);
      const auto heard = aVm.mHeardAt.find(other.mProcess.mVm);
      if (other.mRegion == aVm.mRegion && heard != aVm.mHeardAt.end() &&
          mNow - heard->second <= kSilenceLimit) {
        candidates.push_back({ other.mProcess.mVm, 0 });
      }
    }
    std::sort(receivers.begin(), receivers.end());
    PlacementExchange& exchange = *aVm.mExchange;
    exchange.Elect(candidates, mNow);
    if (exchange.TakeReportDue(mNow)) {
      exchange.Prune(mNow);
      Report(aVm);
    }
    if (!exchange.IsPlacing()) {
      aVm.mPlaced.clear();
    } else if (exchange.TakeUpdateDue(mNow)) {
      Place(aVm, receivers);
    }
    exchange.Repeat(receivers, mNow);
    std::size_t sent = 0;
    for (const PlacementMessage& message : exchange.TakeMessages()) {
      Send(aVm, message);
      ++sent;
    }
    aVm.mLargestStep = std::max(aVm.mLargestStep, sent);
  }

  /// Models GatewayStatus, which VMs of a region send each other.
  void TellStatus(Vm& aVm)
  {
    for (Vm& other : mVms) {
      if (other.mRegion == aVm.mRegion && IsRunning(other) &&
          !(mIsCut && mIsCut(aVm, other))) {
        other.mHeardAt[aVm.mProcess.mVm] = mNow;
      }
    }
  }

  void Report(Vm& aVm)
  {
    message::ObjectDemands report{ .mService = kPlacedService };
    for (ObjectHash object = 1; object <= mOptions.mObjects; ++object) {
      report.mObjects.push_back({ object, 1 });
    }
    report.mObjects.resize(std::min<std::size_t>(report.mObjects.size(), 64));
    for (std::size_t region = 0; region < mOptions.mRegions; ++region) {
      const VmId* const to =
        aVm.mExchange->PlacingVm(RegionId("r" + std::to_string(region)), mNow);
      if (to && *to == aVm.mProcess.mVm) {
        aVm.mExchange->OnMessage(aVm.mProcess, report, mNow);
      } else if (to) {
        Send(aVm, { *to, report });
      }
    }
  }

  /// Places each object with demand at a server that depends on the VM, unless
  /// it is placed already.
  void Place(Vm& aVm, const std::vector<VmId>& aReceivers)
  {
    for (const PlacedObject& placed : aVm.mExchange->TakeAdopted(mNow)) {
      aVm.mPlaced[placed.mObject] = placed.mServers;
    }
    for (const auto& [object, slots] :
         aVm.mExchange->ReportedDemand(kPlacedService, mNow)) {
      aVm.mPlaced.try_emplace(
        object,
        std::vector{ HashBytes(aVm.mProcess.mVm.mName, object),
                     std::uint64_t{ aVm.mProcess.mIncarnation.mNumber } });
    }
    std::vector<PlacedObject> placed;
    for (const auto& [object, servers] : aVm.mPlaced) {
      placed.push_back({ object, servers });
    }
    aVm.mExchange->Publish(placed, aReceivers, mNow);
  }

  void Send(Vm& aFrom, const PlacementMessage& aMessage)
  {
    ++aFrom.mSent;
    Vm& to = Find(aMessage.mTo);
    if (Draw() < mLoss || (mIsCut && mIsCut(aFrom, to))) {
      return;
    }
    const int copies = Draw() < mDoubled ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const auto delay = std::chrono::duration_cast<Duration>(
        Draw() * std::chrono::duration<double>(mMaxDelay));
      mEvents.emplace(
        mNow + delay,
        [this,
         from = aFrom.mProcess,
         region = aFrom.mRegion,
         &to,
         message = aMessage.mMessage] { Receive(from, region, to, message); });
    }
  }

  void Receive(const VmIncarnation& aFrom,
               const RegionId& aRegion,
               Vm& aTo,
               const Message& aMessage)
  {
    if (aTo.mIsDown || Find(aFrom.mVm).mProcess != aFrom) {
      return;
    }
    if (!IsRunning(aTo)) {
      aTo.mInbox.push_back([this, aFrom, aRegion, &aTo, aMessage] {
        Receive(aFrom, aRegion, aTo, aMessage);
      });
      return;
    }
    ++aTo.mReceived;
    if (const auto* const placements =
          std::get_if<message::ObjectPlacements>(&aMessage)) {
      aTo.mExchange->OnMessage(aFrom, aRegion, *placements, mNow);
    } else {
      aTo.mExchange->OnMessage(
        aFrom, std::get<message::ObjectDemands>(aMessage), mNow);
    }
  }

  Options mOptions;
  std::uint64_t mProcesses = 0;
  std::mt19937_64 mRandom{ 1 };
  std::multimap<TimePoint, std::function<void()>> mEvents;
};

} // namespace cranberrywing::gateway::testing
