#include "gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

TEST_CASE("A request goes to a server and its answer to the caller")
{
  GatewayFixture fixture;
  const RequestId id = fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.Find<effect::Dispatch>();
  CHECK(dispatch.mRequest == id);
  CHECK(dispatch.mAccount == AccountId("shops"));
  CHECK(dispatch.mTimeBudget <= std::chrono::seconds(1));
  fixture.Reply(dispatch, event::ReplyKind::Answer, 200);
  REQUIRE(fixture.Find<effect::Respond>());
  CHECK(fixture.Find<effect::Respond>()->mAnswer->mStatus == 200);
}

// Guards against a second execution: once a byte of it may have reached a
// server, a request that is not idempotent is never sent again.
TEST_CASE("A request that may have run is not sent again")
{
  for (const auto kind : { event::FailureKind::Reset,
                           event::FailureKind::Timeout,
                           event::FailureKind::MalformedAnswer }) {
    GatewayFixture fixture;
    fixture.Request("/orders/1");
    const effect::Dispatch dispatch = *fixture.Find<effect::Dispatch>();
    fixture.Fail(dispatch, event::FailureStage::AfterFirstByte, kind);
    CHECK_FALSE(fixture.Find<effect::Dispatch>());
    REQUIRE(fixture.Find<effect::Refuse>());
    const Refusal& refusal = fixture.Find<effect::Refuse>()->mRefusal;
    CHECK(refusal.mExecution == Execution::Unknown);
    CHECK(refusal.mCode == ResultCode::BackendFailed);
  }
}

TEST_CASE("A request that did not reach its server goes to another")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.Find<effect::Dispatch>();
  fixture.Fail(
    first, event::FailureStage::BeforeFirstByte, event::FailureKind::Connect);
  REQUIRE(fixture.Find<effect::Dispatch>());
  CHECK(fixture.Find<effect::Dispatch>()->mBackend != first.mBackend);
}

// Guards against more attempts than the route allows.
TEST_CASE("Attempts end with the route's limit")
{
  GatewayFixture fixture;
  fixture.Request("/prices/1");
  const effect::Dispatch first = *fixture.Find<effect::Dispatch>();
  fixture.Reply(first, event::ReplyKind::NotRun, 503);
  REQUIRE(fixture.Find<effect::Dispatch>());
  const effect::Dispatch second = *fixture.Find<effect::Dispatch>();
  fixture.Reply(second, event::ReplyKind::NotRun, 503);
  CHECK_FALSE(fixture.Find<effect::Dispatch>());
  REQUIRE(fixture.Find<effect::Refuse>());
  const Refusal& refusal = fixture.Find<effect::Refuse>()->mRefusal;
  CHECK(refusal.mCode == ResultCode::Overloaded);
  CHECK(refusal.mExecution == Execution::NotRun);
  CHECK(refusal.mRetryAfter > Duration::zero());
}

// Guards against a false promise: a server's own 503 comes from a run, but
// callers read it as "not run" and would place the order again.
TEST_CASE("A status that promises not run is not passed on after a run")
{
  for (const std::uint32_t status : { 408u, 421u, 429u, 503u }) {
    GatewayFixture fixture;
    fixture.Request("/orders/1");
    const effect::Dispatch dispatch = *fixture.Find<effect::Dispatch>();
    fixture.Reply(dispatch, event::ReplyKind::Answer, status);
    CHECK_FALSE(fixture.Find<effect::Respond>());
    REQUIRE(fixture.Find<effect::Refuse>());
    CHECK(fixture.Find<effect::Refuse>()->mRefusal.mExecution ==
          Execution::Unknown);
  }
}

// Guards against a damaged or foreign answer that reaches the caller as a
// success.
TEST_CASE("An unproven answer is not passed on")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.Find<effect::Dispatch>();
  fixture.Reply(dispatch, event::ReplyKind::Unverified, 200);
  CHECK_FALSE(fixture.Find<effect::Respond>());
  REQUIRE(fixture.Find<effect::Refuse>());
  CHECK(fixture.Find<effect::Refuse>()->mRefusal.mExecution ==
        Execution::Unknown);
}

TEST_CASE("Requests without a valid key or route are refused")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1", "other");
  REQUIRE(fixture.Find<effect::Refuse>());
  CHECK(fixture.Find<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::KeyUnknown);
  fixture.Request("/nothing/1");
  CHECK(fixture.Find<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::UnknownRoute);
}

// Guards against a configuration that goes back when changes arrive out of
// order.
TEST_CASE("A withdrawn key stays withdrawn when an older revision arrives")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(3);
  content.mAccounts.front().mKeys = { "new-key" };
  fixture.SetPolicy(content);
  fixture.SetPolicy(2);
  fixture.Request("/orders/1");
  REQUIRE(fixture.Find<effect::Refuse>());
  CHECK(fixture.Find<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::KeyUnknown);
}

