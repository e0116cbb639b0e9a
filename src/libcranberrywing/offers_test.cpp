#include "cranberrywing/offers.h"

#include <catch2/catch.hpp>

#include "libcranberrywing/offers_test_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

std::function<double(double)> Constant(double aRate)
{
  return [aRate](double) { return aRate; };
}

/// Changes from the first rate to the second 10 s after the start.
std::function<double(double)> Jump(double aBefore, double aAfter)
{
  return [=](double aNow) { return aNow < 10 ? aBefore : aAfter; };
}

LinkSettings Link(std::size_t aTo, double aBytes, int aMilliseconds)
{
  return { Region(0), Region(aTo), aBytes, Milliseconds(aMilliseconds) };
}

} // namespace

// Guards against overloading a region: several VMs decide on the same outdated
// measurement, and each would fill the same spare capacity.
TEST_CASE("VMs deciding on one outdated measurement never overload a region")
{
  for (const std::size_t lag : { 1, 3 }) {
    OfferFleet fleet({ .mDemand = { Jump(600, 1200),
                                    Jump(600, 1300),
                                    Constant(500),
                                    Constant(600) },
                       .mReportLag = lag });
    double greatest = 0;
    fleet.Run(60, [&] {
      if (fleet.Now() > 1.1) {
        greatest = std::max({ greatest, fleet.Load(2), fleet.Load(3) });
      }
    });
    // Without reservations, the excess of 900 requests/s would go to either
    // region at once.
    CHECK(greatest <= 900);
    CHECK(fleet.Load(0) < 1200 - 50);
    CHECK(fleet.Load(2) + fleet.Load(3) > 1100 + 250);
  }
}

// Verifies that the previous test can fail: with the same demand, decisions
// based on outdated load alone overload the receiving regions.
TEST_CASE("deciding on outdated load alone overloads a region")
{
  constexpr double kExcess = 900;
  std::vector<std::vector<double>> history(4, { 500, 600 });
  double greatest = 0;
  for (int second = 0; second < 30; ++second) {
    const std::vector<double>& seen = history[history.size() - 4];
    std::vector<double> load = { 500, 600 };
    const std::size_t least = seen[0] <= seen[1] ? 0 : 1;
    load[least] += seen[least] < 800 ? kExcess : 0;
    history.push_back(load);
    greatest = std::max({ greatest, load[0], load[1] });
  }
  CHECK(greatest > 1000);
}

// Guards against a reservation that the requesting VM still uses while the
// offering VM has granted the capacity to another, when messages are lost,
// duplicated and reordered.
TEST_CASE("requesting VMs never hold more than offering VMs have committed")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    OfferFleet fleet(
      { .mDemand = {
          [](double aNow) { return 1000 + 400 * std::sin(aNow / 3); },
          [](double aNow) { return 600 + 300 * std::sin(aNow / 5); } },
        .mLoss = 0.3,
        .mDuplication = 0.3,
        .mMaxDelay = 1.5,
        .mSeed = seed });
    double used = 0;
    bool holds = true;
    fleet.Run(120, [&] {
      for (std::size_t n = 0; n < 2; ++n) {
        used = std::max(used, fleet.Reserved(n));
        holds = holds && fleet.Reserved(n) <= fleet.Granted(n) + 1e-6;
      }
    });
    CHECK(holds);
    CHECK(used > 10);
  }
}

// Guards against granting capacity again while a VM behind a network partition
// still uses it, and against capacity that stays reserved for ever.
TEST_CASE("reservations expire in a partition, on the requesting side first")
{
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) } });
  fleet.Run(40);
  REQUIRE(fleet.Reserved(1) > 100);
  fleet.mIsPartitioned = true;
  const double partitionStart = fleet.Now();
  double requesterEnd = 0;
  double granterEnd = 0;
  fleet.Run(8, [&] {
    requesterEnd = fleet.Reserved(1) > 0 ? fleet.Now() : requesterEnd;
    granterEnd = fleet.Granted(1) > 0 ? fleet.Now() : granterEnd;
  });
  CHECK(requesterEnd - partitionStart <= 5.1);
  CHECK(granterEnd - partitionStart <= 5.2);
  CHECK(requesterEnd < granterEnd);
  // All traffic is served locally again.
  CHECK(fleet.Load(0) == Approx(1200).margin(5));
}

// Guards against exceeding the bandwidth of a link between regions while
// servers have spare capacity.
TEST_CASE("a link's bandwidth limits reservations below the spare capacity")
{
  // 100 requests/s of 4 KiB each, of which 90% may be reserved.
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) },
                     .mLinks = { Link(1, 4096 * 100, 20) } });
  double greatest = 0;
  fleet.Run(40, [&] { greatest = std::max(greatest, fleet.Reserved(1)); });
  CHECK(greatest <= 90 + 1e-6);
  CHECK(greatest > 60);
}

// Guards against using a distant region while a nearer one has spare capacity,
// and against leaving demand uncovered that exceeds one region's offers.
TEST_CASE("demand is covered by several regions' offers, nearest first")
{
  OfferFleet fleet(
    { .mDemand = { Constant(1150), Constant(200), Constant(650) },
      .mLinks = { Link(1, 0, 50), Link(2, 0, 10) } });
  fleet.Run(60);
  CHECK(fleet.Reserved(2) > 80);
  CHECK(fleet.Reserved(1) > 150);
  CHECK(fleet.Load(0) < 900);

  OfferFleet small({ .mDemand = { Constant(850), Constant(200), Constant(200) },
                     .mLinks = { Link(1, 0, 50), Link(2, 0, 10) } });
  small.Run(60);
  CHECK(small.Reserved(2) > 30);
  CHECK(small.Reserved(1) < 10);
}

// Guards against sending more requests than are reserved when a shift or an
// overload calls for more.
TEST_CASE("no more is sent than is reserved, and the rest stays local")
{
  OfferFleet fleet({ .mDemand = { Constant(500), Constant(700) } });
  fleet.mShiftedFractions = [](std::size_t aRegion) {
    std::vector<std::pair<RegionId, double>> moved;
    if (aRegion == 0) {
      moved.emplace_back(Region(1), 0.8);
    }
    return moved;
  };
  fleet.Run(40);
  double reserved = 0;
  fleet.Run(1, [&] { reserved = std::max(reserved, fleet.Reserved(1)); });
  // The shift would move 400 requests/s, and 100 can be reserved.
  CHECK(fleet.Load(1) <= 700 + reserved + 10);
  CHECK(fleet.Load(1) > 740);
  CHECK(fleet.Load(0) + fleet.Load(1) == Approx(1200).margin(5));
}

// Guards against a shift that never advances beyond its first step, because the
// rate it moves is below the minimum that is reserved.
TEST_CASE("a shift of little traffic is covered")
{
  OfferFleet fleet({ .mDemand = { Constant(6), Constant(300) } });
  fleet.mShiftedFractions = [](std::size_t aRegion) {
    const double part = aRegion == 0 ? 0.002 : 0;
    return std::vector<std::pair<RegionId, double>>{ { Region(1), part } };
  };
  fleet.Run(10);
  CHECK(fleet.IsCovered(0, 1));
}

// Guards against offers based on load reports that have stopped.
TEST_CASE("nothing new is offered without recent load reports")
{
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) } });
  fleet.mReportsStopped = true;
  fleet.Run(20);
  CHECK(fleet.Granted(1) == 0);
  CHECK(fleet.Load(0) == Approx(1200).margin(5));
}
