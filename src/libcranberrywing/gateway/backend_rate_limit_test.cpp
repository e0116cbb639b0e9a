#include "cranberrywing/gateway/backend_rate_limit.h"

#include "cranberrywing/gateway/fleet_quota.h"
#include "rate_limit_test_fleet.h"

namespace cranberrywing::gateway::testing {

namespace {

using std::chrono::seconds;

/// Time after a server first states its limit in which it may still get more.
constexpr Duration kNoticeTime = seconds(3);
constexpr Duration kWindow = seconds(4);

/// Requests that may arrive in kWindow: one and a half times the limit, and 5.
double Bound(double aPerSecond)
{
  return 1.5 * aPerSecond * ToSeconds(kWindow) + 5;
}

std::vector<VmId> Vms(std::size_t aCount)
{
  std::vector<VmId> vms;
  for (std::size_t n = 0; n < aCount; ++n) {
    vms.emplace_back("vm-" + std::to_string(n));
  }
  return vms;
}

} // namespace

// Guards against a limit that each VM heeds for itself, so that the server gets
// a multiple of it.
TEST_CASE("The parts of all VMs sum to a server's rate limit")
{
  for (const double limit : { 0.1, 0.4, 1.0, 3.3, 14.0 }) {
    for (const std::size_t count : { 1, 4, 11, 32, 95 }) {
      const std::vector<VmId> vms = Vms(count);
      double sum = 0;
      Duration window{};
      for (const VmId& vm : vms) {
        const RateQuota quota = BackendRateQuota(limit, 12345, vms, vm);
        sum += static_cast<double>(quota.mRequests);
        window = quota.mWindow;
      }
      CHECK(sum <= limit * ToSeconds(window));
      CHECK(sum > limit * ToSeconds(window) - 2);
    }
  }
  CHECK(BackendRateQuota(0, 12345, Vms(4), VmId("vm-1")).mRequests == 0);
  CHECK(BackendRateQuota(1e300, 1, Vms(1), VmId("vm-0")).mRequests ==
        static_cast<std::size_t>(kMaxRateLimit));
}

// Guards against a server that names a rate limit and gets a multiple of it,
// because no VM heeds it or each heeds it alone (incident LIMIT).
TEST_CASE("All VMs together stay within the rate limit that a server names")
{
  for (const std::size_t vms : { 1, 4, 16 }) {
    for (const double limit : { 1.0, 3.3, 9.0 }) {
      RateLimitFleet fleet(vms, 6, 17);
      fleet.Run(seconds(6), 60);
      fleet.mRefused = 0;
      for (std::size_t n = 0; n < 4; ++n) {
        fleet.SetLimit(n, limit);
      }
      const TimePoint from = fleet.mNow + kNoticeTime;
      fleet.Run(seconds(20), 60);
      for (std::size_t n = 0; n < 4; ++n) {
        INFO("vms " << vms << " limit " << limit << " server " << n);
        CHECK(static_cast<double>(fleet.MostArrivals(n, from, kWindow)) <=
              Bound(limit));
      }
      CHECK(fleet.mRefused == 0);
    }
  }
}

TEST_CASE("A server's rate limit holds while VMs restart and messages get lost")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
    RateLimitFleet fleet(6, 5, seed);
    fleet.mMessageLoss = 0.2;
    fleet.Run(seconds(6), 60);
    fleet.SetLimit(0, 2.5);
    fleet.SetLimit(1, 5);
    const TimePoint from = fleet.mNow + kNoticeTime;
    fleet.Run(seconds(5), 60);
    for (std::size_t vm = 0; vm < 6; vm += 2) {
      fleet.Start(vm);
      fleet.Run(seconds(3), 60);
    }
    INFO("seed " << seed);
    CHECK(static_cast<double>(fleet.MostArrivals(0, from, kWindow)) <=
          Bound(2.5));
    CHECK(static_cast<double>(fleet.MostArrivals(1, from, kWindow)) <=
          Bound(5));
  }
}

// Guards against a limit that lets a server idle: callers are refused while it
// would take more.
TEST_CASE("Servers with rate limits are used as far as these permit")
{
  RateLimitFleet fleet(4, 4, 5);
  fleet.Run(seconds(6), 80);
  for (std::size_t n = 0; n < 4; ++n) {
    fleet.SetLimit(n, 10);
  }
  fleet.Run(seconds(6), 80);
  const TimePoint from = fleet.mNow;
  fleet.Run(seconds(12), 80);
  for (std::size_t n = 0; n < 4; ++n) {
    CHECK(static_cast<double>(fleet.ArrivalsSince(n, from)) >= 0.9 * 10 * 12);
  }
}

