#include "cranberrywing/shifts.h"

#include <catch2/catch.hpp>
#include <memory>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const RegionId kTarget("kumasi");
const RegionId kSecond("tamale");

/// VMs of one region with equal traffic.
class ShiftFleet
{
public:
  struct Vm
  {
    VmIncarnation mName;
    std::unique_ptr<ShiftController> mShifts;
  };

  /// Adds a VM that takes the present settings as its first ones.
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

  /// Runs and records the part that all VMs together move.
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
      mRecord.push_back(ShiftedFractions(kTarget));
    }
  }

  double ShiftedFractions(const RegionId& aTo) const
  {
    double sum = 0;
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      sum += MovedBy(n, aTo);
    }
    return sum / static_cast<double>(mVms.size());
  }

  double MovedBy(std::size_t aVm, const RegionId& aTo) const
  {
    for (const auto& [region, part] :
         mVms[aVm].mShifts->ShiftedFractions(kService, At(mNow))) {
      if (region == aTo) {
        return part;
      }
    }
    return 0;
  }

  /// Greatest change of the moved part in any minute.
  double GreatestChange() const
  {
    constexpr std::size_t kMinute = 600;
    double greatest = 0;
    for (std::size_t n = 0; n + 1 < mRecord.size(); ++n) {
      const std::size_t last = std::min(n + kMinute, mRecord.size() - 1);
      greatest = std::max(greatest, std::abs(mRecord[last] - mRecord[n]));
    }
    return greatest;
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
  std::vector<double> mRecord;
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

// Guards against a shift over its cap when VMs take the revision at different
// times, and join or are replaced while it is under way.
TEST_CASE("a shift stays under its cap with late and joining VMs")
{
  ShiftFleet fleet = MakeFleet(4);
  fleet.Set({ Shift(kTarget, 0.5) });
  for (std::size_t n = 0; n < 4; ++n) {
    fleet.Apply(n);
    fleet.Run(20);
  }
  fleet.Run(100);
  const double before = fleet.ShiftedFractions(kTarget);
  for (int n = 0; n < 4; ++n) {
    fleet.Join();
    fleet.Run(5);
  }
  CHECK(fleet.ShiftedFractions(kTarget) > before);
  fleet.Run(400);
  CHECK(fleet.ShiftedFractions(kTarget) == Approx(0.5));
  CHECK(fleet.GreatestChange() <= 0.1);
}

// Guards against a VM that waits for ever for peers it does not have, and
// against a jump after its process was paused.
TEST_CASE("a VM alone starts from nothing and does not catch up a pause")
{
  ShiftFleet fleet;
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.Join();
  fleet.Run(60);
  const double moved = fleet.ShiftedFractions(kTarget);
  CHECK(moved > 0.08);
  CHECK(moved <= 0.1);
  fleet.mNow += 600;
  fleet.Run(1);
  CHECK(fleet.ShiftedFractions(kTarget) - moved < 0.01);
}

// Guards against a ramp that goes on while the target region is not known to
// bear it, or makes up for the time it was held.
TEST_CASE("a ramp pauses without permission and while its operator holds it")
{
  ShiftFleet fleet = MakeFleet(2);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(60);
  const double moved = fleet.ShiftedFractions(kTarget);
  fleet.mMayAdvance = false;
  fleet.Run(60);
  CHECK(fleet.ShiftedFractions(kTarget) == moved);
  fleet.mMayAdvance = true;
  ShiftSettings paused = Shift(kTarget, 0.5);
  paused.mPaused = true;
  fleet.Set({ paused });
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.ShiftedFractions(kTarget) == moved);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.ShiftedFractions(kTarget) > moved);
  CHECK(fleet.GreatestChange() <= 0.1);
}

// Guards against a jump when an operator changes a shift under way: a lower
// target, another region, or none.
TEST_CASE("changed and removed shifts ramp under the cap")
{
  ShiftFleet fleet = MakeFleet(2);
  fleet.Set({ Shift(kTarget, 0.5) });
  fleet.ApplyAll();
  fleet.Run(180);
  fleet.Set({ Shift(kTarget, 0.1) });
  fleet.ApplyAll();
  // Going back needs no permission.
  fleet.mMayAdvance = false;
  fleet.Run(200);
  CHECK(fleet.ShiftedFractions(kTarget) == Approx(0.1));

  fleet.mMayAdvance = true;
  fleet.Set({ Shift(kSecond, 0.3) });
  fleet.ApplyAll();
  fleet.Run(30);
  CHECK(fleet.ShiftedFractions(kTarget) > 0);
  CHECK(fleet.ShiftedFractions(kSecond) > 0);
  fleet.Run(300);
  CHECK(fleet.ShiftedFractions(kTarget) == 0);
  CHECK(fleet.ShiftedFractions(kSecond) == Approx(0.3));

  fleet.Set({});
  fleet.ApplyAll();
  fleet.Run(60);
  CHECK(fleet.ShiftedFractions(kSecond) > 0.15);
  fleet.Run(200);
  CHECK(fleet.ShiftedFractions(kSecond) == 0);
  CHECK(fleet.GreatestChange() <= 0.1);
}
