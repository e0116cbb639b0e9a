/// \file
/// Simulates VMs of several regions in virtual time. They exchange offers over
/// a network that can lose, duplicate and delay messages.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/offers.h"
#include "libcranberrywing/balancing_test_settings.h"

namespace cranberrywing::test {

inline RegionId Region(std::size_t aIndex)
{
  return RegionId("region-" + std::to_string(aIndex));
}

class OfferFleet
{
public:
  struct Options
  {
    /// Demand of each region in requests per second, as a function of time.
    std::vector<std::function<double(double)>> mDemand;
    double mCapacity = 1000;
    std::size_t mVmsPerRegion = 3;
    double mLoss = 0;
    double mDuplication = 0;
    /// Maximum network delay in seconds; each message takes a random fraction
    /// of it.
    double mMaxDelay = 0.02;
    /// Seconds from a change of traffic to the load report that shows it.
    std::size_t mReportLag = 2;
    std::uint64_t mSeed = 1;
    std::vector<LinkSettings> mLinks = {};
  };

  explicit OfferFleet(Options aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
    , mLoads(RegionCount(), 0)
    , mReported(RegionCount(), 0)
  {
    SettingsSnapshot settings;
    settings.mLinks = mOptions.mLinks;
    ServiceSettings& service = settings.mServices[kService];
    for (std::size_t n = 0; n < RegionCount(); ++n) {
      settings.mRegions.push_back(Region(n));
      BackendSettings backend;
      backend.mRegion = Region(n);
      service.mBackends.push_back(backend);
    }
    mVms.resize(RegionCount() * mOptions.mVmsPerRegion);
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      Vm& vm = mVms[n];
      vm.mName = { VmId(std::to_string(n)), Incarnation{ 1 } };
      vm.mRegion = n % RegionCount();
      vm.mBook = std::make_unique<OfferBook>(
        OfferBook::Options{ .mRegion = Region(vm.mRegion) }, MakeHooks(vm));
      vm.mBook->Apply(settings);
    }
  }

  /// Advances virtual time and calls aAfterStep after each step.
  void Run(double aSeconds, const std::function<void()>& aAfterStep = {})
  {
    const double end = mNow + aSeconds;
    while (mNow < end) {
      Step();
      if (aAfterStep) {
        aAfterStep();
      }
    }
  }

  double Now() const { return mNow; }
  /// Requests routed to a region in the last whole second.
  double Load(std::size_t aRegion) const { return mLastSecond[aRegion]; }
  double Reserved(std::size_t aRegion) const
  {
    return Sum([&](const Vm& aVm) {
      return aVm.mBook->Reserved(kService, Region(aRegion), At(mNow));
    });
  }
  double Granted(std::size_t aRegion) const
  {
    return Sum([&](const Vm& aVm) {
      const bool isIn = aVm.mRegion == aRegion;
      return isIn ? aVm.mBook->Granted(kService, At(mNow)) : 0;
    });
  }

  /// Whether all VMs of aFrom have reserved what shifts move to aTo.
  bool IsCovered(std::size_t aFrom, std::size_t aTo) const
  {
    return std::all_of(mVms.begin(), mVms.end(), [&](const Vm& aVm) {
      return aVm.mRegion != aFrom ||
             aVm.mBook->IsCovered(kService, Region(aTo), At(mNow));
    });
  }

  /// While set, all messages are lost.
  bool mIsPartitioned = false;
  /// While set, load reports are missing.
  bool mReportsStopped = false;
  std::function<std::vector<std::pair<RegionId, double>>(std::size_t)>
    mShiftedFractions;

private:
  struct Vm
  {
    VmIncarnation mName;
    std::size_t mRegion = 0;
    std::unique_ptr<OfferBook> mBook;
    double mPendingArrivals = 0;
  };

  struct Delivery
  {
    std::size_t mTo = 0;
    VmIncarnation mFrom;
    Message mMessage;
  };

  std::size_t RegionCount() const { return mOptions.mDemand.size(); }

  template<class Value>
  double Sum(Value aValue) const
  {
    double sum = 0;
    for (const Vm& vm : mVms) {
      sum += aValue(vm);
    }
    return sum;
  }

