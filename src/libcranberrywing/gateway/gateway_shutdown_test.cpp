#include "libcranberrywing/gateway/gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

namespace {

/// Time after the stop request, with the fixture's stop limit of 6 s.
constexpr Duration kExit = std::chrono::milliseconds(5250);

void SetTimeouts(GatewayFixture& aFixture,
                 Duration aTimeout,
                 std::uint64_t aRevision = 2)
{
  PolicyContent content = aFixture.Content(aRevision);
  for (RoutePolicy& route : content.mRoutes) {
    route.mTimeout = aTimeout;
  }
  aFixture.SetPolicy(content);
}

/// Position of the first effect of the kind that belongs to the request.
template<class Kind>
std::size_t PositionOf(const EffectList& aEffects, RequestId aRequest)
{
  for (std::size_t n = 0; n < aEffects.size(); ++n) {
    const auto* const found = std::get_if<Kind>(&aEffects[n]);
    if (found && found->mRequest == aRequest) {
      return n;
    }
  }
  return aEffects.size();
}

} // namespace

// Guards against the failure LOST: answers that are finished, but held behind
// one that is not on their connection, are dropped when a stopping VM exits.
TEST_CASE("Requests still in flight at the exit of a stopping VM are answered")
{
  GatewayFixture fixture;
  SetTimeouts(fixture, std::chrono::seconds(6));
  fixture.Deliver(event::StopRequested{});
  fixture.Advance(kExit / 2);
  const RequestId request = fixture.Request("/prices/1");
  REQUIRE(fixture.FindEffect<effect::Dispatch>());
  fixture.Advance(kExit / 2 - std::chrono::milliseconds(25));
  CHECK_FALSE(fixture.FindEffect<effect::Refuse>());
  fixture.Advance(std::chrono::milliseconds(25));
  const auto* const refuse = fixture.FindEffect<effect::Refuse>();
  REQUIRE(refuse);
  CHECK(refuse->mRequest == request);
  CHECK(refuse->mRefusal.mCode == ResultCode::DeadlineExceeded);
  CHECK(refuse->mRefusal.mExecution == Execution::Unknown);
  CHECK(refuse->mCloseAfter);
  const EffectList& effects = fixture.mLastEffects;
  CHECK(PositionOf<effect::CancelDispatch>(effects, request) <
        PositionOf<effect::Refuse>(effects, request));
  CHECK(std::holds_alternative<effect::Exit>(effects.back()));
}

// Guards against the failure LOST: a request that comes late in a planned stop
// is accepted by its usual time, takes longer, and is cut at the exit.
TEST_CASE(
  "Late in a planned stop only requests that must end in time are taken")
{
  GatewayFixture fixture;
  SetTimeouts(fixture, std::chrono::seconds(4));
  fixture.Deliver(event::StopRequested{});
  fixture.Advance(std::chrono::milliseconds(2700));
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
  fixture.Advance(std::chrono::milliseconds(100));
  fixture.Request("/prices/2");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  const auto* const refuse = fixture.FindEffect<effect::Refuse>();
  REQUIRE(refuse);
  CHECK(refuse->mRefusal.mCode == ResultCode::ShuttingDown);
  CHECK(refuse->mRefusal.mExecution == Execution::NotRun);
  SetTimeouts(fixture, std::chrono::seconds(2), 3);
  fixture.Request("/prices/3");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against the failure LOST: a VM without processor time handles its stop
// request late, and counts the time until it is killed from then.
TEST_CASE("A stop that is noticed late counts from when it may have come")
{
  constexpr Duration kPause = std::chrono::milliseconds(1200);
  constexpr Duration kTick = std::chrono::milliseconds(25);
  GatewayFixture fixture;
  SetTimeouts(fixture, std::chrono::seconds(4));
  fixture.Advance(kTick);
  const TimePoint before = fixture.mNow;
  SECTION("the stop request is handled first")
  {
    fixture.mNow += kPause;
  }
  SECTION("a timer is handled first")
  {
    fixture.Advance(kPause);
  }
  fixture.Deliver(event::StopRequested{});
  fixture.Advance(before + std::chrono::milliseconds(2800) - fixture.mNow);
  fixture.Request("/prices/1");
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  fixture.Advance(before + kExit - fixture.mNow);
  CHECK(fixture.FindEffect<effect::Exit>());
}

} // namespace cranberrywing::gateway::testing
