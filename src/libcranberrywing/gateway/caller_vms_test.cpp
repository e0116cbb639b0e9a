#include "cranberrywing/gateway/caller_vms.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <limits>
#include <random>
#include <set>
#include <string>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

using Names = std::set<std::string>;

VmRecord Vm(const std::string& aName,
            double aLinkMbps,
            const std::string& aFailureDomain,
            const std::string& aRegion = "north")
{
  return { .mVm = VmId(aName),
           .mIncarnation = { 1 },
           .mRegion = RegionId(aRegion),
           .mFailureDomain = FailureDomainId(aFailureDomain),
           .mLinkMbps = aLinkMbps };
}

Names NamesOf(const std::vector<VmRecord>& aVms)
{
  Names names;
  for (const VmRecord& vm : aVms) {
    names.insert(vm.mVm.mName);
  }
  return names;
}

Names Named(const std::vector<VmRecord>& aVms)
{
  return NamesOf(VmsForLargeResponses(aVms));
}

/// A region of the map delivery network: 4 VMs with 200 Mbit/s and 24 with 10
/// Mbit/s in two failure domains.
std::vector<VmRecord> MapDeliveryRegion(const std::string& aRegion = "north")
{
  std::vector<VmRecord> vms;
  for (int n = 0; n < 28; ++n) {
    const bool isFast = n < 4;
    vms.push_back(
      Vm(aRegion + (isFast ? "-fast-" : "-slow-") + std::to_string(n),
         isFast ? 200 : 10,
         n % 2 == 0 ? "a" : "b",
         aRegion));
  }
  return vms;
}

void Remove(std::vector<VmRecord>& aVms, const std::string& aName)
{
  std::erase_if(aVms,
                [&](const VmRecord& aVm) { return aVm.mVm.mName == aName; });
}

const Names kFastVms{ "north-fast-0",
                      "north-fast-1",
                      "north-fast-2",
                      "north-fast-3" };

/// The choice at a VM that observes the others twice a second.
struct Observer
{
  /// Lets the time pass and returns the VMs named at its end.
  Names Run(const std::vector<VmRecord>& aVms, Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mVms.Observe(aVms, mNow);
      mNow += std::chrono::milliseconds(500);
    }
    return NamesOf(mVms.Choose(aVms, mNow));
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  CallerVms mVms{ {} };
};

} // namespace

// Guards against downloads through VMs with 10 Mbit/s, which delay the messages
// that lend tokens: accounts within their rate got 16 of 100 requests refused.
TEST_CASE("Load: large responses over slow links")
{
  std::vector<VmRecord> vms = MapDeliveryRegion();
  const std::vector<VmRecord> south = MapDeliveryRegion("south");
  vms.insert(vms.end(), south.begin(), south.end());
  const Names named = Named(vms);
  CHECK(named.size() == 8);
  for (const std::string& name : kFastVms) {
    CHECK(named.contains(name));
  }
}

// Guards against callers of a region that are left with one or two VMs, and
// against slow VMs that stay out of use when they are needed.
TEST_CASE("All VMs are named again when fast VMs die one after the other")
{
  Observer observer;
  std::vector<VmRecord> vms = MapDeliveryRegion();
  const auto all = [&] { return NamesOf(vms); };
  CHECK(observer.Run(vms, std::chrono::seconds(20)) == kFastVms);
  Remove(vms, "north-fast-0");
  CHECK(NamesOf(observer.mVms.Choose(vms, observer.mNow)).size() == 3);
  for (const char* name : { "north-fast-1", "north-fast-2", "north-fast-3" }) {
    Remove(vms, name);
    // Also before the change was observed.
    CHECK(NamesOf(observer.mVms.Choose(vms, observer.mNow)) == all());
    CHECK(observer.Run(vms, std::chrono::seconds(20)) == all());
  }
  // They come back one after the other.
  for (int n = 0; n < 2; ++n) {
    vms.push_back(MapDeliveryRegion()[static_cast<std::size_t>(n)]);
    CHECK(observer.Run(vms, std::chrono::seconds(20)) == all());
  }
  vms.push_back(MapDeliveryRegion()[2]);
  CHECK(observer.Run(vms, std::chrono::seconds(20)) ==
        Names{ "north-fast-0", "north-fast-1", "north-fast-2" });
}

// Guards against callers that are moved to slow VMs and away from them each
// time that the third fast VM comes and goes.
TEST_CASE("Slow VMs stay named while the third fast VM comes and goes")
{
  Observer observer;
  std::vector<VmRecord> vms = MapDeliveryRegion();
  Remove(vms, "north-fast-3");
  CHECK(observer.Run(vms, std::chrono::seconds(20)).size() == 3);
  std::vector<VmRecord> fewer = vms;
  Remove(fewer, "north-fast-2");
  for (int n = 0; n < 5; ++n) {
    CHECK(observer.Run(fewer, std::chrono::seconds(1)) == NamesOf(fewer));
    CHECK(observer.Run(vms, std::chrono::seconds(8)) == NamesOf(vms));
  }
  CHECK(observer.Run(vms, std::chrono::seconds(2)).size() == 3);
}

