#include "gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

TEST_CASE("A request goes to a server and its answer to the caller")
{
  GatewayFixture fixture;
  const RequestId id = fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.FindEffect<effect::Dispatch>();
  CHECK(dispatch.mRequest == id);
  CHECK(dispatch.mAccount == AccountId("shops"));
  CHECK(dispatch.mTimeBudget <= std::chrono::seconds(1));
  fixture.Reply(dispatch, event::ReplyKind::Answer, 200);
  REQUIRE(fixture.FindEffect<effect::Respond>());
  CHECK(fixture.FindEffect<effect::Respond>()->mAnswer->mStatus == 200);
}

// Guards against executing a non-idempotent request twice: once any byte of it
// may have reached a server, it is never sent again.
TEST_CASE("A request that may have run is not sent again")
{
  for (const auto kind : { event::FailureKind::Reset,
                           event::FailureKind::Timeout,
                           event::FailureKind::MalformedAnswer }) {
    GatewayFixture fixture;
    fixture.Request("/orders/1");
    const effect::Dispatch dispatch = *fixture.FindEffect<effect::Dispatch>();
    fixture.Fail(dispatch, event::FailureStage::AfterFirstByte, kind);
    CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
    REQUIRE(fixture.FindEffect<effect::Refuse>());
    const Refusal& refusal = fixture.FindEffect<effect::Refuse>()->mRefusal;
    CHECK(refusal.mExecution == Execution::Unknown);
    CHECK(refusal.mCode == ResultCode::BackendFailed);
  }
}

TEST_CASE("A request that did not reach its server is sent to another")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.FindEffect<effect::Dispatch>();
  fixture.Fail(
    first, event::FailureStage::BeforeFirstByte, event::FailureKind::Connect);
  REQUIRE(fixture.FindEffect<effect::Dispatch>());
  CHECK(fixture.FindEffect<effect::Dispatch>()->mBackend != first.mBackend);
}

// Guards against more attempts than the route's mMaxAttempts.
TEST_CASE("The route limits the number of attempts")
{
  GatewayFixture fixture;
  fixture.Request("/prices/1");
  const effect::Dispatch first = *fixture.FindEffect<effect::Dispatch>();
  fixture.Reply(first, event::ReplyKind::NotRun, 503);
  REQUIRE(fixture.FindEffect<effect::Dispatch>());
  const effect::Dispatch second = *fixture.FindEffect<effect::Dispatch>();
  fixture.Reply(second, event::ReplyKind::NotRun, 503);
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  const Refusal& refusal = fixture.FindEffect<effect::Refuse>()->mRefusal;
  CHECK(refusal.mCode == ResultCode::Overloaded);
  CHECK(refusal.mExecution == Execution::NotRun);
  CHECK(refusal.mRetryAfter > Duration::zero());
}

// Guards against duplicate orders: a 503 that the server sent after running a
// request would be taken by callers as "not run", and they would retry it.
TEST_CASE("A status that implies not run is not passed on after a run")
{
  for (const std::uint32_t status : { 408u, 421u, 429u, 503u }) {
    GatewayFixture fixture;
    fixture.Request("/orders/1");
    const effect::Dispatch dispatch = *fixture.FindEffect<effect::Dispatch>();
    fixture.Reply(dispatch, event::ReplyKind::Answer, status);
    CHECK_FALSE(fixture.FindEffect<effect::Respond>());
    REQUIRE(fixture.FindEffect<effect::Refuse>());
    CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mExecution ==
          Execution::Unknown);
  }
}

