#include <catch2/catch.hpp>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

constexpr auto kTakeover = 8s;

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
};

} // namespace

// Guards against tickets that others can make or use.
TEST_CASE("forged tickets and those of another account or route are refused")
{
  Settled fleet;
  const std::string ticket = fleet.Ticket(fleet.At(0));
  const TestRequest good{ .mTicket = ticket };
  TestRequest forged = good;
  forged.mTicket.back() = ticket.back() == '0' ? '1' : '0';
  TestRequest renumbered = good;
  renumbered.mTicket.replace(3, 1, ticket[3] == '1' ? "2" : "1");
  TestRequest account = good;
  account.mAccount = "clinics";
  TestRequest route = good;
  route.mRoute = "settle";
  for (const TestRequest& bad : { forged, renumbered, account, route }) {
    const RequestId id = fleet.BeginAt(fleet.At(0), bad);
    fleet.Run(10ms);
    CHECK(fleet.Get(id).Is(ResultCode::InvalidTicket, Execution::NotAttempted));
  }
  CHECK(fleet.SubmitAndWait(good).mAnswer != nullptr);
  CHECK(fleet.SubmitAndWait(good).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket) == 1);
}

// Guards against an expired ticket that runs, also after the VM's wall clock
// was set back.
TEST_CASE("an expired ticket never runs")
{
  FleetSettings settings;
  settings.mTicketLifetime = 5s;
  Settled fleet(settings);
  const TestRequest ticket{ .mTicket = fleet.Ticket(fleet.At(0)) };
  fleet.Run(6s);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::InvalidTicket,
                                       Execution::NotRun));
  fleet.mWallOffset -= 3600;
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::InvalidTicket,
                                       Execution::NotRun));
  CHECK(fleet.Runs(ticket.mTicket) == 0);
}

// Guards against a ticket that two owners run.
TEST_CASE("a ticket of a lost owner's epoch is unknown and never runs")
{
  Settled fleet;
  Node& old = fleet.At(0);
  const TestRequest ticket{ .mTicket = fleet.Ticket(old) };
  SECTION("after its death")
  {
    fleet.Kill(old);
  }
  SECTION("after a restart on the same VM")
  {
    fleet.Start(old);
  }
  fleet.Run(kTakeover);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(ticket.mTicket) == 0);
}

// Guards against a paused owner and its successor both running a ticket.
TEST_CASE("a paused owner's ticket runs with that owner only")
{
  Settled fleet;
  Node& old = fleet.At(0);
  const TestRequest ticket{ .mTicket = fleet.Ticket(old), .mTimeout = 60s };
  old.mIsPaused = true;
  const RequestId late = fleet.BeginAt(old, ticket);
  fleet.Run(kTakeover);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  fleet.Resume(old);
  fleet.Run(2s);
  CHECK(fleet.Get(late).mAnswer != nullptr);
  // The deposed owner sent the answer to its successor.
  CHECK(fleet.SubmitAndWait(ticket).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket.mTicket) == 1);
}

// Guards against a planned stop that costs a ticket holder the answer, or
// runs a ticket twice, however often and late the peers' messages come.
TEST_CASE("a planned handover passes on which tickets were seen")
{
  Settled fleet;
  std::mt19937_64 random(7);
  fleet.mDelays = [&random] {
    std::vector<Duration> delays(1 + random() % 3);
    for (Duration& delay : delays) {
      delay = std::chrono::milliseconds(1 + random() % 300);
    }
    return delays;
  };
  Node& old = fleet.At(0);
  const TestRequest unseen{ .mTicket = fleet.Ticket(old) };
  const TestRequest seen{ .mTicket = fleet.Ticket(old) };
  CHECK(fleet.SubmitAndWait(seen).mAnswer != nullptr);
  fleet.Release(old);
  fleet.Run(200ms);
  for (int n = 0; n < 3; ++n) {
    CHECK(fleet.SubmitAndWait(unseen).mAnswer != nullptr);
    CHECK(fleet.SubmitAndWait(seen).mAnswer != nullptr);
    if (n == 0) {
      // The next owner hands on the inherited epoch as well.
      fleet.Release(*fleet.OwnerOf(fleet.SlotOf(unseen)));
      fleet.Run(2s);
    }
  }
  CHECK(old.mSlots->IsReleased());
  CHECK(fleet.Runs(unseen.mTicket) == 1);
  CHECK(fleet.Runs(seen.mTicket) == 1);
}

