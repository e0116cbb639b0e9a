#include "cranberrywing/backend_health.h"

#include <catch2/catch.hpp>
#include <set>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

class Fixture
{
public:
  explicit Fixture(std::size_t aServers, BackendHealth::Options aOptions = {})
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

// Guards against keeping a server in use that passes its health checks but
// fails requests.
TEST_CASE("own failures override healthy reports, with growing ejection times")
{
  Fixture fixture(10);
  double now = 0;
  double previous = 0;
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 5; ++n) {
      REQUIRE(fixture.IsUsable(0, now));
      fixture.Fail(0, now);
      fixture.Report(0, true, now);
    }
    CHECK_FALSE(fixture.IsUsable(0, now));
    const double start = now;
    while (!fixture.IsUsable(0, now)) {
      now += 0.5;
      fixture.Report(0, true, now);
      fixture.mHealth.Tick(At(now), fixture.mOut);
    }
    CHECK(now - start > previous * 1.5);
    previous = now - start;
    // The server returns in slow start.
    CHECK(fixture.mHealth.SlowStartFactor(Server(0), At(now)) < 0.1);
  }
  CHECK(fixture.mHealth.SlowStartFactor(Server(0), At(now + 30)) == 1);
}

// Guards against keeping a server in use whose requests succeed with excessive
// latency, which counting failures does not detect.
TEST_CASE("a server with outlying latency is ejected")
{
  Fixture fixture(10);
  for (double now = 0; now < 6; now += 0.1) {
    for (std::size_t n = 0; n < 10; ++n) {
      fixture.Succeed(n, now, n == 3 ? 0.2 : 0.01);
    }
    fixture.mHealth.Tick(At(now), fixture.mOut);
  }
  CHECK_FALSE(fixture.IsUsable(3, 6));
  CHECK(fixture.CountUsable(6) == 9);
}

// Guards against ejecting all servers of a service when they share a fault.
TEST_CASE("at least half of the servers stay in use")
{
  Fixture fixture(10);
  for (std::size_t n = 0; n < 10; ++n) {
    for (int failure = 0; failure < 20; ++failure) {
      fixture.Fail(n, 0);
    }
  }
  CHECK(fixture.CountUsable(0) == 5);
  CHECK(fixture.mHealth.Capacity(kService, kRegion, At(0)) == 500);
}

// Guards against removing working servers when only their health endpoints
// fail.
TEST_CASE("an unhealthy report counts only without recent own successes")
{
  Fixture fixture(4);
  for (double now = 0; now < 10; now += 1) {
    fixture.Succeed(0, now);
    fixture.Report(0, false, now);
    fixture.Report(1, false, now);
  }
  CHECK(fixture.IsUsable(0, 10));
  CHECK_FALSE(fixture.IsUsable(1, 10));
  fixture.Report(1, true, 10);
  CHECK(fixture.IsUsable(1, 10));
}

// Guards against sending requests to servers that are down because the minimum
// usable fraction keeps them in use.
TEST_CASE("failed and unhealthy servers are exempt from the usable minimum")
{
  Fixture fixture(4);
  for (std::size_t n = 0; n < 4; ++n) {
    fixture.Report(n, false, 0);
    fixture.Report(n, false, 2);
    fixture.Fail(n, 3, event::FailureKind::Connect);
    CHECK(fixture.mHealth.IsDown(Server(n)));
  }
  CHECK(fixture.CountUsable(3) == 0);
}

// Guards against sending new requests to a draining server.
TEST_CASE("a draining server is unusable at once and returns in slow start")
{
  Fixture fixture(2);
  fixture.mSettings.mServices[kService].mBackends[0].mDraining = true;
  fixture.Apply(1);
  fixture.Report(1, true, 1, true);
  CHECK(fixture.CountUsable(1) == 0);
  const auto closed =
    FilterEffects<effect::CloseBackendConnections>(fixture.mOut);
  CHECK(closed.size() == 2);
  // Neither a success nor the minimum usable fraction makes the server usable.
  fixture.Succeed(0, 2);
  fixture.Report(0, true, 2);
  fixture.mHealth.Tick(At(2), fixture.mOut);
  CHECK(fixture.CountUsable(2) == 0);
  fixture.mSettings.mServices[kService].mBackends[0].mDraining = false;
  fixture.Apply(3);
  CHECK(fixture.IsUsable(0, 3));
  CHECK(fixture.mHealth.SlowStartFactor(Server(0), At(3)) < 0.1);
}

