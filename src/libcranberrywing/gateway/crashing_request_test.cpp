/// \file
/// Requests that crash the backend servers that run them, and innocent ones.
#include "libcranberrywing/gateway/gateway_test_fleet.h"

namespace cranberrywing::gateway::testing {

namespace {

/// Runs a request whose server's process ends, and starts the next one under
/// the server's identifier. Returns whether the request was sent to a server.
bool CrashServerOf(GatewayFixture& aFixture,
                   const std::string& aPath,
                   std::int64_t aStartedMs,
                   bool aIsDraining = false)
{
  aFixture.Request(aPath);
  const auto* const found = aFixture.FindEffect<effect::Dispatch>();
  if (!found) {
    return false;
  }
  const effect::Dispatch sent = *found;
  if (aIsDraining) {
    const auto& pool = aFixture.mGateway.Pool().All();
    aFixture.Register(
      sent.mBackend.mName, true, pool.at(sent.mBackend)->mEntry.mStartedMs);
  }
  aFixture.Advance(std::chrono::milliseconds(50));
  aFixture.Fail(
    sent, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
  aFixture.Register(sent.mBackend.mName, false, aStartedMs);
  aFixture.Advance(std::chrono::seconds(1));
  return true;
}

/// Leaves the fixture with two servers only.
void RemoveServers(GatewayFixture& aFixture)
{
  aFixture.Deliver(event::BackendRemoved{ BackendId("s2") });
  aFixture.Deliver(event::BackendRemoved{ BackendId("s3") });
}

} // namespace

// Guards against the failure BUDGET: a request passes without end through a
// service whose few servers start again under the identifiers that they had.
TEST_CASE("A request that crashes two servers again and again is blocked")
{
  GatewayFixture fixture;
  RemoveServers(fixture);
  int crashed = 0;
  for (int n = 1; n <= 20; ++n) {
    crashed += CrashServerOf(fixture, "/orders/poison", n) ? 1 : 0;
  }
  CHECK(crashed == 3);
  fixture.Request("/orders/other");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against blocking a frequent request that leaving servers cut at their
// planned ends.
TEST_CASE("Planned stops of servers block no request")
{
  GatewayFixture fixture;
  RemoveServers(fixture);
  for (int n = 1; n <= 6; ++n) {
    CHECK(CrashServerOf(fixture, "/orders/1", 2 * n, true));
  }
}

// Guards against the failure BUDGET: VMs that are restarted in turn are not
// told which requests are blocked, and crash further servers with them.
TEST_CASE("A VM that has just started is told which requests are blocked")
{
  GatewayFixture fixture;
  for (int n = 1; n <= 3; ++n) {
    REQUIRE(CrashServerOf(fixture, "/orders/poison", n));
  }
  const VmId vm("vm-2");
  fixture.Deliver(event::VmRegistered{ { .mVm = vm,
                                         .mIncarnation = { 8 },
                                         .mRegion = RegionId("near"),
                                         .mAddress = "10.0.0.2",
                                         .mPeerPort = 82 } });
  fixture.Deliver(
    event::PeerMessageReceived{ { vm, { 8 } }, message::GatewayStatus{} });
  const auto* const sent = fixture.FindEffect<effect::SendMessage>();
  REQUIRE(sent);
  CHECK(sent->mTo == vm);
  CHECK(sent->mPort == 82);
  const auto* const block = std::get_if<message::RequestBlock>(&sent->mMessage);
  REQUIRE(block);

  // The other VM refuses the request, and goes on to tell others.
  GatewayFixture other;
  const VmId first("vm-1");
  other.Deliver(event::PeerMessageReceived{ { first, { 7 } }, *block });
  other.Request("/orders/poison");
  CHECK_FALSE(other.FindEffect<effect::Dispatch>());
  CHECK(other.FindEffect<effect::Refuse>());
}

} // namespace cranberrywing::gateway::testing
