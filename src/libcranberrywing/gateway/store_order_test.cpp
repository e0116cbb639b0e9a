/// \file
/// Writes that the store carries out late, after later ones of the same writer.
#include <limits>

#include "store_follower_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

using std::chrono::seconds;

constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();

/// Reads changes of one server, "servers/1", and of the configuration. A
/// server's value is its start and the count of its reports.
class Follower : public cranberrywing::gateway::testing::FollowerFixture
{
public:
  /// Lists the server with a value.
  explicit Follower(const std::string& aValue)
  {
    FollowerFixture::Reply({ .mStatus = StoreStatus::Ok,
                             .mRevision = 10,
                             .mItems = { { "servers/1", aValue, 10 } } });
  }

  /// Reports changes with the next revisions in one answer to a watch.
  void Report(std::vector<StoreChange> aChanges)
  {
    for (StoreChange& change : aChanges) {
      change.mItem.mRevision = ++mRevision;
    }
    if (!mFollow) {
      Advance(StoreFollower::Options{}.mBatchDelay);
    }
    Reply({ .mStatus = StoreStatus::Ok,
            .mRevision = mRevision,
            .mChanges = std::move(aChanges) });
  }

  void Write(const std::string& aValue, const std::string& aKey = "servers/1")
  {
    Report({ { .mItem = { .mKey = aKey, .mValue = aValue } } });
  }

  void Remove()
  {
    Report({ { .mItem = { .mKey = "servers/1" }, .mIsRemoved = true } });
  }

  std::string Server() const { return Value("servers/1"); }

  /// Pulls what another VM knows.
  void Pull(const Follower& aOther)
  {
    mFollower.OnDelta(
      aOther.mFollower.ChangesAfter(mFollower.KnownPosition(), aOther.mNow),
      mNow);
  }

  std::int64_t mRevision = 10;
};

} // namespace

// Guards against a draining server that gets new requests because an earlier
// report of it is carried out late (review case 4).
TEST_CASE("A server's report that is carried out late does not replace a later")
{
  Follower follower("5.7");
  follower.Write("5.9");
  follower.Write("5.8");
  CHECK(follower.Server() == "5.9");
  CHECK(follower.mOutdated == 1);
  follower.Write("5.10");
  CHECK(follower.Server() == "5.10");
  CHECK(follower.mFollower.Carried().size() == 0);
}

TEST_CASE("The order holds for two reports in one answer and for a listing")
{
  Follower batch("5.7");
  batch.Report({ { .mItem = { .mKey = "servers/1", .mValue = "5.9" } },
                 { .mItem = { .mKey = "servers/1", .mValue = "5.8" } } });
  CHECK(batch.Server() == "5.9");

  Follower listing("5.9");
  listing.Reply({ .mStatus = StoreStatus::HistoryCompacted });
  listing.Reply({ .mStatus = StoreStatus::Ok,
                  .mRevision = 20,
                  .mItems = { { "servers/0", "3.1", 15 } },
                  .mHasMore = true });
  listing.Reply({ .mStatus = StoreStatus::Ok,
                  .mRevision = 21,
                  .mItems = { { "servers/1", "5.8", 19 } } });
  CHECK(listing.Server() == "5.9");
  CHECK(listing.Value("servers/0") == "3.1");
}

// Guards against a restarted server that is taken for its former process, or a
// former process for the server, also if both use the same address.
TEST_CASE("A report of an earlier start does not replace one of a later start")
{
  Follower follower("5.7");
  follower.Write("6.1");
  CHECK(follower.Server() == "6.1");
  follower.Write("5.8");
  CHECK(follower.Server() == "6.1");
  follower.Write("6.2");
  CHECK(follower.Server() == "6.2");
}

// Guards against a server that has left and is in use again.
TEST_CASE("A report carried out after the entry's removal names no server")
{
  Follower follower("5.7");
  follower.Write("5.9");
  follower.Remove();
  follower.Write("5.8");
  CHECK(follower.Server() == "-");
  // Its next report, or its next start, counts.
  follower.Write("5.10");
  CHECK(follower.Server() == "5.10");
  follower.Remove();
  follower.Write("6.1");
  CHECK(follower.Server() == "6.1");
}

// An entry that lapsed while the store was away comes back as it was.
TEST_CASE("A server that writes its last report again is used")
{
  Follower follower("5.7");
  follower.Remove();
  follower.Write("5.7");
  CHECK(follower.Server() == "5.7");
}

