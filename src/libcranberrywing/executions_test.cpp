#include "cranberrywing/executions.h"

#include <catch2/catch.hpp>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

/// Longer than lease, takeover delay and loading together.
constexpr auto kTakeover = 8s;
const TestRequest kOrder{ .mKey = "order-1" };

/// Three nodes with every slot owned and loaded.
struct Settled : Fleet
{
  explicit Settled(const FleetSettings& aFleet = {})
    : Fleet(3, aFleet)
  {
    Run(4s);
  }

  Outcome SubmitAndWait(const TestRequest& aRequest)
  {
    const RequestId id = Submit(aRequest);
    Run(2500ms);
    REQUIRE(Find(id) != nullptr);
    return Get(id);
  }

  void SetFault(StoreFault aFault)
  {
    for (auto& [vm, node] : mNodes) {
      node.mFault = aFault;
    }
  }
};

std::ptrdiff_t CountClaimRecords(const Fleet& aFleet)
{
  const auto& entries = aFleet.mStore.Entries();
  return std::count_if(entries.begin(), entries.end(), [](const auto& aEntry) {
    return aEntry.first.starts_with("/cw/claims/");
  });
}

} // namespace

// Guards against a second run of a key, and against a repeat without answer.
TEST_CASE("a key repeated during and after its run is given the one answer")
{
  Settled fleet;
  const RequestId first = fleet.Submit(kOrder);
  fleet.Run(30ms);
  REQUIRE(fleet.Runs("order-1") == 1);
  CHECK(fleet.Find(first) == nullptr);
  const RequestId second = fleet.Submit(kOrder);
  fleet.Run(200ms);
  const RequestId third = fleet.Submit(kOrder);
  fleet.Run(50ms);
  for (const RequestId id : { first, second, third }) {
    REQUIRE(fleet.Find(id) != nullptr);
    REQUIRE(fleet.Get(id).mAnswer != nullptr);
    CHECK(fleet.Get(id).mAnswer->mBody == "answer to order-1");
  }
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against answering another request's content under a reused key.
TEST_CASE("a key with other content is refused during and after its run")
{
  Settled fleet;
  TestRequest other = kOrder;
  other.mBody = "another body";
  fleet.Submit(kOrder);
  fleet.Run(30ms);
  for (int n = 0; n < 2; ++n) {
    CHECK(fleet.SubmitAndWait(other).Is(ResultCode::IdempotencyKeyReused,
                                        Execution::NotAttempted));
  }
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a paused owner that runs a key after its successor did.
TEST_CASE("a paused owner cannot commit after the takeover")
{
  Settled fleet;
  Node& old = fleet.OwnerOf(kOrder);
  old.mIsPaused = true;
  TestRequest patient = kOrder;
  patient.mTimeout = 60s;
  const RequestId late = fleet.BeginAt(old, patient);
  fleet.Run(kTakeover);
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Resume(old);
  fleet.Run(2s);
  CHECK(old.mExecutions->Counters().mFenceRefusals == 1);
  CHECK(fleet.Get(late).Is(ResultCode::NotOwner, Execution::NotAttempted));
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a claim that is lost, or run twice, when the store's answer
// to its commit is lost, whether the commit took effect, did not, or does so
// only after it was repeated.
TEST_CASE("a commit without an answer is settled")
{
  const auto fault = GENERATE(
    StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateEffect);
  Settled fleet;
  fleet.OwnerOf(kOrder).mFault = fault;
  const RequestId id = fleet.Submit(kOrder);
  fleet.Run(100ms);
  CHECK(fleet.Runs("order-1") == 0);
  fleet.SetFault(StoreFault::None);
  fleet.Run(3s);
  CHECK(fleet.Get(id).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
  CHECK(fleet.OwnerOf(kOrder).mExecutions->Counters().mClaims == 1);
}

// Guards against a claim record that its owner does not know of and so never
// merges or removes.
TEST_CASE("a commit with several failures leaves one record")
{
  Settled fleet;
  for (const StoreFault fault :
       { StoreFault::LostAnswer, StoreFault::Outage, StoreFault::None }) {
    fleet.SetFault(fault);
    if (fault == StoreFault::LostAnswer) {
      fleet.Submit(kOrder);
    }
    fleet.Run(300ms);
  }
  CHECK(fleet.Runs("order-1") == 1);
  CHECK(CountClaimRecords(fleet) == 1);
}

// Guards against an untrue "not run": a claim of which nobody knows whether
// it is in the store must not be run after its caller was refused.
TEST_CASE("a claim that is settled after its deadline is not run")
{
  Settled fleet;
  fleet.OwnerOf(kOrder).mFault = StoreFault::LostAnswer;
  TestRequest hasty = kOrder;
  hasty.mTimeout = 300ms;
  const RequestId id = fleet.Submit(hasty);
  fleet.Run(400ms);
  CHECK(fleet.Get(id).Is(ResultCode::StoreUnavailable, Execution::NotRun));
  fleet.SetFault(StoreFault::None);
  fleet.Run(2s);
  CHECK(fleet.Runs("order-1") == 0);
  // The owner is the same, so the key may run now.
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against wrong refusals in an outage, and against tickets that need
// the store.
TEST_CASE("in a store outage claims wait, then are not run; tickets go on")
{
  Settled fleet;
  fleet.SetFault(StoreFault::Outage);
  TestRequest hasty = kOrder;
  hasty.mTimeout = 1s;
  const RequestId refused = fleet.Submit(hasty);
  fleet.Run(900ms);
  CHECK(fleet.Find(refused) == nullptr);
  fleet.Run(200ms);
  CHECK(fleet.Get(refused).Is(ResultCode::StoreUnavailable, Execution::NotRun));

  fleet.Run(600s);
  const TestRequest ticket{ .mTicket = fleet.Ticket(fleet.At(1)) };
  CHECK(fleet.SubmitAndWait(ticket).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket.mTicket) == 1);

  // By now another VM could have taken the slot and run the key.
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::StoreUnavailable,
                                       Execution::NotAttempted));
  const RequestId waits = fleet.Submit(kOrder);
  fleet.Run(1s);
  fleet.SetFault(StoreFault::None);
  fleet.Run(900ms);
  CHECK(fleet.Get(waits).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a second run by a successor that cannot know the outcome.
TEST_CASE("a takeover between claim and answer leaves the outcome unknown")
{
  Settled fleet;
  fleet.mBackendTime = 60s;
  fleet.Submit(kOrder);
  fleet.Run(50ms);
  REQUIRE(fleet.Runs("order-1") == 1);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeover);
  for (int n = 0; n < 2; ++n) {
    CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::OutcomeUnknown,
                                         Execution::Unknown));
  }
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against an answer that dies with its owner.
TEST_CASE("the successor gives the answer from the copy")
{
  Settled fleet;
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeover);
  const Outcome repeat = fleet.SubmitAndWait(kOrder);
  REQUIRE(repeat.mAnswer != nullptr);
  CHECK(repeat.mAnswer->mBody == "answer to order-1");
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a wait without end for a copy holder, and a second run when
// the copy is lost with the owner.
TEST_CASE("an answer whose copy is lost is unknown after the owner's death")
{
  Settled fleet;
  fleet.mLoses = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::AnswerCopy>(aMessage);
  };
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeover);
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a repeat that is refused, or run twice, after the first try
// reached no server.
TEST_CASE("a key that provably did not run may run later")
{
  Settled fleet;
  fleet.mAct = BackendAct::NotReached;
  CHECK(
    fleet.SubmitAndWait(kOrder).Is(ResultCode::NoBackend, Execution::NotRun));
  fleet.mAct = BackendAct::Answer;
  SECTION("by the same owner") {}
  SECTION("by the successor of a planned handover")
  {
    fleet.Release(fleet.OwnerOf(kOrder));
    fleet.Run(2s);
  }
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against a planned stop that costs a caller an answer, whatever stage
// the requests are in. The pipeline passes on what is refused with NotOwner.
TEST_CASE("a planned handover under load costs no answer")
{
  Settled fleet;
  fleet.mBackendTime = 300ms;
  // Commits are on their way when the handover begins.
  fleet.mStoreDelay = 40ms;
  std::map<RequestId, TestRequest> open;
  for (int n = 0; n < 200; ++n) {
    if (n == 50) {
      fleet.Release(fleet.At(0));
    }
    if (n < 100) {
      const TestRequest request{ .mKey = "order-" + std::to_string(n),
                                 .mTimeout = 10s };
      open[fleet.Submit(request)] = request;
    }
    fleet.Run(20ms);
    for (const auto& [id, request] : std::map(open)) {
      const Outcome* outcome = fleet.Find(id);
      if (outcome == nullptr) {
        continue;
      }
      open.erase(id);
      if (!outcome->mAnswer) {
        CHECK(outcome->mRefusal.mCode == ResultCode::NotOwner);
        open[fleet.Submit(request)] = request;
      }
    }
  }
  CHECK(fleet.At(0).mSlots->IsReleased());
  CHECK(open.empty());
  for (int n = 0; n < 100; ++n) {
    CHECK(fleet.Runs("order-" + std::to_string(n)) == 1);
  }
}

// Guards against a claim of unknown outcome at the successor that the former
// owner committed, without an answer from the store, and never ran.
TEST_CASE("a handover tells which commits were settled too late to run")
{
  Settled fleet;
  Node& old = fleet.OwnerOf(kOrder);
  old.mFault = StoreFault::LostAnswer;
  const RequestId id = fleet.Submit(kOrder);
  fleet.Run(50ms);
  old.mFault = StoreFault::None;
  fleet.Release(old);
  fleet.Run(100ms);
  CHECK(fleet.Get(id).Is(ResultCode::NotOwner, Execution::NotAttempted));
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against "not run" or a second run once an answer was evicted.
TEST_CASE("a repeat without a kept answer is told that the request ran")
{
  Settled fleet;
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  TestRequest large{ .mKey = "large" };
  fleet.mBodyBytes = fleet.mAnswerStoreBytes / 8;
  for (int n = 0; n < 64; ++n) {
    large.mKey = "large-" + std::to_string(n);
    fleet.Submit(large);
    fleet.Run(200ms);
  }
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::NotAccepted,
                                       Execution::Completed));
  CHECK(fleet.Runs("order-1") == 1);
}

// Guards against claim records that grow without bound, or are lost when they
// are merged.
TEST_CASE("claim records are merged, survive a takeover and are removed")
{
  FleetSettings settings;
  settings.mSlotCount = 1;
  settings.mClaimRetention = 120s;
  Settled fleet(settings);
  const auto keyOf = [](int aNumber) {
    return TestRequest{ .mKey = "order-" + std::to_string(aNumber) };
  };
  constexpr int kOrders = 300;
  for (int n = 0; n < kOrders; ++n) {
    fleet.Submit(keyOf(n));
    fleet.Run(120ms);
  }
  CHECK(CountClaimRecords(fleet) < 40);

  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeover);
  for (int n = 0; n < kOrders; ++n) {
    fleet.Submit(keyOf(n));
  }
  fleet.Run(3s);
  for (int n = 0; n < kOrders; ++n) {
    CHECK(fleet.Runs(keyOf(n).mKey) == 1);
  }
  fleet.Run(200s);
  CHECK(CountClaimRecords(fleet) == 0);
  CHECK(fleet.OwnerOf(kOrder).mExecutions->RecordCount() == 0);
}

