#include "cranberrywing/backend_selector.h"

#include <catch2/catch.hpp>
#include <map>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

class Fixture
{
public:
  explicit Fixture(std::size_t aServers)
    : mSettings(MakeSettings(aServers))
    , mHealth({ .mSeed = 3 })
    , mSelector({ .mSeed = 3 }, mHealth)
  {
    Apply(0);
  }

  void Apply(double aNow)
  {
    mHealth.Apply(mSettings, At(aNow), mOut);
    mSelector.Apply(mSettings);
  }

  /// Runs requests one after the other. Returns the number sent to each server.
  std::map<BackendId, int> Run(int aCount, double aNow)
  {
    std::map<BackendId, int> got;
    for (int n = 0; n < aCount; ++n) {
      const BackendSettings* chosen =
        mSelector.Select({ kService, kRegion, {}, {} }, At(aNow));
      REQUIRE(chosen != nullptr);
      ++got[chosen->mBackend];
      mSelector.OnDispatch(chosen->mBackend);
      mSelector.OnFinish(chosen->mBackend, mLatency(chosen->mBackend));
    }
    return got;
  }

  std::function<Duration(const BackendId&)> mLatency = [](const BackendId&) {
    return std::chrono::milliseconds(10);
  };
  SettingsSnapshot mSettings;
  BackendHealth mHealth;
  BackendSelector mSelector;
  EffectList mOut;
};

} // namespace

// Guards against sending a slow server its full share of requests because they
// succeed.
TEST_CASE("a slow server receives few requests")
{
  Fixture fixture(10);
  fixture.mLatency = [](const BackendId& aBackend) {
    return std::chrono::milliseconds(aBackend == Server(4) ? 50 : 10);
  };
  const auto got = fixture.Run(10'000, 0);
  CHECK(got.size() >= 9);
  CHECK((got.contains(Server(4)) ? got.at(Server(4)) : 0) < 100);
}

// Guards against overloading a server before its caches are warm.
TEST_CASE("a server in slow start receives few requests, later its share")
{
  Fixture fixture(9);
  fixture.mSettings = MakeSettings(10);
  fixture.Apply(100);
  CHECK(fixture.Run(10'000, 101)[Server(9)] < 150);
  CHECK(fixture.Run(10'000, 115)[Server(9)] == Approx(500).margin(150));
  CHECK(fixture.Run(10'000, 131)[Server(9)] == Approx(1000).margin(200));
}

// Guards against sending requests to a draining server.
TEST_CASE("a draining server receives no requests, even as the last one")
{
  Fixture fixture(2);
  fixture.mSettings.mServices[kService].mBackends[0].mDraining = true;
  fixture.Apply(1);
  CHECK_FALSE(fixture.Run(1000, 1).contains(Server(0)));
  fixture.mHealth.OnHealth({ Server(1), true, true }, At(2), fixture.mOut);
  CHECK(fixture.mSelector.Select({ kService, kRegion, {}, {} }, At(2)) ==
        nullptr);
}

// Guards against retrying within the failure domain that caused the failure.
TEST_CASE("a retry prefers another failure domain")
{
  Fixture fixture(4);
  const auto select = [&](std::vector<FailureDomainId> aDomains,
                          std::vector<BackendId> aServers) {
    return fixture.mSelector
      .Select({ kService, kRegion, std::move(aDomains), std::move(aServers) },
              At(1))
      ->mBackend;
  };
  const FailureDomainId first("a");
  const FailureDomainId second("b");
  const BackendId other = select({ first }, { Server(0) });
  CHECK((other == Server(1) || other == Server(3)));
  // Both domains were tried: prefer a server that was not, then any server.
  CHECK(select({ first, second }, { Server(0), Server(1), Server(3) }) ==
        Server(2));
  for (const std::size_t n : { 1, 3 }) {
    fixture.mSettings.mServices[kService].mBackends[n].mDraining = true;
  }
  fixture.Apply(1);
  CHECK(select({ first }, { Server(0) }) == Server(2));
}

// Guards against exceeding a server's connections, and against losing the
// number of requests in flight when settings change.
TEST_CASE("a server without a free connection is not selected")
{
  Fixture fixture(2);
  for (BackendSettings& backend :
       fixture.mSettings.mServices[kService].mBackends) {
    backend.mConnections = 3;
  }
  fixture.Apply(0);
  const SelectionRequest request{ kService, kRegion, {}, {} };
  for (int n = 0; n < 6; ++n) {
    const BackendSettings* chosen = fixture.mSelector.Select(request, At(0));
    REQUIRE(chosen != nullptr);
    fixture.mSelector.OnDispatch(chosen->mBackend);
  }
  fixture.Apply(1);
  CHECK(fixture.mSelector.InFlight(Server(0)) == 3);
  CHECK(fixture.mSelector.Select(request, At(1)) == nullptr);
  fixture.mSelector.OnFinish(Server(1), std::nullopt);
  REQUIRE(fixture.mSelector.Select(request, At(1)) != nullptr);
}