// Guards against a successor that takes tickets as unseen without being told.
TEST_CASE("without the handover message an unseen ticket is unknown")
{
  Settled fleet;
  fleet.mLoses = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::SlotHandover>(aMessage);
  };
  Node& old = fleet.At(0);
  const TestRequest unseen{ .mTicket = fleet.Ticket(old) };
  fleet.Release(old);
  fleet.Run(2s);
  CHECK(fleet.SubmitAndWait(unseen).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(unseen.mTicket) == 0);
}

// Guards against taking an old epoch as one's own from a message that was
// meant for the VM's former process.
TEST_CASE("a handover message for an earlier epoch is ignored")
{
  Settled fleet;
  fleet.mLoses = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::AnswerCopy>(aMessage);
  };
  fleet.mDelays = [] { return std::vector<Duration>{ 1ms, 20s }; };
  Node& old = fleet.At(0);
  const TestRequest unseen{ .mTicket = fleet.Ticket(old) };
  fleet.Release(old);
  fleet.Run(2s);
  CHECK(fleet.SubmitAndWait(unseen).mAnswer != nullptr);
  for (const std::size_t n : { 1, 2 }) {
    fleet.Start(fleet.At(n));
  }
  fleet.Run(25s);
  CHECK(fleet.SubmitAndWait(unseen).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(unseen.mTicket) == 1);
}

// Guards against an owner that stops for good, or goes on as owner, when the
// store's answer to its handover is lost.
TEST_CASE("a handover without the store's answer is completed")
{
  Settled fleet;
  fleet.mBackendTime = 700ms;
  Node& old = fleet.At(0);
  const TestRequest unseen{ .mTicket = fleet.Ticket(old) };
  old.mFault = StoreFault::LostAnswer;
  fleet.Release(old);
  fleet.Run(100ms);
  // It still takes itself for the owner and runs what it has.
  const RequestId first = fleet.BeginAt(old, unseen);
  fleet.Run(300ms);
  old.mFault = StoreFault::None;
  fleet.Run(1s);
  CHECK(fleet.Get(first).mAnswer != nullptr);
  CHECK(fleet.SubmitAndWait(unseen).mAnswer != nullptr);
  CHECK(old.mSlots->IsReleased());
  CHECK(fleet.Runs(unseen.mTicket) == 1);
}

// Guards against a planned stop that waits for slow requests, leaves their
// repeats without an answer, or runs them twice.
TEST_CASE("a handover does not wait for running requests")
{
  Settled fleet;
  fleet.mBackendTime = 4s;
  Node& old = fleet.At(0);
  const TestRequest running{ .mTicket = fleet.Ticket(old), .mTimeout = 9s };
  const TestRequest unseen{ .mTicket = fleet.Ticket(old) };
  const std::uint32_t slot = fleet.SlotOf(running);
  const RequestId first = fleet.BeginAt(old, running);
  fleet.Release(old);
  fleet.Run(500ms);
  CHECK(old.mSlots->IsReleased());
  REQUIRE(fleet.OwnerOf(slot) != nullptr);
  fleet.mBackendTime = 20ms;
  CHECK(fleet.SubmitAndWait(unseen).mAnswer != nullptr);

  // A repeat waits for the former owner's news.
  const RequestId repeat = fleet.Submit(running);
  fleet.Run(10ms);
  fleet.Run(2s);
  CHECK(fleet.Get(first).mAnswer != nullptr);
  CHECK(fleet.Get(repeat).mAnswer != nullptr);
  CHECK(fleet.Runs(running.mTicket) == 1);
}

// Guards against an execution that the former owner proved not to have run
// and that the successor does not run, or runs twice.
TEST_CASE("the successor learns what ended without a run after the handover")
{
  Settled fleet;
  fleet.mDelays = [] { return std::vector<Duration>{ 1ms, 3s }; };
  fleet.mBackendTime = 400ms;
  fleet.mAct = BackendAct::NotReached;
  Node& old = fleet.At(0);
  const TestRequest ticket{ .mTicket = fleet.Ticket(old), .mTimeout = 5s };
  fleet.BeginAt(old, ticket);
  fleet.Release(old);
  fleet.Run(200ms);
  fleet.mAct = BackendAct::LoseAnswer;
  const RequestId repeat = fleet.Submit(ticket);
  fleet.Run(1s);
  CHECK(fleet.Runs(ticket.mTicket) == 1);
  CHECK(fleet.Get(repeat).Is(ResultCode::OutcomeUnknown, Execution::Unknown));
  // By now the message that it did not run has come again.
  fleet.Run(5s);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(ticket.mTicket) == 1);
}
