#include "cranberrywing/gateway/fleet_view.h"

#include <catch2/catch.hpp>
#include <limits>
#include <set>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

VmRecord Record(const std::string& aName)
{
  return { .mVm = VmId(aName),
           .mIncarnation = { 1 },
           .mRegion = RegionId("north"),
           .mAddress = aName };
}

/// A view of vm-0 on vm-1 and vm-2, whose status messages have arrived.
struct Fixture
{
  Fixture()
  {
    mView.Register(Record("vm-1"), mNow);
    mView.Register(Record("vm-2"), mNow);
    Hear("vm-1");
    Hear("vm-2");
  }

  void Hear(const std::string& aName, std::uint64_t aIncarnation = 1)
  {
    mView.OnStatus({ VmId(aName), { aIncarnation } }, {}, mNow);
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    mView.Tick(mNow);
  }

  std::size_t TargetCount() const
  {
    return mView.CallerTargets(RegionId("north"), { .mIsReady = true }, mNow)
      .size();
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  FleetView mView{ { .mSelf = Record("vm-0") } };
};

} // namespace

// Pattern: the store turns a VM away, so that its entry expires; its callers
// must not be moved, nor its share of the limits given to others.
TEST_CASE("A VM without a store entry is used while it is heard")
{
  Fixture fixture;
  fixture.mView.Remove(VmId("vm-1"), fixture.mNow);
  for (int n = 0; n < 20; ++n) {
    fixture.Advance(std::chrono::seconds(1));
    fixture.Hear("vm-1");
    fixture.Hear("vm-2");
  }
  CHECK(fixture.TargetCount() == 3);
  CHECK(fixture.mView.SharingVmCount() == 3);
}

TEST_CASE("A VM without a store entry that falls silent is dropped")
{
  Fixture fixture;
  fixture.mView.Remove(VmId("vm-1"), fixture.mNow);
  fixture.Advance(std::chrono::seconds(3));
  fixture.Hear("vm-2");
  CHECK(fixture.TargetCount() == 2);
  CHECK(fixture.mView.SharingVmCount() == 3);
  fixture.Advance(std::chrono::seconds(20));
  CHECK(fixture.mView.SharingVmCount() == 2);
}

// Guards against callers that are sent to a VM which has restarted, or which
// has never been heard.
TEST_CASE("Messages of an earlier incarnation do not keep a VM in use")
{
  Fixture fixture;
  VmRecord restarted = Record("vm-1");
  restarted.mIncarnation = { 2 };
  fixture.mView.Register(restarted, fixture.mNow);
  fixture.mView.Remove(VmId("vm-1"), fixture.mNow);
  fixture.Hear("vm-1", 1);
  CHECK(fixture.TargetCount() == 2);
}

TEST_CASE("A leaving VM gets no callers although it is heard")
{
  Fixture fixture;
  fixture.mView.OnStatus(
    { VmId("vm-1"), { 1 } }, { .mIsLeaving = true }, fixture.mNow);
  CHECK(fixture.TargetCount() == 2);
}

// Guards against a plan that one VM's message makes meaningless.
TEST_CASE("Demand that is no number or negative is ignored")
{
  Fixture fixture;
  const ServiceId service("ordering");
  const VmIncarnation sender{ VmId("vm-1"), { 1 } };
  for (const float odd : { std::numeric_limits<float>::quiet_NaN(),
                           std::numeric_limits<float>::infinity(),
                           -1e30F }) {
    const ServiceDemand demand{ service, odd, odd };
    fixture.mView.OnStatus(sender, { .mDemand = { demand } }, fixture.mNow);
    fixture.mView.OnBoundDemands(
      sender,
      { .mDemand = { { service, RegionId("south"), odd } } },
      fixture.mNow);
    CHECK(fixture.mView.OwnRegionRate(service, fixture.mNow) == 0);
    CHECK(fixture.mView.OwnBoundDemand(
            RegionId("south"), service, fixture.mNow) == 0);
  }
}

