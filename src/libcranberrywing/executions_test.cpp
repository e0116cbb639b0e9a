#include "cranberrywing/executions.h"

#include <catch2/catch.hpp>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

/// Exceeds lease time, takeover delay and loading time together.
constexpr auto kTakeoverTime = 8s;
const TestRequest kOrder{ .mKey = "order-1" };

/// A fleet of three nodes in which every slot is owned and loaded.
struct ReadyFleet : Fleet
{
  explicit ReadyFleet(const FleetSettings& aFleet = {})
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

// A repeat during or after a key's run must not run it again and must receive
// its answer.
TEST_CASE("a key repeated during and after its run gets the same answer")
{
  ReadyFleet fleet;
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

// A key that is reused for a different request must not receive the answer of
// the first request.
TEST_CASE("a key with different content is refused during and after its run")
{
  ReadyFleet fleet;
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

// A paused owner that resumes after a takeover must not run a key that the new
// owner has run.
TEST_CASE("a paused owner cannot commit after the takeover")
{
  ReadyFleet fleet;
  Node& old = fleet.OwnerOf(kOrder);
  old.mIsPaused = true;
  TestRequest longTimeout = kOrder;
  longTimeout.mTimeout = 60s;
  const RequestId late = fleet.BeginAt(old, longTimeout);
  fleet.Run(kTakeoverTime);
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Resume(old);
  fleet.Run(2s);
  CHECK(old.mExecutions->Counters().mFenceRefusals == 1);
  CHECK(fleet.Get(late).Is(ResultCode::NotOwner, Execution::NotAttempted));
  CHECK(fleet.Runs("order-1") == 1);
}

// If the store's reply to a commit is lost, its claim must run exactly once,
// whether the commit took effect, had no effect, or takes effect only after it
// has been retried.
TEST_CASE("a commit without a reply is resolved")
{
  const auto fault = GENERATE(
    StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateEffect);
  ReadyFleet fleet;
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

// A commit that is retried several times must not leave a second record that
// its owner does not know of and so never merges or removes.
TEST_CASE("a commit with several failures leaves one record")
{
  ReadyFleet fleet;
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

// A request refused as "not run" must not run later. Here the refusal is sent
// while the outcome of its claim's commit is unknown, and the commit turns out
// to have taken effect.
TEST_CASE("a claim that is committed after its deadline is not run")
{
  ReadyFleet fleet;
  fleet.OwnerOf(kOrder).mFault = StoreFault::LostAnswer;
  TestRequest shortTimeout = kOrder;
  shortTimeout.mTimeout = 300ms;
  const RequestId id = fleet.Submit(shortTimeout);
  fleet.Run(400ms);
  CHECK(fleet.Get(id).Is(ResultCode::StoreUnavailable, Execution::NotRun));
  fleet.SetFault(StoreFault::None);
  fleet.Run(2s);
  CHECK(fleet.Runs("order-1") == 0);
  // The owner is the same, so the key may run now.
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// In a store outage, requests with keys must wait until their deadline and be
// refused correctly, and requests with tickets must not depend on the store.
TEST_CASE("in a store outage claims wait and expire while tickets still run")
{
  ReadyFleet fleet;
  fleet.SetFault(StoreFault::Outage);
  TestRequest shortTimeout = kOrder;
  shortTimeout.mTimeout = 1s;
  const RequestId refused = fleet.Submit(shortTimeout);
  fleet.Run(900ms);
  CHECK(fleet.Find(refused) == nullptr);
  fleet.Run(200ms);
  CHECK(fleet.Get(refused).Is(ResultCode::StoreUnavailable, Execution::NotRun));

  fleet.Run(600s);
  const TestRequest ticket{ .mTicket = fleet.Ticket(fleet.At(1)) };
  CHECK(fleet.SubmitAndWait(ticket).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket.mTicket) == 1);

  // By now another VM could have taken over the slot and run the key.
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::StoreUnavailable,
                                       Execution::NotAttempted));
  const RequestId waits = fleet.Submit(kOrder);
  fleet.Run(1s);
  fleet.SetFault(StoreFault::None);
  fleet.Run(900ms);
  CHECK(fleet.Get(waits).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// After a takeover the new owner cannot know whether a claimed execution ran.
// It must not run it again.
TEST_CASE("a takeover between claim and answer leaves the outcome unknown")
{
  ReadyFleet fleet;
  fleet.mBackendTime = 60s;
  fleet.Submit(kOrder);
  fleet.Run(50ms);
  REQUIRE(fleet.Runs("order-1") == 1);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeoverTime);
  for (int n = 0; n < 2; ++n) {
    CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::OutcomeUnknown,
                                         Execution::Unknown));
  }
  CHECK(fleet.Runs("order-1") == 1);
}

// An answer must survive the death of its slot's owner.
TEST_CASE("the successor replays the answer from the copy")
{
  ReadyFleet fleet;
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeoverTime);
  const Outcome repeat = fleet.SubmitAndWait(kOrder);
  REQUIRE(repeat.mAnswer != nullptr);
  CHECK(repeat.mAnswer->mBody == "answer to order-1");
  CHECK(fleet.Runs("order-1") == 1);
}

// If the message with the copy is lost, the owner must not wait for it
// indefinitely, and a successor must not run the execution again.
TEST_CASE("without a copy the outcome is unknown after the owner's death")
{
  ReadyFleet fleet;
  fleet.mIsMessageLost = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::AnswerCopy>(aMessage);
  };
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  fleet.Kill(fleet.OwnerOf(kOrder));
  fleet.Run(kTakeoverTime);
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs("order-1") == 1);
}

