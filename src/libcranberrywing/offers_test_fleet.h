/// \file
/// VMs of several regions that exchange offers over a network that can lose,
/// double and delay messages, in steps of virtual time.
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
    /// Requests per second of demand of each region, over time.
    std::vector<std::function<double(double)>> mDemand;
    double mCapacity = 1000;
    std::size_t mVmsPerRegion = 3;
    double mLoss = 0;
    double mDoubling = 0;
    /// Seconds; each message takes a random part of it.
    double mGreatestDelay = 0.02;
    /// Seconds from traffic to the report of it.
    std::size_t mLag = 2;
    std::uint64_t mSeed = 1;
    std::vector<LinkSettings> mLinks = {};
  };

  explicit OfferFleet(Options aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
    , mLoads(Regions(), 0)
    , mReported(Regions(), 0)
  {
    SettingsSnapshot settings;
    settings.mLinks = mOptions.mLinks;
    ServiceSettings& service = settings.mServices[kService];
    for (std::size_t n = 0; n < Regions(); ++n) {
      settings.mRegions.push_back(Region(n));
      BackendSettings backend;
      backend.mRegion = Region(n);
      service.mBackends.push_back(backend);
    }
    mVms.resize(Regions() * mOptions.mVmsPerRegion);
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      Vm& vm = mVms[n];
      vm.mName = { VmId(std::to_string(n)), Incarnation{ 1 } };
      vm.mRegion = n % Regions();
      vm.mBook = std::make_unique<OfferBook>(
        OfferBook::Options{ .mRegion = Region(vm.mRegion) }, MakeHooks(vm));
      vm.mBook->Apply(settings);
    }
  }

  /// Runs the VMs and calls the hook after each step.
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
  /// Requests that went to a region in the last whole second.
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

  /// Whether all VMs of a region have reserved what shifts move.
  bool IsCovered(std::size_t aFrom, std::size_t aTo) const
  {
    return std::all_of(mVms.begin(), mVms.end(), [&](const Vm& aVm) {
      return aVm.mRegion != aFrom ||
             aVm.mBook->IsCovered(kService, Region(aTo), At(mNow));
    });
  }

  /// While set, no message passes.
  bool mIsCut = false;
  /// While set, load reports are missing.
  bool mIsBlind = false;
  std::function<std::vector<std::pair<RegionId, double>>(std::size_t)>
    mShiftedFractions;

private:
  struct Vm
  {
    VmIncarnation mName;
    std::size_t mRegion = 0;
    std::unique_ptr<OfferBook> mBook;
    double mDue = 0;
  };

  struct Delivery
  {
    std::size_t mTo = 0;
    VmIncarnation mFrom;
    Message mMessage;
  };

  std::size_t Regions() const { return mOptions.mDemand.size(); }

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
    hooks.mReportedRate =
      [this, region](const ServiceId&, const RegionId&, TimePoint) {
        return mIsBlind ? std::nullopt : std::optional(mReported[region]);
      };
    hooks.mShiftedFractions = [this, region](const ServiceId&, TimePoint) {
      return mShiftedFractions ? mShiftedFractions(region)
                               : std::vector<std::pair<RegionId, double>>();
    };
    hooks.mRemotePeers = [this, region] {
      std::vector<VmId> audience;
      for (const Vm& vm : mVms) {
        if (vm.mRegion != region) {
          audience.push_back(vm.mName.mVm);
        }
      }
      return audience;
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
      vm.mDue += mOptions.mDemand[vm.mRegion](mNow) * kStep /
                 static_cast<double>(mOptions.mVmsPerRegion);
      for (; vm.mDue >= 1; vm.mDue -= 1) {
        const RegionId chosen = vm.mBook->ChooseRegion(kService, At(mNow));
        mLoads[std::stoul(chosen.mName.substr(7))] += 1;
      }
    }
    if (mNow >= mNextReport) {
      mNextReport += 1;
      mLastSecond = mLoads;
      mHistory.push_back(mLoads);
      std::fill(mLoads.begin(), mLoads.end(), 0);
      if (mHistory.size() > mOptions.mLag) {
        mReported = mHistory[mHistory.size() - 1 - mOptions.mLag];
      }
    }
  }

  void Send(const Vm& aFrom, const EffectList& aEffects)
  {
    std::uniform_real_distribution<double> part(0, 1);
    for (const auto& send : FilterEffects<effect::SendMessage>(aEffects)) {
      const int copies = part(mRandom) < mOptions.mDoubling ? 2 : 1;
      for (int n = 0; n < copies; ++n) {
        if (mIsCut || part(mRandom) < mOptions.mLoss) {
          continue;
        }
        const double delay = part(mRandom) * mOptions.mGreatestDelay;
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
