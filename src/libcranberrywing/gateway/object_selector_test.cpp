#include "cranberrywing/gateway/object_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };
const ServiceId kService("ordering");

/// A pool of aCount servers with four slots each.
class Servers
{
public:
  explicit Servers(std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      BackendEntry entry{ .mBackend = BackendId("s" + std::to_string(n)),
                          .mService = kService,
                          .mAddress = "10.0.0.1",
                          .mPort = static_cast<std::uint16_t>(1000 + n),
                          .mFailureDomain = FailureDomainId("a"),
                          .mRegion = RegionId("r"),
                          .mSlots = 4 };
      mPool.Upsert(entry, kNow);
    }
  }

  Selection Choose(ObjectHash aObject) const
  {
    return *mSelector.Choose(
      mPool, mPool.BackendsOfService(kService), aObject, mTimes, kNow);
  }

  BackendPool mPool{ {} };
  ObjectSelector mSelector{ {} };
  ExpectedTimes mTimes;
};

} // namespace

// Guards against VMs that disagree on an object's server: each server would
// see too many objects and remember none.
TEST_CASE("An object goes to one server on every VM")
{
  const Servers one(12);
  const Servers other(12);
  for (int n = 0; n < 100; ++n) {
    const ObjectHash object = HashObject(kService, std::to_string(n));
    const Backend* const server = one.Choose(object).mBackend;
    CHECK(server->mEntry.mBackend ==
          other.Choose(object).mBackend->mEntry.mBackend);
  }
}

// Guards against a hash by position, which moves nearly all objects when a
// server leaves.
TEST_CASE("A server that leaves moves only its own objects")
{
  const Servers before(12);
  Servers after(12);
  after.mPool.Remove(BackendId("s3"));
  int moved = 0;
  int own = 0;
  for (int n = 0; n < 300; ++n) {
    const ObjectHash object = HashObject(kService, std::to_string(n));
    const BackendId first = before.Choose(object).mBackend->mEntry.mBackend;
    const BackendId second = after.Choose(object).mBackend->mEntry.mBackend;
    own += first == BackendId("s3") ? 1 : 0;
    moved += first == second ? 0 : 1;
  }
  CHECK(moved == own);
}

// Guards against the overload seen on days of high load: objects spread over
// six servers each, and every server forgot them before they came again.
TEST_CASE("A busy object uses few servers")
{
  Servers servers(12);
  std::map<ObjectHash, std::set<BackendId>> used;
  for (int round = 0; round < 40; ++round) {
    for (int n = 0; n < 20; ++n) {
      const ObjectHash object = HashObject(kService, std::to_string(n));
      Backend& server = *servers.Choose(object).mBackend;
      servers.mPool.OnSent(server, object, kNow);
      used[object].insert(server.mEntry.mBackend);
    }
  }
  for (const auto& [object, backends] : used) {
    CHECK(backends.size() <= ObjectSelector::Options{}.mWidth);
  }
}

// Guards against a hot object that queues at one server while others are idle,
// and against leaving it for a queue that is shorter than the additional work
// elsewhere.
TEST_CASE("A request leaves a server whose queue takes longer than a new one")
{
  Servers servers(12);
  const ObjectHash object = HashObject(kService, "hot");
  Backend& first = *servers.Choose(object).mBackend;
  // Until the work of three misses, 3 x (600 - 100) ms at 150 ms each.
  const Duration missCost =
    3 * (servers.mTimes.mTailLatency - servers.mTimes.mWarm);
  std::size_t sent = 0;
  while (servers.Choose(object).mBackend == &first && sent < 1000) {
    servers.mPool.OnSent(first, object, kNow);
    ++sent;
  }
  const Duration wait =
    servers.mTimes.mMean * static_cast<Duration::rep>(sent + 1 - 4) / 4;
  CHECK(wait >= missCost);
  CHECK(wait <= missCost + servers.mTimes.mTailLatency);
}

// Guards against sending on to a server that has stopped answering although
// its connections stay open.
TEST_CASE("A silent server is left")
{
  Servers servers(3);
  const ObjectHash object = HashObject(kService, "x");
  Backend& first = *servers.Choose(object).mBackend;
  servers.mPool.OnSent(first, object, kNow - std::chrono::seconds(5));
  CHECK(servers.Choose(object).mBackend != &first);
}

// Guards against objects that stay spread after a burst: for as long as each
// of three servers counted as knowing the object, requests went to all of them.
TEST_CASE("After a burst an object returns to its own server")
{
  Servers servers(12);
  const ObjectHash object = HashObject(kService, "hot");
  Backend& first = *servers.Choose(object).mBackend;
  for (int n = 0; n < 90; ++n) {
    servers.mPool.OnSent(first, object, kNow);
  }
  Backend& second = *servers.Choose(object).mBackend;
  REQUIRE(&second != &first);
  servers.mPool.OnSent(second, object, kNow);
  for (int n = 0; n < 86; ++n) {
    servers.mPool.OnAttemptEnded(first, true, kNow);
  }
  // Four of the object's requests hold the first server's four slots.
  const TimePoint later = kNow + std::chrono::seconds(5);
  const auto selection = servers.mSelector.Choose(
    servers.mPool, { &first, &second }, object, servers.mTimes, later);
  REQUIRE(selection);
  CHECK(selection->mBackend == &first);
}

// Guards against FAILBACK: requests without an object all took the first of
// the servers that were equally soon, on every VM the same one. It got 16 of
// them in a second while it was cold and no VM knew yet (adwoa-hq-grown,
// hunt-f411-3; 14.3 were allowed).
TEST_CASE("Requests without an object spread over idle servers")
{
  const Servers servers(12);
  std::map<BackendId, int> chosen;
  for (int n = 0; n < 1200; ++n) {
    const auto selection =
      servers.mSelector.Choose(servers.mPool,
                               servers.mPool.BackendsOfService(kService),
                               0,
                               servers.mTimes,
                               kNow,
                               HashBytes(std::to_string(n)));
    ++chosen[selection->mBackend->mEntry.mBackend];
  }
  CHECK(chosen.size() == 12);
  for (const auto& [backend, count] : chosen) {
    CHECK(count < 150);
  }
}
