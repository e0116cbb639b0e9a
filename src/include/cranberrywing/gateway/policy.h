/// \file
/// Routes, services and client accounts as one published configuration
/// states them, indexed for the request path. Immutable once built.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// One part of a route's traffic.
struct WeightedService
{
  ServiceId mService;
  double mWeight = 1;
};

struct RoutePolicy
{
  RouteId mRoute;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPrefix;
  bool mIsIdempotent = false;
  /// Longest time that a request may be kept waiting.
  Duration mTimeout{};
  /// Time within which an answer is of full use to the caller.
  Duration mTargetLatency{};
  /// 0 is the most urgent.
  int mPriority = 0;
  std::vector<WeightedService> mServices;
  /// Most backend servers to which one request may be sent.
  std::uint32_t mMaxAttempts = 1;
  /// Whether requests need no key.
  bool mIsPublic = false;
  /// Whether a server that handled an object recently works faster.
  bool mIsSticky = false;
  /// Regions that may serve the route; empty for all.
  std::vector<RegionId> mAllowedRegions;
};

struct ServicePolicy
{
  ServiceId mService;
  std::string mHealthPath;
  /// Connections that one server takes from all VMs together.
  std::uint32_t mMaxConnections = 0;
  /// Time that a server stays cold after its start.
  Duration mColdTime{};
  /// Requests per second that a cold server bears from all VMs together.
  double mColdRate = 0;
};

struct AccountPolicy
{
  AccountId mAccount;
  std::vector<std::string> mKeys;
  /// Takes precedence over the route's, if given.
  std::optional<int> mPriority;
  /// Requests per second over all VMs; zero for no limit.
  double mRate = 0;
  double mBurst = 0;
  /// Regions that may serve the account; empty for all.
  std::vector<RegionId> mAllowedRegions;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 64 * 1024 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

struct PolicyContent
{
  Revision mRevision;
  std::vector<RoutePolicy> mRoutes;
  std::vector<ServicePolicy> mServices;
  std::vector<AccountPolicy> mAccounts;
  CallerLimits mLimits;
};

/// Thread-safe, since it never changes. Pointers that it returns live as long
/// as the policy.
class Policy
{
public:
  /// Checks references between the parts. Errors: InvalidSettings.
  static Result<std::shared_ptr<const Policy>> Make(PolicyContent aContent);

  Revision GetRevision() const { return mContent.mRevision; }
  const PolicyContent& Content() const { return mContent; }

  /// The route with the longest prefix of the path among those of the host;
  /// null if none matches. The host is compared without case and port.
  const RoutePolicy* FindRoute(std::string_view aHost,
                               std::string_view aPath) const;
  /// Null for an unknown key.
  const AccountPolicy* FindAccountByKey(std::string_view aKey) const;
  const ServicePolicy* FindService(const ServiceId& aService) const;

private:
  explicit Policy(PolicyContent aContent);

  /// SHA-256 of a key: a look-up by digest takes no time that depends on how
  /// much of a guessed key is right.
  using KeyDigest = std::array<unsigned char, 32>;
  struct KeyDigestHash
  {
    std::size_t operator()(const KeyDigest& aDigest) const;
  };

  static KeyDigest DigestKey(std::string_view aKey);

  PolicyContent mContent;
  /// Route indices by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> mAccountByKey;
  std::unordered_map<ServiceId, std::size_t> mServiceIndex;
};

using PolicyPtr = std::shared_ptr<const Policy>;

} // namespace cranberrywing::gateway
