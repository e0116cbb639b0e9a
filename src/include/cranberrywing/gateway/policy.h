/// \file
/// Routes, services and client accounts of one configuration revision, indexed
/// for lookups per request. Immutable once built.
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

/// A service that receives a weighted fraction of a route's requests.
struct WeightedService
{
  ServiceId mService;
  double mWeight = 1;
};

/// Rules for requests of one host and path prefix.
struct RoutePolicy
{
  RouteId mRoute;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPrefix;
  bool mIsIdempotent = false;
  bool mHasLargeAnswers = false;
  /// Maximum time until the caller gets a final answer.
  Duration mTimeout{};
  /// Latency target of the route's answers.
  Duration mTargetLatency{};
  /// 0 is the most urgent.
  int mPriority = 0;
  std::vector<WeightedService> mServices;
  /// Maximum number of backend servers to which one request is sent, including
  /// the first attempt.
  std::uint32_t mMaxAttempts = 1;
  /// Whether requests need no API key.
  bool mIsPublic = false;
  /// Whether requests are routed by object, because servers cache objects.
  bool mIsSticky = false;
  /// Regions that may serve the route; empty for all.
  std::vector<RegionId> mAllowedRegions;
  /// Not set if part of the route's configuration could not be read. Its
  /// requests are refused.
  bool mIsUsable = true;
};

struct ServicePolicy
{
  ServiceId mService;
  std::string mHealthPath;
  /// Maximum number of connections per server from all VMs together.
  std::uint32_t mMaxConnections = 0;
  /// Duration of a server's cold start.
  Duration mColdTime{};
  /// Requests per second that a cold server can handle from all VMs together.
  double mColdRate = 0;
};

struct AccountPolicy
{
  AccountId mAccount;
  std::vector<std::string> mKeys;
  /// Overrides the route's priority, if given.
  std::optional<int> mPriority;
  /// Rate limit in requests per second over all VMs; zero for no limit.
  double mRate = 0;
  double mBurst = 0;
  /// Regions that may serve the account; empty for all.
  std::vector<RegionId> mAllowedRegions;
  /// Not set if part of the account's configuration could not be read. Its
  /// requests are refused.
  bool mIsUsable = true;
};

/// Size limits and timeouts of caller connections.
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
  /// Parts of the configuration that could not be read, one line each, without
  /// API keys.
  std::vector<std::string> mProblems;
};

/// Immutable and therefore thread-safe. Returned pointers are valid as long as
/// the policy.
class Policy
{
public:
  /// Validates the content and builds the indices. A route that is invalid or
  /// refers to an unknown service, and accounts that share a key, are marked as
  /// not usable and added to PolicyContent::mProblems.
  static std::shared_ptr<const Policy> Make(PolicyContent aContent);

  Revision GetRevision() const { return mContent.mRevision; }
  const PolicyContent& Content() const { return mContent; }

  /// Whether any usable route has large answers.
  bool HasLargeAnswers() const { return mHasLargeAnswers; }

  /// Returns the host's route with the longest matching path prefix, or null if
  /// none matches. Case and port of the host are ignored.
  const RoutePolicy* FindRoute(std::string_view aHost,
                               std::string_view aPath) const;
  /// Returns null for an unknown key.
  const AccountPolicy* FindAccountByKey(std::string_view aKey) const;
  /// Returns null for an unknown service.
  const ServicePolicy* FindService(const ServiceId& aService) const;

private:
  explicit Policy(PolicyContent aContent);

  void IndexServicesAndRoutes();
  void IndexKeys();

  /// SHA-256 of a key. Looking keys up by digest prevents timing attacks: the
  /// time does not depend on how much of a guessed key is correct.
  using KeyDigest = std::array<unsigned char, 32>;
  struct KeyDigestHash
  {
    std::size_t operator()(const KeyDigest& aDigest) const;
  };

  static KeyDigest DigestKey(std::string_view aKey);

  PolicyContent mContent;
  bool mHasLargeAnswers = false;
  /// Route indices by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> mAccountByKey;
  std::unordered_map<ServiceId, std::size_t> mServiceIndex;
};

using PolicyPtr = std::shared_ptr<const Policy>;

} // namespace cranberrywing::gateway
