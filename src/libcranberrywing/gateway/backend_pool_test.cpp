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

// Guards against servers that turned slow and kept their share of the
// requests: these ended at their deadlines, and a health check found the
// server healthy each time (incident of adwoa-hq, docs/incidents).
TEST_CASE("Requests that end at their deadlines show a slow server")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  for (int n = 0; n < 3; ++n) {
    pool.OnTimeout(server, 5, kNow);
  }
  pool.OnProbe(server, true, kNow);
  CHECK(pool.Slowness(server, kNow) >= 5);
}

// Guards against a server that looks slow because it forgot some objects.
TEST_CASE("One fast answer of the last few shows a server of usual speed")
{
  BackendPool pool({});
  pool.Upsert(Entry(), kNow);
  Backend& server = *pool.Find(BackendId("s"));
  for (const double ratio : { 3.3, 1.0, 3.3 }) {
    pool.OnSuccess(server, ratio, kNow);
  }
  CHECK(pool.Slowness(server, kNow) == Approx(1));
}

TEST_CASE("A later start forgets what the earlier process handled")
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

TEST_CASE("Failures in a row eject a server until a health check")
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
  pool.OnProbe(server, true, later);
  CHECK(pool.IsUsable(server, later));
}
