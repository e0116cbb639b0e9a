#include "store_follower_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

/// A fixture that can start with servers in the store.
class Follower : public cranberrywing::gateway::testing::FollowerFixture
{
public:
  /// Answers the listing with aCount servers at revision 10 and checks that the
  /// follower starts to watch.
  void ReadServers(int aCount)
  {
    StoreReply reply{ .mStatus = StoreStatus::Ok, .mRevision = 10 };
    for (int n = 0; n < aCount; ++n) {
      reply.mItems.push_back({ "servers/" + std::to_string(n), "x", n + 1 });
    }
    Reply(reply);
    REQUIRE(std::holds_alternative<store_call::Watch>(*mFollow));
    mChanges.clear();
  }
};

/// A watch reply that removes the given servers.
StoreReply Removed(std::vector<int> aServers, std::int64_t aRevision)
{
  StoreReply reply{ .mStatus = StoreStatus::Ok, .mRevision = aRevision };
  for (const int n : aServers) {
    reply.mChanges.push_back(
      { { "servers/" + std::to_string(n), "", aRevision }, true });
  }
  return reply;
}

} // namespace

TEST_CASE("After a paged listing the watch starts at the first page's revision")
{
  Follower follower;
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 7,
                   .mItems = { { "config", "c", 3 } },
                   .mHasMore = true });
  CHECK(std::get<store_call::ListPage>(*follower.mFollow).mAfterKey ==
        "config");
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 9,
                   .mItems = { { "servers/0", "s", 4 } } });
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mAfterRevision == 7);
  CHECK(follower.mChanges.size() == 2);
  CHECK(follower.mCompleted == 1);
}

// Guards against a stopped server that gets requests for seconds after a store
// outage: a few removed entries are those of servers that left.
TEST_CASE("A single entry that expired during an outage is removed at once")
{
  Follower follower;
  follower.ReadServers(10);
  follower.Reply({ .mStatus = StoreStatus::NoAnswer });
  CHECK_FALSE(follower.mIsReachable);
  follower.Advance(std::chrono::seconds(1));
  follower.Reply(Removed({ 3 }, 20));
  CHECK(follower.Removals() == 1);
}

// Guards against losing all servers when the leases of their entries expire
// during an outage of the store: running servers restore their entries within
// about two seconds.
TEST_CASE(
  "The removal of many entries at once is delayed until they may be restored")
{
  Follower follower;
  follower.ReadServers(10);
  follower.Reply(Removed({ 0, 1, 2, 3, 4, 5 }, 20));
  CHECK(follower.Removals() == 0);
  follower.Advance(std::chrono::seconds(1));
  StoreReply back{ .mStatus = StoreStatus::Ok, .mRevision = 30 };
  for (int n = 0; n < 5; ++n) {
    back.mChanges.push_back({ { "servers/" + std::to_string(n), "x", 25 } });
  }
  follower.Reply(back);
  follower.Advance(std::chrono::milliseconds(1500));
  CHECK(follower.Removals() == 1);
}

// Guards against missing changes after the store has compacted its history.
TEST_CASE("A compacted history is followed by a new listing")
{
  Follower follower;
  follower.ReadServers(4);
  follower.Reply({ .mStatus = StoreStatus::HistoryCompacted });
  REQUIRE(std::holds_alternative<store_call::ListPage>(*follower.mFollow));
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 40,
                   .mItems = { { "servers/0", "x", 1 },
                               { "servers/1", "y", 39 },
                               { "servers/2", "x", 3 } } });
  // One item has changed and one was removed; the others are unchanged.
  CHECK(follower.mChanges.size() == 2);
  CHECK(follower.Removals() == 1);
}

// Guards against VMs that stay on an old configuration: the answer to a watch
// after quick changes of a large one was above the size limit, was taken for an
// outage, and was asked for again until the store dropped its history.
TEST_CASE("A watch whose answer is too large is followed by a new listing")
{
  Follower follower;
  follower.ReadServers(4);
  follower.Reply({ .mStatus = StoreStatus::TooLarge });
  CHECK(follower.mIsReachable);
  REQUIRE(follower.IsListing());
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 40,
                   .mItems = { { "config", "25", 40 },
                               { "servers/0", "x", 1 },
                               { "servers/1", "x", 2 },
                               { "servers/2", "x", 3 },
                               { "servers/3", "x", 4 } } });
  CHECK(follower.Value("config") == "25");
  REQUIRE(std::holds_alternative<store_call::Watch>(*follower.mFollow));
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mAfterRevision == 40);
}

