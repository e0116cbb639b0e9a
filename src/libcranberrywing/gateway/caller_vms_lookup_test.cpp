/// \file
/// Lookups if the configuration has routes with large answers.
#include <map>
#include <set>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;
using Names = std::set<std::string>;

/// A gateway, vm-1, in a region with three VMs with 200 Mbit/s in two failure
/// domains and four with 10 Mbit/s, and a region with one VM.
class LookupFixture : public GatewayFixture
{
public:
  explicit LookupFixture(double aOwnMbps, bool aHasOthers = true)
    : GatewayFixture(aOwnMbps)
  {
    if (aHasOthers) {
      AddOthers();
    }
  }

  void AddOthers()
  {
    for (const char* name : { "fast-1", "fast-2", "fast-3" }) {
      AddVm(name, 200);
    }
    for (const char* name : { "slow-1", "slow-2", "slow-3", "slow-4" }) {
      AddVm(name, 10);
    }
    AddVm("far-1", 10, "far");
  }

  void AddVm(const std::string& aName,
             double aMbps,
             const std::string& aRegion = "near")
  {
    const VmRecord record{ .mVm = VmId(aName),
                           .mIncarnation = { 8 },
                           .mRegion = RegionId(aRegion),
                           .mFailureDomain = FailureDomainId(
                             aName.back() % 2 == 0 ? "near-a" : "near-b"),
                           .mAddress = "10.0.0.2",
                           .mLinkMbps = aMbps };
    mHeard[aName] = message::GatewayStatus{};
    Deliver(event::VmRegistered{ record });
    Hear(aName);
  }

  void Hear(const std::string& aName)
  {
    Deliver(
      event::PeerMessageReceived{ { VmId(aName), { 8 } }, mHeard.at(aName) });
  }

  void SetRoutes(std::uint64_t aRevision, bool aHasLargeAnswers)
  {
    PolicyContent content = Content(aRevision);
    content.mRoutes.front().mHasLargeAnswers = aHasLargeAnswers;
    SetPolicy(content);
  }

  /// Lets the time pass while the other VMs are heard.
  void Run(Duration aTime)
  {
    const Duration step = std::chrono::milliseconds(500);
    for (Duration passed{}; passed < aTime; passed += step) {
      for (const auto& [name, status] : mHeard) {
        Hear(name);
      }
      Advance(step);
      KeepLog();
    }
  }

  /// Stores the fields of the last caller_vms event.
  void KeepLog()
  {
    for (const Effect& effect : mLastEffects) {
      const auto* const record = std::get_if<effect::RecordTimeline>(&effect);
      if (!record || record->mName != "caller_vms") {
        continue;
      }
      ++mEvents;
      mLogged.clear();
      for (const auto& field : record->mFields) {
        mLogged[field.mName] = field.mValue;
      }
    }
  }

  std::vector<std::string> Targets(const std::string& aRegion = "near") const
  {
    std::vector<std::string> names;
    for (const VmRecord& vm :
         mGateway.CallerTargets(RegionId(aRegion), 64, mNow)) {
      names.push_back(vm.mVm.mName);
    }
    return names;
  }

  Names TargetSet(const std::string& aRegion = "near") const
  {
    const auto targets = Targets(aRegion);
    return { targets.begin(), targets.end() };
  }

  /// Status messages of the VMs that are heard.
  std::map<std::string, message::GatewayStatus> mHeard;
  std::map<std::string, std::string> mLogged;
  int mEvents = 0;
};

const std::vector<std::string> kAllVms{
  "vm-1", "fast-1", "fast-2", "fast-3", "slow-1", "slow-2", "slow-3", "slow-4"
};
const Names kFastVms{ "fast-1", "fast-2", "fast-3" };

} // namespace

// Guards against deployments without downloads that lose VMs from lookups.
TEST_CASE("Without large answers lookups name all VMs in the same order")
{
  LookupFixture fixture(10);
  fixture.Run(std::chrono::seconds(20));
  CHECK(fixture.Targets() == kAllVms);
  CHECK(fixture.mEvents == 0);
  CHECK(fixture.mGateway.CountCallerVms(fixture.mNow) ==
        CallerVmCounts{ .mNamed = 8, .mNamesSelf = true });
  fixture.SetRoutes(2, true);
  fixture.Run(std::chrono::seconds(20));
  CHECK(fixture.TargetSet() == kFastVms);
  fixture.SetRoutes(3, false);
  CHECK(fixture.Targets() == kAllVms);
  fixture.Run(std::chrono::seconds(20));
  CHECK(fixture.Targets() == kAllVms);
  CHECK(fixture.mLogged["named"] == "8");
  CHECK(fixture.mEvents == 2);
}