// Guards against sending a new server its full share of requests before its
// caches are warm, and against treating all servers as new after this VM
// restarts.
TEST_CASE("only servers added later go through slow start")
{
  Fixture fixture(2);
  CHECK(fixture.mHealth.SlowStartFactor(Server(0), At(0)) == 1);
  fixture.mSettings = MakeSettings(3);
  fixture.Apply(100);
  CHECK(fixture.mHealth.SlowStartFactor(Server(0), At(100)) == 1);
  CHECK(fixture.mHealth.SlowStartFactor(Server(2), At(100)) < 0.1);
  CHECK(fixture.mHealth.SlowStartFactor(Server(2), At(115)) == Approx(0.5));
  CHECK(fixture.mHealth.Capacity(kService, kRegion, At(115)) == Approx(250));
}

// Guards against probes that stop, are synchronized between servers, or
// overload remote servers.
TEST_CASE("servers are probed at their interval, remote servers less often")
{
  Fixture fixture(4, { .mRegion = kRegion });
  fixture.mSettings.mServices[kService].mBackends[3].mRegion =
    RegionId("kumasi");
  fixture.Apply(0);
  std::map<BackendId, std::vector<double>> times;
  for (double now = 0; now < 100; now += 0.01) {
    fixture.mOut.clear();
    fixture.mHealth.Tick(At(now), fixture.mOut);
    for (const auto& probe :
         FilterEffects<effect::ProbeBackend>(fixture.mOut)) {
      times[probe.mBackend].push_back(now);
    }
    fixture.Fail(1, now);
  }
  CHECK(times[Server(0)].size() == Approx(57).margin(5));
  CHECK(times[Server(1)].size() == Approx(57).margin(5));
  CHECK(times[Server(3)].size() == Approx(11).margin(3));
  for (std::size_t n = 1; n < times[Server(0)].size(); ++n) {
    CHECK(times[Server(0)][n] - times[Server(0)][n - 1] <= 2.02);
  }
  CHECK(times[Server(0)] != times[Server(2)]);
}

// Guards against sending requests to a remote server whose drain is detected
// late.
TEST_CASE("a remote server in use is probed like a local one")
{
  Fixture fixture(1, { .mRegion = RegionId("kumasi") });
  fixture.mHealth.Tick(At(2), fixture.mOut);
  int probes = 0;
  for (double now = 2.1; now < 20; now += 0.1) {
    fixture.Succeed(0, now);
    fixture.mOut.clear();
    fixture.mHealth.Tick(At(now), fixture.mOut);
    probes += static_cast<int>(
      FilterEffects<effect::ProbeBackend>(fixture.mOut).size());
  }
  CHECK(probes >= 9);
}

// Guards against capacity decisions based on outdated or incomplete load
// reports.
TEST_CASE("the reported rate requires recent reports of most servers")
{
  Fixture fixture(10);
  const auto rate = [&](double aNow) {
    return fixture.mHealth.ReportedRate(
      kService, kRegion, std::chrono::seconds(5), At(aNow));
  };
  for (std::size_t n = 0; n < 7; ++n) {
    fixture.mHealth.OnLoad({ Server(n), { 0.5, 10, 1 } }, At(0));
  }
  CHECK_FALSE(rate(1));
  for (std::size_t n = 7; n < 9; ++n) {
    fixture.mHealth.OnLoad({ Server(n), { 0.5, 10, 1 } }, At(0));
  }
  REQUIRE(rate(1));
  CHECK(*rate(1) == Approx(100));
  CHECK_FALSE(rate(6));
}
