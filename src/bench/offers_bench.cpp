// Simulates regions at peak demand that send their excess to other regions, by
// reservations of offered capacity and, as baselines, by delayed load reports
// alone. Prints the load of the receiving regions and the fraction of the
// excess that was sent to them.
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>

#include "bench/lagged_load.h"
#include "cranberrywing/offers.h"

using namespace cranberrywing;
using namespace cranberrywing::bench;

namespace {

constexpr std::size_t kVmsPerRegion = 4;
constexpr Duration kMessageLatency = std::chrono::milliseconds(20);
constexpr double kMessageLoss = 0.01;
constexpr Duration kRunDuration = std::chrono::seconds(120);
/// Demand rises linearly from kRiseStart for kRiseDuration to its peak and
/// stays there; both in seconds.
constexpr double kRiseStart = 20;
constexpr double kRiseDuration = 10;
/// Demand of each region as a fraction of its capacity, before and at the peak.
/// The excess of the first two regions just fits into the spare capacity of the
/// others.
constexpr double kBaseDemand[kRegions] = { 0.6, 0.6, 0.55, 0.5, 0.6 };
constexpr double kPeakDemand[kRegions] = { 1.15, 1.05, 0.6, 0.5, 0.65 };

const ServiceId kService("ordering");

RegionId RegionName(std::size_t aRegion)
{
  return RegionId("region-" + std::to_string(aRegion));
}

VmId VmName(std::size_t aVm)
{
  return VmId("vm-" + std::to_string(aVm));
}

SettingsSnapshot MakeSettings()
{
  SettingsSnapshot settings;
  ServiceSettings& service = settings.mServices[kService];
  service.mService = kService;
  for (std::size_t n = 0; n < kRegions; ++n) {
    settings.mRegions.push_back(RegionName(n));
    BackendSettings backend;
    backend.mBackend = BackendId("ord-" + std::to_string(n));
    backend.mRegion = RegionName(n);
    backend.mCapacity = kCapacity;
    service.mBackends.push_back(backend);
  }
  return settings;
}

enum class Policy
{
  Offers,
  /// Baseline without reservations: excess goes to the region with the least
  /// reported load.
  LeastLoad,
  /// Baseline without reservations: excess is spread in proportion to the
  /// reported spare capacity.
  SpreadLoad,
};

/// One VM with the policy components that it uses.
struct Vm
{
  VmIncarnation mName;
  std::size_t mRegion = 0;
  std::unique_ptr<OfferBook> mBook;
  std::unique_ptr<LaggedLoadChooser> mChooser;
  std::unique_ptr<Arrivals> mArrivals;
};

struct RunOptions
{
  Policy mPolicy = Policy::Offers;
  std::size_t mLagSeconds = 2;
  std::uint64_t mSeed = 1;
};

/// One simulation run of all VMs.
class Run
{
public:
  explicit Run(RunOptions aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mLoads(mLoop, aOptions.mLagSeconds)
    , mVms(kRegions * kVmsPerRegion)
  {
    const SettingsSnapshot settings = MakeSettings();
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      Vm& vm = mVms[n];
      vm.mName = { VmName(n), Incarnation{ 1 } };
      vm.mRegion = n % kRegions;
      OfferBook::Options options{ .mRegion = RegionName(vm.mRegion) };
      options.mSeed = n;
      vm.mChooser = std::make_unique<LaggedLoadChooser>(
        mLoads,
        vm.mRegion,
        options.mSpillUtilization,
        mOptions.mPolicy == Policy::SpreadLoad,
        mOptions.mSeed * 100 + n);
      vm.mBook = std::make_unique<OfferBook>(options, MakeHooks(vm));
      vm.mBook->Apply(settings);
    }
  }

  void Execute()
  {
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      Vm& vm = mVms[n];
      vm.mArrivals =
        std::make_unique<Arrivals>(mLoop, mOptions.mSeed * 1000 + n);
      vm.mArrivals->Start(
        [this, &vm] { return Demand(vm.mRegion) / kVmsPerRegion; },
        [this, &vm] { Arrive(vm); });
    }
    Tick();
    mLoop.RunUntil(mLoop.Now() + kRunDuration);
  }

  /// Highest load of a receiving region in any second, as a fraction of its
  /// capacity.
  double MaxLoad() const
  {
    double maxLoad = 0;
    ForEachReceivingLoad(
      [&](double aLoad) { maxLoad = std::max(maxLoad, aLoad); });
    return maxLoad;
  }

  /// Number of seconds above capacity, summed over the receiving regions.
  std::size_t OverloadedSeconds() const
  {
    std::size_t count = 0;
    ForEachReceivingLoad([&](double aLoad) { count += aLoad > 1 ? 1 : 0; });
    return count;
  }

  /// Fraction of the excess that was sent elsewhere. The excess is the demand
  /// of the first two regions above 80% of their capacity, after the rise.
  double PlacedFraction() const
  {
    double excess = 0;
    double sent = 0;
    for (std::size_t second = kSteadySecond; second < mLoads.History().size();
         ++second) {
      for (std::size_t n = 0; n < 2; ++n) {
        excess += kPeakDemand[n] - 0.8;
        sent += kPeakDemand[n] - mLoads.History()[second][n] / kCapacity;
      }
    }
    return sent / excess;
  }

private:
  /// Second from which the demand is steady.
  static constexpr std::size_t kSteadySecond = 60;

