/// \file
/// A VM that has lost its links to all backend servers.
#include <set>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

/// Two VMs of one region. No server can be reached from the first one.
class CutVmFixture : public GatewayFixture
{
public:
  CutVmFixture()
  {
    Deliver(event::VmRegistered{ { .mVm = VmId("vm-2"),
                                   .mIncarnation = { 8 },
                                   .mRegion = RegionId("near"),
                                   .mFailureDomain = FailureDomainId("near-b"),
                                   .mAddress = "10.0.0.2" } });
    HearPeer();
  }

  void HearPeer()
  {
    Deliver(event::PeerMessageReceived{ { VmId("vm-2"), { 8 } },
                                        message::GatewayStatus{} });
  }

  /// Lets all checks of the links succeed for the given time.
  void RestoreLinks(Duration aTime)
  {
    const Duration step = std::chrono::milliseconds(100);
    for (Duration passed{}; passed < aTime; passed += step) {
      HearPeer();
      const EffectList effects = Advance(step);
      for (const Effect& effect : effects) {
        if (const auto* const check =
              std::get_if<effect::CheckServer>(&effect)) {
          Deliver(event::ServerChecked{ .mBackend = check->mBackend,
                                        .mIsReached = true });
        }
      }
    }
  }

  /// Requests arrive for the given time and fail.
  void RunCutOff(Duration aTime)
  {
    const Duration step = std::chrono::milliseconds(100);
    for (Duration passed{}; passed < aTime; passed += step) {
      HearPeer();
      Request("/prices/1");
      RefuseConnections(mReachableServer);
      Advance(step);
      RefuseConnections(mReachableServer);
    }
  }

  /// The only server that checks reach; empty if there is none.
  BackendId mReachableServer;

  std::vector<VmId> Targets() const
  {
    std::vector<VmId> vms;
    for (const VmRecord& vm :
         mGateway.CallerTargets(RegionId("near"), 64, mNow)) {
      vms.push_back(vm.mVm);
    }
    return vms;
  }
};

} // namespace

// Guards against lookups that change with each gap in links that come and go.
TEST_CASE("Links that are lost again soon have to hold longer")
{
  ServerReach reach(ServerReach::Options{});
  TimePoint now{ std::chrono::seconds(100) };
  const auto runRound = [&](bool aIsReached) {
    while (!reach.IsRoundDue(now)) {
      now += std::chrono::milliseconds(50);
    }
    reach.StartRound(2, now);
    const auto first = reach.OnChecked(aIsReached, now);
    const auto second = reach.OnChecked(aIsReached, now);
    return first == ServerReach::Change::None ? second : first;
  };
  const auto roundsUntilRestored = [&] {
    int rounds = 1;
    while (runRound(true) != ServerReach::Change::Restored) {
      ++rounds;
    }
    return rounds;
  };
  reach.OnSuspicion(now);
  REQUIRE(runRound(false) == ServerReach::Change::Lost);
  const int rounds = roundsUntilRestored();
  reach.OnSuspicion(now);
  REQUIRE(runRound(false) == ServerReach::Change::Lost);
  CHECK(roundsUntilRestored() > rounds);
}

// Guards against callers that are served far worse than others because lookups
// name a VM whose links to all servers are gone.
TEST_CASE("Callers are not sent to a VM that reaches no backend server")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(2));
  CHECK(fixture.Targets() == std::vector<VmId>{ VmId("vm-2") });
  CHECK_FALSE(fixture.mGateway.IsReady());
}

// Guards against callers that are sent nowhere because the servers themselves
// are down for all VMs.
TEST_CASE("VMs that all reach no backend server are all named to callers")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(2));
  fixture.Deliver(event::PeerMessageReceived{
    { VmId("vm-2"), { 8 } }, message::ServerReachStatus{ true } });
  CHECK(fixture.Targets().size() == 2);
  CHECK(fixture.mGateway.IsReady());
}

// Guards against servers that stay ejected for seconds after the links of the
// VM, and not the servers, had failed.
TEST_CASE("Servers are used at once when the VM's links are back")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(5));
  fixture.RestoreLinks(std::chrono::seconds(2));
  REQUIRE(fixture.mGateway.IsReady());
  CHECK(fixture.Targets().size() == 2);
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against refusals of requests that a VM could serve again, until its
// links have held long enough for it to be named in lookups.
TEST_CASE("A VM serves callers as soon as it reaches a server again")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(5));
  for (int n = 0; n < 10 && !fixture.FindEffect<effect::CheckServer>(); ++n) {
    fixture.HearPeer();
    fixture.Advance(std::chrono::milliseconds(100));
  }
  REQUIRE(fixture.FindEffect<effect::CheckServer>());
  const BackendId checked = fixture.FindEffect<effect::CheckServer>()->mBackend;
  fixture.Deliver(
    event::ServerChecked{ .mBackend = checked, .mIsReached = true });
  REQUIRE(fixture.mGateway.IsCutOff());
  CHECK(fixture.Targets() == std::vector<VmId>{ VmId("vm-2") });
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against the loss of one server, or of most, being taken for the loss
// of the VM's own links.
TEST_CASE("A VM that reaches one of its servers is not cut off")
{
  CutVmFixture fixture;
  fixture.mReachableServer = BackendId("s2");
  fixture.RunCutOff(std::chrono::seconds(5));
  CHECK_FALSE(fixture.mGateway.IsCutOff());
  CHECK(fixture.Targets().size() == 2);
}

