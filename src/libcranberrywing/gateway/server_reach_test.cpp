/// \file
/// A VM that has lost its links to all backend servers.
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

  /// Lets all attempts to connect to a server fail.
  void RefuseConnections()
  {
    const EffectList effects = mLastEffects;
    for (const Effect& effect : effects) {
      if (const auto* const sent = std::get_if<effect::Dispatch>(&effect)) {
        Fail(*sent,
             event::FailureStage::BeforeFirstByte,
             event::FailureKind::Connect);
        RefuseConnections();
      } else if (const auto* const probe =
                   std::get_if<effect::ProbeBackend>(&effect)) {
        Deliver(event::BackendProbed{ .mBackend = probe->mBackend });
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
      RefuseConnections();
      Advance(step);
      RefuseConnections();
    }
  }

  std::vector<VmId> Targets() const
  {
    std::vector<VmId> vms;
    for (const VmRecord& vm : mGateway.CallerTargets(RegionId("near"), mNow)) {
      vms.push_back(vm.mVm);
    }
    return vms;
  }
};

} // namespace

// Guards against callers that are served far worse than others because lookups
// name a VM whose links to all servers are gone.
TEST_CASE("Callers are not sent to a VM that reaches no backend server",
          "[!shouldfail]")
{
  CutVmFixture fixture;
  fixture.RunCutOff(std::chrono::seconds(2));
  CHECK(fixture.Targets() == std::vector<VmId>{ VmId("vm-2") });
}

} // namespace cranberrywing::gateway
