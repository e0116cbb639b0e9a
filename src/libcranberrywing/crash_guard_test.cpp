#include "cranberrywing/crash_guard.h"

#include <catch2/catch.hpp>
#include <set>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const ContentDigest kRequest{ 1, 2 };
const ContentDigest kOther{ 3, 4 };

/// An attempt that was lost as soon as it was sent.
LostAttempt Lost(std::size_t aServer, double aTime, std::uint64_t aLifetime = 0)
{
  return { .mBackend = Server(aServer),
           .mLifetime = aLifetime,
           .mSentAt = At(aTime),
           .mLostAt = At(aTime) };
}

/// A guard that, as the gateway's, blocks after three crashes.
CrashGuard GatewayGuard()
{
  return CrashGuard(
    { .mCrashThreshold = 3, .mBlockTime = std::chrono::seconds(60) });
}

/// Delivers a guard's messages to the others, until none is left.
void Exchange(std::vector<CrashGuard>& aGuards, double aNow)
{
  for (std::size_t from = 0; from < aGuards.size(); ++from) {
    for (const message::RequestBlock& message :
         aGuards[from].TakePeerMessages()) {
      for (std::size_t to = 0; to < aGuards.size(); ++to) {
        if (to != from) {
          aGuards[to].OnMessage(message, At(aNow));
        }
      }
    }
  }
}

void CrashServer(CrashGuard& aGuard,
                 const ContentDigest& aRequest,
                 std::size_t aServer,
                 double aNow,
                 EffectList& aOut)
{
  aGuard.OnReset(aRequest, Lost(aServer, aNow));
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
    guard.OnReset(kRequest, Lost(n, 100));
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
  guard.OnSuccess(kOther, At(1.5));
  CrashServer(guard, kOther, 1, 2, out);
  CHECK_FALSE(guard.IsBlocked(kOther, At(3)));
  guard.Tick(At(3.5));
  guard.OnSuccess(kOther, At(4));
  guard.Tick(At(5));
  CHECK(guard.TakePeerMessages().size() <= 1);
}