  OfferBookHooks MakeHooks(const Vm& aVm)
  {
    const std::size_t region = aVm.mRegion;
    OfferBookHooks hooks;
    hooks.mFraction = [this](const ServiceId&) {
      return static_cast<std::uint32_t>(1'000'000 / mOptions.mVmsPerRegion);
    };
    hooks.mCapacity = [this](const ServiceId&, const RegionId&, TimePoint) {
      return mOptions.mCapacity;
    };
    hooks.mReportedRate = [this, region](
                            const ServiceId&, const RegionId&, TimePoint) {
      return mReportsStopped ? std::nullopt : std::optional(mReported[region]);
    };
    hooks.mShiftedFractions = [this, region](const ServiceId&, TimePoint) {
      return mShiftedFractions ? mShiftedFractions(region)
                               : std::vector<std::pair<RegionId, double>>();
    };
    hooks.mRemotePeers = [this, region] {
      std::vector<VmId> peers;
      for (const Vm& vm : mVms) {
        if (vm.mRegion != region) {
          peers.push_back(vm.mName.mVm);
        }
      }
      return peers;
    };
    return hooks;
  }

  void Step()
  {
    constexpr double kStep = 0.01;
    mNow += kStep;
    while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
      auto node = mNetwork.extract(mNetwork.begin());
      Receive(node.mapped());
    }
    for (Vm& vm : mVms) {
      EffectList out;
      vm.mBook->Tick(At(mNow), out);
      Send(vm, out);
      vm.mPendingArrivals += mOptions.mDemand[vm.mRegion](mNow) * kStep /
                             static_cast<double>(mOptions.mVmsPerRegion);
      for (; vm.mPendingArrivals >= 1; vm.mPendingArrivals -= 1) {
        const RegionId chosen = vm.mBook->ChooseRegion(kService, At(mNow));
        mLoads[std::stoul(chosen.mName.substr(7))] += 1;
      }
    }
    if (mNow >= mNextReport) {
      mNextReport += 1;
      mLastSecond = mLoads;
      mHistory.push_back(mLoads);
      std::fill(mLoads.begin(), mLoads.end(), 0);
      if (mHistory.size() > mOptions.mReportLag) {
        mReported = mHistory[mHistory.size() - 1 - mOptions.mReportLag];
      }
    }
  }

  void Send(const Vm& aFrom, const EffectList& aEffects)
  {
    std::uniform_real_distribution<double> part(0, 1);
    for (const auto& send : FilterEffects<effect::SendMessage>(aEffects)) {
      const int copies = part(mRandom) < mOptions.mDuplication ? 2 : 1;
      for (int n = 0; n < copies; ++n) {
        if (mIsPartitioned || part(mRandom) < mOptions.mLoss) {
          continue;
        }
        const double delay = part(mRandom) * mOptions.mMaxDelay;
        mNetwork.emplace(
          mNow + delay,
          Delivery{ std::stoul(send.mTo.mName), aFrom.mName, send.mMessage });
      }
    }
  }

  void Receive(const Delivery& aDelivery)
  {
    Vm& vm = mVms[aDelivery.mTo];
    EffectList out;
    const auto pass = [&](const auto* aMessage) {
      if (aMessage != nullptr) {
        vm.mBook->OnMessage(aDelivery.mFrom, *aMessage, At(mNow), out);
      }
    };
    pass(std::get_if<message::OfferAnnouncement>(&aDelivery.mMessage));
    pass(std::get_if<message::ReservationRequest>(&aDelivery.mMessage));
    pass(std::get_if<message::ReservationReply>(&aDelivery.mMessage));
    Send(vm, out);
  }

  Options mOptions;
  std::mt19937_64 mRandom;
  std::vector<Vm> mVms;
  std::multimap<double, Delivery> mNetwork;
  std::vector<double> mLoads;
  std::vector<double> mLastSecond;
  std::vector<double> mReported;
  std::vector<std::vector<double>> mHistory;
  double mNow = 0;
  double mNextReport = 1;
};

} // namespace cranberrywing::test