// Guards against VMs that read each of many large configurations before the
// last one, which came into force seconds late.
TEST_CASE("Of several configurations in one answer the last one is delivered")
{
  Follower follower;
  follower.ReadServers(1);
  StoreReply reply{ .mStatus = StoreStatus::Ok, .mRevision = 20 };
  for (int n = 11; n <= 19; ++n) {
    reply.mChanges.push_back({ { "config", std::to_string(n), n } });
  }
  SECTION("the last one is the latest")
  {
    follower.Reply(reply);
    REQUIRE(follower.mChanges.size() == 1);
    CHECK(follower.Value("config") == "19");
  }
  SECTION("the last one is a late write of an earlier one")
  {
    reply.mChanges.push_back({ { "config", "12", 20 } });
    follower.Reply(reply);
    REQUIRE(follower.mChanges.size() == 1);
    CHECK(follower.Value("config") == "19");
  }
  SECTION("the last change is a removal")
  {
    reply.mChanges.push_back({ { .mKey = "config", .mRevision = 20 }, true });
    follower.Reply(reply);
    CHECK(follower.Value("config") == "-");
  }
}

TEST_CASE("The own entry is written again after its lease has expired")
{
  Follower follower;
  const StoreReply ok{ .mStatus = StoreStatus::Ok, .mLease = 5 };
  CHECK(std::get<store_call::Put>(*follower.mLease).mKey == "roster/a");
  follower.Reply(ok, StoreChannel::Lease);
  CHECK(std::holds_alternative<store_call::GrantLease>(*follower.mLease));
  follower.Reply(ok, StoreChannel::Lease);
  CHECK(std::get<store_call::Put>(*follower.mLease).mLease == 5);
  follower.Reply(ok, StoreChannel::Lease);
  follower.Advance(std::chrono::seconds(2));
  CHECK(std::holds_alternative<store_call::RenewLease>(*follower.mLease));
  follower.Reply({ .mStatus = StoreStatus::NotFound }, StoreChannel::Lease);
  CHECK(std::holds_alternative<store_call::GrantLease>(*follower.mLease));
}

// Guards against a watch that hangs for seconds during an outage of the store
// and is never answered afterwards: a VM got a configuration 3.5 s late.
TEST_CASE("A lease renewal without an answer replaces the watch in progress")
{
  Follower follower;
  follower.ReadServers(4);
  const StoreReply ok{ .mStatus = StoreStatus::Ok, .mLease = 5 };
  for (int n = 0; n < 3; ++n) {
    follower.Reply(ok, StoreChannel::Lease);
  }
  follower.Advance(std::chrono::seconds(2));
  follower.mFollow.reset();
  follower.Reply({ .mStatus = StoreStatus::NoAnswer }, StoreChannel::Lease);
  CHECK_FALSE(follower.mIsReachable);
  REQUIRE(follower.mFollow);
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mWait ==
        std::chrono::milliseconds(1));
}

// Guards against VMs that stay on an old configuration for seconds: a renewal
// passed for the answer to a watch that was lost.
TEST_CASE("Only an answer that tells changes confirms the copy")
{
  Follower follower;
  follower.ReadServers(4);
  const TimePoint readAt = follower.mNow;
  CHECK(follower.mFollower.ConfirmedAt() == readAt);
  const StoreReply ok{ .mStatus = StoreStatus::Ok, .mLease = 5 };
  for (int n = 0; n < 3; ++n) {
    follower.Reply(ok, StoreChannel::Lease);
  }
  follower.Advance(StoreFollower::Options{}.mFollowingRenewInterval);
  REQUIRE(std::holds_alternative<store_call::RenewLease>(*follower.mLease));
  follower.Reply(ok, StoreChannel::Lease);
  CHECK(follower.mFollower.ConfirmedAt() == readAt);
  follower.Reply({ .mStatus = StoreStatus::Ok, .mRevision = 10 });
  CHECK(follower.mFollower.ConfirmedAt() == follower.mNow);
}

// Guards against the same: a long watch whose answer was lost stays pending.
TEST_CASE("A VM that has to confirm its copy replaces a long watch")
{
  Follower follower;
  const StoreFollower::Options options;
  follower.mFollower.SetConfirming(false, follower.mNow);
  follower.ReadServers(4);
  const auto wait = [&] {
    REQUIRE(follower.mFollow);
    return std::get<store_call::Watch>(*follower.mFollow).mWait;
  };
  CHECK(wait() == options.mWatchWait);
  follower.mFollow.reset();
  follower.Advance(std::chrono::seconds(1));
  CHECK_FALSE(follower.mFollow);
  follower.mFollower.SetConfirming(true, follower.mNow);
  CHECK(wait() == Milliseconds(1));
  follower.Reply({ .mStatus = StoreStatus::Ok, .mRevision = 10 });
  CHECK(wait() == options.mConfirmInterval);
  // A short watch in progress is not replaced.
  follower.mFollow.reset();
  follower.mFollower.SetConfirming(true, follower.mNow);
  CHECK_FALSE(follower.mFollow);
}

