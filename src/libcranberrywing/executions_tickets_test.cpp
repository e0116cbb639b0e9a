#include <catch2/catch.hpp>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

/// Exceeds lease time, takeover delay and loading time together.
constexpr auto kTakeoverTime = 8s;

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
};

} // namespace

// A ticket must not be forgeable, and must be valid only for the account and
// route that it was issued for.
TEST_CASE("forged tickets and those of another account or route are refused")
{
  ReadyFleet fleet;
  const std::string ticket = fleet.Ticket(fleet.At(0));
  const TestRequest valid{ .mTicket = ticket };
  TestRequest forged = valid;
  forged.mTicket.back() = ticket.back() == '0' ? '1' : '0';
  TestRequest renumbered = valid;
  renumbered.mTicket.replace(3, 1, ticket[3] == '1' ? "2" : "1");
  TestRequest account = valid;
  account.mAccount = "clinics";
  TestRequest route = valid;
  route.mRoute = "settle";
  for (const TestRequest& invalid : { forged, renumbered, account, route }) {
    const RequestId id = fleet.BeginAt(fleet.At(0), invalid);
    fleet.Run(10ms);
    CHECK(fleet.Get(id).Is(ResultCode::InvalidTicket, Execution::NotAttempted));
  }
  CHECK(fleet.SubmitAndWait(valid).mAnswer != nullptr);
  CHECK(fleet.SubmitAndWait(valid).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket) == 1);
}

// An expired ticket must not run, even after the VM's wall clock was set back.
TEST_CASE("an expired ticket never runs")
{
  FleetSettings settings;
  settings.mTicketLifetime = 5s;
  ReadyFleet fleet(settings);
  const TestRequest ticket{ .mTicket = fleet.Ticket(fleet.At(0)) };
  fleet.Run(6s);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::InvalidTicket,
                                       Execution::NotRun));
  fleet.mWallClockOffset -= 3600;
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::InvalidTicket,
                                       Execution::NotRun));
  CHECK(fleet.Runs(ticket.mTicket) == 0);
}

// After an unplanned takeover the new owner cannot know which tickets of the
// earlier epoch have run. It must not run any of them.
TEST_CASE("a ticket of a dead owner's epoch is unknown and never runs")
{
  ReadyFleet fleet;
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
  fleet.Run(kTakeoverTime);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(ticket.mTicket) == 0);
}

// A paused owner and its successor must not both run a ticket.
TEST_CASE("a paused owner's ticket runs only at that owner")
{
  ReadyFleet fleet;
  Node& old = fleet.At(0);
  const TestRequest ticket{ .mTicket = fleet.Ticket(old), .mTimeout = 60s };
  old.mIsPaused = true;
  const RequestId late = fleet.BeginAt(old, ticket);
  fleet.Run(kTakeoverTime);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  fleet.Resume(old);
  fleet.Run(2s);
  CHECK(fleet.Get(late).mAnswer != nullptr);
  // The previous owner sent the answer to its successor.
  CHECK(fleet.SubmitAndWait(ticket).mAnswer != nullptr);
  CHECK(fleet.Runs(ticket.mTicket) == 1);
}

// After a planned handover, tickets that have not run yet must run exactly
// once, and those that have run must receive their answers, even if messages
// between peers are delayed and duplicated.
TEST_CASE("a planned handover transfers which tickets have run")
{
  ReadyFleet fleet;
  std::mt19937_64 random(7);
  fleet.mDeliveryDelays = [&random] {
    std::vector<Duration> delays(1 + random() % 3);
    for (Duration& delay : delays) {
      delay = std::chrono::milliseconds(1 + random() % 300);
    }
    return delays;
  };
  Node& old = fleet.At(0);
  const TestRequest unused{ .mTicket = fleet.Ticket(old) };
  const TestRequest used{ .mTicket = fleet.Ticket(old) };
  CHECK(fleet.SubmitAndWait(used).mAnswer != nullptr);
  fleet.Release(old);
  fleet.Run(200ms);
  for (int n = 0; n < 3; ++n) {
    CHECK(fleet.SubmitAndWait(unused).mAnswer != nullptr);
    CHECK(fleet.SubmitAndWait(used).mAnswer != nullptr);
    if (n == 0) {
      // The next handover transfers the inherited epoch as well.
      fleet.Release(*fleet.OwnerOf(fleet.SlotOf(unused)));
      fleet.Run(2s);
    }
  }
  CHECK(old.mSlots->IsReleased());
  CHECK(fleet.Runs(unused.mTicket) == 1);
  CHECK(fleet.Runs(used.mTicket) == 1);
}

