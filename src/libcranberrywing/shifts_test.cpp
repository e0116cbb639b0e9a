#include "cranberrywing/shifts.h"

#include <catch2/catch.hpp>
#include <memory>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const RegionId kTarget("kumasi");
const RegionId kSecondTarget("tamale");

/// VMs of one region with equal traffic.
class ShiftFleet
{
public:
  struct Vm
  {
    VmIncarnation mName;
    std::unique_ptr<ShiftController> mShifts;
  };

  /// Adds a VM whose first settings are the present ones.
  void Join()
  {
    const VmId name(std::to_string(mVms.size()));
    ShiftHooks hooks;
    hooks.mMayAdvance = [this](const ServiceId&, const RegionId&, TimePoint) {
      return mMayAdvance;
    };
    hooks.mRegionPeers = [this, name] {
      std::vector<VmId> peers;
      for (const Vm& vm : mVms) {
        if (vm.mName.mVm != name) {
          peers.push_back(vm.mName.mVm);
        }
      }
      return peers;
    };
    mVms.push_back(
      { { name, Incarnation{ 1 } },
        std::make_unique<ShiftController>(
          ShiftController::Options{ .mRegion = kRegion }, hooks) });
    Apply(mVms.size() - 1);
  }

  void Set(std::vector<ShiftSettings> aShifts)
  {
    mSettings.mServices[kService].mShifts = std::move(aShifts);
  }

  void Apply(std::size_t aVm)
  {
    EffectList out;
    mVms[aVm].mShifts->Apply(mSettings, At(mNow), out);
    Deliver(aVm, out);
  }

  void ApplyAll()
  {
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      Apply(n);
    }
  }

  /// Advances time and records the fraction that all VMs together move to
  /// kTarget.
  void Run(double aSeconds)
  {
    const double end = mNow + aSeconds;
    while (mNow < end) {
      mNow += 0.1;
      for (std::size_t n = 0; n < mVms.size(); ++n) {
        EffectList out;
        mVms[n].mShifts->Tick(At(mNow), out);
        Deliver(n, out);
      }
      mHistory.push_back(MeanShiftedFraction(kTarget));
    }
  }

  double MeanShiftedFraction(const RegionId& aTo) const
  {
    double sum = 0;
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      sum += ShiftedFractionOf(n, aTo);
    }
    return sum / static_cast<double>(mVms.size());
  }

  double ShiftedFractionOf(std::size_t aVm, const RegionId& aTo) const
  {
    for (const auto& [region, part] :
         mVms[aVm].mShifts->ShiftedFractions(kService, At(mNow))) {
      if (region == aTo) {
        return part;
      }
    }
    return 0;
  }

  /// Maximum change of the shifted fraction within any minute.
  double MaxChangePerMinute() const
  {
    constexpr std::size_t kMinute = 600;
    double maxChange = 0;
    for (std::size_t n = 0; n + 1 < mHistory.size(); ++n) {
      const std::size_t last = std::min(n + kMinute, mHistory.size() - 1);
      maxChange = std::max(maxChange, std::abs(mHistory[last] - mHistory[n]));
    }
    return maxChange;
  }

  bool mMayAdvance = true;
  double mNow = 0;

private:
  void Deliver(std::size_t aFrom, const EffectList& aEffects)
  {
    for (const auto& send : FilterEffects<effect::SendMessage>(aEffects)) {
      const std::size_t to = std::stoul(send.mTo.mName);
      EffectList out;
      mVms[to].mShifts->OnMessage(
        mVms[aFrom].mName,
        std::get<message::ShiftProgress>(send.mMessage),
        At(mNow),
        out);
      Deliver(to, out);
    }
  }

  SettingsSnapshot mSettings = MakeSettings(1);
  std::vector<Vm> mVms;
  std::vector<double> mHistory;
};

ShiftSettings Shift(const RegionId& aTo, double aTarget)
{
  return { "cutover", kRegion, aTo, aTarget, 0.1, false };
}

