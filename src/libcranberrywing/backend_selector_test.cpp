#include "cranberrywing/backend_selector.h"

#include <catch2/catch.hpp>
#include <map>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

class Bench
{
public:
  explicit Bench(std::size_t aServers)
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

  /// Runs requests one after the other; returns how many each server got.
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

// Guards against a slow server that gets its full share because it succeeds.
TEST_CASE("a slow server gets little work")
{
  Bench bench(10);
  bench.mLatency = [](const BackendId& aBackend) {
    return std::chrono::milliseconds(aBackend == Server(4) ? 50 : 10);
  };
  const auto got = bench.Run(10'000, 0);
  CHECK(got.size() >= 9);
  CHECK((got.contains(Server(4)) ? got.at(Server(4)) : 0) < 100);
}

// Guards against overloading a server whose caches are cold.
TEST_CASE("a cold server gets little work at first and its share later")
{
  Bench bench(9);
  bench.mSettings = MakeSettings(10);
  bench.Apply(100);
  CHECK(bench.Run(10'000, 101)[Server(9)] < 150);
  CHECK(bench.Run(10'000, 115)[Server(9)] == Approx(500).margin(150));
  CHECK(bench.Run(10'000, 131)[Server(9)] == Approx(1000).margin(200));
}

// Guards against work for a server that leaves.
TEST_CASE("a drained server gets nothing, also when it is the last one")
{
  Bench bench(2);
  bench.mSettings.mServices[kService].mBackends[0].mDraining = true;
  bench.Apply(1);
  CHECK_FALSE(bench.Run(1000, 1).contains(Server(0)));
  bench.mHealth.OnHealth({ Server(1), true, true }, At(2), bench.mOut);
  CHECK(bench.mSelector.Select({ kService, kRegion, {}, {} }, At(2)) ==
        nullptr);
}

// Guards against a retry that meets the same fault as the attempt before.
TEST_CASE("a retry goes to another failure domain first")
{
  Bench bench(4);
  const auto select = [&](std::vector<FailureDomainId> aDomains,
                          std::vector<BackendId> aServers) {
    return bench.mSelector
      .Select({ kService, kRegion, std::move(aDomains), std::move(aServers) },
              At(1))
      ->mBackend;
  };
  const FailureDomainId first("a");
  const FailureDomainId second("b");
  const BackendId other = select({ first }, { Server(0) });
  CHECK((other == Server(1) || other == Server(3)));
  // Both domains were tried: another server, then any at all.
  CHECK(select({ first, second }, { Server(0), Server(1), Server(3) }) ==
        Server(2));
  for (const std::size_t n : { 1, 3 }) {
    bench.mSettings.mServices[kService].mBackends[n].mDraining = true;
  }
  bench.Apply(1);
  CHECK(select({ first }, { Server(0) }) == Server(2));
}

// Guards against more exchanges than a server has connections, and against a
// count that is lost when settings change.
TEST_CASE("a server without a free connection is passed over")
{
  Bench bench(2);
  for (BackendSettings& backend :
       bench.mSettings.mServices[kService].mBackends) {
    backend.mConnections = 3;
  }
  bench.Apply(0);
  const SelectionRequest request{ kService, kRegion, {}, {} };
  for (int n = 0; n < 6; ++n) {
    const BackendSettings* chosen = bench.mSelector.Select(request, At(0));
    REQUIRE(chosen != nullptr);
    bench.mSelector.OnDispatch(chosen->mBackend);
  }
  bench.Apply(1);
  CHECK(bench.mSelector.InFlight(Server(0)) == 3);
  CHECK(bench.mSelector.Select(request, At(1)) == nullptr);
  bench.mSelector.OnFinish(Server(1), std::nullopt);
  REQUIRE(bench.mSelector.Select(request, At(1)) != nullptr);
}
