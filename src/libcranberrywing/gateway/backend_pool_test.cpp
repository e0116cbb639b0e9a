#include "cranberrywing/gateway/backend_pool.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };

BackendEntry Entry(std::int64_t aStartedMs = 1)
{
  return { .mBackend = BackendId("s"),
           .mService = ServiceId("ordering"),
           .mAddress = "10.0.0.1",
           .mPort = 80,
           .mFailureDomain = FailureDomainId("a"),
           .mRegion = RegionId("r"),
           .mSlots = 4,
           .mStartedMs = aStartedMs };
}

} // namespace

// Guards against a slow server that keeps its share of the requests: its
// requests time out at their deadlines, but its health checks succeed (incident
// of adwoa-hq, docs/incidents).
TEST_CASE("Requests that time out mark a server as slow")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  for (int n = 0; n < 3; ++n) {
    pool.OnTimeout(server, 5, kNow);
  }
  pool.OnProbeResult(server, true, kNow);
  CHECK(pool.Slowness(server, kNow) >= 5);
}

// Guards against a server that is taken for slow because some answers missed
// its object cache.
TEST_CASE("One fast answer among the last few marks a server as normal")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  for (const double ratio : { 3.3, 1.0, 3.3 }) {
    pool.OnSuccess(server, ratio, kNow);
  }
  CHECK(pool.Slowness(server, kNow) == Approx(1));
}

TEST_CASE("A restart clears the objects known to be cached at a server")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  pool.OnSent(server, 7, kNow);
  CHECK(pool.IsWarm(server, 7, kNow));
  CHECK(pool.Upsert(Entry(2), kNow));
  CHECK_FALSE(pool.IsWarm(*pool.Find(BackendId("s")), 7, kNow));
  CHECK_FALSE(pool.Upsert(Entry(2), kNow));
}

TEST_CASE("Consecutive failures eject a server until a health check")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  CHECK_FALSE(pool.OnFailure(server, kNow));
  CHECK_FALSE(pool.OnFailure(server, kNow));
  CHECK(pool.OnFailure(server, kNow));
  CHECK_FALSE(pool.IsUsable(server, kNow));
  CHECK(pool.TakeProbesDue(kNow).empty());
  const TimePoint later = kNow + std::chrono::seconds(1);
  CHECK(pool.TakeProbesDue(later).size() == 1);
  CHECK(pool.TakeProbesDue(later).empty());
  CHECK_FALSE(pool.IsUsable(server, later));
  pool.OnProbeResult(server, true, later);
  CHECK(pool.IsUsable(server, later));
}

// Guards against a server that passes health checks but fails all requests, and
// gets requests again after each check at a constant rate.
TEST_CASE(
  "A server that passes only health checks is tried less and less often")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  TimePoint now = kNow;
  Duration previous{};
  for (int n = 0; n < 4; ++n) {
    const TimePoint failedAt = now;
    while (!pool.OnFailure(server, now)) {
    }
    while (pool.TakeProbesDue(now).empty()) {
      now += std::chrono::milliseconds(10);
    }
    pool.OnProbeResult(server, true, now);
    REQUIRE(pool.IsUsable(server, now));
    CHECK(now - failedAt > previous);
    previous = now - failedAt;
  }
  pool.OnSuccess(server, 1, now);
  while (!pool.OnFailure(server, now)) {
  }
  CHECK(server.mEjectedUntil - now < previous);
}

// Guards against servers that stay in a region that their failure domain has
// left in the settings.
TEST_CASE("A registration with another region is a change")
{
  BackendPool pool({});
  CHECK(pool.Upsert(Entry(), kNow));
  CHECK_FALSE(pool.Upsert(Entry(), kNow));
  BackendEntry moved = Entry();
  moved.mRegion = RegionId("other");
  CHECK(pool.Upsert(moved, kNow));
  CHECK(pool.Find(BackendId("s"))->mEntry.mRegion == RegionId("other"));
}
