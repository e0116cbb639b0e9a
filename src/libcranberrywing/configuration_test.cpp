#include "cranberrywing/configuration.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "configuration_delta.h"

using namespace cranberrywing;

namespace {

enum class StoreMode
{
  Up,
  Down,
  /// The next write takes effect, but its answer is lost.
  LoseAnswer,
  /// The next write is lost, and so is its answer.
  LoseWrite,
};

/// The store as the core sees it: transactions over keys.
class FakeStore
{
public:
  StoreReply Run(const StoreTxn& aTxn)
  {
    StoreReply reply;
    reply.mSucceeded =
      std::all_of(aTxn.mCompares.begin(),
                  aTxn.mCompares.end(),
                  [this](const StoreCompare& aCompare) {
                    const auto it = mEntries.find(aCompare.mKey);
                    const auto found =
                      it == mEntries.end() ? 0 : it->second.mModRevision;
                    return found == aCompare.mModRevision;
                  });
    if (reply.mSucceeded && !aTxn.mPuts.empty()) {
      ++mRevision;
      for (const StorePut& put : aTxn.mPuts) {
        mEntries[put.mKey] = { put.mKey, put.mValue, mRevision };
      }
      for (const StoreDelete& range : aTxn.mDeletes) {
        mEntries.erase(mEntries.lower_bound(range.mKey),
                       mEntries.lower_bound(range.mRangeEnd));
      }
    }
    for (const StoreRange& read : aTxn.mReads) {
      if (const auto it = mEntries.find(read.mKey); it != mEntries.end()) {
        reply.mEntries.push_back(it->second);
      }
    }
    reply.mStoreRevision = mRevision;
    return reply;
  }

  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 1;
  StoreMode mMode = StoreMode::Up;
};

struct Vm
{
  std::unique_ptr<Configuration> mConfiguration;
  std::optional<StoreCallId> mWatch;
  std::vector<effect::AnswerEdit> mAnswers;
  std::set<std::string> mTimeline;
};

/// VMs, a store and the messages between them.
class Fleet
{
public:
  explicit Fleet(const std::vector<std::string>& aNames)
  {
    for (const std::string& name : aNames) {
      Add(name);
    }
  }

  void Add(const std::string& aName)
  {
    ConfigurationHooks hooks{
      .mIsWatcher = [this, aName] { return mWatchers.contains(aName); },
      .mPickPeers =
        [this, aName](std::size_t) {
          std::vector<VmId> peers;
          for (const auto& [name, vm] : mVms) {
            if (name != aName) {
              peers.emplace_back(name);
            }
          }
          return peers;
        },
      .mMemberCount = [this] { return mVms.size(); },
    };
    mVms[aName].mConfiguration = std::make_unique<Configuration>(
      Configuration::Options{ .mInitialDocument = {} }, std::move(hooks));
    EffectList out;
    mVms[aName].mConfiguration->Start(mNow, out);
    Queue(aName, out);
  }

  Configuration& At(const std::string& aName)
  {
    return *mVms.at(aName).mConfiguration;
  }

  void Edit(const std::string& aVm,
            const std::string& aOperation,
            std::uint64_t aBase,
            const std::string& aTimeout,
            bool aReplaces = false)
  {
    EffectList out;
    At(aVm).OnEdit({ AdminRequestId{ 1 },
                     { .mOperation = OperationId(aOperation),
                       .mOperator = "ama",
                       .mSummary = "test",
                       .mBase = { aBase },
                       .mDocument = Document(aTimeout),
                       .mReplacesRestoredStore = aReplaces } },
                   mNow,
                   out);
    Queue(aVm, out);
  }

  ResultCode EditNow(const std::string& aVm,
                     const std::string& aOperation,
                     std::uint64_t aBase,
                     const std::string& aTimeout,
                     bool aReplaces = false)
  {
    Edit(aVm, aOperation, aBase, aTimeout, aReplaces);
    Deliver();
    Run(std::chrono::seconds(12));
    return mVms.at(aVm).mAnswers.back().mCode;
  }

  static std::string Document(const std::string& aTimeout)
  {
    std::string text = "format: 1\n";
    for (int n = 0; n < 50; ++n) {
      text += "# line " + std::to_string(n) + "\n";
    }
    return text + "root:\n  timeout: " + aTimeout + "\n  max_attempts: 2\n";
  }

  /// Tells a VM of another VM's version, as gossip does.
  void Gossip(const std::string& aFrom, const std::string& aTo)
  {
    EffectList out;
    At(aTo).OnVersionHeard(VmId(aFrom), At(aFrom).Version(), mNow, out);
    Queue(aTo, out);
    Deliver();
  }

  void Deliver()
  {
    while (!mQueue.empty()) {
      const auto [vm, effect] = std::move(mQueue.front());
      mQueue.pop_front();
      EffectList out;
      Carry(vm, effect, out);
      Queue(vm, out);
    }
  }