// Guards against records that pile up at an owner of many slots.
TEST_CASE("an owner of all slots merges as fast as it commits")
{
  Fleet fleet(1);
  fleet.Run(4s);
  for (int n = 0; n < 150; ++n) {
    for (int m = 0; m < 64; ++m) {
      const int number = n * 64 + m;
      fleet.Submit({ .mKey = "order-" + std::to_string(number) });
    }
    fleet.Run(110ms);
  }
  // Per slot 15 records of the first level and some of the second.
  CHECK(CountClaimRecords(fleet) < 64 * 20);
}

// Guards against running a key whose claim may be in a damaged record.
TEST_CASE("a slot with an unreadable record takes no claim")
{
  Settled fleet;
  fleet.Kill(fleet.OwnerOf(kOrder));
  StoreCall damage;
  damage.mTxn = StoreTxn{};
  damage.mTxn->mPuts.push_back(
    { .mKey = "/cw/claims/" + std::to_string(fleet.SlotOf(kOrder)) + "/1/1",
      .mValue = "damaged",
      .mLease = LeaseId::None });
  fleet.mStore.Apply(damage, fleet.Now());
  fleet.Run(kTakeover);
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::DeadlineExceeded,
                                       Execution::NotAttempted));
  CHECK(fleet.Runs("order-1") == 0);
}
