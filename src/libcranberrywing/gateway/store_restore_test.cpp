#include "store_follower_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fixture that answers one watch after the other.
class Follower : public cranberrywing::gateway::testing::FollowerFixture
{
public:
  /// Answers the channel's call in progress, or the next one after the pause in
  /// which the follower lets changes gather.
  void Reply(const StoreReply& aReply,
             StoreChannel aChannel = StoreChannel::Follow)
  {
    if (aChannel == StoreChannel::Follow && !mFollow) {
      Advance(StoreFollower::Options{}.mBatchDelay);
    }
    FollowerFixture::Reply(aReply, aChannel);
  }
};

StoreReply Page(std::int64_t aEpoch,
                std::int64_t aRevision,
                std::vector<StoreItem> aItems,
                bool aHasMore = false)
{
  return { .mStatus = StoreStatus::Ok,
           .mEpoch = aEpoch,
           .mRevision = aRevision,
           .mItems = std::move(aItems),
           .mHasMore = aHasMore };
}

StoreReply Events(std::int64_t aEpoch,
                  std::int64_t aRevision,
                  std::vector<StoreChange> aChanges)
{
  return { .mStatus = StoreStatus::Ok,
           .mEpoch = aEpoch,
           .mRevision = aRevision,
           .mChanges = std::move(aChanges) };
}

StoreChange Removal(const std::string& aKey, std::int64_t aRevision)
{
  return { { .mKey = aKey, .mRevision = aRevision }, true };
}

const StoreReply kGone{ .mStatus = StoreStatus::HistoryCompacted, .mEpoch = 2 };

/// Knows configuration 5 at revision 40 of epoch 1; three servers run, and a
/// fourth has left.
void ReadBeforeRestore(Follower& aFollower)
{
  aFollower.Reply(Page(1,
                       30,
                       { { "config", "3", 10 },
                         { "servers/0", "1", 11 },
                         { "servers/1", "1", 12 },
                         { "servers/2", "1", 13 },
                         { "servers/3", "7", 14 } }));
  aFollower.Reply(Events(1,
                         40,
                         { { { "config", "5", 35 } },
                           Removal("servers/3", 36),
                           { { "servers/2", "2", 40 } } }));
  aFollower.Advance(seconds(1));
}

const std::vector<StoreItem> kCopy{ { "config", "3", 10 },
                                    { "servers/0", "1", 11 },
                                    { "servers/1", "1", 12 },
                                    { "servers/2", "1", 13 },
                                    { "servers/3", "7", 14 } };

} // namespace

// Guards against a configuration that is acknowledged after the store was
// restored from a copy and never comes into force, because its revision was
// given out before (incident CONFIG).
TEST_CASE("A change after a restore counts although its revision is lower")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  REQUIRE(follower.IsListing());
  follower.Reply(Page(2, 30, kCopy));
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mAfterRevision == 30);
  follower.Reply(Events(2, 32, { { { "config", "6", 32 } } }));
  CHECK(follower.Value("config") == "6");
  CHECK(follower.mFollower.KnownPosition() == StorePosition{ 2, 32 });
  CHECK(follower.mRestores == 1);
}

// Guards against a restore that goes unnoticed, because the store has given the
// known revision out again and answers the watch without an error.
TEST_CASE("An answer of a later epoch is not taken for a continuation")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(Events(2, 44, { { { "servers/0", "9", 44 } } }));
  REQUIRE(follower.IsListing());
  follower.Reply(Page(2, 44, { { "config", "6", 38 } }));
  CHECK(follower.Value("config") == "6");
}

// Guards against a withdrawn key that works again until the operator has
// written the configuration anew.
TEST_CASE("The copy's older configuration does not come into force")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 30, kCopy));
  CHECK(follower.Value("config") == "5");
  follower.Reply(Events(2, 31, { { { "config", "4", 31 } } }));
  CHECK(follower.Value("config") == "5");
  follower.Advance(seconds(60));
  CHECK(follower.Value("config") == "5");
  follower.Reply(Events(2, 33, { { { "config", "5", 33 } } }));
  CHECK_FALSE(follower.mFollower.Carried().Contains("config"));
  follower.Reply(Events(2, 34, { { { "config", "7", 34 } } }));
  CHECK(follower.Value("config") == "7");
}

TEST_CASE("A configuration that the copy lacks stays in force")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 5, { { "servers/0", "1", 4 } }));
  follower.Advance(seconds(60));
  CHECK(follower.Value("config") == "5");
  follower.Reply(Events(2, 6, { { { "config", "6", 6 } } }));
  CHECK(follower.Value("config") == "6");
}

