#include "cranberrywing/share_ledger.h"

#include <catch2/catch.hpp>

#include "testing/rate_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;
using namespace std::chrono_literals;

namespace {

const std::string& Name()
{
  return RateFleet::Account().mName;
}

/// Advances time and checks at each step that living processes use at most the
/// whole and that the record is valid.
void RunAndCheck(RateFleet& aFleet, Duration aDuration)
{
  for (Duration passed{}; passed < aDuration; passed += 10ms) {
    aFleet.RunFor(10ms);
    REQUIRE(aFleet.TotalUsedFraction() <= kWholeShare);
    for (const auto& [key, entry] : aFleet.Store().Entries()) {
      REQUIRE(DecodeShareRecord(entry.mValue).has_value());
    }
  }
}

ShareRecord StoredRecord(RateFleet& aFleet)
{
  const auto& entries = aFleet.Store().Entries();
  return entries.empty() ? ShareRecord{}
                         : *DecodeShareRecord(entries.begin()->second.mValue);
}

/// A ledger whose store calls are answered manually by the test.
struct ManualLedger
{
  TimePoint mNow{};
  EffectList mEffects;
  StoreEntry mStored{ .mKey = "/cw/shares/a", .mValue = "" };
  ShareLedger mLedger{
    { .mSelf = { VmId("vm-1"), Incarnation{ 1 } } },
    { .mIsDead = [](const VmIncarnation&) { return false; },
      .mExpectedHolders = [](const std::string&) { return std::size_t{ 1 }; } }
  };

  /// Advances time until the next call to the store and returns it.
  effect::CallStore NextCall()
  {
    for (;;) {
      for (const Effect& effect : mEffects) {
        if (const auto* call = std::get_if<effect::CallStore>(&effect)) {
          const effect::CallStore found = *call;
          mEffects.clear();
          return found;
        }
      }
      mEffects.clear();
      mLedger.Tick(mNow += 10ms, mEffects);
    }
  }

  /// Executes and answers the call.
  void Answer(const effect::CallStore& aCall)
  {
    const StoreTxn& txn = *aCall.mRequest.mTxn;
    if (!txn.mPuts.empty()) {
      mStored.mValue = txn.mPuts.front().mValue;
      ++mStored.mModRevision;
    }
    StoreReply reply{ .mSucceeded = true, .mEntries = {} };
    if (mStored.mModRevision > 0) {
      reply.mEntries.push_back(mStored);
    }
    mLedger.OnStoreReply({ aCall.mCall, reply }, mNow, mEffects);
  }

  void Lose(const effect::CallStore& aCall)
  {
    mLedger.OnStoreReply(
      { aCall.mCall, MakeError(ResultCode::OutcomeUnknown, "answer lost") },
      mNow,
      mEffects);
  }
};

} // namespace

// Guards against fractions that add up to more than the whole, under write
// conflicts, lost and late writes, outages, pauses, restarts and releases.
TEST_CASE("fractions in use never exceed the whole")
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    RateFleet fleet({ .mSeed = seed, .mReviewInterval = 2s });
    fleet.Store().SetFaults({ .mRequestLossProbability = 0.05,
                              .mAnswerLossProbability = 0.1,
                              .mLateEffectProbability = 0.1 });
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> use(0, 2);
    for (int round = 0; round < 40; ++round) {
      const std::size_t vm = random() % fleet.Size();
      switch (random() % 6) {
        case 0:
          fleet.Pause(vm);
          break;
        case 1:
          fleet.Resume(vm);
          break;
        case 2:
          fleet.Start(vm);
          break;
        case 3:
          fleet.Ledger(vm).Release(Name());
          break;
        case 4:
          fleet.Ledger(vm).Acquire(Name());
          break;
        default:
          fleet.Store().SetOutage(random() % 4 == 0);
          break;
      }
      for (std::size_t i = 0; i < fleet.Size(); ++i) {
        fleet.Ledger(i).ReportUtilization(Name(), use(random));
      }
      RunAndCheck(fleet, 500ms);
    }
    // Once the faults end, no fraction stays unused.
    fleet.Store().SetFaults({});
    fleet.Store().SetOutage(false);
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      fleet.Resume(i);
      fleet.Ledger(i).Acquire(Name());
    }
    RunAndCheck(fleet, 60s);
    CHECK(fleet.TotalUsedFraction() > 0.99 * kWholeShare);
  }
}

// Guards against a first grant that waits for a periodic review, and against an
// unequal division without reported utilization.
TEST_CASE("holders that start together share equally within seconds")
{
  RateFleet fleet({});
  fleet.RunFor(2s);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    CHECK(fleet.Ledger(i).Fraction(Name()) == EqualFraction(fleet.Size()));
  }
}

