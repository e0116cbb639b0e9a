/// \file
/// The parsed and resolved form of one accepted configuration. Built once per
/// revision from the settings document, then shared read-only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// 32-byte HMAC-SHA-256 digest of a caller's key, in lower-case hex.
struct KeyDigest
{
  std::string mHex;

  auto operator<=>(const KeyDigest&) const = default;
  bool operator==(const KeyDigest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHex);
  }
};

struct KeySettings
{
  /// Public name of the key, shown to operators; not secret.
  std::string mName;
  KeyDigest mDigest;
  bool mWithdrawn = false;
};

/// A client account. Rate and burst apply to all VMs together.
struct AccountSettings
{
  AccountId mAccount;
  /// Requests per second.
  double mRate = 0;
  /// Requests.
  double mBurst = 0;
  /// Weight in max-min fair sharing when capacity is short.
  double mWeight = 1;
  /// Number of VMs over which lookups spread this account.
  std::uint32_t mSubsetSize = 4;
  std::vector<KeySettings> mKeys;
};

struct BackendSettings
{
  BackendId mBackend;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  std::string mAddress;
  std::uint16_t mPort = 0;
  /// Maximum number of concurrent exchanges.
  std::uint32_t mConnections = 400;
  /// Requests per second that the server can handle when warm.
  double mCapacity = 100;
  /// Draining servers get no new work.
  bool mDraining = false;
};

/// Moves part of a service's traffic from one region to another.
struct ShiftSettings
{
  std::string mName;
  RegionId mFrom;
  RegionId mTo;
  /// Fraction of the traffic of mFrom to move, from 0 to 1.
  double mTarget = 0;
  /// Maximum change of the moved fraction per minute, from 0 to 1.
  double mCapPerMinute = 0.1;
  bool mPaused = false;
};

struct ServiceSettings
{
  ServiceId mService;
  std::vector<BackendSettings> mBackends;
  std::vector<ShiftSettings> mShifts;
  /// Time over which a cold backend server's weight ramps up to its full value.
  Duration mSlowStart = std::chrono::seconds(30);
  Duration mProbeInterval = std::chrono::seconds(2);
  /// Mean bytes per exchange over a link between regions, used for link limits.
  double mBytesPerRequest = 4096;
};

/// One route as resolved for a region and a client account.
struct RouteSettings
{
  RouteId mRoute;
  ServiceId mService;
  /// Upper-case method, or "*" for any.
  std::string mMethod = "*";
  std::string mPathPrefix = "/";
  /// Idempotent requests may be retried; others run at most once.
  bool mIdempotent = true;
  /// Whether requests without a key are accepted.
  bool mOpenToAll = false;
  /// Maximum time from arrival to answer; also the default deadline.
  Duration mTimeout = std::chrono::seconds(10);
  std::uint32_t mMaxAttempts = 3;
  /// Allowed ratio of retries to requests served, from 0 to 1.
  double mRetryBudget = 0.1;
  std::uint64_t mMaxBodyBytes = 1 << 20;

  bool operator==(const RouteSettings&) const = default;
};

struct LinkSettings
{
  RegionId mFrom;
  RegionId mTo;
  double mBytesPerSecond = 0;
  Duration mLatency{};
};

struct VmSettings
{
  VmId mVm;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  SiteId mSite;
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mPeerPort = 0;
  std::uint16_t mAdminPort = 0;
};

/// A user of the administration API.
struct OperatorSettings
{
  std::string mName;
  /// Digest of the operator's token, made as for callers' keys.
  KeyDigest mTokenDigest;
  /// Paths of the subtrees that the operator may change; an empty path stands
  /// for the whole document.
  std::vector<std::string> mNodes;
};

/// Settings that apply to the whole fleet.
struct FleetSettings
{
  /// Time after which a VM that may have missed the withdrawal of a key refuses
  /// all keys; zero disables this.
  Duration mIsolationLimit = std::chrono::seconds(5);
  /// Time for which callers may cache a lookup answer.
  Duration mLookupLifetime = std::chrono::seconds(5);
  Duration mClaimRetention = std::chrono::hours(24);
  Duration mTicketLifetime = std::chrono::minutes(10);
  std::uint32_t mSlotCount = 64;
  std::uint32_t mSlotOwners = 8;
  /// Maximum store writes per second for claims, over all VMs.
  double mClaimWriteBudget = 80;
  Duration mTakeoverDelay = std::chrono::seconds(3);
  /// Secret under which keys are stored as digests.
  std::string mKeyPepper;
  /// Secret under which tickets are authenticated.
  std::string mTicketSecret;
};

/// Immutable after construction, so safe to read from multiple threads.
struct SettingsSnapshot
{
  Revision mRevision;
  ContentDigest mDigest;
  FleetSettings mFleet;
  std::unordered_map<AccountId, AccountSettings> mAccounts;
  std::unordered_map<ServiceId, ServiceSettings> mServices;
  /// Route definitions without overrides, longest path prefix first.
  std::vector<RouteSettings> mRoutes;
  /// Routes as overridden for a region or a client account, by OverrideKey. An
  /// empty region or account in the key matches any.
  std::unordered_map<std::string, RouteSettings> mOverrides;
  std::vector<LinkSettings> mLinks;
  std::vector<RegionId> mRegions;
  /// Sorted by name.
  std::vector<OperatorSettings> mOperators;
  /// Seed VMs to contact first; all other members are discovered by gossip.
  std::vector<VmSettings> mVms;
  /// Digest of each shard of the client blocks, ordered by first block.
  std::vector<ContentDigest> mBlockShards;

  /// Returns the route that serves a request, or null. The target's query is
  /// ignored.
  const RouteSettings* FindRoute(std::string_view aMethod,
                                 std::string_view aTarget) const;

  /// Returns the route as it applies in a region and for a client account: the
  /// override for both, else for the region, else for the account, else aRoute.
  const RouteSettings& Resolve(const RouteSettings& aRoute,
                               const RegionId& aRegion,
                               const AccountId& aAccount) const;

  /// Returns a key of mOverrides.
  static std::string OverrideKey(const RouteId& aRoute,
                                 const RegionId& aRegion,
                                 const AccountId& aAccount);
};

using SettingsSnapshotPtr = std::shared_ptr<const SettingsSnapshot>;

} // namespace cranberrywing
