/// \file
/// The resolved form of one accepted configuration. Built once per revision
/// from the settings tree, then shared read-only by every concern.
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
  /// Public name of the key, for operators; not secret.
  std::string mName;
  KeyDigest mDigest;
  bool mWithdrawn = false;
};

/// A client account. Rate and burst are counted over all VMs together.
struct AccountSettings
{
  AccountId mAccount;
  /// Requests per second.
  double mRate = 0;
  /// Requests.
  double mBurst = 0;
  /// Share in weighted max-min fairness when capacity is short.
  double mWeight = 1;
  /// Number of VMs among which look-ups spread this account.
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
  /// Upper bound of exchanges at one time.
  std::uint32_t mConnections = 400;
  /// Requests per second that the server is able to carry when warm.
  double mCapacity = 100;
  /// Draining servers get no new work.
  bool mDraining = false;
};

/// An operator's order to move part of a service between regions.
struct ShiftSettings
{
  std::string mName;
  RegionId mFrom;
  RegionId mTo;
  /// Part of the traffic of mFrom to move, from 0 to 1.
  double mTarget = 0;
  /// Greatest change of the moved part per minute, from 0 to 1.
  double mCapPerMinute = 0.1;
  bool mPaused = false;
};

struct ServiceSettings
{
  ServiceId mService;
  std::vector<BackendSettings> mBackends;
  std::vector<ShiftSettings> mShifts;
  /// Time over which a cold server's weight rises to its full value.
  Duration mSlowStart = std::chrono::seconds(30);
  Duration mProbeInterval = std::chrono::seconds(2);
  /// Mean bytes per exchange over a link between regions, for link limits.
  double mBytesPerRequest = 4096;
};

/// One route as settings resolve it for a region and a client account.
struct RouteSettings
{
  RouteId mRoute;
  ServiceId mService;
  /// Upper-case method, or "*" for any.
  std::string mMethod = "*";
  std::string mPathPrefix = "/";
  /// Idempotent requests may be retried; others run at most once.
  bool mIdempotent = true;
  /// Whether requests without a key are served.
  bool mOpenToAll = false;
  /// Longest time from arrival to answer; also the default deadline.
  Duration mTimeout = std::chrono::seconds(10);
  std::uint32_t mMaxAttempts = 3;
  /// Retries allowed per request served, from 0 to 1.
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

/// Someone who may use the administration API.
struct OperatorSettings
{
  std::string mName;
  /// Digest of the operator's token, made as for callers' keys.
  KeyDigest mTokenDigest;
  /// Paths of the document whose subtrees the operator may change; an empty
  /// path stands for the whole document.
  std::vector<std::string> mNodes;
};

/// Settings of the fleet as a whole.
struct FleetSettings
{
  /// Time after which a VM that may have missed a withdrawal refuses keys;
  /// zero turns this off.
  Duration mIsolationLimit = std::chrono::seconds(5);
  /// Lifetime of a look-up answer at callers.
  Duration mLookupLifetime = std::chrono::seconds(5);
  Duration mClaimRetention = std::chrono::hours(24);
  Duration mTicketLifetime = std::chrono::minutes(10);
  std::uint32_t mSlotCount = 64;
  std::uint32_t mSlotOwners = 8;
  /// Store writes per second that claims may use, over all VMs.
  double mClaimWriteBudget = 80;
  Duration mTakeoverDelay = std::chrono::seconds(3);
  /// Secret under which keys are stored as digests.
  std::string mKeyPepper;
  /// Secret under which tickets are authenticated.
  std::string mTicketSecret;
};

/// Immutable after construction, so safe to read from several threads.
struct SettingsSnapshot
{
  Revision mRevision;
  ContentDigest mDigest;
  FleetSettings mFleet;
  std::unordered_map<AccountId, AccountSettings> mAccounts;
  std::unordered_map<ServiceId, ServiceSettings> mServices;
  /// Route definitions before overrides, longest path prefix first.
  std::vector<RouteSettings> mRoutes;
  /// Routes that a region or client account overrides, by OverrideKey. An
  /// empty region or account in the key stands for any.
  std::unordered_map<std::string, RouteSettings> mOverrides;
  std::vector<LinkSettings> mLinks;
  std::vector<RegionId> mRegions;
  /// In order of their names.
  std::vector<OperatorSettings> mOperators;
  /// VMs named as first contacts; members beyond them are found by gossip.
  std::vector<VmSettings> mVms;
  /// Digest of each client-block shard, in order of its first block.
  std::vector<ContentDigest> mBlockShards;

  /// The route that serves a request, or null. The target's query is ignored.
  const RouteSettings* FindRoute(std::string_view aMethod,
                                 std::string_view aTarget) const;

  /// The route as it applies in a region and for a client account: the
  /// override for both, else for the region, else for the account, else the
  /// route itself.
  const RouteSettings& Resolve(const RouteSettings& aRoute,
                               const RegionId& aRegion,
                               const AccountId& aAccount) const;

  /// Key of mOverrides.
  static std::string OverrideKey(const RouteId& aRoute,
                                 const RegionId& aRegion,
                                 const AccountId& aAccount);
};

using SettingsSnapshotPtr = std::shared_ptr<const SettingsSnapshot>;

} // namespace cranberrywing