// Guards against reclaiming the fraction of a process that may still run,
// however long it is silent and the store is unavailable.
TEST_CASE("a fraction is reclaimed only on proof of death")
{
  RateFleet fleet({ .mReviewInterval = 2s });
  fleet.RunFor(10s);
  const std::uint32_t held = fleet.Ledger(3).Fraction(Name());
  REQUIRE(held > 0);
  fleet.Pause(3);
  fleet.RunFor(300s);
  CHECK(fleet.Ledger(3).Fraction(Name()) == held);
  CHECK(fleet.TotalUsedFraction() <= kWholeShare);
  const VmIncarnation ended{ VmId("vm-3"), Incarnation{ 4 } };
  REQUIRE(StoredRecord(fleet).Find(ended) != nullptr);
  fleet.Crash(3);
  fleet.AnnounceDeath(3, 100ms);
  fleet.RunFor(500ms);
  // Tokens that it lent may be in use until the release delay has passed.
  CHECK(StoredRecord(fleet).Find(ended) != nullptr);
  fleet.RunFor(5s);
  CHECK(StoredRecord(fleet).Find(ended) == nullptr);
  CHECK(fleet.TotalUsedFraction() > 0.95 * kWholeShare);
}

// Guards against losing fractions in an outage of the store.
TEST_CASE("an outage of the store leaves fractions as they are")
{
  RateFleet fleet({ .mReviewInterval = 2s });
  fleet.RunFor(10s);
  fleet.Store().SetOutage(true);
  const std::uint64_t calls = fleet.Store().Reads() + fleet.Store().Writes();
  fleet.RunFor(600s);
  CHECK(fleet.TotalUsedFraction() > 0.99 * kWholeShare);
  // Each of 11 ledgers retries about every 16 s.
  CHECK(fleet.Store().Reads() + fleet.Store().Writes() - calls < 600);
}

// Guards against a planned stop that leaves its fraction unused, and against
// reporting the release before it is complete.
TEST_CASE("a planned stop releases the fraction for others to claim")
{
  RateFleet fleet({ .mReviewInterval = 2s });
  fleet.RunFor(10s);
  EffectList effects;
  fleet.Ledger(3).ReleaseAll(fleet.LocalNow(3), effects);
  CHECK(fleet.Ledger(3).Fraction(Name()) == 0);
  CHECK_FALSE(fleet.Ledger(3).IsReleased());
  RunAndCheck(fleet, 2s);
  CHECK(fleet.Ledger(3).IsReleased());
  fleet.Crash(3);
  RunAndCheck(fleet, 20s);
  CHECK(fleet.TotalUsedFraction() > 0.95 * kWholeShare);
}

// Guards against fractions that do not follow demand, and against a new holder
// that gets none because everything is claimed.
TEST_CASE("a holder with a shortage receives from holders with a surplus")
{
  RateFleet fleet({ .mSize = 4, .mReviewInterval = 2s });
  fleet.RunFor(5s);
  for (int second = 0; second < 40; ++second) {
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      fleet.Ledger(i).ReportUtilization(Name(), i == 0 ? 3 : 0.1);
    }
    RunAndCheck(fleet, 1s);
  }
  CHECK(fleet.Ledger(0).Fraction(Name()) > kWholeShare / 2);
  for (std::size_t i = 1; i < fleet.Size(); ++i) {
    CHECK(fleet.Ledger(i).Fraction(Name()) > 0);
  }
}

// Guards against using a fraction after its release was written with a lost
// answer, since the write may still take effect in the store.
TEST_CASE("a lost write that may still take effect counts as done")
{
  ManualLedger manual;
  manual.mLedger.Acquire("a");
  manual.Answer(manual.NextCall());
  manual.Answer(manual.NextCall());
  REQUIRE(manual.mLedger.Fraction("a") == kWholeShare);
  manual.mLedger.Release("a");
  manual.Answer(manual.NextCall());
  const effect::CallStore removal = manual.NextCall();
  REQUIRE_FALSE(removal.mRequest.mTxn->mPuts.empty());
  manual.Lose(removal);
  manual.mLedger.Acquire("a");
  // The record is unchanged, so the lost removal may still take effect.
  manual.Answer(manual.NextCall());
  CHECK(manual.mLedger.Fraction("a") == 0);
  // Another write of this process, which makes the lost one fail, resolves it.
  const effect::CallStore overtaking = manual.NextCall();
  REQUIRE_FALSE(overtaking.mRequest.mTxn->mPuts.empty());
  manual.Answer(overtaking);
  CHECK(manual.mLedger.Fraction("a") == kWholeShare);
}

// Guards against using a malformed record, or one whose fractions exceed the
// whole.
TEST_CASE("a corrupt share record is refused")
{
  const VmIncarnation holder{ VmId("vm-1"), Incarnation{ 1 } };
  const VmIncarnation other{ VmId("vm-2"), Incarnation{ 1 } };
  ShareRecord record;
  record.mEntries = { { .mHolder = holder, .mFraction = 600'000 },
                      { .mHolder = other, .mFraction = 400'000 } };
  const std::string bytes = EncodeShareRecord(record);
  CHECK(DecodeShareRecord(bytes) == record);
  CHECK_FALSE(DecodeShareRecord(bytes.substr(0, bytes.size() - 1)));
  CHECK_FALSE(DecodeShareRecord(bytes + "x"));
  record.mEntries[1].mFraction += 1;
  CHECK_FALSE(DecodeShareRecord(EncodeShareRecord(record)));
  record.mEntries[1] = { .mHolder = holder };
  CHECK_FALSE(DecodeShareRecord(EncodeShareRecord(record)));
}
