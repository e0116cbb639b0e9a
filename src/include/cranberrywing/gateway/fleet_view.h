/// \file
/// View of the other VMs of the fleet, built from their store entries and from
/// their status messages.
#pragma once

#include <map>
#include <vector>

#include "cranberrywing/gateway/account_shares.h"
#include "cranberrywing/gateway/event.h"
#include "cranberrywing/messages/gateway.h"

namespace cranberrywing::gateway {

/// State of one other VM.
struct Peer
{
  VmRecord mRecord;
  /// Time of the last status message, or of the registration.
  TimePoint mLastHeardAt{};
  /// Whether a status message of this incarnation has arrived.
  bool mHasStatus = false;
  bool mIsLeaving = false;
  /// Whether the VM's leased store entry has expired or was removed.
  bool mIsExpired = false;
  TimePoint mExpiredAt{};
  /// The VM has told that it reaches no backend server; holds until then.
  TimePoint mCutOffUntil{};
  message::GatewayStatus mStatus;
  /// Demand of the peer's whole region, and the time at which it was told.
  message::RegionDemand mRegionDemand;
  TimePoint mRegionDemandAt{};
  /// Demand that is bound to regions, of the peer's callers and of those of its
  /// whole region.
  std::vector<BoundDemand> mBoundDemand;
  TimePoint mBoundDemandAt{};
  std::vector<BoundDemand> mRegionBoundDemand;
  TimePoint mRegionBoundDemandAt{};
};

/// State of this VM that decides whether callers are directed to it.
struct OwnState
{
  bool mIsReady = false;
  /// Whether this VM reaches no backend server.
  bool mIsCutOff = false;
};

/// Set of all other known VMs. Not thread-safe; owned by the gateway.
class FleetView
{
public:
  struct Options
  {
    VmRecord mSelf;
    /// Time without a status message after which callers are no longer sent to
    /// a VM. Ignored while no status messages arrive at all.
    Duration mSilenceLimit = std::chrono::milliseconds(2500);
    /// Time for which a VM with an expired entry still counts for shares: it
    /// may have lost its connection to the store and still admit requests.
    Duration mExpiredRetention = std::chrono::seconds(15);
    /// Used instead while at most mFewExpiredFraction of the other VMs have
    /// expired entries: the excess that they might admit is within the
    /// tolerance of the rate limits.
    Duration mFewExpiredRetention = std::chrono::seconds(5);
    double mFewExpiredFraction = 0.2;
    /// If fewer of a region's usable VMs reach backend servers, its callers are
    /// directed to all regions, so as not to overload those few.
    double mMinReachingFraction = 0.25;
  };

  explicit FleetView(Options aOptions);

  const std::map<VmId, Peer>& Peers() const { return mPeers; }

  /// Adds or updates a VM from its leased store entry.
  void Register(const VmRecord& aRecord, TimePoint aNow);
  /// Adds a VM from its permanent roster entry, as a VM with an expired entry.
  /// It counts for shares for the retention time: after a restart of all VMs,
  /// each VM would otherwise see only itself at first and take every share.
  void AddFromRoster(const VmRecord& aRecord, TimePoint aNow);
  /// Marks the VM's entry as expired; Tick erases it after the retention time.
  void Remove(const VmId& aVm, TimePoint aNow);
  /// Stores a status message. Ignored if the sender is unknown or has another
  /// incarnation than its store entry.
  void OnStatus(const VmIncarnation& aFrom,
                const message::GatewayStatus& aStatus,
                TimePoint aNow);
  /// Stores the demand of the sender's region, under the same conditions.
  void OnRegionDemand(const VmIncarnation& aFrom,
                      const message::RegionDemand& aDemand,
                      TimePoint aNow);
  /// Stores demand that is bound to regions, under the same conditions.
  void OnBoundDemands(const VmIncarnation& aFrom,
                      const message::BoundDemands& aDemands,
                      TimePoint aNow);
  /// Stores whether the sender reaches backend servers, under the same
  /// conditions.
  void OnServerReach(const VmIncarnation& aFrom,
                     const message::ServerReachStatus& aStatus,
                     TimePoint aNow);
  /// Whether the process is known and a status message of it has arrived.
  bool HasHeard(const VmIncarnation& aProcess) const;
  /// Erases VMs that are not heard and whose entries expired longer ago than
  /// the retention time.
  void Tick(TimePoint aNow);

  /// Whether a status message of the peer arrived within the silence limit. A
  /// VM that is heard runs, even if the store has dropped its entry because it
  /// turns the VM away.
  bool IsHeard(const Peer& aPeer, TimePoint aNow) const;
  /// Whether callers may be directed to the peer.
  bool IsUsable(const Peer& aPeer, TimePoint aNow) const;
  /// Whether the peer has lost its links to all backend servers.
  bool IsCutOff(const Peer& aPeer, TimePoint aNow) const;
  /// Whether any other usable VM reaches backend servers.
  bool HasReachingPeer(TimePoint aNow) const;
  /// VMs among which fleet-wide limits are divided, including this VM and VMs
  /// with expired entries that are still retained.
  std::vector<SharingVm> SharingVms() const;
  std::size_t SharingVmCount() const;
  /// Incremented whenever SharingVms changes.
  std::uint64_t Version() const { return mVersion; }
  /// The members of SharingVms that are in the region.
  std::vector<VmId> VmsOfRegion(const RegionId& aRegion) const;
  /// VMs that callers of the region should use: the usable VMs of the region,
  /// or those of all regions if it has none. VMs that reach no backend server
  /// are left out unless that holds for all VMs.
  std::vector<VmRecord> CallerTargets(const RegionId& aRegion,
                                      const OwnState& aSelf,
                                      TimePoint aNow) const;
  /// VMs that callers of a region without VMs should use: the usable VMs of all
  /// regions, under the same condition.
  std::vector<VmRecord> CallerTargets(const OwnState& aSelf,
                                      TimePoint aNow) const;
  /// Demand of the region's callers for a service, in busy server slots. For
  /// the own region, the sum of what its VMs except this one report; for
  /// another, the median of what its VMs tell about the whole region.
  double Demand(const RegionId& aRegion,
                const ServiceId& aService,
                TimePoint aNow) const;
  /// Demand of the own region's callers that is bound to a region, as reported
  /// by its VMs except this one, in busy server slots.
  double OwnBoundDemand(const RegionId& aServing,
                        const ServiceId& aService,
                        TimePoint aNow) const;
  /// The same for the callers of all other regions: of each, the median of what
  /// its VMs tell.
  double OtherBoundDemand(const RegionId& aServing,
                          const ServiceId& aService,
                          TimePoint aNow) const;
  /// Requests per second of the own region's callers for a service, as reported
  /// by its VMs except this one.
  double OwnRegionRate(const ServiceId& aService, TimePoint aNow) const;

private:
  struct UsableVms
  {
    std::vector<VmRecord> mAll;
    /// Those that reach backend servers.
    std::vector<VmRecord> mReaching;
  };

  UsableVms FindUsableVms(const OwnState& aSelf, TimePoint aNow) const;
  /// Returns the peer if the incarnation is that of its store entry, or null.
  Peer* FindSender(const VmIncarnation& aFrom);
  /// Sum of a field over the status messages of the own region's VMs.
  double SumOwnRegion(const ServiceId& aService,
                      float ServiceDemand::*aField,
                      TimePoint aNow) const;

  Options mOptions;
  std::map<VmId, Peer> mPeers;
  std::uint64_t mVersion = 1;
};

} // namespace cranberrywing::gateway
