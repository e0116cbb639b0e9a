/// \file
/// Messages between gateways: the status that a VM reports to the others.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Demand of a VM's callers for a service.
struct ServiceDemand
{
  ServiceId mService;
  float mRequestsPerSecond = 0;
  /// Mean number of server slots that these requests keep busy.
  float mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRequestsPerSecond, mSlots);
  }
};

/// Demand of callers whose requests may run in some regions only.
struct BoundDemand
{
  ServiceId mService;
  /// Region to which the requests are directed.
  RegionId mRegion;
  /// Mean number of server slots that they keep busy.
  float mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRegion, mSlots);
  }
};

/// Number of requests that a VM has in flight at one backend server.
struct BackendInFlight
{
  /// Hash of the server's identifier.
  std::uint64_t mBackend = 0;
  std::uint16_t mRequests = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRequests);
  }
};

/// A backend server with a queue.
struct BusyBackend
{
  /// Hash of the server's identifier and start time.
  std::uint64_t mBackend = 0;
  /// Requests of all VMs that it runs or queues.
  std::uint16_t mRequests = 0;

  bool operator==(const BusyBackend&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRequests);
  }
};

/// Backend servers that serve an object instead of the first one of its
/// rendezvous order.
struct PlacedObject
{
  /// ObjectHash.
  std::uint64_t mObject = 0;
  /// Hashes of identifiers and start times; empty if the order applies.
  std::vector<std::uint64_t> mServers;

  bool operator==(const PlacedObject&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mObject, mServers);
  }
};

/// Demand of a VM's callers for an object.
struct ObjectDemand
{
  /// ObjectHash.
  std::uint64_t mObject = 0;
  /// Mean number of server slots that its requests keep busy while servers have
  /// it cached.
  float mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mObject, mSlots);
  }
};

/// A rate limit that a backend server stated to some VM.
struct StatedRateLimit
{
  /// Hash of the server's identifier and start time.
  std::uint64_t mBackend = 0;
  /// Requests per second from all VMs together; negative if the server stated
  /// that it has no limit.
  double mPerSecond = -1;
  /// Time since the statement.
  std::uint32_t mAgeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mPerSecond, mAgeMs);
  }
};

/// A key of the platform's store with its value.
struct StoreItem
{
  std::string mKey;
  std::string mValue;
  /// Store revision of the last change.
  std::int64_t mRevision = 0;

  bool operator==(const StoreItem&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mValue, mRevision);
  }
};

/// A key that was set or removed.
struct StoreChange
{
  StoreItem mItem;
  /// If set, mItem has no value.
  bool mIsRemoved = false;

  bool operator==(const StoreChange&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mItem, mIsRemoved);
  }
};

/// Place in the history of the platform's store. When the store is restored
/// from a copy, an epoch begins in which revisions are given out again.
struct StorePosition
{
  std::int64_t mEpoch = 0;
  std::int64_t mRevision = 0;

  auto operator<=>(const StorePosition&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch, mRevision);
  }
};

/// What VMs know of a key although the restored store does not hold it.
struct CarriedEntry
{
  /// With the key's last value if it was removed.
  StoreChange mChange;
  /// Time for which the entry is kept; ignored if it is kept until the key is
  /// written again.
  std::uint32_t mTimeLeftMs = 0;

  bool operator==(const CarriedEntry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mChange, mTimeLeftMs);
  }
};

/// Changes of the store as one VM passes them on to another.
struct StoreDelta
{
  std::int64_t mEpoch = 0;
  /// Revision that the changes follow; zero if they are a full copy, in which
  /// keys that are not listed do not exist.
  std::int64_t mAfterRevision = 0;
  /// Revision up to which the changes are complete.
  std::int64_t mRevision = 0;
  /// In the order of their revisions, except in a full copy.
  std::vector<StoreChange> mChanges;
  /// All entries that the sender keeps since the last restore.
  std::vector<CarriedEntry> mCarried;

  bool operator==(const StoreDelta&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch, mAfterRevision, mRevision, mChanges, mCarried);
  }
};

namespace message {

/// Demand of all callers of the sender's region, as the sender knows it. Sent
/// to some VMs of other regions in turn: any VM's message tells the whole, so
/// that the number of messages does not grow with the square of the fleet.
struct RegionDemand
{
  bool mIsLeaving = false;
  std::vector<ServiceDemand> mDemand;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsLeaving, mDemand);
  }
};