ShiftFleet MakeFleet(std::size_t aVms)
{
  ShiftFleet fleet;
  for (std::size_t n = 0; n < aVms; ++n) {
    fleet.Join();
  }
  return fleet;
}

} // namespace

// Guards against a shift that exceeds its cap when VMs apply the settings
// revision at different times, and start or are replaced during the shift.
TEST_CASE("a shift stays under its cap with late and starting VMs")
{
  ShiftFleet fleet = MakeFleet(4);
  fleet.Set({ Shift(kTarget, 0.5) });
  for (std::size_t n = 0; n < 4; ++n) {
    fleet.Apply(n);
    fleet.Run(20);
  }
  fleet.Run(100);
  const double before = fleet.MeanShiftedFraction(kTarget);
  for (int n = 0; n < 4; ++n) {
    fleet.Join();
    fleet.Run(5);
  }
  CHECK(fleet.MeanShiftedFraction(kTarget) > before);
  fleet.Run(400);
  CHECK(fleet.MeanShiftedFraction(kTarget) == Approx(0.5));
  CHECK(fleet.MaxChangePerMinute() <= 0.1);
}

// Guards against a VM that waits for ever for peers that do not exist, and
// against a jump after its process was paused.
TEST_CASE("a single VM starts from zero and does not catch up after a pause")
{
  ShiftFleet fleet;
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.Join();
  fleet.Run(60);
  const double shifted = fleet.MeanShiftedFraction(kTarget);
  CHECK(shifted > 0.08);
  CHECK(shifted <= 0.1);
  fleet.mNow += 600;
  fleet.Run(1);
  CHECK(fleet.MeanShiftedFraction(kTarget) - shifted < 0.01);
}

// Guards against a ramp that advances without confirmation that the target
// region can serve the traffic, or that catches up for the time it was held.
TEST_CASE("a ramp is held without permission and while the operator pauses it")
{
  ShiftFleet fleet = MakeFleet(2);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(60);
  const double shifted = fleet.MeanShiftedFraction(kTarget);
  fleet.mMayAdvance = false;
  fleet.Run(60);
  CHECK(fleet.MeanShiftedFraction(kTarget) == shifted);
  fleet.mMayAdvance = true;
  ShiftSettings paused = Shift(kTarget, 0.5);
  paused.mPaused = true;
  fleet.Set({ paused });
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.MeanShiftedFraction(kTarget) == shifted);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.MeanShiftedFraction(kTarget) > shifted);
  CHECK(fleet.MaxChangePerMinute() <= 0.1);
}

// Guards against a jump when an operator changes a shift in progress: a lower
// target, another region, or removal.
TEST_CASE("changed and removed shifts ramp under the cap")
{
  ShiftFleet fleet = MakeFleet(2);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(180);
  fleet.Set({ Shift(kTarget, 0.1) });
  fleet.ApplyAll();
  // A decrease needs no permission.
  fleet.mMayAdvance = false;
  fleet.Run(200);
  CHECK(fleet.MeanShiftedFraction(kTarget) == Approx(0.1));

  fleet.mMayAdvance = true;
  fleet.Set({ Shift(kSecondTarget, 0.3) });
  fleet.ApplyAll();
  fleet.Run(30);
  CHECK(fleet.MeanShiftedFraction(kTarget) > 0);
  CHECK(fleet.MeanShiftedFraction(kSecondTarget) > 0);
  fleet.Run(300);
  CHECK(fleet.MeanShiftedFraction(kTarget) == 0);
  CHECK(fleet.MeanShiftedFraction(kSecondTarget) == Approx(0.3));

  fleet.Set({});
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.MeanShiftedFraction(kSecondTarget) > 0.15);
  fleet.Run(200);
  CHECK(fleet.MeanShiftedFraction(kSecondTarget) == 0);
  CHECK(fleet.MaxChangePerMinute() <= 0.1);
}