  template<class Visit>
  void ForEachReceivingLoad(Visit aVisit) const
  {
    for (const std::vector<double>& second : mLoads.History()) {
      for (std::size_t n = 2; n < kRegions; ++n) {
        aVisit(second[n] / kCapacity);
      }
    }
  }

  /// Requests per second that arrive in a region now.
  double Demand(std::size_t aRegion) const
  {
    const double time = Seconds(mLoop.Now().time_since_epoch());
    const double riseFraction =
      std::clamp((time - kRiseStart) / kRiseDuration, 0.0, 1.0);
    return kCapacity *
           (kBaseDemand[aRegion] +
            riseFraction * (kPeakDemand[aRegion] - kBaseDemand[aRegion]));
  }

  OfferBookHooks MakeHooks(const Vm& aVm)
  {
    OfferBookHooks hooks;
    hooks.mFraction = [](const ServiceId&) {
      return static_cast<std::uint32_t>(1'000'000 / kVmsPerRegion);
    };
    hooks.mCapacity = [](const ServiceId&, const RegionId&, TimePoint) {
      return kCapacity;
    };
    hooks.mReportedRate = [this,
                           &aVm](const ServiceId&, const RegionId&, TimePoint) {
      return mLoads.Reported(aVm.mRegion);
    };
    hooks.mRemotePeers = [this, &aVm] {
      std::vector<VmId> peers;
      for (const Vm& vm : mVms) {
        if (vm.mRegion != aVm.mRegion) {
          peers.push_back(vm.mName.mVm);
        }
      }
      return peers;
    };
    return hooks;
  }

  void Arrive(Vm& aVm)
  {
    if (mOptions.mPolicy != Policy::Offers) {
      mLoads.Count(aVm.mChooser->Choose());
      return;
    }
    const RegionId region = aVm.mBook->ChooseRegion(kService, mLoop.Now());
    mLoads.Count(std::stoul(region.mName.substr(7)));
  }

  void Tick()
  {
    for (Vm& vm : mVms) {
      if (mOptions.mPolicy != Policy::Offers) {
        vm.mChooser->UpdateSpill(Seconds(kControlInterval));
        continue;
      }
      EffectList out;
      vm.mBook->Tick(mLoop.Now(), out);
      Deliver(vm, out);
    }
    mLoop.After(mOptions.mPolicy == Policy::Offers
                  ? Duration(event::kTickInterval)
                  : kControlInterval,
                [this] { Tick(); });
  }

  void Deliver(const Vm& aFrom, const EffectList& aEffects)
  {
    std::uniform_real_distribution<double> lossDraw(0, 1);
    for (const Effect& effect : aEffects) {
      const auto* send = std::get_if<effect::SendMessage>(&effect);
      if (send == nullptr || lossDraw(mRandom) < kMessageLoss) {
        continue;
      }
      Vm& to = mVms[std::stoul(send->mTo.mName.substr(3))];
      mLoop.After(kMessageLatency,
                  [this, &to, &aFrom, message = send->mMessage] {
                    Receive(to, aFrom.mName, message);
                  });
    }
  }

  void Receive(Vm& aTo, const VmIncarnation& aFrom, const Message& aMessage)
  {
    EffectList out;
    OfferBook& book = *aTo.mBook;
    if (const auto* offer =
          std::get_if<message::OfferAnnouncement>(&aMessage)) {
      book.OnMessage(aFrom, *offer, mLoop.Now(), out);
    } else if (const auto* reservation =
                 std::get_if<message::ReservationRequest>(&aMessage)) {
      book.OnMessage(aFrom, *reservation, mLoop.Now(), out);
    } else if (const auto* reply =
                 std::get_if<message::ReservationReply>(&aMessage)) {
      book.OnMessage(aFrom, *reply, mLoop.Now(), out);
    }
    Deliver(aTo, out);
  }

  static constexpr Duration kControlInterval = std::chrono::milliseconds(200);

  RunOptions mOptions;
  std::mt19937_64 mRandom;
  EventLoop mLoop;
  RegionLoads mLoads;
  std::vector<Vm> mVms;
};

} // namespace

int main()
{
  struct Row
  {
    const char* mName;
    Policy mPolicy;
  };
  const Row rows[] = {
    { "offers", Policy::Offers },
    { "least lagged load", Policy::LeastLoad },
    { "spread by lagged load", Policy::SpreadLoad },
  };
  std::printf("%5s %4s  %-22s %9s %11s %8s\n",
              "seed",
              "lag",
              "policy",
              "greatest",
              "overloaded",
              "placed");
  for (const std::size_t lag : { 1, 2, 4 }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      for (const Row& row : rows) {
        Run run({ row.mPolicy, lag, seed });
        run.Execute();
        std::printf("%5llu %3zus  %-22s %8.2fx %8zu s %7.0f%%\n",
                    static_cast<unsigned long long>(seed),
                    lag + 1,
                    row.mName,
                    run.MaxLoad(),
                    run.OverloadedSeconds(),
                    100 * run.PlacedFraction());
      }
    }
  }
}