// Guards against a server that has left, or drains, and is in use again because
// the copy holds its entry.
TEST_CASE("Servers keep their later state until they write it again")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 30, kCopy));
  CHECK(follower.Value("servers/3") == "-");
  CHECK(follower.Value("servers/2") == "2");
  CHECK(follower.mFollower.Carried().size() == 3);
  // The server that had left is still in the copy, and starts again.
  follower.Advance(seconds(25));
  CHECK(follower.Value("servers/3") == "-");
  follower.Reply(Events(
    2, 32, { { { "servers/3", "8", 31 } }, { { "servers/2", "3", 32 } } }));
  CHECK(follower.Value("servers/3") == "8");
  CHECK(follower.Value("servers/2") == "3");
  CHECK(follower.mFollower.Carried().size() == 1);
}

// Guards against a server that runs and is never used again: it was taken for
// gone before the restore, and what it writes again is what the copy holds.
TEST_CASE("A server whose entry stays in the store is used again")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 30, kCopy));
  follower.Advance(seconds(31));
  CHECK(follower.Value("servers/3") == "7");
  CHECK(follower.Value("servers/2") == "2");
  CHECK(follower.Value("config") == "5");
}

TEST_CASE("Servers that the copy lacks have the time to write again")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply({ .mStatus = StoreStatus::NoAnswer });
  follower.Advance(seconds(1));
  follower.Reply(kGone);
  follower.Reply(Page(2, 8, { { "servers/0", "1", 5 } }));
  CHECK(follower.Value("servers/1") == "1");
  follower.Advance(seconds(1));
  follower.Reply(Events(2, 9, { { { "servers/1", "4", 9 } } }));
  follower.Advance(milliseconds(1500));
  CHECK(follower.Value("servers/1") == "4");
  CHECK(follower.Value("servers/2") == "-");
}

// Evacuations have no versions: what was known holds for a while, and then what
// the store says.
TEST_CASE("An evacuation's later state holds until its writer had time")
{
  for (const bool isRewritten : { false, true }) {
    Follower follower;
    follower.Reply(Page(1, 20, { { "evacuate/north", "{}", 15 } }));
    follower.Reply(Events(
      1,
      22,
      { Removal("evacuate/north", 21), { { "evacuate/south", "{}", 22 } } }));
    follower.Reply(kGone);
    follower.Reply(Page(2, 16, { { "evacuate/north", "{}", 15 } }));
    CHECK(follower.Value("evacuate/north") == "-");
    CHECK(follower.Value("evacuate/south") == "{}");
    if (isRewritten) {
      follower.Reply(Events(
        2,
        18,
        { Removal("evacuate/north", 17), { { "evacuate/south", "{}", 18 } } }));
    }
    follower.Advance(seconds(11));
    CHECK(follower.Value("evacuate/north") == (isRewritten ? "-" : "{}"));
    CHECK(follower.Value("evacuate/south") == (isRewritten ? "{}" : "-"));
  }
}

// Guards against a listing that is put together from two epochs.
TEST_CASE("A restore between two pages starts the listing anew")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 50, { { "config", "5", 35 } }, true));
  follower.Reply(Page(3, 20, { { "servers/0", "1", 11 } }));
  REQUIRE(follower.IsListing());
  CHECK(std::get<store_call::ListPage>(*follower.mFollow).mAfterKey.empty());
  follower.Reply(Page(3, 20, kCopy));
  CHECK(follower.mFollower.KnownPosition() == StorePosition{ 3, 20 });
  CHECK(follower.Value("config") == "5");
}

TEST_CASE("Later states survive two restores in a row")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.Reply(kGone);
  follower.Reply(Page(2, 30, kCopy));
  follower.Reply(Page(3, 30, {}));
  follower.Reply(Page(3, 30, kCopy));
  CHECK(follower.Value("config") == "5");
  CHECK(follower.Value("servers/3") == "-");
  CHECK(follower.Value("servers/2") == "2");
}

// Guards against an answer that was on its way during the restore.
TEST_CASE("An answer of an earlier epoch is ignored")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.mFollower.OnDelta(
    { .mEpoch = 2, .mRevision = 31, .mChanges = { { { "config", "6", 31 } } } },
    follower.mNow);
  CHECK(follower.Value("config") == "6");
  follower.Reply(Events(1, 50, { { { "config", "4", 50 } } }));
  CHECK(follower.Value("config") == "6");
  CHECK(follower.mFollower.KnownPosition() == StorePosition{ 2, 31 });
}

// Guards against changes that are missed because a watch from a revision of the
// epoch before is answered after another VM's copy has begun the new epoch.
TEST_CASE("A watch of the epoch before does not continue another VM's copy")
{
  Follower follower;
  ReadBeforeRestore(follower);
  follower.mFollower.OnDelta(
    { .mEpoch = 2, .mRevision = 31, .mChanges = { { { "config", "6", 31 } } } },
    follower.mNow);
  // The watch after 40 does not return the change at 35.
  follower.Reply(Events(2, 41, { { { "servers/0", "2", 41 } } }));
  CHECK(follower.mFollower.KnownPosition() == StorePosition{ 2, 31 });
  CHECK(std::get<store_call::Watch>(*follower.mFollow).mAfterRevision == 31);
}

