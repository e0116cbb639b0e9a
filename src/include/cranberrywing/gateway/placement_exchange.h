/// \file
/// Exchange of object placements between VMs: which VM places the objects of a
/// region's servers, the demand that VMs report to it, and the placements that
/// it distributes.
///
/// Each message of a placing VM has a number that grows with each change in its
/// region. All VMs ignore numbers below the one that they know, and the same
/// number from another VM, so that lost, late, doubled and reordered messages
/// and two VMs that place at the same time only delay a placement. A VM that
/// places with a number that is too low, since it was paused or cut off,
/// receives the current entries from the VM that sent the known number.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/message.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Objects of a service that a VM reports at most, the busiest first.
inline constexpr std::size_t kMaxReportedObjects = 64;

/// VM that may place the objects of its region's servers.
struct PlacementCandidate
{
  VmId mVm;
  /// Link rate in Mbit/s; zero if unknown.
  double mLinkMbps = 0;
};

/// Message to another VM.
struct PlacementMessage
{
  VmId mTo;
  Message mMessage;
};

/// The VM that places the objects of a region has changed.
struct PlacingVmChange
{
  RegionId mRegion;
  /// Empty if there is none.
  VmId mVm;
  VmId mBefore;
};

/// Not thread-safe; owned by the gateway. The times that are passed never
/// decrease.
class PlacementExchange
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    RegionId mRegion;
    /// Time after which an entry that is not repeated expires: three
    /// repetitions.
    Duration mEntryLifetime = std::chrono::seconds(12);
    /// Time for which a VM's report counts: that of four reports.
    Duration mReportValidity = std::chrono::seconds(2);
    Duration mReportInterval = std::chrono::milliseconds(500);
    /// Time in which all entries are repeated to each VM.
    Duration mRepeatInterval = std::chrono::seconds(4);
    /// Interval at which placements are recomputed.
    Duration mUpdateInterval = std::chrono::seconds(1);
    /// Minimum time between copies of all entries to a VM that places with a
    /// number that is too low.
    Duration mHandoverInterval = std::chrono::seconds(1);
    std::size_t mMaxEntriesPerMessage = 50;
    /// Slots for which a report counts at most. A greater demand of one object
    /// is taken for an error.
    double mMaxReportSlots = 10000;
    /// Bounds the memory for what other VMs send.
    std::size_t mMaxEntriesPerRegion = 16384;
    std::size_t mMaxServersPerEntry = 8;
    std::size_t mMaxServicesPerReport = 64;
  };

  /// Demand for the objects of a service, in busy slots.
  using Demand = std::map<ObjectHash, double>;

  explicit PlacementExchange(Options aOptions);

  /// Chooses the VM that places the objects of the own region: the one with the
  /// greatest link rate, and of several the first in rendezvous order.
  /// aCandidates are the usable VMs of the own region, this one among them if
  /// it may place.
  void Elect(const std::vector<PlacementCandidate>& aCandidates,
             TimePoint aNow);
  /// Whether this VM places the objects of the own region.
  bool IsPlacing() const { return mElected == mOptions.mSelf.mVm; }
  /// Whether placements are to be recomputed now; if so, the next time is one
  /// interval later. False unless this VM places.
  bool TakeUpdateDue(TimePoint aNow);

  /// Records placements of a VM of aRegion.
  void OnMessage(const VmIncarnation& aFrom,
                 const RegionId& aRegion,
                 const message::ObjectPlacements& aMessage,
                 TimePoint aNow);
  /// Records a report, which replaces the sender's last one for the service.
  /// Demand that is no finite number above zero, or above mMaxReportSlots, is
  /// ignored.
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ObjectDemands& aMessage,
                 TimePoint aNow);

  /// Sum of the reports that count.
  Demand ReportedDemand(const ServiceId& aService, TimePoint aNow) const;
  /// Entries of the own region that were decided by another VM, or before this
  /// VM was elected, and that were not returned yet since then.
  std::vector<PlacedObject> TakeAdopted(TimePoint aNow);
  /// Makes aPlaced the entries in force and sends the changes to all of
  /// aReceivers; the first call after another VM has placed is a change, too.
  /// Returns the changes; entries without servers have ended. Precondition:
  /// IsPlacing.
  std::vector<PlacedObject> Publish(const std::vector<PlacedObject>& aPlaced,
                                    const std::vector<VmId>& aReceivers,
                                    TimePoint aNow);
  /// Repeats entries to some of aReceivers, so that each gets all of them
  /// within mRepeatInterval. Does nothing unless this VM places.
  /// aReceivers are in ascending order.
  void Repeat(const std::vector<VmId>& aReceivers, TimePoint aNow);

  /// Whether reports are due; if so, the next time is one interval later.
  bool TakeReportDue(TimePoint aNow);
  /// VM to which demand for objects that are served in the region is reported;
  /// nullptr if none is known.
  const VmId* PlacingVm(const RegionId& aRegion, TimePoint aNow) const;

  /// Drops what has expired.
  void Prune(TimePoint aNow);

  /// Servers at which the object is placed in the region, by lifetime; none if
  /// it is not placed. Valid until the next call of a method that is not const.
  std::span<const std::uint64_t> Find(const RegionId& aRegion,
                                      ObjectHash aObject,
                                      TimePoint aNow) const;

  /// Messages to send since the last call.
  std::vector<PlacementMessage> TakeMessages();
  /// Changes of placing VMs since the last call.
  std::vector<PlacingVmChange> TakeChanges();

  /// Number of entries in force, of all regions.
  std::size_t EntryCount(TimePoint aNow) const;
  /// Receipt of the latest entry in force; nullopt if there is none.
  std::optional<TimePoint> LatestEntryAt(TimePoint aNow) const;
  /// Number of the region's last accepted message; zero before the first.
  std::uint64_t NumberOf(const RegionId& aRegion) const;

