/// \file
/// Servers that became cold while they could not report it.
#include <map>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

namespace {

/// Most requests that a cold server may get in one second: rate, overshoot and
/// slack of the fixture.
constexpr double kColdBound = 7 * 1.5 + 5;

void ConfirmStore(GatewayFixture& aFixture)
{
  aFixture.Deliver(event::StoreProgressed{ { { 0, 5 }, aFixture.mNow } });
}

/// The failure domain is evacuated, and the store is away for the given time
/// before the evacuation ends.
void EndEvacuation(GatewayFixture& aFixture, Duration aOutage)
{
  constexpr Duration kStep = std::chrono::milliseconds(100);
  const FailureDomainId domain("near-a");
  ConfirmStore(aFixture);
  aFixture.Deliver(event::EvacuationChanged{ domain, true });
  for (Duration passed{}; passed < aOutage; passed += kStep) {
    aFixture.Advance(kStep);
  }
  ConfirmStore(aFixture);
  aFixture.Advance(kStep);
  aFixture.Deliver(event::EvacuationChanged{ domain, false });
}

/// Sends many requests at once, which are answered at once, and returns the
/// most that one server got.
int MostSent(GatewayFixture& aFixture)
{
  constexpr int kRequests = 60;
  std::map<BackendId, int> sent;
  int most = 0;
  for (int n = 0; n < kRequests; ++n) {
    aFixture.Request("/orders/" + std::to_string(n));
    if (const auto* const found = aFixture.FindEffect<effect::Dispatch>()) {
      const effect::Dispatch dispatch = *found;
      most = std::max(most, ++sent[dispatch.mBackend]);
      aFixture.Reply(dispatch, event::ReplyKind::Answer, 200);
    }
  }
  return most;
}

} // namespace

// Guards against the failure FAILBACK: an evacuation ended 0.1 s after an
// outage of the store, and servers that had become cold meanwhile got the
// requests of warm ones.
TEST_CASE("Servers are taken for cold if an evacuation ends after an outage")
{
  GatewayFixture fixture;
  EndEvacuation(fixture, std::chrono::seconds(4));
  const int most = MostSent(fixture);
  CHECK(most > 0);
  CHECK(most <= kColdBound);
}

TEST_CASE("Servers are cold no longer than it takes them to report")
{
  GatewayFixture fixture;
  SECTION("no outage")
  {
    EndEvacuation(fixture, std::chrono::seconds(1));
  }
  SECTION("a report since the outage")
  {
    EndEvacuation(fixture, std::chrono::seconds(4));
    for (int n = 0; n < 4; ++n) {
      fixture.Register("s" + std::to_string(n));
    }
  }
  SECTION("no report")
  {
    EndEvacuation(fixture, std::chrono::seconds(4));
    ConfirmStore(fixture);
    fixture.Advance(Gateway::Options{}.mReportTime);
  }
  CHECK(MostSent(fixture) > kColdBound);
}

} // namespace cranberrywing::gateway::testing