// Guards against a watch that waits in a store that was restored so soon that
// no call failed.
TEST_CASE("A lease renewal of a later epoch replaces the watch in progress")
{
  Follower follower;
  ReadBeforeRestore(follower);
  const StoreReply ok{ .mStatus = StoreStatus::Ok, .mEpoch = 1, .mLease = 5 };
  for (int n = 0; n < 3; ++n) {
    follower.Reply(ok, StoreChannel::Lease);
  }
  follower.Advance(seconds(2));
  REQUIRE(std::holds_alternative<store_call::RenewLease>(*follower.mLease));
  follower.Reply({ .mStatus = StoreStatus::Ok, .mEpoch = 2 },
                 StoreChannel::Lease);
  CHECK(follower.IsListing());
}

// Guards against a VM whose entry is bound to the lease of another one, which
// got the same number after the restore.
TEST_CASE("Own entries are written again under a new lease after a restore")
{
  Follower follower;
  ReadBeforeRestore(follower);
  const StoreReply ok{ .mStatus = StoreStatus::Ok, .mEpoch = 1, .mLease = 5 };
  for (int n = 0; n < 3; ++n) {
    follower.Reply(ok, StoreChannel::Lease);
  }
  follower.Reply(kGone);
  follower.Advance(seconds(2));
  // The renewal that was on its way is void.
  if (std::holds_alternative<store_call::RenewLease>(*follower.mLease)) {
    follower.Reply(ok, StoreChannel::Lease);
    follower.Advance(seconds(2));
  }
  CHECK(std::get<store_call::Put>(*follower.mLease).mKey == "roster/a");
  const StoreReply again{ .mStatus = StoreStatus::Ok,
                          .mEpoch = 2,
                          .mLease = 8 };
  follower.Reply(again, StoreChannel::Lease);
  CHECK(std::holds_alternative<store_call::GrantLease>(*follower.mLease));
  follower.Reply(again, StoreChannel::Lease);
  CHECK(std::get<store_call::Put>(*follower.mLease).mLease == 8);
}

// A VM that was cut off during the restore, and one that started after it, have
// only other VMs to compare with.
TEST_CASE("VMs learn from each other what the restored store lacks")
{
  Follower informed;
  ReadBeforeRestore(informed);
  informed.Reply(kGone);
  informed.Reply(Page(2, 30, kCopy));

  Follower started;
  started.Reply(Page(2, 30, kCopy));
  CHECK(started.Value("config") == "3");
  CHECK(started.Value("servers/3") == "7");
  started.mFollower.OnDelta(informed.mFollower.ChangesAfter(
                              started.mFollower.KnownPosition(), informed.mNow),
                            started.mNow);
  CHECK(started.Value("config") == "5");
  CHECK(started.Value("servers/3") == "-");
  CHECK(started.Value("servers/2") == "2");
  CHECK(started.mFollower.Carried().Digest() ==
        informed.mFollower.Carried().Digest());

  Follower cutOff;
  cutOff.Reply(Page(1, 90, { { "config", "2", 80 } }));
  cutOff.mFollower.OnDelta(informed.mFollower.ChangesAfter(
                             cutOff.mFollower.KnownPosition(), informed.mNow),
                           cutOff.mNow);
  CHECK(cutOff.mFollower.KnownPosition() == StorePosition{ 2, 30 });
  CHECK(cutOff.Value("config") == "5");
  CHECK(cutOff.Value("servers/3") == "-");

  // What it tells itself, before it has learned of the restore, is ignored.
  Follower outdated;
  outdated.Reply(Page(1, 90, { { "config", "2", 80 } }));
  informed.mFollower.OnDelta(outdated.mFollower.ChangesAfter({}, outdated.mNow),
                             informed.mNow);
  CHECK(informed.Value("config") == "5");
  CHECK(informed.mFollower.KnownPosition() == StorePosition{ 2, 30 });
}

TEST_CASE("Entries that another VM keeps do not undo what was written since")
{
  Follower informed;
  ReadBeforeRestore(informed);
  informed.Reply(kGone);
  informed.Reply(Page(2, 30, kCopy));
  Follower current;
  current.Reply(Page(2,
                     34,
                     { { "config", "6", 31 },
                       { "servers/2", "3", 32 },
                       { "servers/3", "8", 33 } }));
  current.mFollower.OnDelta(
    informed.mFollower.ChangesAfter({ 2, 34 }, informed.mNow), current.mNow);
  CHECK(current.Value("config") == "6");
  CHECK(current.Value("servers/2") == "3");
  CHECK(current.Value("servers/3") == "8");
}
