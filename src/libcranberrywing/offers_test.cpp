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

/// From the first rate to the second, 10 s after the start.
std::function<double(double)> Jump(double aBefore, double aAfter)
{
  return [=](double aNow) { return aNow < 10 ? aBefore : aAfter; };
}

LinkSettings Link(std::size_t aTo, double aBytes, int aMilliseconds)
{
  return { Region(0), Region(aTo), aBytes, Milliseconds(aMilliseconds) };
}

} // namespace

// Guards against steering that overloads a region: several VMs see the same
// lagging measurement and each would fill the same spare capacity.
TEST_CASE("deciders on one lagging measurement never overload a region")
{
  for (const std::size_t lag : { 1, 3 }) {
    OfferFleet fleet({ .mDemand = { Jump(600, 1200),
                                    Jump(600, 1300),
                                    Constant(500),
                                    Constant(600) },
                       .mLag = lag });
    double greatest = 0;
    fleet.Run(60, [&] {
      if (fleet.Now() > 1.1) {
        greatest = std::max({ greatest, fleet.Load(2), fleet.Load(3) });
      }
    });
    // Without reservations the excess of 900 goes to either region at once.
    CHECK(greatest <= 900);
    CHECK(fleet.Load(0) < 1200 - 50);
    CHECK(fleet.Load(2) + fleet.Load(3) > 1100 + 250);
  }
}

// Shows that the test above measures something: the same demand, decided on
// lagged load alone, overloads the receiving regions.
TEST_CASE("deciding on lagged load alone overloads a region")
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

// Guards against a reservation that the asking VM uses and the offering VM
// has given to another, when messages are lost, doubled and reordered.
TEST_CASE("askers never hold more than offerers have committed")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    OfferFleet fleet(
      { .mDemand = {
          [](double aNow) { return 1000 + 400 * std::sin(aNow / 3); },
          [](double aNow) { return 600 + 300 * std::sin(aNow / 5); } },
        .mLoss = 0.3,
        .mDoubling = 0.3,
        .mGreatestDelay = 1.5,
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

// Guards against a region that gives cut-off capacity away while the other
// side still sends, and against capacity that stays reserved for ever.
TEST_CASE("reservations expire in a cut, at the asking side first")
{
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) } });
  fleet.Run(40);
  REQUIRE(fleet.Reserved(1) > 100);
  fleet.mIsCut = true;
  const double cut = fleet.Now();
  double askerEnd = 0;
  double offererEnd = 0;
  fleet.Run(8, [&] {
    askerEnd = fleet.Reserved(1) > 0 ? fleet.Now() : askerEnd;
    offererEnd = fleet.Granted(1) > 0 ? fleet.Now() : offererEnd;
  });
  CHECK(askerEnd - cut <= 5.1);
  CHECK(offererEnd - cut <= 5.2);
  CHECK(askerEnd < offererEnd);
  // All is served at home again.
  CHECK(fleet.Load(0) == Approx(1200).margin(5));
}

// Guards against filling a link between regions before the servers are full.
TEST_CASE("the link's bytes bind before the spare capacity")
{
  // 100 requests/s of 4 KiB each, of which 90% may be reserved.
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) },
                     .mLinks = { Link(1, 4096 * 100, 20) } });
  double greatest = 0;
  fleet.Run(40, [&] { greatest = std::max(greatest, fleet.Reserved(1)); });
  CHECK(greatest <= 90 + 1e-6);
  CHECK(greatest > 60);
}

// Guards against far regions that are used while a near one has room, and
// against a need that one region's offers cannot cover.
TEST_CASE("a need is composed of several regions' offers, nearest first")
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

// Guards against requests beyond the reservation, which may be less than what
// a shift or an overload calls for.
TEST_CASE("no more is sent than was reserved, and the rest stays local")
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
  // The shift asks for 400, and 100 are free.
  CHECK(fleet.Load(1) <= 700 + reserved + 10);
  CHECK(fleet.Load(1) > 740);
  CHECK(fleet.Load(0) + fleet.Load(1) == Approx(1200).margin(5));
}

// Guards against a shift that stays at its first step, because what it moves
// is too little to be reserved.
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

// Guards against offers that rest on load reports which have stopped.
TEST_CASE("nothing new is offered without fresh load reports")
{
  OfferFleet fleet({ .mDemand = { Constant(1200), Constant(300) } });
  fleet.mIsBlind = true;
  fleet.Run(20);
  CHECK(fleet.Granted(1) == 0);
  CHECK(fleet.Load(0) == Approx(1200).margin(5));
}
