#include <algorithm>
#include <catch2/catch.hpp>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;
using testing::kKey;

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("ordering");
const RegionId kNear("near");

/// The gateway with another VM of its region that is elected to place objects
/// while it is heard.
class PlacedObjects : public GatewayFixture
{
public:
  explicit PlacedObjects(bool aPlacesObjects = true)
    : GatewayFixture({ .mPlacesObjects = aPlacesObjects })
  {
    for (int n = 2; mOther.mVm.IsEmpty(); ++n) {
      const std::string name = "vm-" + std::to_string(n);
      if (RendezvousWeight(kNear.mName, name) >
          RendezvousWeight(kNear.mName, "vm-1")) {
        mOther = { VmId(name), { 3 } };
      }
    }
    Deliver(event::VmRegistered{ { .mVm = mOther.mVm,
                                   .mIncarnation = mOther.mIncarnation,
                                   .mRegion = kNear,
                                   .mFailureDomain = FailureDomainId("near-a"),
                                   .mAddress = "10.0.0.2",
                                   .mPeerPort = 81 } });
    ReceiveStatus();
    Advance(milliseconds(25));
  }

  void ReceiveStatus()
  {
    ReceiveFromPeer(message::GatewayStatus{ .mPolicy = { 1 } });
  }

  void ReceiveFromPeer(Message aMessage)
  {
    Deliver(event::PeerMessageReceived{ .mFrom = mOther,
                                        .mMessage = std::move(aMessage) });
  }

  /// Delivers a placement of the test's object.
  void Place(std::uint64_t aNumber, std::vector<std::uint64_t> aServers)
  {
    ReceiveFromPeer(message::ObjectPlacements{
      aNumber, { { HashObject(kService, "o"), std::move(aServers) } } });
  }

  std::uint64_t LifetimeOf(const std::string& aServer) const
  {
    return mGateway.Pool().Find(BackendId(aServer))->mLifetimeHash;
  }

  /// Sends a request for the object and returns the server that gets it.
  std::string ServerOfRequest(const std::string& aObject = "o")
  {
    Request("/prices/1", kKey, aObject);
    const auto* const found = FindEffect<effect::Dispatch>();
    if (!found) {
      return "";
    }
    const effect::Dispatch dispatch = *found;
    Reply(dispatch, event::ReplyKind::Answer, 200);
    return dispatch.mBackend.mName;
  }

  /// A server that is not the first one of the object's order.
  std::string OtherServer() { return ServerOfRequest() == "s0" ? "s1" : "s0"; }

  /// Number of the last effects that send a message of the given kind.
  template<class Kind>
  std::size_t CountMessages() const
  {
    return static_cast<std::size_t>(std::count_if(
      mLastEffects.begin(), mLastEffects.end(), [](const Effect& aEffect) {
        const auto* const send = std::get_if<effect::SendMessage>(&aEffect);
        return send && std::holds_alternative<Kind>(send->mMessage);
      }));
  }

  /// Number of the last effects that log the event.
  std::size_t CountRecords(const std::string& aName) const
  {
    return static_cast<std::size_t>(std::count_if(
      mLastEffects.begin(), mLastEffects.end(), [&](const Effect& aEffect) {
        const auto* const record =
          std::get_if<effect::RecordTimeline>(&aEffect);
        return record && record->mName == aName;
      }));
  }

  VmIncarnation mOther;
};

} // namespace

// Guards against placements that are received and not used, and against a
// placed object without service while its server drains.
TEST_CASE("A placed object goes to its server until that drains")
{
  PlacedObjects fixture;
  const std::string first = fixture.ServerOfRequest();
  const std::string placed = fixture.OtherServer();
  fixture.Place(1, { fixture.LifetimeOf(placed) });
  CHECK(fixture.ServerOfRequest() == placed);
  CHECK(fixture.ServerOfRequest("p") != "");
  fixture.Register(placed, true);
  CHECK(fixture.ServerOfRequest() == first);
  fixture.Register(placed);
  CHECK(fixture.ServerOfRequest() == placed);
  // The order applies again when the placement ends.
  fixture.Place(2, {});
  fixture.Advance(seconds(4));
  CHECK(fixture.ServerOfRequest() == first);
}

// Guards against objects that go to a restarted server, which has none of them
// cached, because of a placement at the process before.
TEST_CASE("A placement does not hold for a later process of its server")
{
  PlacedObjects fixture;
  const std::string first = fixture.ServerOfRequest();
  const std::string placed = fixture.OtherServer();
  fixture.Place(1, { fixture.LifetimeOf(placed) });
  CHECK(fixture.ServerOfRequest() == placed);
  fixture.Register(placed, false, 5000);
  fixture.Advance(seconds(4));
  CHECK(fixture.ServerOfRequest() == first);
}

// Guards against placements of a process that is gone, which the VM's later
// process does not know.
TEST_CASE("Placements of unknown processes are ignored")
{
  PlacedObjects fixture;
  const std::string first = fixture.ServerOfRequest();
  const std::uint64_t lifetime = fixture.LifetimeOf(fixture.OtherServer());
  fixture.mOther.mIncarnation = { 2 };
  fixture.Place(1, { lifetime });
  CHECK(fixture.ServerOfRequest() == first);
}