// Guards against a VM that names itself although the others leave it out, and
// against operators that cannot tell why it gets no clients.
TEST_CASE("A VM with a slow link leaves itself out and says so")
{
  LookupFixture slow(10);
  slow.SetRoutes(2, true);
  slow.Run(std::chrono::seconds(20));
  CHECK(slow.TargetSet() == kFastVms);
  CHECK(slow.mGateway.CountCallerVms(slow.mNow) ==
        CallerVmCounts{ .mNamed = 3, .mLeftOut = 5 });
  CHECK(slow.mEvents == 1);
  CHECK(slow.mLogged["region"] == "near");
  CHECK(slow.mLogged["named"] == "3");
  CHECK(slow.mLogged["usable"] == "8");
  CHECK(slow.mLogged["names_self"] == "0");
  CHECK(slow.mLogged["own_mbps"] == "10");
  CHECK(slow.mLogged["fastest_mbps"] == "200");
  CHECK(slow.mGateway.IsReady());

  LookupFixture fast(150);
  fast.SetRoutes(2, true);
  CHECK(fast.TargetSet() == Names{ "vm-1", "fast-1", "fast-2", "fast-3" });
}

// Guards against slow VMs that stay out of use while fast ones refuse callers.
TEST_CASE("Leaving and silent VMs do not count as fast ones")
{
  LookupFixture fixture(10);
  fixture.SetRoutes(2, true);
  fixture.Run(std::chrono::seconds(20));
  REQUIRE(fixture.TargetSet() == kFastVms);
  const auto namesSlowVms = [&] {
    const Names targets = fixture.TargetSet();
    return targets.contains("slow-1") && targets.contains("vm-1");
  };

  SECTION("Leaving")
  {
    fixture.mHeard.at("fast-3").mIsLeaving = true;
    fixture.Hear("fast-3");
    CHECK(namesSlowVms());
    CHECK_FALSE(fixture.TargetSet().contains("fast-3"));
  }
  SECTION("Without links to servers")
  {
    fixture.Deliver(event::PeerMessageReceived{
      { VmId("fast-3"), { 8 } }, message::ServerReachStatus{ true } });
    CHECK(namesSlowVms());
    CHECK_FALSE(fixture.TargetSet().contains("fast-3"));
  }
  SECTION("Silent")
  {
    fixture.mHeard.erase("fast-3");
    fixture.Run(std::chrono::seconds(4));
    CHECK(namesSlowVms());
    CHECK(fixture.mLogged["named"] == "7");
    CHECK(fixture.mLogged["fast"] == "2");
    fixture.AddVm("fast-3", 200);
    fixture.Run(std::chrono::seconds(8));
    CHECK(namesSlowVms());
    fixture.Run(std::chrono::seconds(4));
    CHECK(fixture.TargetSet() == kFastVms);
  }
}

// Guards against a restarted VM that names slow VMs for longer than the others
// of its region, since it first heard few of the fast ones.
TEST_CASE("A VM that has just started soon names the same VMs as the others")
{
  const auto hearFastVmsLast = [](LookupFixture& aFixture) {
    aFixture.SetRoutes(2, true);
    for (const char* name : { "slow-1", "slow-2", "fast-1", "fast-2" }) {
      aFixture.AddVm(name, name[0] == 'f' ? 200 : 10);
    }
    CHECK(aFixture.TargetSet().contains("slow-1"));
    aFixture.Run(std::chrono::milliseconds(1200));
    aFixture.AddVm("fast-3", 200);
    return aFixture.TargetSet();
  };
  LookupFixture fixture(10, false);
  CHECK(hearFastVmsLast(fixture) == kFastVms);
  // Later, callers have connections to the VMs that were named before.
  LookupFixture old(10, false);
  old.Run(std::chrono::seconds(5));
  CHECK(hearFastVmsLast(old).size() == 6);
}

// Guards against all callers of a region without VMs at slow VMs of another
// one.
TEST_CASE("For a region without VMs the rule holds for each other region")
{
  LookupFixture fixture(10);
  fixture.SetRoutes(2, true);
  CHECK(fixture.TargetSet("nowhere") ==
        Names{ "fast-1", "fast-2", "fast-3", "far-1" });
  CHECK(fixture.TargetSet("far") == Names{ "far-1" });
}

} // namespace cranberrywing::gateway