// Guards against the failure REFUSED: a refusal of one server stands for a
// request that another server was sent after it and may run.
TEST_CASE("A refusal does not hold for a request that was sent on")
{
  using Outcome = std::function<void(GatewayFixture&, const effect::Dispatch&)>;
  const auto failsWith = [](event::FailureKind aKind) -> Outcome {
    return [aKind](GatewayFixture& aFixture, const effect::Dispatch& aSent) {
      aFixture.Fail(aSent, event::FailureStage::AfterFirstByte, aKind);
    };
  };
  const auto expires = [](GatewayFixture& aFixture, const effect::Dispatch&) {
    aFixture.Advance(std::chrono::seconds(2));
  };
  for (const Outcome& outcome : { failsWith(event::FailureKind::Reset),
                                  failsWith(event::FailureKind::Timeout),
                                  Outcome(expires) }) {
    GatewayFixture fixture;
    fixture.Request("/orders/1");
    const effect::Dispatch first = *fixture.FindEffect<effect::Dispatch>();
    fixture.Reply(first, event::ReplyKind::NotRun, 503);
    REQUIRE(fixture.FindEffect<effect::Dispatch>());
    const effect::Dispatch second = *fixture.FindEffect<effect::Dispatch>();
    outcome(fixture, second);
    REQUIRE(fixture.FindEffect<effect::Refuse>());
    CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mExecution ==
          Execution::Unknown);
  }
}

// Guards against a refusal of which nobody can tell later whether its promise
// was true.
TEST_CASE("The log of a refusal tells why the request is known not to have run")
{
  const auto field = [](const GatewayFixture& aFixture, const char* aName) {
    std::string value = "-";
    for (const Effect& effect : aFixture.mLastEffects) {
      const auto* const record = std::get_if<effect::RecordTimeline>(&effect);
      if (record && record->mName == "request_refused") {
        for (const auto& each : record->mFields) {
          value = each.mName == aName ? each.mValue : value;
        }
      }
    }
    return value;
  };
  GatewayFixture fixture;
  fixture.Request("/orders/1", "other");
  CHECK(field(fixture, "proof") == "no_attempt");
  fixture.Request("/orders/1");
  fixture.Reply(
    *fixture.FindEffect<effect::Dispatch>(), event::ReplyKind::NotRun, 503);
  const effect::Dispatch second = *fixture.FindEffect<effect::Dispatch>();
  fixture.Deliver(
    event::BackendReplied{ .mRequest = second.mRequest,
                           .mAttempt = second.mAttempt,
                           .mKind = event::ReplyKind::NotRun,
                           .mAnswer = std::make_shared<const AnswerContent>(),
                           .mConnection = { .mLocalPort = 4711, .mUse = 3 } });
  CHECK(field(fixture, "proof") == "refusal");
  CHECK(field(fixture, "connection") == "4711");
  CHECK(field(fixture, "use") == "3");
  fixture.Request("/orders/2");
  fixture.Fail(*fixture.FindEffect<effect::Dispatch>(),
               event::FailureStage::AfterFirstByte,
               event::FailureKind::Reset);
  CHECK(field(fixture, "proof") == "none");
}

// Guards against passing on an answer that is corrupt or belongs to another
// request as a success.
TEST_CASE("An unverified answer is not passed on")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.FindEffect<effect::Dispatch>();
  fixture.Reply(dispatch, event::ReplyKind::Unverified, 200);
  CHECK_FALSE(fixture.FindEffect<effect::Respond>());
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mExecution ==
        Execution::Unknown);
}

TEST_CASE("Requests without a valid key or route are refused")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1", "other");
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::KeyUnknown);
  fixture.Request("/nothing/1");
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::UnknownRoute);
}

// Guards against reverting to an older configuration when changes arrive out of
// order.
TEST_CASE("A revoked key stays revoked when an older revision arrives")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(3);
  content.mAccounts.front().mKeys = { "new-key" };
  fixture.SetPolicy(content);
  fixture.SetPolicy(2);
  fixture.Request("/orders/1");
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::KeyUnknown);
}

TEST_CASE(
  "A draining server gets no new requests and its idle connections are closed")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.FindEffect<effect::Dispatch>();
  fixture.Register(first.mBackend.mName, true);
  CHECK(fixture.FindEffect<effect::CloseBackendConnections>());
  fixture.Request("/orders/2");
  REQUIRE(fixture.FindEffect<effect::Dispatch>());
  CHECK(fixture.FindEffect<effect::Dispatch>()->mBackend != first.mBackend);
}