// Guards against demand that does not reach the placing VM.
TEST_CASE("Demand for objects is reported to the elected VM")
{
  PlacedObjects fixture;
  std::size_t reports = 0;
  double slots = 0;
  for (int n = 0; n < 80; ++n) {
    fixture.ReceiveStatus();
    fixture.ServerOfRequest();
    fixture.Advance(milliseconds(25));
    reports += fixture.CountMessages<message::ObjectDemands>();
    CHECK(fixture.CountMessages<message::ObjectPlacements>() == 0);
    for (const Effect& effect : fixture.mLastEffects) {
      const auto* const send = std::get_if<effect::SendMessage>(&effect);
      const auto* const report =
        send ? std::get_if<message::ObjectDemands>(&send->mMessage) : nullptr;
      if (report) {
        CHECK(send->mTo == fixture.mOther.mVm);
        CHECK(send->mAddress == "10.0.0.2");
        REQUIRE(report->mObjects.size() == 1);
        CHECK(report->mObjects.front().mObject == HashObject(kService, "o"));
        slots = report->mObjects.front().mSlots;
      }
    }
  }
  CHECK(reports >= 3);
  CHECK(reports <= 5);
  // 40 requests per second of 0.1 s each, after 2 s of the average.
  CHECK(slots > 1.5);
  CHECK(slots < 5);
}

// Guards against a region without a placing VM because the elected one died,
// and against a takeover that drops the placements.
TEST_CASE("A VM that takes over goes on with the placements that it knows")
{
  PlacedObjects fixture;
  const std::string placed = fixture.OtherServer();
  fixture.Place(7, { fixture.LifetimeOf(placed) });
  std::size_t announced = 0;
  std::size_t changes = 0;
  for (int n = 0; n < 120; ++n) {
    fixture.Advance(milliseconds(25));
    announced += fixture.CountMessages<message::ObjectPlacements>();
    changes += fixture.CountRecords("placing_vm_changed");
  }
  CHECK(fixture.mGateway.Placements().IsPlacing());
  CHECK(fixture.mGateway.Placements().NumberOf(kNear) == 8);
  CHECK(announced >= 1);
  CHECK(changes == 1);
  for (int n = 0; n < 15; ++n) {
    fixture.Advance(seconds(1));
    CHECK(fixture.ServerOfRequest() == placed);
  }
}

// Guards against placements by a VM that does not see the state of servers, or
// is about to end.
TEST_CASE("A VM that stops or has lost its links to servers does not place")
{
  PlacedObjects fixture;
  fixture.Advance(seconds(3));
  REQUIRE(fixture.mGateway.Placements().IsPlacing());
  SECTION("stopping")
  {
    fixture.Deliver(event::StopRequested{});
  }
  SECTION("cut off")
  {
    for (int n = 0; n < 200 && !fixture.mGateway.IsCutOff(); ++n) {
      fixture.Request("/prices/1");
      fixture.RefuseConnections();
      fixture.Advance(milliseconds(25));
      fixture.RefuseConnections();
    }
    REQUIRE(fixture.mGateway.IsCutOff());
  }
  fixture.Advance(milliseconds(25));
  CHECK_FALSE(fixture.mGateway.Placements().IsPlacing());
}

// Guards against an overloaded server although others are idle: the chain from
// requests to placements and back to the selection.
TEST_CASE("The placing VM moves objects away from an overloaded server")
{
  PlacedObjects fixture;
  fixture.Advance(seconds(3));
  REQUIRE(fixture.mGateway.Placements().IsPlacing());
  // Three objects with the same first server; its four slots are not enough.
  std::vector<std::string> objects;
  const std::string server = fixture.ServerOfRequest("0");
  for (int n = 0; objects.size() < 3; ++n) {
    const std::string object = std::to_string(n);
    if (fixture.ServerOfRequest(object) == server) {
      objects.push_back(object);
    }
    fixture.Advance(seconds(4));
  }
  std::size_t placed = 0;
  std::map<std::string, std::string> servers;
  for (int n = 0; n < 300; ++n) {
    for (const std::string& object : objects) {
      servers[object] = fixture.ServerOfRequest(object);
    }
    fixture.Advance(milliseconds(50));
    placed += fixture.CountRecords("object_placed");
  }
  CHECK(placed >= 1);
  CHECK(fixture.mGateway.Counters().mObjectMoves == placed);
  CHECK(fixture.mGateway.Placements().EntryCount(fixture.mNow) >= 1);
  CHECK(std::any_of(servers.begin(), servers.end(), [&](const auto& aEntry) {
    return aEntry.second != server;
  }));
}

// Guards against a switch that leaves parts of it on.
TEST_CASE("Without object placement nothing is sent or used")
{
  PlacedObjects fixture(false);
  const std::string first = fixture.ServerOfRequest();
  fixture.Place(1, { fixture.LifetimeOf(fixture.OtherServer()) });
  CHECK(fixture.ServerOfRequest() == first);
  for (int n = 0; n < 200; ++n) {
    fixture.ServerOfRequest();
    fixture.Advance(milliseconds(25));
    CHECK(fixture.CountMessages<message::ObjectDemands>() == 0);
    CHECK(fixture.CountMessages<message::ObjectPlacements>() == 0);
  }
  CHECK(fixture.mGateway.Placements().EntryCount(fixture.mNow) == 0);
}

} // namespace cranberrywing::gateway