private:
  struct Entry
  {
    /// Empty if the entry has ended.
    std::vector<std::uint64_t> mServers;
    TimePoint mReceivedAt{};
    /// Whether TakeAdopted has returned it, or Publish set it.
    bool mIsAdopted = false;
  };

  struct Region
  {
    /// Of the last accepted message.
    std::uint64_t mNumber = 0;
    VmIncarnation mSender;
    TimePoint mAcceptedAt{};
    std::map<ObjectHash, Entry> mEntries;
    /// As in the last PlacingVmChange.
    VmId mReportedPlacingVm;
  };

  struct Report
  {
    TimePoint mReceivedAt{};
    std::vector<ObjectDemand> mObjects;
  };

  bool HasExpired(const Entry& aEntry, TimePoint aNow) const;
  /// Whether a message of the region counts.
  bool IsAccepted(const Region& aRegion,
                  const VmIncarnation& aFrom,
                  std::uint64_t aNumber,
                  TimePoint aNow) const;
  void SetEntry(Region& aRegion,
                const PlacedObject& aPlaced,
                TimePoint aNow) const;
  /// Differences between the entries in force and aPlaced.
  std::vector<PlacedObject> ChangesTo(const std::vector<PlacedObject>& aPlaced);
  /// Reports the region's placing VM as changed if it is another one.
  void SetPlacingVm(const RegionId& aRegion, Region& aState, const VmId& aVm);
  /// Sends all own entries in force to the VM.
  void HandOver(const VmId& aTo, TimePoint aNow);
  /// The next entries in force after aAfter, at most one message of them.
  std::vector<PlacedObject> EntriesAfter(std::optional<ObjectHash> aAfter,
                                         TimePoint aNow) const;
  /// Sends entries in as many messages as needed, at least one.
  void SendEntries(const VmId& aTo, const std::vector<PlacedObject>& aEntries);
  /// Moves mRepeatTo to the receiver of the next repetition.
  void AdvanceReceiver(const std::vector<VmId>& aReceivers);
  Region& Own() { return mRegions[mOptions.mRegion]; }
  const Region* FindRegion(const RegionId& aRegion) const;

  Options mOptions;
  std::map<RegionId, Region> mRegions;
  /// Empty if the own region has no VM that may place.
  VmId mElected;
  std::map<VmId, std::map<ServiceId, Report>> mReports;
  std::vector<PlacementMessage> mMessages;
  std::vector<PlacingVmChange> mChanges;

  TimePoint mNextUpdate{};
  TimePoint mNextReport{};
  TimePoint mNextHandover{};
  TimePoint mRepeatedAt{};
  /// Messages of repetitions that are due; a fraction is kept for later.
  double mRepetitionsDue = 0;
  /// Receiver of the last repetition, and its last object unless it was the
  /// last message to that receiver.
  VmId mRepeatTo;
  std::optional<ObjectHash> mRepeatAfter;
};

} // namespace cranberrywing::gateway