// Pattern: 95 VMs, each of which hears a VM of another region only every few
// seconds. Their demand was once the sum of what had arrived in time, so that
// busy regions seemed idle.
TEST_CASE("The demand of another region is known from any of its VMs")
{
  Fixture fixture;
  const ServiceId service("ordering");
  const auto tell = [&](int aVm, float aSlots) {
    VmRecord record = Record("far-" + std::to_string(aVm));
    record.mRegion = RegionId("south");
    fixture.mView.Register(record, fixture.mNow);
    fixture.mView.OnRegionDemand(
      { record.mVm, record.mIncarnation },
      { .mDemand = { { .mService = service, .mSlots = aSlots } } },
      fixture.mNow);
  };
  const auto demand = [&] {
    return fixture.mView.Demand(RegionId("south"), service, fixture.mNow);
  };
  CHECK(demand() == 0);
  for (int n = 0; n < 31; ++n) {
    tell(n, 200);
    CHECK(demand() == Approx(200));
    fixture.Advance(std::chrono::milliseconds(500));
  }
  // A VM that has just started knows little of its region.
  tell(31, 5);
  CHECK(demand() == Approx(200));
  fixture.Advance(std::chrono::seconds(10));
  CHECK(demand() == 0);
}

TEST_CASE("The demand of the own region is the sum of its VMs")
{
  Fixture fixture;
  const ServiceId service("ordering");
  for (const char* name : { "vm-1", "vm-2" }) {
    fixture.mView.OnStatus({ VmId(name), { 1 } },
                           { .mDemand = { { service, 10, 4 } } },
                           fixture.mNow);
  }
  CHECK(fixture.mView.Demand(RegionId("north"), service, fixture.mNow) == 8);
  CHECK(fixture.mView.OwnRegionRate(service, fixture.mNow) == 20);
}

namespace {

/// A view of vm-0 on four VMs of its region and two of another one, all heard.
struct RegionsFixture : Fixture
{
  RegionsFixture()
  {
    for (const char* name : { "vm-3", "vm-4", "far-1", "far-2" }) {
      VmRecord record = Record(name);
      record.mRegion = RegionId(name[0] == 'f' ? "south" : "north");
      mView.Register(record, mNow);
      Hear(name);
    }
  }

  void TellCutOff(const std::string& aName, bool aIsCutOff = true)
  {
    mView.OnServerReach({ VmId(aName), { 1 } }, { aIsCutOff }, mNow);
  }

  /// Names of the VMs to which callers of the own region are directed.
  std::set<std::string> Targets(bool aSelfIsCutOff = false) const
  {
    std::set<std::string> names;
    for (const VmRecord& vm :
         mView.CallerTargets(RegionId("north"),
                             { .mIsReady = true, .mIsCutOff = aSelfIsCutOff },
                             mNow)) {
      names.insert(vm.mVm.mName);
    }
    return names;
  }
};

} // namespace

// Guards against callers that are kept at the cut-off VMs of their region,
// since VMs of other regions are named only if the region has none at all.
TEST_CASE("Callers of a region that reaches no server are sent to others")
{
  RegionsFixture fixture;
  for (const char* name : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
    fixture.TellCutOff(name);
  }
  CHECK(fixture.Targets(true) == std::set<std::string>{ "far-1", "far-2" });
  fixture.TellCutOff("far-1");
  fixture.TellCutOff("far-2");
  CHECK(fixture.Targets(true) ==
        std::set<std::string>{ "vm-0", "vm-1", "vm-2", "vm-3", "vm-4" });
}

// Guards against the last VMs that reach servers falling over under the callers
// of a whole region.
TEST_CASE("A few VMs that reach servers do not get all callers of a region")
{
  RegionsFixture fixture;
  for (const char* name : { "vm-1", "vm-2", "vm-3" }) {
    fixture.TellCutOff(name);
  }
  CHECK(fixture.Targets(true) ==
        std::set<std::string>{ "vm-4", "far-1", "far-2" });
  fixture.TellCutOff("vm-3", false);
  CHECK(fixture.Targets(true) == std::set<std::string>{ "vm-3", "vm-4" });
}

// Guards against a VM that stays out of lookups after the message about the
// return of its links got lost.
TEST_CASE("A statement that a VM is cut off lapses unless it is repeated")
{
  RegionsFixture fixture;
  fixture.TellCutOff("vm-1");
  CHECK_FALSE(fixture.Targets().contains("vm-1"));
  fixture.Advance(std::chrono::milliseconds(2600));
  for (const char* name : { "vm-1", "vm-2" }) {
    fixture.Hear(name);
  }
  CHECK(fixture.Targets().contains("vm-1"));
}

// Guards against a VM that reaches the store only, takes the silence of all
// others for their failure, and keeps its callers.
TEST_CASE("A VM that hears nobody and reaches no server names the others")
{
  RegionsFixture fixture;
  fixture.Advance(std::chrono::seconds(5));
  CHECK(fixture.Targets(true) ==
        std::set<std::string>{ "vm-1", "vm-2", "vm-3", "vm-4" });
}