// Guards against a VM that restarts after the late write, and finds nothing in
// the store to compare with.
TEST_CASE("A VM that has just started learns from others what is outdated")
{
  for (const bool isRemoved : { false, true }) {
    Follower informed("5.7");
    informed.Write("5.9");
    if (isRemoved) {
      informed.Remove();
    }
    informed.Write("5.8");
    Follower started("5.8");
    started.mRevision = informed.mRevision;
    started.Report({});
    started.Pull(informed);
    CHECK(started.Server() == (isRemoved ? "-" : "5.9"));
    CHECK(started.mFollower.Carried().Digest() ==
          informed.mFollower.Carried().Digest());
    started.Write("5.10");
    CHECK(started.Server() == "5.10");
  }
}

// Guards against a message of another VM that is itself late.
TEST_CASE("What another VM knows of a late write does not undo later reports")
{
  Follower other("5.7");
  other.Write("5.9");
  other.Write("5.8");
  Follower follower("5.7");
  follower.Write("5.9");
  follower.Write("5.8");
  follower.Write("5.10");
  follower.Pull(other);
  CHECK(follower.Server() == "5.10");
  follower.Remove();
  follower.Pull(other);
  CHECK(follower.Server() == "-");
}

// Guards against a server that an odd number, of another writer or of a clock,
// puts out of use for good.
TEST_CASE("An older report that stays in the store comes into force")
{
  const std::string odd = "5." + std::to_string(kLargest);
  Follower follower("5.7");
  follower.Write(odd);
  follower.Write("5.8");
  CHECK(follower.Server() == odd);
  Follower peer("5.7");
  peer.mRevision = follower.mRevision;
  peer.Report({});
  peer.Pull(follower);
  CHECK(peer.Server() == odd);
  for (Follower* const each : { &follower, &peer }) {
    each->Advance(seconds(31));
    CHECK(each->Server() == (each == &follower ? "5.8" : "5.7"));
  }
}

// Guards against a server that is used again during a long outage of the store,
// in which nobody could write that it has left.
TEST_CASE("An outdated report does not come into force while the store is away")
{
  Follower follower("5.7");
  follower.Write("5.9");
  follower.Write("5.8");
  follower.Advance(StoreFollower::Options{}.mBatchDelay);
  follower.Reply({ .mStatus = StoreStatus::NoAnswer });
  follower.Advance(seconds(120));
  CHECK(follower.Server() == "5.9");
  follower.Reply({ .mStatus = StoreStatus::Ok, .mRevision = 12 });
  follower.Advance(seconds(29));
  CHECK(follower.Server() == "5.9");
  follower.Advance(seconds(2));
  CHECK(follower.Server() == "5.8");
}

// A value without a version, such as one of an earlier build, cannot be told to
// be older; it must not be kept out for good either.
TEST_CASE("Reports without an order come into force as they are carried out")
{
  Follower follower("5.7");
  follower.Write("x");
  CHECK(follower.Server() == "x");
  follower.Write("5.3");
  CHECK(follower.Server() == "5.3");
}

// Guards against a configuration, and a withdrawn key with it, that comes back
// on a VM that starts after an older version was carried out late.
TEST_CASE("An outdated configuration is kept out until a later one is written")
{
  Follower follower("5.7");
  follower.Write("12", "config");
  follower.Write("11", "config");
  follower.Advance(seconds(120));
  CHECK(follower.Value("config") == "12");
  follower.Write("13", "config");
  CHECK(follower.Value("config") == "13");
}

// Guards against a VM that is out of use, or whose parts of rates are given to
// others, because a write of its former process replaced its entry and was
// removed with that process's lease.
TEST_CASE("A VM's own entry that is replaced or removed is written again")
{
  for (const bool isRemoved : { false, true }) {
    Follower follower("5.7");
    const auto written = [&](std::int64_t aRevision) {
      const auto* const put = std::get_if<store_call::Put>(&*follower.mLease);
      const bool isOwn = put && put->mKey == "vms/a" && put->mLease == 5;
      follower.Reply({ .mStatus = StoreStatus::Ok,
                       .mLease = 5,
                       .mWrittenRevision = aRevision },
                     StoreChannel::Lease);
      return isOwn;
    };
    while (!written(20)) {
    }
    follower.mRevision = 18;
    // An earlier value that is reported late is no reason to write again.
    follower.Report(
      { { .mItem = { .mKey = "vms/a", .mValue = "former process" } },
        { .mItem = { .mKey = "vms/a", .mValue = "me" } } });
    follower.Advance(seconds(1));
    CHECK(follower.mOutdated == 0);
    follower.Report(
      { { .mItem = { .mKey = "vms/a", .mValue = isRemoved ? "" : "other" },
          .mIsRemoved = isRemoved } });
    CHECK(follower.mOutdated == 1);
    if (follower.mLease &&
        std::holds_alternative<store_call::RenewLease>(*follower.mLease)) {
      follower.Reply({ .mStatus = StoreStatus::Ok }, StoreChannel::Lease);
    }
    REQUIRE(follower.mLease);
    CHECK(written(22));
  }
}
