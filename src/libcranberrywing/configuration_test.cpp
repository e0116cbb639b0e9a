#include "cranberrywing/configuration.h"

#include <catch2/catch.hpp>

#include "configuration_delta.h"
#include "configuration_test_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;

namespace {

std::uint64_t RevisionAt(ConfigurationFleet& aFleet, const std::string& aVm)
{
  return aFleet.At(aVm).Current()->mRevision.mNumber;
}

} // namespace

// Guards against a change that becomes active only on the VM that wrote it, and
// against sending full documents where deltas suffice.
TEST_CASE("an accepted change reaches every VM as a delta")
{
  ConfigurationFleet fleet({ "a", "b", "c" });
  CHECK(fleet.EditNow("b", "op1", 0, "5s") == ResultCode::Ok);
  CHECK(fleet.EditNow("b", "op2", 1, "6s") == ResultCode::Ok);
  for (const std::string vm : { "a", "b", "c" }) {
    CHECK(RevisionAt(fleet, vm) == 2);
    CHECK(fleet.At(vm).Document() == ConfigurationFleet::Document("6s"));
  }
  CHECK(fleet.mFullBodies == 2);
  CHECK(fleet.mDeltas >= 2);
}

// Guards against a lost update when two operators edit at the same time.
TEST_CASE("one of two concurrent changes is accepted and the other conflicts")
{
  ConfigurationFleet fleet({ "a", "b" });
  fleet.Edit("a", "op1", 0, "5s");
  fleet.Edit("b", "op2", 0, "6s");
  fleet.Deliver();
  REQUIRE(fleet.mVms["a"].mAnswers.size() == 1);
  REQUIRE(fleet.mVms["b"].mAnswers.size() == 1);
  CHECK(fleet.mVms["a"].mAnswers[0].mCode == ResultCode::Ok);
  CHECK(fleet.mVms["b"].mAnswers[0].mCode == ResultCode::RevisionConflict);
  CHECK(fleet.mVms["b"].mAnswers[0].mRevision == Revision{ 1 });
  CHECK(fleet.At("b").Document() == ConfigurationFleet::Document("5s"));
}

// Guards against reporting a guessed outcome when the reply to a write is lost.
TEST_CASE("the outcome of a lost write reply is read from the store")
{
  ConfigurationFleet fleet({ "a", "b" });
  SECTION("the write took effect")
  {
    fleet.mStore.mMode = StoreMode::LoseAnswer;
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
    CHECK(RevisionAt(fleet, "a") == 1);
  }
  SECTION("another change was accepted instead")
  {
    fleet.mStore.mMode = StoreMode::LoseWrite;
    fleet.mOnLostWrite = [&fleet] { fleet.Edit("b", "op2", 0, "6s"); };
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::NotAccepted);
    CHECK(fleet.At("a").Document() == ConfigurationFleet::Document("6s"));
  }
  SECTION("no change was accepted, so that the write is repeated once")
  {
    fleet.mStore.mMode = StoreMode::LoseWrite;
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
    CHECK(RevisionAt(fleet, "a") == 1);
  }
  SECTION("the store is not reached again")
  {
    fleet.mStore.mMode = StoreMode::LoseWrite;
    fleet.mOnLostWrite = [&fleet] { fleet.mStore.mMode = StoreMode::Down; };
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::OutcomeUnknown);
  }
  SECTION("the store was never reached")
  {
    fleet.mStore.mMode = StoreMode::Down;
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::StoreUnavailable);
  }
  SECTION("the caller repeats an accepted change")
  {
    CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
    CHECK(fleet.EditNow("b", "op1", 0, "5s") == ResultCode::Ok);
    CHECK(RevisionAt(fleet, "b") == 1);
  }
}

// Guards against a stale watch event or a store restored from a backup
// reverting the active configuration, and against silently overwriting a
// restored store.
TEST_CASE("an older configuration in the store never reverts a VM")
{
  ConfigurationFleet fleet({ "a", "b" });
  fleet.mWatchers = { "a" };
  CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
  const auto backup = fleet.mStore.mEntries;
  CHECK(fleet.EditNow("a", "op2", 1, "6s") == ResultCode::Ok);

  SECTION("a late event of the watch")
  {
    REQUIRE(fleet.mVms["a"].mWatch);
    EffectList out;
    fleet.At("a").OnWatch({ *fleet.mVms["a"].mWatch,
                            { backup.at(ConfigurationRootKey("/cw/")) },
                            fleet.mStore.mRevision },
                          fleet.mNow,
                          out);
    fleet.Run(std::chrono::seconds(2));
    CHECK(RevisionAt(fleet, "a") == 2);
    CHECK_FALSE(fleet.At("a").IsStoreBehind());
  }
  SECTION("a restored store")
  {
    fleet.mStore.mEntries = backup;
    fleet.Run(std::chrono::seconds(8));
    CHECK(RevisionAt(fleet, "a") == 2);
    CHECK(fleet.At("a").IsStoreBehind());
    CHECK(fleet.mVms["a"].mTimeline.contains("configuration_store_behind"));
    CHECK(fleet.At("a").StoreContactAge(fleet.mNow) < std::chrono::seconds(3));
    CHECK(fleet.EditNow("b", "op3", 2, "7s") == ResultCode::NotAccepted);
    CHECK(fleet.EditNow("b", "op3", 1, "7s") == ResultCode::NotAccepted);
    CHECK(fleet.EditNow("b", "op3", 2, "7s", true) == ResultCode::Ok);
    CHECK(RevisionAt(fleet, "a") == 3);
    CHECK_FALSE(fleet.At("a").IsStoreBehind());
  }
}

