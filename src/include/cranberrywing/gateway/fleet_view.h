/// \file
/// The other VMs, as the store lists them and as they tell of themselves.
#pragma once

#include <map>
#include <vector>

#include "cranberrywing/gateway/account_shares.h"
#include "cranberrywing/gateway/event.h"
#include "cranberrywing/messages/gateway.h"

namespace cranberrywing::gateway {

/// One other VM.
struct Peer
{
  VmRecord mRecord;
  TimePoint mHeardAt{};
  bool mIsLeaving = false;
  /// The store's entry has ended since.
  bool mIsLapsed = false;
  TimePoint mLapsedAt{};
  message::GatewayStatus mStatus;
};

/// Not thread-safe; owned by the gateway.
class FleetView
{
public:
  struct Options
  {
    VmRecord mSelf;
    /// Silence after which a VM is not named to callers while others are
    /// heard.
    Duration mSilenceLimit = std::chrono::milliseconds(2500);
    /// Time for which a VM whose entry has lapsed still counts for shares:
    /// it may be cut off from the store and go on admitting requests.
    Duration mLapsedShare = std::chrono::seconds(15);
    /// The same while at most mFewLapsed of the VMs have lapsed: what they
    /// might admit besides stays within the slack of the rates.
    Duration mFewLapsedShare = std::chrono::seconds(5);
    double mFewLapsed = 0.2;
  };

  explicit FleetView(Options aOptions);

  const std::map<VmId, Peer>& Peers() const { return mPeers; }

  void Register(const VmRecord& aRecord, TimePoint aNow);
  /// A VM that ran at some time. It counts for shares for mLapsedShare: after
  /// a restart of all VMs each is the first to register, and would take every
  /// share for itself.
  void List(const VmRecord& aRecord, TimePoint aNow);
  void Remove(const VmId& aVm, TimePoint aNow);
  void OnStatus(const VmIncarnation& aFrom,
                const message::GatewayStatus& aStatus,
                TimePoint aNow);
  void Tick(TimePoint aNow);

  /// Whether callers may be sent to the peer.
  bool IsUsable(const Peer& aPeer, TimePoint aNow) const;
  /// VMs among which fleet-wide limits are divided, this one included.
  std::vector<SharingVm> SharingVms() const;
  std::size_t SharingVmCount() const;
  /// Rises whenever SharingVms changes.
  std::uint64_t Version() const { return mVersion; }
  /// Those of SharingVms in a region.
  std::vector<VmId> VmsOfRegion(const RegionId& aRegion) const;
  /// Usable VMs, this one included if aSelfIsReady: those of the region, or
  /// all if it has none.
  std::vector<VmRecord> CallerTargets(const RegionId& aRegion,
                                      bool aSelfIsReady,
                                      TimePoint aNow) const;
  /// Sum over the region's VMs, without this one, of the slots that their
  /// callers keep busy at a service.
  double Demand(const RegionId& aRegion,
                const ServiceId& aService,
                TimePoint aNow) const;

private:
  Options mOptions;
  std::map<VmId, Peer> mPeers;
  std::uint64_t mVersion = 1;
};

} // namespace cranberrywing::gateway