TEST_CASE("Changes that another VM read are applied once")
{
  Follower follower;
  follower.ReadServers(3);
  follower.mFollower.OnDelta(
    { .mAfterRevision = 10,
      .mRevision = 12,
      .mChanges = { { { "servers/7", "new", 11 } },
                    { { .mKey = "servers/0", .mRevision = 12 }, true } } },
    follower.mNow);
  CHECK(follower.mChanges.size() == 2);
  CHECK(follower.mFollower.KnownPosition().mRevision == 12);
  // The watch in progress reports the same changes and an older one.
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 11,
                   .mChanges = { { { "servers/7", "new", 11 } } } });
  CHECK(follower.mChanges.size() == 2);
  CHECK(follower.mFollower.KnownPosition().mRevision == 12);
}

// Guards against a change that a VM never learns: another VM that has listed
// the store in pages passes on items of later pages, which are newer than the
// revision up to which its copy is complete.
TEST_CASE("Items beyond a delta's revision do not hide the changes between")
{
  Follower follower;
  follower.ReadServers(3);
  follower.mFollower.OnDelta({ .mAfterRevision = 10,
                               .mRevision = 12,
                               .mChanges = { { { "servers/7", "new", 20 } } } },
                             follower.mNow);
  CHECK(follower.mFollower.KnownPosition().mRevision == 12);
  follower.mFollower.OnDelta({ .mAfterRevision = 12,
                               .mRevision = 21,
                               .mChanges = { { { "config", "c", 15 } },
                                             { { "servers/7", "new", 20 } } } },
                             follower.mNow);
  CHECK(follower.mChanges.size() == 2);
}

// Guards against a server in use again after it has left: the answer of the
// store was on its way while another VM reported a later state.
TEST_CASE("A late answer of the store does not undo a later change")
{
  Follower follower;
  follower.ReadServers(3);
  follower.mFollower.OnDelta(
    { .mAfterRevision = 10,
      .mRevision = 15,
      .mChanges = { { { .mKey = "servers/0", .mRevision = 15 }, true } } },
    follower.mNow);
  CHECK(follower.Removals() == 1);
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 12,
                   .mChanges = { { { "servers/0", "draining", 12 } } } });
  CHECK(follower.mChanges.size() == 1);
}

TEST_CASE("Deltas that do not follow the known revision are ignored")
{
  Follower follower;
  follower.ReadServers(3);
  const StoreChange change{ { "servers/7", "new", 11 } };
  follower.mFollower.OnDelta(
    { .mAfterRevision = 11, .mRevision = 12, .mChanges = { change } },
    follower.mNow);
  follower.mFollower.OnDelta(
    { .mAfterRevision = 0, .mRevision = 9, .mChanges = { change } },
    follower.mNow);
  CHECK(follower.mChanges.empty());
  CHECK(follower.mFollower.KnownPosition().mRevision == 10);
}

// Pattern: a VM restarts while the store turns it away.
TEST_CASE("A full copy of another VM completes the initial listing")
{
  Follower follower;
  CHECK(std::get<store_call::ListPage>(*follower.mFollow).mAfterKey.empty());
  follower.mFollower.OnDelta(
    { .mRevision = 20, .mChanges = { { { "servers/1", "x", 3 } } } },
    follower.mNow);
  CHECK(follower.mCompleted == 1);
  CHECK(follower.mChanges.size() == 1);
  // The answer to the page that was being read belongs to the past.
  follower.Reply({ .mStatus = StoreStatus::Ok,
                   .mRevision = 30,
                   .mItems = { { "servers/2", "y", 25 } } });
  CHECK(follower.mFollower.KnownPosition().mRevision == 20);
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mAfterRevision == 20);
}

TEST_CASE("A VM that does not follow the store makes no calls for changes")
{
  Follower follower;
  follower.ReadServers(3);
  CHECK(follower.mFollower.ConfirmedAt() == follower.mNow);
  follower.mFollower.SetFollowing(StoreFollowing::Off, follower.mNow);
  CHECK_FALSE(follower.mFollower.ConfirmedAt());
  follower.Reply({ .mStatus = StoreStatus::Ok, .mRevision = 10 });
  follower.Advance(std::chrono::seconds(10));
  CHECK_FALSE(follower.mFollow);
  follower.mFollower.ReadOnce(follower.mNow);
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mWait ==
        Milliseconds(1));
  follower.Reply({ .mStatus = StoreStatus::Refused });
  follower.Advance(std::chrono::seconds(10));
  CHECK_FALSE(follower.mFollow);
  follower.mFollower.SetFollowing(StoreFollowing::Patient, follower.mNow);
  CHECK(follower.mFollow);
}