// A request must not reach a third server while the first two that reset its
// connection are not yet known to be down.
TEST_CASE("two resets stop further attempts during the confirmation time")
{
  CrashGuard guard({});
  guard.OnReset(kRequest, Lost(0, 0));
  CHECK_FALSE(guard.IsSuspect(kRequest, At(0)));
  guard.OnReset(kRequest, Lost(1, 0.1));
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

// Guards against the failure BUDGET: a request passes without end through a
// service whose few servers start again under the identifiers that they had.
TEST_CASE("a process that a server starts anew counts as another crash")
{
  std::vector<CrashGuard> guards{ GatewayGuard(), GatewayGuard() };
  EffectList out;
  for (std::size_t n = 0; n < 3; ++n) {
    const double now = 2.0 * static_cast<double>(n);
    CrashGuard& guard = guards[n % 2];
    CHECK_FALSE(guard.IsBlocked(kRequest, At(now)));
    guard.OnReset(kRequest, Lost(0, now, n + 1));
    guard.OnServerDown(Server(0), At(now + 0.1), out);
    for (CrashGuard& each : guards) {
      each.Tick(At(now + 1.5));
    }
    Exchange(guards, now + 1.5);
  }
  CHECK(guards[0].IsBlocked(kRequest, At(6)));
  CHECK(guards[1].IsBlocked(kRequest, At(6)));
}

// Guards against the failure BUDGET: a server is back so fast that no health
// check finds it down, and its crash is not counted.
TEST_CASE("a new process under a server's identifier proves a crash")
{
  CrashGuard guard = GatewayGuard();
  EffectList out;
  for (std::uint64_t lifetime = 1; lifetime <= 3; ++lifetime) {
    const auto now = static_cast<double>(lifetime);
    CHECK_FALSE(guard.IsBlocked(kRequest, At(now)));
    guard.OnReset(kRequest, Lost(0, now, lifetime));
    guard.OnServerRestarted(Server(0), lifetime, At(now + 0.1), out);
    CHECK_FALSE(guard.IsBlocked(kRequest, At(now + 0.1)));
    guard.OnServerRestarted(Server(0), lifetime + 1, At(now + 0.2), out);
  }
  CHECK(guard.IsBlocked(kRequest, At(4)));
}

// Guards against blocking a frequent request that was being run on the servers
// of a failure domain when it lost power.
TEST_CASE("servers that are lost during overlapping attempts count once")
{
  CrashGuard guard = GatewayGuard();
  EffectList out;
  for (std::size_t n = 0; n < 6; ++n) {
    LostAttempt attempt = Lost(n, 1, 1);
    attempt.mSentAt = At(0.9);
    attempt.mLostAt = At(1 + 0.01 * static_cast<double>(n));
    guard.OnReset(kRequest, attempt);
  }
  CHECK_FALSE(guard.IsSuspect(kRequest, At(1.1)));
  for (std::size_t n = 0; n < 6; ++n) {
    guard.OnServerDown(Server(n), At(2), out);
  }
  CHECK_FALSE(guard.IsBlocked(kRequest, At(2)));

  // The same seen by one VM each.
  std::vector<CrashGuard> guards(6, GatewayGuard());
  for (std::size_t n = 0; n < 6; ++n) {
    CrashServer(guards[n], kRequest, n, 10, out);
    guards[n].Tick(At(12 + 0.1 * static_cast<double>(n)));
    Exchange(guards, 12 + 0.1 * static_cast<double>(n));
  }
  for (const CrashGuard& each : guards) {
    CHECK_FALSE(each.IsBlocked(kRequest, At(13)));
  }
}

// Guards against counting crashes at VMs that were told of them, but not that
// another VM got an answer.
TEST_CASE("an answer clears the crashes that were reported to peers")
{
  std::vector<CrashGuard> guards(3, GatewayGuard());
  EffectList out;
  CrashServer(guards[0], kRequest, 0, 0, out);
  CrashServer(guards[1], kRequest, 1, 2, out);
  guards[0].Tick(At(5));
  guards[1].Tick(At(5));
  Exchange(guards, 5);
  guards[2].OnReset(kRequest, Lost(2, 6));
  CHECK(guards[2].IsSuspect(kRequest, At(6)));
  guards[0].OnSuccess(kRequest, At(7));
  Exchange(guards, 7);
  guards[2].OnReset(kRequest, Lost(3, 8));
  CHECK_FALSE(guards[2].IsSuspect(kRequest, At(8)));
  CHECK(guards[0].TakePeerMessages().empty());
}

// Guards against blocking a frequent request that is often being run when a
// server crashes by itself again and again.
TEST_CASE(
  "a server that crashes by itself blocks no request that others answer")
{
  std::vector<CrashGuard> guards(4, GatewayGuard());
  EffectList out;
  std::uint64_t lifetime = 1;
  for (std::size_t n = 0; n < 200; ++n) {
    const auto now = static_cast<double>(n);
    CrashGuard& guard = guards[n % guards.size()];
    REQUIRE_FALSE(guard.IsBlocked(kRequest, At(now)));
    if (n % 3 != 0) {
      guard.OnReset(kRequest, Lost(0, now, lifetime));
      ++lifetime;
      guard.OnServerRestarted(Server(0), lifetime, At(now + 0.1), out);
    } else {
      guard.OnSuccess(kRequest, At(now));
    }
    for (CrashGuard& each : guards) {
      each.Tick(At(now + 0.5));
    }
    Exchange(guards, now + 0.5);
  }
}

// Guards against the failure BUDGET: a request passes again once its block has
// ended, though its callers never stopped sending it.
TEST_CASE("a block lasts as long as the request comes")
{
  CrashGuard guard = GatewayGuard();
  guard.OnMessage({ kRequest, 60'000, {} }, At(0));
  for (int n = 1; n <= 10; ++n) {
    CHECK(guard.OnArrival(kRequest, At(50 * n)));
    guard.Tick(At(50 * n));
  }
  CHECK_FALSE(guard.OnArrival(kRequest, At(561)));
  CHECK_FALSE(guard.OnArrival(kOther, At(10)));
}

// Guards against the failure BUDGET: VMs that started after a request was
// blocked, or missed the message, pass it on.
TEST_CASE("all VMs learn a block within seconds, at a bounded rate")
{
  constexpr std::size_t kVms = 60;
  constexpr std::size_t kMaxMessagesPerSecond = 16;
  std::vector<CrashGuard> guards(kVms, GatewayGuard());
  guards[0].OnMessage({ kRequest, 60'000, {} }, At(0));
  std::size_t turn = 0;
  for (int second = 0; second < 12; ++second) {
    ++turn;
    for (std::size_t from = 0; from < kVms; ++from) {
      const auto blocks = guards[from].TakeBlocksToRepeat(At(second));
      CHECK(blocks.size() <= kMaxMessagesPerSecond);
      CHECK(guards[from].TakeBlocksToRepeat(At(second)).empty());
      // Each VM goes through the others from a place of its own.
      const std::size_t to = (from * 7 + turn) % kVms;
      for (const message::RequestBlock& block : blocks) {
        guards[to].OnMessage(block, At(second + 0.05));
      }
    }
  }
  for (const CrashGuard& each : guards) {
    CHECK(each.IsBlocked(kRequest, At(12)));
  }
  // Repetition does not make blocks last longer.
  for (int second = 12; second < 70; ++second) {
    for (std::size_t from = 0; from < kVms; ++from) {
      guards[from].Tick(At(second));
      for (const message::RequestBlock& block :
           guards[from].TakeBlocksToRepeat(At(second))) {
        guards[(from * 7 + turn) % kVms].OnMessage(block, At(second + 0.05));
      }
    }
    ++turn;
  }
  for (const CrashGuard& each : guards) {
    CHECK_FALSE(each.IsBlocked(kRequest, At(70)));
  }
}

// Guards against memory and messages that grow with a flood of requests that
// crash servers.
TEST_CASE("very many blocks are bounded, and all are told in turn")
{
  CrashGuard guard = GatewayGuard();
  for (std::uint64_t n = 1; n <= 5'000; ++n) {
    guard.OnMessage({ ContentDigest{ n, n }, 60'000, {} }, At(0));
  }
  CHECK(guard.BlockCount() <= 1'024);
  std::set<ContentDigest> told;
  for (int turn = 0; turn < 64; ++turn) {
    for (const message::RequestBlock& block : guard.NextBlocks(At(1))) {
      told.insert(block.mFingerprint);
    }
  }
  CHECK(told.size() == guard.BlockCount());
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