// Guards against polling the store despite a working watch, and against missing
// a change that is visible only through the watch.
TEST_CASE("a working watch replaces reads and delivers changes")
{
  ConfigurationFleet fleet({ "a", "b" });
  fleet.mWatchers = { "a" };
  fleet.Run(std::chrono::seconds(1));
  int calls = 0;
  for (int n = 0; n < 20; ++n) {
    fleet.FireWatches({});
    fleet.Run(Milliseconds(500));
    calls = n == 2 ? fleet.mCalls : calls;
  }
  CHECK(fleet.mCalls == calls);
  CHECK(fleet.At("a").StoreContactAge(fleet.mNow) < std::chrono::seconds(1));
  // VM b is not a watcher: it read the store once, since no peer had a
  // configuration.
  CHECK(fleet.At("b").StoreContactAge(fleet.mNow) > std::chrono::seconds(5));
  fleet.mPeersConnected = false;
  CHECK(fleet.EditNow("b", "op1", 0, "5s") == ResultCode::Ok);
  CHECK(RevisionAt(fleet, "a") == 1);
}

// Guards against missing changes when a watch goes silent.
TEST_CASE("a silent watch is replaced by reads")
{
  ConfigurationFleet fleet({ "a" });
  fleet.mWatchers = { "a" };
  fleet.Run(std::chrono::seconds(1));
  REQUIRE(fleet.mVms["a"].mWatch);
  ConfigurationFleet other({ "x" });
  CHECK(other.EditNow("x", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mStore.mEntries = other.mStore.mEntries;
  fleet.Run(std::chrono::seconds(6));
  CHECK(RevisionAt(fleet, "a") == 1);
  CHECK(fleet.mVms["a"].mTimeline.contains("configuration_watch_silent"));
}

// Guards against activating a corrupt configuration.
TEST_CASE("a damaged delta is followed by a fetch of the full document")
{
  ConfigurationFleet fleet({ "a", "b" });
  CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mDamageDeltas = true;
  const int full = fleet.mFullBodies;
  CHECK(fleet.EditNow("a", "op2", 1, "6s") == ResultCode::Ok);
  CHECK(fleet.At("b").Document() == ConfigurationFleet::Document("6s"));
  CHECK(fleet.mFullBodies == full + 1);
}

// Guards against a VM that starts during a store outage and stays without a
// configuration or with an old one.
TEST_CASE("a new VM in a store outage adopts its peers' highest revision")
{
  ConfigurationFleet fleet({ "a", "b" });
  CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mStore.mMode = StoreMode::Down;
  ConfigurationFleet newer({ "x" });
  newer.mStore.mEntries = fleet.mStore.mEntries;
  CHECK(newer.EditNow("x", "op2", 1, "6s") == ResultCode::Ok);

  fleet.Add("c");
  fleet.Gossip("a", "c");
  CHECK(RevisionAt(fleet, "c") == 1);
  message::ConfigurationBody body;
  body.mVersion = newer.At("x").Version();
  body.mDocument = newer.At("x").Document();
  EffectList out;
  fleet.At("b").OnMessage(VmId("x"), body, fleet.mNow, out);
  fleet.Gossip("b", "c");
  fleet.Gossip("a", "c");
  CHECK(RevisionAt(fleet, "c") == 2);
}

// Guards against a history that grows without bound or loses records.
TEST_CASE("the store keeps the last fifty documents")
{
  ConfigurationFleet fleet({ "a" });
  for (std::uint64_t n = 0; n < 60; ++n) {
    fleet.Edit("a", "op" + std::to_string(n), n, std::to_string(n + 1) + "s");
    fleet.Deliver();
  }
  CHECK(RevisionAt(fleet, "a") == 60);
  CHECK(fleet.mStore.mEntries.size() == 51);
  const auto oldest = DecodeRecord(
    fleet.mStore.mEntries.at(ConfigurationHistoryKey("/cw/", { 11 })).mValue);
  REQUIRE(oldest.has_value());
  CHECK(oldest->mDocument == ConfigurationFleet::Document("11s"));
}

// Guards against accepting a corrupt record from the store, and against running
// out of memory on a corrupt length in it.
TEST_CASE("a damaged record is refused")
{
  ConfigurationRecord record;
  record.mDocument = ConfigurationFleet::Document("5s");
  record.mVersion = { { 3 }, DigestContent(record.mDocument) };
  const std::string bytes = EncodeRecord(record);
  REQUIRE(DecodeRecord(bytes).has_value());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    std::string damaged = bytes;
    damaged[n] = static_cast<char>(damaged[n] ^ 0x40);
    CHECK_FALSE(DecodeRecord(damaged).has_value());
    CHECK_FALSE(DecodeRecord(bytes.substr(0, n)).has_value());
  }
}

// Guards against line edits that do not reproduce the document.
TEST_CASE("line edits turn one document into the other")
{
  const std::vector<std::string> texts{ "",           "\n",      "a",
                                        "a\nb\nc\n",  "b\nc\nd", "a\nx\nc\ny\n",
                                        "c\nb\na\n\n" };
  for (const std::string& before : texts) {
    for (const std::string& after : texts) {
      const auto edits = detail::MakeLineEdits(before, after);
      CHECK(detail::ApplyLineEdits(before, edits) == after);
    }
  }
  std::string before;
  std::string after;
  for (int n = 0; n < 2000; ++n) {
    before += std::to_string(n) + "\n";
    after += (n == 10 || n == 1900 ? "changed" : std::to_string(n)) + "\n";
  }
  CHECK(detail::MakeLineEdits(before, after).size() == 2);
  CHECK_FALSE(detail::ApplyLineEdits("a", { { 5, 1, { "b" } } }).has_value());
}