TEST_CASE("A draining server gets nothing new and loses idle connections")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.Find<effect::Dispatch>();
  fixture.Register(first.mBackend.mName, true);
  CHECK(fixture.Find<effect::CloseBackendConnections>());
  fixture.Request("/orders/2");
  REQUIRE(fixture.Find<effect::Dispatch>());
  CHECK(fixture.Find<effect::Dispatch>()->mBackend != first.mBackend);
}

TEST_CASE("An evacuated failure domain gets nothing")
{
  GatewayFixture fixture;
  fixture.Do(event::EvacuationChanged{ FailureDomainId("near-a"), true });
  fixture.Request("/orders/1");
  CHECK_FALSE(fixture.Find<effect::Dispatch>());
  REQUIRE(fixture.Find<effect::Refuse>());
  CHECK(fixture.Find<effect::Refuse>()->mRefusal.mExecution ==
        Execution::NotRun);
}

// Guards against serving an account outside of its regions when no other
// server is left.
TEST_CASE("Allowed regions bind even if no other server is usable")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(2);
  content.mAccounts.front().mAllowedRegions = { RegionId("far") };
  fixture.SetPolicy(content);
  fixture.Request("/orders/1");
  CHECK_FALSE(fixture.Find<effect::Dispatch>());
  CHECK(fixture.Find<effect::Refuse>());
}

TEST_CASE("At the deadline the caller gets the final answer")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  fixture.Pass(std::chrono::seconds(1));
  CHECK(fixture.Find<effect::CancelDispatch>());
  REQUIRE(fixture.Find<effect::Refuse>());
  const Refusal& refusal = fixture.Find<effect::Refuse>()->mRefusal;
  CHECK(refusal.mCode == ResultCode::DeadlineExceeded);
  CHECK(refusal.mExecution == Execution::Unknown);
}

TEST_CASE("A caller that leaves cancels its request at the server")
{
  GatewayFixture fixture;
  const RequestId id = fixture.Request("/prices/1");
  fixture.Do(event::RequestCancelled{ id });
  CHECK(fixture.Find<effect::CancelDispatch>());
  CHECK(fixture.mGateway.InFlight() == 0);
}

// Guards against a planned stop that cuts requests: those that were read are
// finished, later ones are refused truthfully, then the process ends.
TEST_CASE("A planned stop finishes what was read")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.Find<effect::Dispatch>();
  fixture.Do(event::StopRequested{});
  CHECK(fixture.Find<effect::AnnounceLeaving>());
  CHECK_FALSE(fixture.mGateway.IsReady());
  fixture.Request("/orders/2");
  CHECK(fixture.Find<effect::Dispatch>());
  const effect::Dispatch late = *fixture.Find<effect::Dispatch>();
  fixture.Reply(dispatch, event::ReplyKind::Answer, 200);
  REQUIRE(fixture.Find<effect::Respond>());
  CHECK(fixture.Find<effect::Respond>()->mCloseAfter);
  fixture.Reply(late, event::ReplyKind::Answer, 200);
  fixture.Pass(std::chrono::seconds(4));
  CHECK(fixture.Find<effect::Exit>());
}

// Guards against a server that refuses connections and is asked again and
// again: it gets a health check first.
TEST_CASE("A server that cannot be reached is checked before it is used again")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.Find<effect::Dispatch>();
  fixture.Fail(
    first, event::FailureStage::BeforeFirstByte, event::FailureKind::Connect);
  fixture.Pass(std::chrono::seconds(1));
  REQUIRE(fixture.Find<effect::ProbeBackend>());
  CHECK(fixture.Find<effect::ProbeBackend>()->mBackend == first.mBackend);
  fixture.Do(
    event::BackendProbed{ .mBackend = first.mBackend, .mIsHealthy = true });
  fixture.Request("/orders/2");
  CHECK(fixture.Find<effect::Dispatch>()->mBackend == first.mBackend);
}

// Guards against a request that ends every server that runs it: its caller
// sends it again and again, to any VM.
TEST_CASE("A request that ended three servers is not sent to a fourth")
{
  GatewayFixture fixture;
  int ended = 0;
  for (int n = 0; n < 8; ++n) {
    fixture.Request("/orders/poison");
    const auto* const dispatch = fixture.Find<effect::Dispatch>();
    if (!dispatch) {
      continue;
    }
    const effect::Dispatch sent = *dispatch;
    ++ended;
    fixture.Fail(
      sent, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
    fixture.Pass(std::chrono::milliseconds(25));
    fixture.Do(
      event::BackendProbed{ .mBackend = sent.mBackend, .mIsHealthy = false });
  }
  CHECK(ended == 3);
}

} // namespace cranberrywing::gateway::testing
