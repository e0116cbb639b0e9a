#include <catch2/catch.hpp>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

namespace {

/// A fixture with an idempotent request in progress at two servers: the first
/// has sent nothing for longer than answers usually take.
struct TwoAttempts : GatewayFixture
{
  TwoAttempts()
  {
    for (int n = 0; n < 8; ++n) {
      Request("/prices/1", kKey, std::to_string(n));
      Reply(*FindEffect<effect::Dispatch>(), event::ReplyKind::Answer, 200);
    }
    mRequest = Request("/prices/1");
    mFirst = *FindEffect<effect::Dispatch>();
    do {
      Advance(std::chrono::milliseconds(50));
    } while (mGateway.InFlight() == 1 && !FindEffect<effect::Dispatch>());
    REQUIRE(FindEffect<effect::Dispatch>());
    mSecond = *FindEffect<effect::Dispatch>();
    mIsFirstCancelled = FindEffect<effect::CancelDispatch>() != nullptr;
  }

  void Answer(const effect::Dispatch& aAttempt, std::uint32_t aStatus)
  {
    Reply(aAttempt, event::ReplyKind::Answer, aStatus);
  }

  std::uint32_t InFlight(const effect::Dispatch& aAttempt) const
  {
    return mGateway.Pool().Find(aAttempt.mBackend)->mInFlight;
  }

  RequestId mRequest;
  effect::Dispatch mFirst;
  effect::Dispatch mSecond;
  bool mIsFirstCancelled = false;
};

} // namespace

// Guards against giving up running work: a server that was only slow, since it
// did not have the object cached, lost the request after most of the work, and
// so never got the object.
TEST_CASE("A slow server may still answer after another one was asked")
{
  TwoAttempts fixture;
  CHECK_FALSE(fixture.mIsFirstCancelled);
  CHECK(fixture.mFirst.mBackend != fixture.mSecond.mBackend);
  fixture.Answer(fixture.mFirst, 200);
  REQUIRE(fixture.FindEffect<effect::Respond>());
  REQUIRE(fixture.FindEffect<effect::CancelDispatch>());
  CHECK(fixture.FindEffect<effect::CancelDispatch>()->mAttempt ==
        fixture.mSecond.mAttempt);
  CHECK(fixture.InFlight(fixture.mFirst) == 0);
  CHECK(fixture.InFlight(fixture.mSecond) == 0);
  CHECK(fixture.mGateway.InFlight() == 0);
  fixture.Answer(fixture.mSecond, 200);
  CHECK_FALSE(fixture.FindEffect<effect::Respond>());
}

TEST_CASE("The answer of the second server ends the attempt at a silent one")
{
  TwoAttempts fixture;
  fixture.Answer(fixture.mSecond, 200);
  REQUIRE(fixture.FindEffect<effect::Respond>());
  REQUIRE(fixture.FindEffect<effect::CancelDispatch>());
  CHECK(fixture.FindEffect<effect::CancelDispatch>()->mAttempt ==
        fixture.mFirst.mAttempt);
  CHECK(fixture.InFlight(fixture.mFirst) == 0);
  CHECK(fixture.mGateway.Pool().Find(fixture.mFirst.mBackend)->mFailureRate >
        0);
}

TEST_CASE("A failure at the second server leaves the request with the first")
{
  TwoAttempts fixture;
  SECTION("failed answer")
  {
    fixture.Answer(fixture.mSecond, 500);
  }
  SECTION("lost connection")
  {
    fixture.Fail(fixture.mSecond,
                 event::FailureStage::AfterFirstByte,
                 event::FailureKind::Reset);
  }
  SECTION("refused")
  {
    fixture.Reply(fixture.mSecond, event::ReplyKind::NotRun, 503);
  }
  CHECK_FALSE(fixture.FindEffect<effect::Respond>());
  CHECK_FALSE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.InFlight(fixture.mFirst) == 1);
  fixture.Answer(fixture.mFirst, 200);
  CHECK(fixture.FindEffect<effect::Respond>());
}

TEST_CASE("Both attempts end when the caller leaves or at the deadline")
{
  TwoAttempts fixture;
  SECTION("caller left")
  {
    fixture.Deliver(event::RequestCancelled{ fixture.mRequest });
  }
  SECTION("deadline")
  {
    fixture.Advance(std::chrono::seconds(2));
    REQUIRE(fixture.FindEffect<effect::Refuse>());
    CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mExecution ==
          Execution::Unknown);
  }
  std::size_t cancelled = 0;
  for (const Effect& effect : fixture.mLastEffects) {
    cancelled += std::holds_alternative<effect::CancelDispatch>(effect) ? 1 : 0;
  }
  CHECK(cancelled == 2);
  CHECK(fixture.InFlight(fixture.mFirst) == 0);
  CHECK(fixture.InFlight(fixture.mSecond) == 0);
  CHECK(fixture.mGateway.InFlight() == 0);
}

TEST_CASE("Requests that must not be repeated stay at a silent server")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  for (int n = 0; n < 19; ++n) {
    for (const Effect& effect :
         fixture.Advance(std::chrono::milliseconds(50))) {
      CHECK_FALSE(std::holds_alternative<effect::Dispatch>(effect));
    }
  }
}

} // namespace cranberrywing::gateway::testing