// Guards against requests that wait for a connection although none can be
// opened, and against false statements that they may have run.
TEST_CASE("A VM that reaches no backend server refuses requests as not run")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(2));
  fixture.Request("/orders/1");
  const auto* const refuse = fixture.FindEffect<effect::Refuse>();
  REQUIRE(refuse);
  CHECK(refuse->mRefusal.mExecution == Execution::NotRun);
  CHECK(refuse->mRefusal.mRetryAfter > Duration::zero());
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
}

// Guards against a VM that has just started, hears that this one runs, and
// names it to callers until the next periodic statement that it is cut off.
TEST_CASE("A VM that starts learns at once that another one is cut off")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(5));
  fixture.Deliver(event::VmRegistered{ { .mVm = VmId("vm-3"),
                                         .mIncarnation = { 9 },
                                         .mRegion = RegionId("near"),
                                         .mAddress = "10.0.0.3" } });
  bool isToldCutOff = false;
  bool isToldStatus = false;
  while (!isToldStatus) {
    fixture.HearPeer();
    fixture.Advance(std::chrono::milliseconds(20));
    for (const Effect& effect : fixture.mLastEffects) {
      const auto* const sent = std::get_if<effect::SendMessage>(&effect);
      if (sent && sent->mTo == VmId("vm-3")) {
        isToldCutOff = isToldCutOff ||
                       std::get_if<message::ServerReachStatus>(&sent->mMessage);
        isToldStatus =
          isToldStatus || std::get_if<message::GatewayStatus>(&sent->mMessage);
        CHECK((isToldCutOff || !isToldStatus));
      }
    }
  }
}

// Guards against callers that keep the only VM of an answer for seconds after
// it was cut off.
TEST_CASE("An answer that names a single VM is asked for again sooner")
{
  CutVmFixture fixture;
  const Duration usual = fixture.mGateway.LookupLifetime(2);
  CHECK(fixture.mGateway.LookupLifetime(1) <= usual / 3);
  CHECK(fixture.mGateway.LookupLifetime(9) == usual);
}

// Guards against callers that keep asking, over open connections, a VM that
// cannot serve them although others can.
TEST_CASE("Callers of a cut-off VM are told to open other connections")
{
  CutVmFixture fixture;
  fixture.Request("/prices/1");
  fixture.Reply(effect::Dispatch(*fixture.FindEffect<effect::Dispatch>()),
                event::ReplyKind::Answer,
                200);
  CHECK_FALSE(fixture.FindEffect<effect::Respond>()->mCloseAfter);
  fixture.RunCutOff(std::chrono::seconds(3));
  fixture.Request("/prices/1");
  CHECK(fixture.FindEffect<effect::Refuse>()->mCloseAfter);
  fixture.Deliver(event::PeerMessageReceived{
    { VmId("vm-2"), { 8 } }, message::ServerReachStatus{ true } });
  fixture.Request("/prices/1");
  CHECK_FALSE(fixture.FindEffect<effect::Refuse>()->mCloseAfter);
}

// Guards against callers that wait for their deadline on links that are known
// to be lost, instead of asking another VM in time; and against giving up
// requests that only this VM may run.
TEST_CASE("Requests that hang on lost links end early if they may be repeated")
{
  CutVmFixture fixture;
  std::set<RequestId> hanging;
  std::set<BackendId> servers;
  const auto send = [&](const char* aPath) {
    const RequestId id = fixture.Request(
      aPath, testing::kKey, "object " + std::to_string(hanging.size()));
    REQUIRE(fixture.FindEffect<effect::Dispatch>());
    servers.insert(fixture.FindEffect<effect::Dispatch>()->mBackend);
    return id;
  };
  send("/orders/1");
  while (servers.size() < 2) {
    hanging.insert(send("/prices/1"));
  }
  std::set<RequestId> refused;
  const Duration step = std::chrono::milliseconds(50);
  // The routes' time limit is 1 s.
  for (Duration passed{}; passed < std::chrono::milliseconds(900);
       passed += step) {
    fixture.HearPeer();
    fixture.Advance(step);
    const EffectList effects = fixture.mLastEffects;
    for (const Effect& effect : effects) {
      if (const auto* const refuse = std::get_if<effect::Refuse>(&effect)) {
        refused.insert(refuse->mRequest);
        CHECK(refuse->mRefusal.mExecution == Execution::Unknown);
      } else if (const auto* const check =
                   std::get_if<effect::CheckServer>(&effect)) {
        fixture.Deliver(event::ServerChecked{ .mBackend = check->mBackend });
      }
    }
  }
  REQUIRE(fixture.mGateway.IsCutOff());
  CHECK(refused == hanging);
}

} // namespace cranberrywing::gateway