// Guards against a limit that binds on after the server has taken it back, on
// VMs that get no answer from it.
TEST_CASE("All VMs learn that a server has taken its rate limit back")
{
  RateLimitFleet fleet(16, 2, 9);
  fleet.Run(seconds(6), 60);
  fleet.SetLimit(0, 1);
  fleet.Run(seconds(8), 60);
  fleet.SetLimit(0, std::nullopt);
  fleet.Run(seconds(5), 60);
  const TimePoint from = fleet.mNow;
  fleet.Run(seconds(4), 60);
  CHECK(fleet.ArrivalsSince(0, from) >= 60);
}

// Guards against a server that never gets requests again after a limit of zero,
// because no answer can tell that the limit has ended.
TEST_CASE("A rate limit that no answer confirms lapses")
{
  RateLimitFleet fleet(3, 2, 11);
  fleet.Run(seconds(6), 40);
  fleet.SetLimit(0, 0);
  fleet.Run(seconds(2), 40);
  const TimePoint limited = fleet.mNow;
  fleet.Run(kRateLimitValidity - seconds(3), 40);
  CHECK(fleet.ArrivalsSince(0, limited) == 0);
  fleet.SetLimit(0, std::nullopt);
  fleet.Run(seconds(5), 40);
  const TimePoint from = fleet.mNow;
  fleet.Run(seconds(4), 40);
  CHECK(fleet.ArrivalsSince(0, from) >= 40);
}

// Guards against a VM that misses all messages of a limit, takes it as ended,
// and tells the others so.
TEST_CASE("A limit that lapses on one VM holds on for the others")
{
  RateLimitFleet fleet(4, 3, 3);
  fleet.mVmWithoutCallers = 0;
  fleet.Run(seconds(6), 60);
  fleet.SetLimit(0, 1);
  fleet.Run(seconds(4), 60);
  fleet.mDeafVm = 0;
  const TimePoint from = fleet.mNow;
  fleet.Run(kRateLimitValidity + seconds(8), 60);
  CHECK(static_cast<double>(fleet.MostArrivals(0, from, kWindow)) <= Bound(1));
}

// Guards against a server that is held to the limit of the process before it.
TEST_CASE("A restarted server is not held to its predecessor's rate limit")
{
  BackendPool pool(BackendPool::Options{});
  const TimePoint now{ seconds(100) };
  BackendEntry entry{ .mBackend = BackendId("s"),
                      .mAddress = "10.1.0.1",
                      .mPort = 1,
                      .mStartedMs = 1 };
  pool.Upsert(entry, now);
  Backend* const backend = pool.Find(entry.mBackend);
  const std::uint64_t lifetime = backend->mLifetimeHash;
  CHECK(pool.OnRateLimitStated(*backend, 2.0, now));
  CHECK(pool.IsRateLimited(*backend, now));
  entry.mStartedMs = 2;
  pool.Upsert(entry, now + seconds(1));
  CHECK_FALSE(pool.IsRateLimited(*pool.Find(entry.mBackend), now));
  CHECK_FALSE(pool.FindLifetime(lifetime));
}

// Guards against a late message of another VM that brings an ended limit back.
TEST_CASE("An older statement of a rate limit is ignored")
{
  BackendPool pool(BackendPool::Options{});
  const TimePoint now{ seconds(100) };
  pool.Upsert({ .mBackend = BackendId("s") }, now);
  Backend& backend = *pool.Find(BackendId("s"));
  CHECK(pool.OnRateLimitStated(backend, 2.0, now));
  CHECK(pool.OnRateLimitStated(backend, std::nullopt, now + seconds(2)));
  CHECK_FALSE(pool.OnRateLimitStated(backend, 2.0, now + seconds(1)));
  CHECK_FALSE(pool.IsRateLimited(backend, now + seconds(2)));
}

// Guards against health checks beyond the rate limit of a server in need.
TEST_CASE("Health checks count towards a server's rate limit")
{
  BackendPool pool(BackendPool::Options{});
  const TimePoint now{ seconds(100) };
  pool.Upsert({ .mBackend = BackendId("s") }, now);
  Backend& backend = *pool.Find(BackendId("s"));
  pool.OnRateLimitStated(backend, 1.0, now);
  backend.mRateQuota = { .mRequests = 1, .mWindow = seconds(4) };
  pool.RequireProbe(backend, now);
  CHECK(pool.TakeProbesDue(now).size() == 1);
  CHECK_FALSE(pool.MaySendLimited(backend, now));
  pool.OnProbeResult(backend, true, now);
  pool.RequireProbe(backend, now);
  CHECK(pool.TakeProbesDue(now + seconds(1)).empty());
  CHECK(pool.TakeProbesDue(now + seconds(5)).size() == 1);
}

} // namespace cranberrywing::gateway::testing