// Without the handover message the successor cannot know which tickets have
// run, so it must not run any of them.
TEST_CASE("without the handover message an unused ticket is unknown")
{
  ReadyFleet fleet;
  fleet.mIsMessageLost = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::SlotHandover>(aMessage);
  };
  Node& old = fleet.At(0);
  const TestRequest unused{ .mTicket = fleet.Ticket(old) };
  fleet.Release(old);
  fleet.Run(2s);
  CHECK(fleet.SubmitAndWait(unused).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(unused.mTicket) == 0);
}

// A handover message that was meant for an earlier process of the VM must not
// make the current process treat the old epoch as its own.
TEST_CASE("a handover message for an earlier epoch is ignored")
{
  ReadyFleet fleet;
  fleet.mIsMessageLost = [](const VmId&, const Message& aMessage) {
    return std::holds_alternative<message::AnswerCopy>(aMessage);
  };
  fleet.mDeliveryDelays = [] { return std::vector<Duration>{ 1ms, 20s }; };
  Node& old = fleet.At(0);
  const TestRequest unused{ .mTicket = fleet.Ticket(old) };
  fleet.Release(old);
  fleet.Run(2s);
  CHECK(fleet.SubmitAndWait(unused).mAnswer != nullptr);
  for (const std::size_t n : { 1, 2 }) {
    fleet.Start(fleet.At(n));
  }
  fleet.Run(25s);
  CHECK(fleet.SubmitAndWait(unused).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(unused.mTicket) == 1);
}

// If the store's reply to a handover is lost, the previous owner must neither
// stop serving before it knows the outcome nor remain the owner.
TEST_CASE("a handover without the store's reply is completed")
{
  ReadyFleet fleet;
  fleet.mBackendTime = 700ms;
  Node& old = fleet.At(0);
  const TestRequest unused{ .mTicket = fleet.Ticket(old) };
  old.mFault = StoreFault::LostAnswer;
  fleet.Release(old);
  fleet.Run(100ms);
  // The previous owner still considers itself the owner and runs the ticket.
  const RequestId first = fleet.BeginAt(old, unused);
  fleet.Run(300ms);
  old.mFault = StoreFault::None;
  fleet.Run(1s);
  CHECK(fleet.Get(first).mAnswer != nullptr);
  CHECK(fleet.SubmitAndWait(unused).mAnswer != nullptr);
  CHECK(old.mSlots->IsReleased());
  CHECK(fleet.Runs(unused.mTicket) == 1);
}

// A drain must not wait for slow requests. Their repeats must receive the
// answer and must not run again.
TEST_CASE("a handover does not wait for running requests")
{
  ReadyFleet fleet;
  fleet.mBackendTime = 4s;
  Node& old = fleet.At(0);
  const TestRequest running{ .mTicket = fleet.Ticket(old), .mTimeout = 9s };
  const TestRequest unused{ .mTicket = fleet.Ticket(old) };
  const std::uint32_t slot = fleet.SlotOf(running);
  const RequestId first = fleet.BeginAt(old, running);
  fleet.Release(old);
  fleet.Run(500ms);
  CHECK(old.mSlots->IsReleased());
  REQUIRE(fleet.OwnerOf(slot) != nullptr);
  fleet.mBackendTime = 20ms;
  CHECK(fleet.SubmitAndWait(unused).mAnswer != nullptr);

  // A repeat waits until the previous owner reports the outcome.
  const RequestId repeat = fleet.Submit(running);
  fleet.Run(10ms);
  fleet.Run(2s);
  CHECK(fleet.Get(first).mAnswer != nullptr);
  CHECK(fleet.Get(repeat).mAnswer != nullptr);
  CHECK(fleet.Runs(running.mTicket) == 1);
}

// After the handover the previous owner reports that an execution did not run.
// The successor must then run it, and only once even if the report is
// duplicated.
TEST_CASE("an execution reported as not run runs once at the successor")
{
  ReadyFleet fleet;
  fleet.mDeliveryDelays = [] { return std::vector<Duration>{ 1ms, 3s }; };
  fleet.mBackendTime = 400ms;
  fleet.mBackendBehavior = BackendBehavior::NotReached;
  Node& old = fleet.At(0);
  const TestRequest ticket{ .mTicket = fleet.Ticket(old), .mTimeout = 5s };
  fleet.BeginAt(old, ticket);
  fleet.Release(old);
  fleet.Run(200ms);
  fleet.mBackendBehavior = BackendBehavior::LoseAnswer;
  const RequestId repeat = fleet.Submit(ticket);
  fleet.Run(1s);
  CHECK(fleet.Runs(ticket.mTicket) == 1);
  CHECK(fleet.Get(repeat).Is(ResultCode::OutcomeUnknown, Execution::Unknown));
  // By now the duplicate of the report that it did not run has arrived.
  fleet.Run(5s);
  CHECK(fleet.SubmitAndWait(ticket).Is(ResultCode::OutcomeUnknown,
                                       Execution::Unknown));
  CHECK(fleet.Runs(ticket.mTicket) == 1);
}
