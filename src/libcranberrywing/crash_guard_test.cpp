#include "cranberrywing/crash_guard.h"

#include <catch2/catch.hpp>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const ContentDigest kRequest{ 1, 2 };
const ContentDigest kOther{ 3, 4 };

void CrashServer(CrashGuard& aGuard,
                 const ContentDigest& aRequest,
                 std::size_t aServer,
                 double aNow,
                 EffectList& aOut)
{
  aGuard.OnReset(aRequest, Server(aServer), At(aNow));
  aGuard.OnServerDown(Server(aServer), At(aNow + 1), aOut);
}

} // namespace

// A request that crashes servers must not crash one after another, and its
// block must expire.
TEST_CASE("a request is blocked after it crashed two servers")
{
  CrashGuard guard({});
  EffectList out;
  CrashServer(guard, kRequest, 0, 0, out);
  CHECK_FALSE(guard.IsBlocked(kRequest, At(2)));
  CrashServer(guard, kRequest, 1, 2, out);
  // A repeat of the request is blocked.
  CHECK(guard.IsBlocked(kRequest, At(3)));
  CHECK(guard.IsBlocked(kRequest, At(600)));
  CHECK_FALSE(guard.IsBlocked(kOther, At(3)));
  CHECK(FilterEffects<effect::RecordTimeline>(out).size() == 1);
  const auto blocks = guard.TakePeerMessages();
  REQUIRE(blocks.size() == 1);
  CHECK(guard.TakePeerMessages().empty());
  CHECK_FALSE(guard.IsBlocked(kRequest, At(604)));

  CrashGuard peer({});
  peer.OnMessage(blocks[0], At(3));
  CHECK(peer.IsBlocked(kRequest, At(600)));
  CHECK_FALSE(peer.IsBlocked(kRequest, At(604)));
}

// Failures of a single server, and resets by servers that stay up, must not
// block a request.
TEST_CASE("the failures of one server never block a request")
{
  CrashGuard guard({});
  EffectList out;
  for (int n = 0; n < 5; ++n) {
    CrashServer(guard, kRequest, 0, n * 20, out);
    guard.Tick(At(n * 20 + 10));
  }
  CHECK_FALSE(guard.IsBlocked(kRequest, At(100)));
  // Connections reset by servers that stay up.
  for (std::size_t n = 1; n < 10; ++n) {
    guard.OnReset(kRequest, Server(n), At(100));
  }
  guard.OnServerDown(Server(5), At(200), out);
  CHECK_FALSE(guard.IsBlocked(kRequest, At(200)));
}

// A request that was running on a server while another request crashed it must
// not be blocked: a successful answer clears it.
TEST_CASE("an answer clears the crashes counted against a request")
{
  CrashGuard guard({});
  EffectList out;
  CrashServer(guard, kOther, 0, 0, out);
  guard.OnSuccess(kOther);
  CrashServer(guard, kOther, 1, 2, out);
  CHECK_FALSE(guard.IsBlocked(kOther, At(3)));
  guard.Tick(At(3.5));
  guard.OnSuccess(kOther);
  guard.Tick(At(5));
  CHECK(guard.TakePeerMessages().size() <= 1);
}

// A request must not reach a third server while the first two that reset its
// connection are not yet known to be down.
TEST_CASE("two resets stop further attempts during the confirmation time")
{
  CrashGuard guard({});
  guard.OnReset(kRequest, Server(0), At(0));
  CHECK_FALSE(guard.IsSuspect(kRequest, At(0)));
  guard.OnReset(kRequest, Server(1), At(0.1));
  CHECK(guard.IsSuspect(kRequest, At(0.1)));
  CHECK_FALSE(guard.IsSuspect(kRequest, At(20)));
}

// A caller may repeat a request through several VMs, each of which sees a
// single crash. VMs therefore report crashes to each other.
TEST_CASE("crashes seen by two VMs add up to a block")
{
  CrashGuard first({});
  CrashGuard second({});
  EffectList out;
  CrashServer(first, kRequest, 0, 0, out);
  first.Tick(At(1.5));
  CHECK(first.TakePeerMessages().empty());
  first.Tick(At(3));
  const auto reports = first.TakePeerMessages();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mLost == Server(0));
  second.OnMessage(reports[0], At(3));
  second.OnMessage(reports[0], At(3));
  CHECK_FALSE(second.IsBlocked(kRequest, At(3)));
  CrashServer(second, kRequest, 1, 4, out);
  CHECK(second.IsBlocked(kRequest, At(5)));
}

// Repeats of a request must have equal fingerprints even if their headers
// differ; different requests must have different ones.
TEST_CASE("a fingerprint covers route, method, target and body")
{
  RequestContent content{ "POST", "/orders", { { "Date", "1" } }, "tape" };
  const RouteId route("order");
  const ContentDigest digest = FingerprintRequest(route, content);
  RequestContent repeat = content;
  repeat.mHeaders[0].mValue = "2";
  CHECK(FingerprintRequest(route, repeat) == digest);
  RequestContent other = content;
  other.mBody = "thread";
  CHECK(FingerprintRequest(route, other) != digest);
  CHECK(FingerprintRequest(RouteId("pay"), content) != digest);
}
