#include "cranberrywing/crash_guard.h"

#include <catch2/catch.hpp>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const ContentDigest kRequest{ 1, 2 };
const ContentDigest kOther{ 3, 4 };

void Lose(CrashGuard& aGuard,
          const ContentDigest& aRequest,
          std::size_t aServer,
          double aNow,
          EffectList& aOut)
{
  aGuard.OnReset(aRequest, Server(aServer), At(aNow));
  aGuard.OnServerDown(Server(aServer), At(aNow + 1), aOut);
}

} // namespace

// Guards against a request that ends one server after the other, and against
// a block that never ends.
TEST_CASE("a request is blocked after two servers were lost to it")
{
  CrashGuard guard({});
  EffectList out;
  Lose(guard, kRequest, 0, 0, out);
  CHECK_FALSE(guard.IsBlocked(kRequest, At(2)));
  Lose(guard, kRequest, 1, 2, out);
  // The caller repeats the request and meets the block.
  CHECK(guard.IsBlocked(kRequest, At(3)));
  CHECK(guard.IsBlocked(kRequest, At(600)));
  CHECK_FALSE(guard.IsBlocked(kOther, At(3)));
  CHECK(FilterEffects<effect::RecordTimeline>(out).size() == 1);
  const auto blocks = guard.TakeNewBlocks();
  REQUIRE(blocks.size() == 1);
  CHECK(guard.TakeNewBlocks().empty());
  CHECK_FALSE(guard.IsBlocked(kRequest, At(604)));

  CrashGuard peer({});
  peer.OnMessage(blocks[0], At(3));
  CHECK(peer.IsBlocked(kRequest, At(600)));
  CHECK_FALSE(peer.IsBlocked(kRequest, At(604)));
}

// Guards against blocking what failed for an ordinary reason.
TEST_CASE("the failures of one server never block a request")
{
  CrashGuard guard({});
  EffectList out;
  for (int n = 0; n < 5; ++n) {
    Lose(guard, kRequest, 0, n * 20, out);
    guard.Tick(At(n * 20 + 10));
  }
  CHECK_FALSE(guard.IsBlocked(kRequest, At(100)));
  // Connections that end while the servers live on.
  for (std::size_t n = 1; n < 10; ++n) {
    guard.OnReset(kRequest, Server(n), At(100));
  }
  guard.OnServerDown(Server(5), At(200), out);
  CHECK_FALSE(guard.IsBlocked(kRequest, At(200)));
}

// Guards against blocking requests that only ran on a server when another
// request ended it.
TEST_CASE("an answer clears a request of the servers lost before")
{
  CrashGuard guard({});
  EffectList out;
  Lose(guard, kOther, 0, 0, out);
  guard.OnSuccess(kOther);
  Lose(guard, kOther, 1, 2, out);
  CHECK_FALSE(guard.IsBlocked(kOther, At(3)));
  guard.Tick(At(3.5));
  guard.OnSuccess(kOther);
  guard.Tick(At(5));
  CHECK(guard.TakeNewBlocks().size() <= 1);
}

// Guards against a third lost server while the first two are not yet known to
// have died.
TEST_CASE("two resets stop further attempts until they are explained")
{
  CrashGuard guard({});
  guard.OnReset(kRequest, Server(0), At(0));
  CHECK_FALSE(guard.IsSuspect(kRequest, At(0)));
  guard.OnReset(kRequest, Server(1), At(0.1));
  CHECK(guard.IsSuspect(kRequest, At(0.1)));
  CHECK_FALSE(guard.IsSuspect(kRequest, At(20)));
}

// Guards against a caller that repeats the request through other VMs, each of
// which loses one server only.
TEST_CASE("servers lost at two VMs add up to a block")
{
  CrashGuard first({});
  CrashGuard second({});
  EffectList out;
  Lose(first, kRequest, 0, 0, out);
  first.Tick(At(1.5));
  CHECK(first.TakeNewBlocks().empty());
  first.Tick(At(3));
  const auto told = first.TakeNewBlocks();
  REQUIRE(told.size() == 1);
  CHECK(told[0].mLost == Server(0));
  second.OnMessage(told[0], At(3));
  second.OnMessage(told[0], At(3));
  CHECK_FALSE(second.IsBlocked(kRequest, At(3)));
  Lose(second, kRequest, 1, 4, out);
  CHECK(second.IsBlocked(kRequest, At(5)));
}

// Guards against fingerprints that differ between repeats, or are shared by
// different requests.
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