  /// Tells all watchers of changed entries, or of progress if there are none.
  void FireWatches(const std::vector<StoreEntry>& aEntries)
  {
    for (auto& [name, vm] : mVms) {
      if (vm.mWatch && mStore.mMode == StoreMode::Up) {
        EffectList out;
        vm.mConfiguration->OnWatch(
          { *vm.mWatch, aEntries, mStore.mRevision }, mNow, out);
        Queue(name, out);
      }
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      mNow += Milliseconds(50);
      for (auto& [name, vm] : mVms) {
        EffectList out;
        vm.mConfiguration->Tick(mNow, out);
        Queue(name, out);
      }
      Deliver();
    }
  }

  FakeStore mStore;
  std::set<std::string> mWatchers;
  std::map<std::string, Vm> mVms;
  bool mDamageDeltas = false;
  bool mPeersReach = true;
  int mCalls = 0;
  int mWholeBodies = 0;
  int mDeltas = 0;
  TimePoint mNow{ std::chrono::seconds(1) };

private:
  void Queue(const std::string& aVm, EffectList& aEffects)
  {
    for (Effect& effect : aEffects) {
      mQueue.emplace_back(aVm, std::move(effect));
    }
  }

  void Carry(const std::string& aVm, const Effect& aEffect, EffectList& aOut)
  {
    Vm& vm = mVms.at(aVm);
    if (const auto* call = std::get_if<effect::CallStore>(&aEffect)) {
      vm.mConfiguration->OnStoreReply(
        { call->mCall, Call(*call->mRequest.mTxn) }, mNow, aOut);
    } else if (const auto* send = std::get_if<effect::SendMessage>(&aEffect)) {
      if (mPeersReach) {
        Send(aVm, *send);
      }
    } else if (const auto* answer = std::get_if<effect::AnswerEdit>(&aEffect)) {
      vm.mAnswers.push_back(*answer);
    } else if (const auto* watch = std::get_if<effect::WatchStore>(&aEffect)) {
      vm.mWatch = watch->mWatch;
    } else if (std::holds_alternative<effect::CancelWatch>(aEffect)) {
      vm.mWatch.reset();
    } else if (const auto* entry =
                 std::get_if<effect::RecordTimeline>(&aEffect)) {
      vm.mTimeline.insert(entry->mName);
    }
  }

  Result<StoreReply> Call(const StoreTxn& aTxn)
  {
    ++mCalls;
    const bool isWrite = !aTxn.mPuts.empty();
    const StoreMode mode = mStore.mMode;
    if (mode == StoreMode::Down) {
      return MakeError(ResultCode::StoreUnavailable, "down");
    }
    if (isWrite && mode != StoreMode::Up) {
      mStore.mMode = StoreMode::Up;
      if (mode == StoreMode::LoseAnswer) {
        mStore.Run(aTxn);
      } else if (mOnLostWrite) {
        mOnLostWrite();
      }
      return MakeError(ResultCode::OutcomeUnknown, "answer lost");
    }
    const StoreReply reply = mStore.Run(aTxn);
    if (isWrite && reply.mSucceeded) {
      FireWatches({ mStore.mEntries.at(aTxn.mPuts.front().mKey) });
    }
    return reply;
  }

  void Send(const std::string& aFrom, const effect::SendMessage& aSend)
  {
    EffectList out;
    const std::string& to = aSend.mTo.mName;
    Configuration& receiver = At(to);
    if (const auto* offer =
          std::get_if<message::ConfigurationOffer>(&aSend.mMessage)) {
      receiver.OnVersionHeard(VmId(aFrom), offer->mVersion, mNow, out);
    } else if (const auto* request =
                 std::get_if<message::ConfigurationRequest>(&aSend.mMessage)) {
      receiver.OnMessage(VmId(aFrom), *request, mNow, out);
    } else {
      auto body = std::get<message::ConfigurationBody>(aSend.mMessage);
      ++(body.mEdits.empty() ? mWholeBodies : mDeltas);
      if (mDamageDeltas && !body.mEdits.empty()) {
        body.mEdits.front().mAddedLines = { "  timeout: 1ms" };
      }
      receiver.OnMessage(VmId(aFrom), body, mNow, out);
    }
    Queue(to, out);
  }

public:
  std::function<void()> mOnLostWrite;

private:
  std::deque<std::pair<std::string, Effect>> mQueue;
};

std::uint64_t RevisionAt(Fleet& aFleet, const std::string& aVm)
{
  return aFleet.At(aVm).Current()->mRevision.mNumber;
}

} // namespace