/// Demand that is bound to regions; ServiceDemand::mSlots does not include it.
/// Sent with each GatewayStatus and RegionDemand while there is any.
struct BoundDemands
{
  /// Whether it is that of all callers of the sender's region, as the sender
  /// knows it, or of the sender's callers only.
  bool mIsOfRegion = false;
  std::vector<BoundDemand> mDemand;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsOfRegion, mDemand);
  }
};

/// Asks another VM for a StoreBeacon.
struct StoreQuery
{
  /// Time at which the query was sent, by the sender's clock.
  std::int64_t mSentAt = 0;
  /// Endpoint of the sender, which the receiver may not know.
  std::string mAddress;
  std::uint16_t mPort = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSentAt, mAddress, mPort);
  }
};

/// Sent by builds that know no epochs of the store; ignored.
struct StoreBeaconWithoutEpoch
{
  std::int64_t mRevision = 0;
  std::int64_t mQuerySentAt = 0;
  std::uint32_t mAgeMs = 0;
  std::uint64_t mOrigin = 0;
  bool mIsOriginElected = false;
  std::string mAddress;
  std::uint16_t mPort = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision,
             mQuerySentAt,
             mAgeMs,
             mOrigin,
             mIsOriginElected,
             mAddress,
             mPort);
  }
};

/// Sent by builds that know no epochs of the store; ignored.
struct StoreChangesWithoutEpoch
{
  std::int64_t mAfterRevision = 0;
  std::int64_t mRevision = 0;
  std::vector<StoreChange> mChanges;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAfterRevision, mRevision, mChanges);
  }
};

/// Tells another VM how current the sender's copy of the store is, and where
/// the copy can be read.
struct StoreBeacon
{
  /// Position up to which the sender's copy is complete.
  StorePosition mPosition;
  /// StoreQuery::mSentAt of the query that this answers; zero if the beacon was
  /// sent unasked, because the position has changed. The receiver counts mAgeMs
  /// from there, so that a beacon that was long under way does not look recent.
  std::int64_t mQuerySentAt = 0;
  /// Time since a VM confirmed with the store itself that there were no later
  /// changes. It grows on the way from that VM.
  std::uint32_t mAgeMs = 0;
  /// Hash of that VM.
  std::uint64_t mOrigin = 0;
  /// Whether that VM is the one chosen by its group to follow the store.
  bool mIsOriginElected = false;
  /// Digest of the entries that the sender keeps since the last restore; zero
  /// if there are none.
  std::uint64_t mCarriedDigest = 0;
  /// Endpoint of the sender for VMs that do not know it.
  std::string mAddress;
  std::uint16_t mPort = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPosition,
             mQuerySentAt,
             mAgeMs,
             mOrigin,
             mIsOriginElected,
             mCarriedDigest,
             mAddress,
             mPort);
  }
};

/// Answer to a request for changes of the store.
struct StoreChanges
{
  StoreDelta mDelta;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDelta);
  }
};

/// Rate limits that backend servers stated.
struct BackendRateLimits
{
  std::vector<StatedRateLimit> mLimits;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLimits);
  }
};

/// Backend servers that told the sender that they are leaving.
struct BackendsLeaving
{
  /// Hashes of the servers' identifiers and start times, so that a late message
  /// says nothing of a later process.
  std::vector<std::uint64_t> mBackends;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackends);
  }
};

/// Whether the sender has lost its links to all backend servers. Sent to all
/// VMs on a change, and again while the sender is cut off.
struct ServerReachStatus
{
  bool mIsCutOff = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsCutOff);
  }
};

/// Demand for the objects of a service that a VM directs to the receiver's
/// region. Sent to the VM that places the objects of that region's servers.
struct ObjectDemands
{
  ServiceId mService;
  std::vector<ObjectDemand> mObjects;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mObjects);
  }
};

/// Some of the objects that the sender has placed at servers of its region.
struct ObjectPlacements
{
  /// Grows with each change of placements in the region.
  std::uint64_t mNumber = 0;
  std::vector<PlacedObject> mObjects;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mObjects);
  }
};

/// The busiest backend servers of the sender's region. Sent to VMs of other
/// regions in turn, which send too little to a server to know its queue. The
/// region's servers that are not listed are not busy.
struct RegionServerLoads
{
  std::vector<BusyBackend> mBusy;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBusy);
  }
};

/// Sent several times per second to the VMs of the own region.
struct GatewayStatus
{
  /// Revision of the configuration that the sender applies.
  Revision mPolicy;
  bool mIsLeaving = false;
  std::vector<ServiceDemand> mDemand;
  std::vector<BackendInFlight> mInFlight;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPolicy, mIsLeaving, mDemand, mInFlight);
  }
};

} // namespace message
} // namespace cranberrywing
