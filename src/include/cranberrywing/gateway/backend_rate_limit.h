/// \file
/// Rate limits that backend servers in need state in their answers. A limit
/// holds for the requests of all VMs together, health checks and retries
/// included.
///
/// The VMs of the server's region divide the limit (FleetQuota); VMs of other
/// regions do not send to the server meanwhile. So many objects of the server
/// move to others (RateLimitWeight) that the quota rarely turns a request away
/// from the server that has its object cached. VMs tell each other what servers
/// state (message::BackendRateLimits), because a VM without a quota hears
/// nothing from the server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// What a server last stated, to this or to another VM.
struct BackendRateLimit
{
  /// Requests per second from all VMs together; nullopt for no limit.
  std::optional<double> mPerSecond;
  TimePoint mStatedAt{};
};

/// A higher limit, in requests per second, is the same as this one.
inline constexpr double kMaxRateLimit = 1e6;

/// Least time for which a limit binds without being stated again. All VMs that
/// may send to the server have had no requests for it then, or it does not
/// answer.
inline constexpr Duration kRateLimitValidity = std::chrono::seconds(10);

/// Number of requests that may be sent to a server in each window of time.
struct RateQuota
{
  std::size_t mRequests = 0;
  Duration mWindow{};
  /// Requests per second of all VMs together if each had this VM's part.
  /// Differs from the limit if that is so low that only some VMs have a part.
  double mFleetRate = 0;
  /// Added to kRateLimitValidity. It differs between the VMs, so that one of
  /// them tries first and tells the others what the server answers.
  Duration mLapseDelay{};

  bool operator==(const RateQuota&) const = default;
};

/// aSelf's part of a limit of aPerSecond requests per second, which aVms share.
/// Precondition: aPerSecond is finite and not negative. Thread-safe.
RateQuota BackendRateQuota(double aPerSecond,
                           std::uint64_t aBackendHash,
                           const std::vector<VmId>& aVms,
                           const VmId& aSelf);

/// Fraction of its slots that a server with aSlots slots can use at a limit of
/// aPerSecond, from 0 to 1. Thread-safe.
double UsableFraction(double aPerSecond,
                      Duration aMeanServiceTime,
                      std::uint32_t aSlots);

/// Servers of one service and region, and the rate of requests for them.
struct RateLimitedGroup
{
  /// Sum of the limits of those with a limit, in requests per second.
  double mLimitSum = 0;
  std::size_t mUnlimited = 0;
  /// Requests per second from the region's callers.
  double mDemand = 0;
};

/// Weight of a server with a limit of aPerSecond in the rendezvous order of its
/// group, in which a server without a limit has weight 1. The server becomes
/// the first choice for as many objects as its limit can serve. Between a small
/// positive value and its reciprocal; nearly equal demands give equal weights.
/// Thread-safe.
double RateLimitWeight(double aPerSecond, const RateLimitedGroup& aGroup);

} // namespace cranberrywing::gateway