// Guards against a choice whose delay outlasts the configuration it is for.
TEST_CASE("Cleared observations delay nothing")
{
  Observer observer;
  std::vector<VmRecord> few = MapDeliveryRegion();
  Remove(few, "north-fast-0");
  Remove(few, "north-fast-1");
  observer.Run(few, std::chrono::seconds(1));
  const std::vector<VmRecord> vms = MapDeliveryRegion();
  CHECK(NamesOf(observer.mVms.Choose(vms, observer.mNow)).size() == 28);
  observer.mVms.Clear();
  CHECK(NamesOf(observer.mVms.Choose(vms, observer.mNow)) == kFastVms);
}

// Guards against all callers of a region in one failure domain, unless the
// others have no VMs anyway.
TEST_CASE("Fast VMs of one failure domain suffice only if there is no other")
{
  std::vector<VmRecord> vms{ Vm("v1", 200, "a"),
                             Vm("v2", 200, "a"),
                             Vm("v3", 200, "a"),
                             Vm("v4", 10, "a"),
                             Vm("v5", 10, "b") };
  CHECK(Named(vms) == NamesOf(vms));
  vms.pop_back();
  CHECK(Named(vms) == Names{ "v1", "v2", "v3" });
  // A region's choice does not depend on other regions.
  vms.push_back(Vm("far", 1000, "c", "south"));
  CHECK(Named(vms) == Names{ "v1", "v2", "v3", "far" });
}

TEST_CASE("A link is fast from half the rate of the fastest one")
{
  const std::vector<VmRecord> vms{ Vm("v1", 200, "a"),
                                   Vm("v2", 100, "b"),
                                   Vm("v3", 150, "b"),
                                   Vm("v4", 99.9, "a") };
  CHECK(Named(vms) == Names{ "v1", "v2", "v3" });
}

// Guards against VMs of the previous build that lose their callers during an
// update, and against too few VMs of the new one.
TEST_CASE("VMs without a known rate count as fast")
{
  std::vector<VmRecord> vms = MapDeliveryRegion();
  for (VmRecord& vm : vms) {
    vm.mLinkMbps = 0;
  }
  CHECK(Named(vms) == NamesOf(vms));
  // The first VM of the new build is slow, and then one is fast.
  vms[10].mLinkMbps = 10;
  CHECK(Named(vms) == NamesOf(vms));
  vms[0].mLinkMbps = 200;
  Names expected = NamesOf(vms);
  expected.erase(vms[10].mVm.mName);
  CHECK(Named(vms) == expected);
  // The previous build's VMs are few, but the condition needs them.
  CHECK(Named({ Vm("v1", 200, "a"),
                Vm("v2", 0, "a"),
                Vm("v3", 0, "b"),
                Vm("v4", 10, "b") }) == Names{ "v1", "v2", "v3" });
}

// Guards against one VM's odd rate that leaves out its whole region.
TEST_CASE("Rates that make no sense count as unknown")
{
  for (const double odd : { std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity(),
                            -std::numeric_limits<double>::infinity(),
                            -10.0,
                            0.0 }) {
    CAPTURE(odd);
    std::vector<VmRecord> vms = MapDeliveryRegion();
    vms.push_back(Vm("odd", odd, "a"));
    Names expected = kFastVms;
    expected.insert("odd");
    CHECK(Named(vms) == expected);
  }
  std::vector<VmRecord> vms = MapDeliveryRegion();
  vms.push_back(Vm("huge", std::numeric_limits<double>::max(), "a"));
  CHECK(Named(vms) == NamesOf(vms));
}

// Guards against VMs of one region that give different answers, so that callers
// move with each lookup.
TEST_CASE("All VMs of a region agree whatever the order of registration")
{
  std::mt19937_64 random(7);
  for (int n = 0; n < 300; ++n) {
    std::vector<VmRecord> vms;
    const std::size_t count =
      std::uniform_int_distribution<std::size_t>(0, 12)(random);
    const auto pick = [&](const auto& aValues) {
      return aValues[std::uniform_int_distribution<std::size_t>(
        0, std::size(aValues) - 1)(random)];
    };
    for (std::size_t vm = 0; vm < count; ++vm) {
      vms.push_back(Vm("v" + std::to_string(vm),
                       pick(std::array{ 0.0, 10.0, 100.0, 150.0, 200.0 }),
                       pick(std::array{ "a", "b" }),
                       pick(std::array{ "north", "south" })));
    }
    const Names named = Named(vms);
    CHECK(named.empty() == vms.empty());
    std::shuffle(vms.begin(), vms.end(), random);
    CHECK(Named(vms) == named);
  }
}