// Guards against a change that reaches its writer only, and against whole
// documents where deltas suffice.
TEST_CASE("an accepted change is in force on every VM by deltas")
{
  Fleet fleet({ "a", "b", "c" });
  CHECK(fleet.EditNow("b", "op1", 0, "5s") == ResultCode::Ok);
  CHECK(fleet.EditNow("b", "op2", 1, "6s") == ResultCode::Ok);
  for (const std::string vm : { "a", "b", "c" }) {
    CHECK(RevisionAt(fleet, vm) == 2);
    CHECK(fleet.At(vm).Document() == Fleet::Document("6s"));
  }
  CHECK(fleet.mWholeBodies == 2);
  CHECK(fleet.mDeltas >= 2);
}

// Guards against a lost update when two operators edit at once.
TEST_CASE("of two racing changes one is accepted and one conflicts")
{
  Fleet fleet({ "a", "b" });
  fleet.Edit("a", "op1", 0, "5s");
  fleet.Edit("b", "op2", 0, "6s");
  fleet.Deliver();
  REQUIRE(fleet.mVms["a"].mAnswers.size() == 1);
  REQUIRE(fleet.mVms["b"].mAnswers.size() == 1);
  CHECK(fleet.mVms["a"].mAnswers[0].mCode == ResultCode::Ok);
  CHECK(fleet.mVms["b"].mAnswers[0].mCode == ResultCode::RevisionConflict);
  CHECK(fleet.mVms["b"].mAnswers[0].mRevision == Revision{ 1 });
  CHECK(fleet.At("b").Document() == Fleet::Document("5s"));
}

// Guards against a guess when the answer to a write is lost.
TEST_CASE("a lost answer is settled by what the store holds")
{
  Fleet fleet({ "a", "b" });
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
    CHECK(fleet.At("a").Document() == Fleet::Document("6s"));
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

// Guards against a change that is reverted by an old event or by a store
// restored from a backup, and against overwriting the latter silently.
TEST_CASE("an older configuration in the store never reverts a VM")
{
  Fleet fleet({ "a", "b" });
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

// Guards against polling the store beside a working watch, and against a
// change that only the watch tells of.
TEST_CASE("a working watch replaces reads and brings changes")
{
  Fleet fleet({ "a", "b" });
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
  // No watcher: it read the store once, since no peer had a configuration.
  CHECK(fleet.At("b").StoreContactAge(fleet.mNow) > std::chrono::seconds(5));
  fleet.mPeersReach = false;
  CHECK(fleet.EditNow("b", "op1", 0, "5s") == ResultCode::Ok);
  CHECK(RevisionAt(fleet, "a") == 1);
}

// Guards against a silent watch that hides changes.
TEST_CASE("a silent watch is replaced by reads")
{
  Fleet fleet({ "a" });
  fleet.mWatchers = { "a" };
  fleet.Run(std::chrono::seconds(1));
  REQUIRE(fleet.mVms["a"].mWatch);
  Fleet other({ "x" });
  CHECK(other.EditNow("x", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mStore.mEntries = other.mStore.mEntries;
  fleet.Run(std::chrono::seconds(6));
  CHECK(RevisionAt(fleet, "a") == 1);
  CHECK(fleet.mVms["a"].mTimeline.contains("configuration_watch_silent"));
}

// Guards against a corrupt configuration coming into force.
TEST_CASE("a damaged delta is replaced by the whole document")
{
  Fleet fleet({ "a", "b" });
  CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mDamageDeltas = true;
  const int whole = fleet.mWholeBodies;
  CHECK(fleet.EditNow("a", "op2", 1, "6s") == ResultCode::Ok);
  CHECK(fleet.At("b").Document() == Fleet::Document("6s"));
  CHECK(fleet.mWholeBodies == whole + 1);
}

// Guards against a VM that starts in a store outage with an old
// configuration, or with none.
TEST_CASE("a new VM in a store outage takes its peers' highest revision")
{
  Fleet fleet({ "a", "b" });
  CHECK(fleet.EditNow("a", "op1", 0, "5s") == ResultCode::Ok);
  fleet.mStore.mMode = StoreMode::Down;
  Fleet newer({ "x" });
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

// Guards against history that grows without bound or is lost.
TEST_CASE("the store keeps the last fifty documents")
{
  Fleet fleet({ "a" });
  for (std::uint64_t n = 0; n < 60; ++n) {
    fleet.Edit("a", "op" + std::to_string(n), n, std::to_string(n + 1) + "s");
    fleet.Deliver();
  }
  CHECK(RevisionAt(fleet, "a") == 60);
  CHECK(fleet.mStore.mEntries.size() == 51);
  const auto oldest = DecodeRecord(
    fleet.mStore.mEntries.at(ConfigurationHistoryKey("/cw/", { 11 })).mValue);
  REQUIRE(oldest.has_value());
  CHECK(oldest->mDocument == Fleet::Document("11s"));
}

// Guards against line edits that do not give the document back.
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