// After an attempt that reached no server, a repeat must run, and only once.
TEST_CASE("a key that provably did not run may run later")
{
  ReadyFleet fleet;
  fleet.mBackendBehavior = BackendBehavior::NotReached;
  CHECK(
    fleet.SubmitAndWait(kOrder).Is(ResultCode::NoBackend, Execution::NotRun));
  fleet.mBackendBehavior = BackendBehavior::Answer;
  SECTION("by the same owner") {}
  SECTION("by the successor of a planned handover")
  {
    fleet.Release(fleet.OwnerOf(kOrder));
    fleet.Run(2s);
  }
  CHECK(fleet.SubmitAndWait(kOrder).mAnswer != nullptr);
  CHECK(fleet.Runs("order-1") == 1);
}

// During a planned handover every request must receive its answer, whatever
// stage it is in. The test forwards requests refused with NotOwner to the new
// owner, as the request pipeline does.
TEST_CASE("every request is answered during a planned handover under load")
{
  ReadyFleet fleet;
  fleet.mBackendTime = 300ms;
  // Commits are in flight when the handover begins.
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

// The previous owner committed a claim, did not receive the store's reply in
// time and never ran it. The successor must learn that the claim did not run.
TEST_CASE("a handover reports claims that were committed too late to run")
{
  ReadyFleet fleet;
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

// Once an answer has been evicted, a repeat must neither run nor be refused as
// "not run".
TEST_CASE("a repeat whose answer was evicted is refused as completed")
{
  ReadyFleet fleet;
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

// The number of claim records must stay bounded, and merging must not lose
// claims.
TEST_CASE("claim records are merged, survive a takeover and are removed")
{
  FleetSettings settings;
  settings.mSlotCount = 1;
  settings.mClaimRetention = 120s;
  ReadyFleet fleet(settings);
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
  fleet.Run(kTakeoverTime);
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

// Records must not accumulate at an owner of many slots.
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
  // Each slot has at most 15 records of the first level and a few of the
  // second.
  CHECK(CountClaimRecords(fleet) < 64 * 20);
}

// A corrupt claim record may contain any key of the slot, so none may run.
TEST_CASE("a slot with an unreadable claim record accepts no claims")
{
  ReadyFleet fleet;
  fleet.Kill(fleet.OwnerOf(kOrder));
  StoreCall damage;
  damage.mTxn = StoreTxn{};
  damage.mTxn->mPuts.push_back(
    { .mKey = "/cw/claims/" + std::to_string(fleet.SlotOf(kOrder)) + "/1/1",
      .mValue = "damaged",
      .mLease = LeaseId::None });
  fleet.mStore.Apply(damage, fleet.Now());
  fleet.Run(kTakeoverTime);
  CHECK(fleet.SubmitAndWait(kOrder).Is(ResultCode::DeadlineExceeded,
                                       Execution::NotAttempted));
  CHECK(fleet.Runs("order-1") == 0);
}