TEST_CASE("An evacuated failure domain gets no requests")
{
  GatewayFixture fixture;
  fixture.Deliver(event::EvacuationChanged{ FailureDomainId("near-a"), true });
  fixture.Request("/orders/1");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mExecution ==
        Execution::NotRun);
}

// Guards against serving an account outside its allowed regions when these have
// no usable server.
TEST_CASE("Allowed regions apply even if they have no usable server")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(2);
  content.mAccounts.front().mAllowedRegions = { RegionId("far") };
  fixture.SetPolicy(content);
  fixture.Request("/orders/1");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  CHECK(fixture.FindEffect<effect::Refuse>());
}

TEST_CASE("A request without an answer is refused at its deadline")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  fixture.Advance(std::chrono::seconds(1));
  CHECK(fixture.FindEffect<effect::CancelDispatch>());
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  const Refusal& refusal = fixture.FindEffect<effect::Refuse>()->mRefusal;
  CHECK(refusal.mCode == ResultCode::DeadlineExceeded);
  CHECK(refusal.mExecution == Execution::Unknown);
}

TEST_CASE("A disconnected caller's request is cancelled at the server")
{
  GatewayFixture fixture;
  const RequestId id = fixture.Request("/prices/1");
  fixture.Deliver(event::RequestCancelled{ id });
  CHECK(fixture.FindEffect<effect::CancelDispatch>());
  CHECK(fixture.mGateway.InFlight() == 0);
}

// Guards against losing requests at a graceful shutdown: requests that arrive
// in the accept time after the stop request are still completed, then the
// process exits.
TEST_CASE("A graceful shutdown completes the requests in flight")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch dispatch = *fixture.FindEffect<effect::Dispatch>();
  fixture.Deliver(event::StopRequested{});
  CHECK(fixture.FindEffect<effect::AnnounceLeaving>());
  CHECK_FALSE(fixture.mGateway.IsReady());
  fixture.Request("/orders/2");
  CHECK(fixture.FindEffect<effect::Dispatch>());
  const effect::Dispatch late = *fixture.FindEffect<effect::Dispatch>();
  fixture.Reply(dispatch, event::ReplyKind::Answer, 200);
  REQUIRE(fixture.FindEffect<effect::Respond>());
  CHECK(fixture.FindEffect<effect::Respond>()->mCloseAfter);
  fixture.Reply(late, event::ReplyKind::Answer, 200);
  fixture.Advance(std::chrono::seconds(4));
  CHECK(fixture.FindEffect<effect::Exit>());
}

// Guards against VMs of a large region that get no callers, since their names
// come after those of as many others as fit into a lookup's answer.
TEST_CASE("All VMs of a large region are named in lookups")
{
  GatewayFixture fixture;
  const std::size_t count = 92;
  for (std::size_t n = 1; n < count; ++n) {
    const VmId vm("vm-" + std::to_string(100 + n));
    fixture.Deliver(event::VmRegistered{ { .mVm = vm,
                                           .mIncarnation = { 8 },
                                           .mRegion = RegionId("near"),
                                           .mAddress = "10.0.0.2" } });
    fixture.Deliver(
      event::PeerMessageReceived{ { vm, { 8 } }, message::GatewayStatus{} });
  }
  constexpr std::size_t kMaxCount = 64;
  constexpr int kAnswers = 50;
  std::map<VmId, int> named;
  for (int n = 0; n < kAnswers; ++n) {
    fixture.mNow += std::chrono::minutes(1);
    const auto targets =
      fixture.mGateway.CallerTargets(RegionId("near"), kMaxCount, fixture.mNow);
    CHECK(targets.size() == kMaxCount);
    for (const VmRecord& target : targets) {
      ++named[target.mVm];
    }
  }
  CHECK(named.size() == count);
  for (const auto& [vm, times] : named) {
    CHECK(times >= kAnswers / 4);
  }
}

