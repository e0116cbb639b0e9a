#include "cranberrywing/backend_health.h"

#include <catch2/catch.hpp>
#include <set>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

class Bench
{
public:
  explicit Bench(std::size_t aServers, BackendHealth::Options aOptions = {})
    : mSettings(MakeSettings(aServers))
    , mHealth(aOptions)
  {
    Apply(0);
  }

  void Apply(double aNow) { mHealth.Apply(mSettings, At(aNow), mOut); }
  void Succeed(std::size_t aServer, double aNow, double aLatency = 0.01)
  {
    const auto latency = std::chrono::duration<double>(aLatency);
    mHealth.OnSuccess(
      Server(aServer), std::chrono::duration_cast<Duration>(latency), At(aNow));
  }
  void Fail(std::size_t aServer,
            double aNow,
            event::FailureKind aKind = event::FailureKind::Timeout)
  {
    mHealth.OnFailure(Server(aServer), aKind, At(aNow), mOut);
  }
  void Report(std::size_t aServer,
              bool aHealthy,
              double aNow,
              bool aDraining = false)
  {
    mHealth.OnHealth({ Server(aServer), aHealthy, aDraining }, At(aNow), mOut);
  }
  bool IsUsable(std::size_t aServer, double aNow) const
  {
    return mHealth.IsUsable(Server(aServer), At(aNow));
  }
  std::size_t CountUsable(double aNow) const
  {
    std::size_t n = 0;
    for (const auto& backend : mSettings.mServices.at(kService).mBackends) {
      n += mHealth.IsUsable(backend.mBackend, At(aNow)) ? 1 : 0;
    }
    return n;
  }

  SettingsSnapshot mSettings;
  BackendHealth mHealth;
  EffectList mOut;
};

} // namespace

// Guards against a server that answers its health checks and fails its work.
TEST_CASE("own failures go before a claim of health, with growing ejections")
{
  Bench bench(10);
  double now = 0;
  double previous = 0;
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 5; ++n) {
      REQUIRE(bench.IsUsable(0, now));
      bench.Fail(0, now);
      bench.Report(0, true, now);
    }
    CHECK_FALSE(bench.IsUsable(0, now));
    const double start = now;
    while (!bench.IsUsable(0, now)) {
      now += 0.5;
      bench.Report(0, true, now);
      bench.mHealth.Tick(At(now), bench.mOut);
    }
    CHECK(now - start > previous * 1.5);
    previous = now - start;
    // It starts slowly.
    CHECK(bench.mHealth.SlowStartFactor(Server(0), At(now)) < 0.1);
  }
  CHECK(bench.mHealth.SlowStartFactor(Server(0), At(now + 30)) == 1);
}

// Guards against a server that succeeds but far too late, which no failure
// count finds.
TEST_CASE("a slow server is ejected by comparison with the others")
{
  Bench bench(10);
  for (double now = 0; now < 6; now += 0.1) {
    for (std::size_t n = 0; n < 10; ++n) {
      bench.Succeed(n, now, n == 3 ? 0.2 : 0.01);
    }
    bench.mHealth.Tick(At(now), bench.mOut);
  }
  CHECK_FALSE(bench.IsUsable(3, 6));
  CHECK(bench.CountUsable(6) == 9);
}

// Guards against ejecting a whole service because of a common fault.
TEST_CASE("at least half of the servers stay in use")
{
  Bench bench(10);
  for (std::size_t n = 0; n < 10; ++n) {
    for (int failure = 0; failure < 20; ++failure) {
      bench.Fail(n, 0);
    }
  }
  CHECK(bench.CountUsable(0) == 5);
  CHECK(bench.mHealth.Capacity(kService, kRegion, At(0)) == 500);
}

// Guards against an outage of the health endpoints alone.
TEST_CASE("a health endpoint's claim counts only without own successes")
{
  Bench bench(4);
  for (double now = 0; now < 10; now += 1) {
    bench.Succeed(0, now);
    bench.Report(0, false, now);
    bench.Report(1, false, now);
  }
  CHECK(bench.IsUsable(0, 10));
  CHECK_FALSE(bench.IsUsable(1, 10));
  bench.Report(1, true, 10);
  CHECK(bench.IsUsable(1, 10));
}

// Guards against sending work to servers that are gone because the floor
// keeps them in use.
TEST_CASE("servers that fail and report failure are exempt from the floor")
{
  Bench bench(4);
  for (std::size_t n = 0; n < 4; ++n) {
    bench.Report(n, false, 0);
    bench.Report(n, false, 2);
    bench.Fail(n, 3, event::FailureKind::Connect);
    CHECK(bench.mHealth.IsDown(Server(n)));
  }
  CHECK(bench.CountUsable(3) == 0);
}