// Guards against refusals until the next periodic update of the regions' shares
// when a service gets its first server, or when all registrations are known.
TEST_CASE("The first server of a service gets requests at once")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(2);
  content.mServices.push_back({ .mService = ServiceId("billing") });
  for (RoutePolicy& route : content.mRoutes) {
    route.mServices = { { ServiceId("billing"), 1 } };
  }
  fixture.SetPolicy(content);
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Refuse>());
  fixture.Deliver(
    event::BackendRegistered{ { .mBackend = BackendId("b0"),
                                .mService = ServiceId("billing"),
                                .mAddress = "10.1.0.9",
                                .mPort = 9100,
                                .mFailureDomain = FailureDomainId("near-a"),
                                .mRegion = RegionId("near"),
                                .mSlots = 4 } });
  fixture.Request("/prices/2");
  REQUIRE(fixture.FindEffect<effect::Dispatch>());
  CHECK(fixture.FindEffect<effect::Dispatch>()->mBackend == BackendId("b0"));
}

// Guards against the failure LOST: a stopping VM takes a request that may last
// longer than the process, and cuts it at the end of the grace time.
TEST_CASE("A stopping VM takes no request that it may not finish")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(2);
  for (RoutePolicy& route : content.mRoutes) {
    route.mTimeout = std::chrono::seconds(3);
  }
  fixture.SetPolicy(content);
  fixture.Deliver(event::StopRequested{});
  fixture.Advance(std::chrono::seconds(2));
  fixture.Request("/orders/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
  fixture.Advance(std::chrono::milliseconds(500));
  fixture.Request("/orders/2");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  const auto* const refuse = fixture.FindEffect<effect::Refuse>();
  REQUIRE(refuse);
  CHECK(refuse->mRefusal.mCode == ResultCode::ShuttingDown);
  CHECK(refuse->mRefusal.mExecution == Execution::NotRun);
  CHECK(refuse->mCloseAfter);
  // A request that may be repeated needs only the usual time.
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against sending further requests to a server that refuses connections:
// it has to pass a health check first.
TEST_CASE("An unreachable server gets a health check before it is used again")
{
  GatewayFixture fixture;
  fixture.Request("/orders/1");
  const effect::Dispatch first = *fixture.FindEffect<effect::Dispatch>();
  fixture.Fail(
    first, event::FailureStage::BeforeFirstByte, event::FailureKind::Connect);
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.FindEffect<effect::ProbeBackend>());
  CHECK(fixture.FindEffect<effect::ProbeBackend>()->mBackend == first.mBackend);
  fixture.Deliver(event::BackendProbed{
    .mBackend = first.mBackend, .mHasAnswered = true, .mIsHealthy = true });
  fixture.Request("/orders/2");
  CHECK(fixture.FindEffect<effect::Dispatch>()->mBackend == first.mBackend);
}

// Guards against a request that crashes every server that runs it and that its
// caller retries repeatedly.
TEST_CASE("A request that crashed three servers is not sent to a fourth")
{
  GatewayFixture fixture;
  int crashed = 0;
  for (int n = 0; n < 8; ++n) {
    fixture.Request("/orders/poison");
    const auto* const dispatch = fixture.FindEffect<effect::Dispatch>();
    if (!dispatch) {
      continue;
    }
    const effect::Dispatch sent = *dispatch;
    ++crashed;
    fixture.Fail(
      sent, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
    fixture.Advance(std::chrono::milliseconds(25));
    fixture.Deliver(
      event::BackendProbed{ .mBackend = sent.mBackend, .mIsHealthy = false });
  }
  CHECK(crashed == 3);
}

// A route that could not be read must not be served by defaults.
TEST_CASE("Requests of a route or account that is not usable are refused")
{
  GatewayFixture fixture;
  PolicyContent content = fixture.Content(2);
  content.mRoutes[0].mIsUsable = false;
  fixture.SetPolicy(content);
  fixture.Request("/prices/1");
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mCode ==
        ResultCode::NoConfiguration);
  fixture.Request("/orders/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
  content.mRevision = { 3 };
  content.mAccounts[0].mIsUsable = false;
  fixture.SetPolicy(content);
  fixture.Request("/orders/1");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
}

} // namespace cranberrywing::gateway::testing