// Guards against new work for a leaving server.
TEST_CASE("a drained server is left at once and comes back cold")
{
  Bench bench(2);
  bench.mSettings.mServices[kService].mBackends[0].mDraining = true;
  bench.Apply(1);
  bench.Report(1, true, 1, true);
  CHECK(bench.CountUsable(1) == 0);
  const auto closed =
    FilterEffects<effect::CloseBackendConnections>(bench.mOut);
  CHECK(closed.size() == 2);
  // Neither success nor the floor brings it back.
  bench.Succeed(0, 2);
  bench.Report(0, true, 2);
  bench.mHealth.Tick(At(2), bench.mOut);
  CHECK(bench.CountUsable(2) == 0);
  bench.mSettings.mServices[kService].mBackends[0].mDraining = false;
  bench.Apply(3);
  CHECK(bench.IsUsable(0, 3));
  CHECK(bench.mHealth.SlowStartFactor(Server(0), At(3)) < 0.1);
}

// Guards against a new server that is given its full share before its caches
// are warm, and against a restarted VM that takes all servers for cold.
TEST_CASE("only servers added later are cold")
{
  Bench bench(2);
  CHECK(bench.mHealth.SlowStartFactor(Server(0), At(0)) == 1);
  bench.mSettings = MakeSettings(3);
  bench.Apply(100);
  CHECK(bench.mHealth.SlowStartFactor(Server(0), At(100)) == 1);
  CHECK(bench.mHealth.SlowStartFactor(Server(2), At(100)) < 0.1);
  CHECK(bench.mHealth.SlowStartFactor(Server(2), At(115)) == Approx(0.5));
  CHECK(bench.mHealth.Capacity(kService, kRegion, At(115)) == Approx(250));
}

// Guards against probes that stop, come in step, or load remote servers.
TEST_CASE("every server is probed at its interval, remote ones less often")
{
  Bench bench(4, { .mRegion = kRegion });
  bench.mSettings.mServices[kService].mBackends[3].mRegion = RegionId("kumasi");
  bench.Apply(0);
  std::map<BackendId, std::vector<double>> times;
  for (double now = 0; now < 100; now += 0.01) {
    bench.mOut.clear();
    bench.mHealth.Tick(At(now), bench.mOut);
    for (const auto& probe : FilterEffects<effect::ProbeBackend>(bench.mOut)) {
      times[probe.mBackend].push_back(now);
    }
    bench.Fail(1, now);
  }
  CHECK(times[Server(0)].size() == Approx(57).margin(5));
  CHECK(times[Server(1)].size() == Approx(57).margin(5));
  CHECK(times[Server(3)].size() == Approx(11).margin(3));
  for (std::size_t n = 1; n < times[Server(0)].size(); ++n) {
    CHECK(times[Server(0)][n] - times[Server(0)][n - 1] <= 2.02);
  }
  CHECK(times[Server(0)] != times[Server(2)]);
}

// Guards against work for a remote server whose own drain is seen late.
TEST_CASE("a remote server in use is probed like a local one")
{
  Bench bench(1, { .mRegion = RegionId("kumasi") });
  bench.mHealth.Tick(At(2), bench.mOut);
  int probes = 0;
  for (double now = 2.1; now < 20; now += 0.1) {
    bench.Succeed(0, now);
    bench.mOut.clear();
    bench.mHealth.Tick(At(now), bench.mOut);
    probes +=
      static_cast<int>(FilterEffects<effect::ProbeBackend>(bench.mOut).size());
  }
  CHECK(probes >= 9);
}

// Guards against capacity decisions on old or partial load reports.
TEST_CASE("the reported rate needs fresh reports of most servers")
{
  Bench bench(10);
  const auto rate = [&](double aNow) {
    return bench.mHealth.ReportedRate(
      kService, kRegion, std::chrono::seconds(5), At(aNow));
  };
  for (std::size_t n = 0; n < 7; ++n) {
    bench.mHealth.OnLoad({ Server(n), { 0.5, 10, 1 } }, At(0));
  }
  CHECK_FALSE(rate(1));
  for (std::size_t n = 7; n < 9; ++n) {
    bench.mHealth.OnLoad({ Server(n), { 0.5, 10, 1 } }, At(0));
  }
  REQUIRE(rate(1));
  CHECK(*rate(1) == Approx(100));
  CHECK_FALSE(rate(6));
}
