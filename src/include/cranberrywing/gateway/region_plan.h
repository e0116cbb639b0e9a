/// \file
/// Divides a region's requests among the backend servers of all regions.
///
/// Each region serves its own demand up to its capacity. The excess goes to
/// regions with spare capacity, in proportion to it. Every VM computes the plan
/// from the same status messages and registrations. The rate of change of
/// shares is limited, because VMs that all react to the same delayed
/// measurement would otherwise make traffic oscillate between regions.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Demand and capacity of one service, in server slots.
struct RegionalLoad
{
  /// Slots of eligible servers that are not ejected, by region.
  std::map<RegionId, double> mCapacity;
  /// Slots of eligible servers (BackendPool::IsEligible), ejected ones
  /// included, by region.
  std::map<RegionId, double> mEligibleCapacity;
  /// Slots that requests from a region's callers keep busy, in any region;
  /// without mBoundDemand.
  std::map<RegionId, double> mDemand;
  /// Slots that requests keep busy which are directed to a region because they
  /// may not run in others, by that region.
  std::map<RegionId, double> mBoundDemand;
  /// Requests per second of the own region's callers.
  double mRequestsPerSecond = 0;
  /// Whether the own region has almost no requests. A change of shares then
  /// moves none, and mDemand is an estimate.
  bool mIsIdle = false;
};

/// Estimates the demand before there are requests to measure. Assumes that VMs
/// are distributed like callers and that the total demand uses the given
/// fraction of the total capacity. Thread-safe.
std::map<RegionId, double> EstimateInitialDemand(
  const std::map<RegionId, double>& aCapacity,
  const std::map<RegionId, std::size_t>& aVms,
  double aUtilization);

/// Fraction of the own region's requests that each region serves.
using RegionShares = std::map<RegionId, double>;

/// Computes the target shares, independent of the current ones: the own
/// region's capacity first, then the spare capacity of others. What is bound to
/// a region comes before what may run elsewhere. Empty if there are no servers.
/// aUtilization is the fraction of its slots that a region uses before it sends
/// requests to other regions. Thread-safe.
RegionShares PlanShares(const RegionalLoad& aLoad,
                        const RegionId& aOwn,
                        double aUtilization);

/// Current shares of every service. Not thread-safe; owned by the gateway.
class RegionPlan
{
public:
  struct Options
  {
    RegionId mOwnRegion;
    /// Utilization of a region's slots above which its queues grow fast. It is
    /// lower than for slots that share one queue, because an object is bound to
    /// few servers, and requests queue there while others have free slots.
    double mUtilization = 0.55;
    /// Maximum fraction of the own region's requests whose region may change
    /// from one mShiftWindow to the next. Shares change slower than that,
    /// because the fraction that is observed also varies at random.
    double mMaxShift = 0.15;
    Duration mShiftWindow = std::chrono::seconds(2);
    /// Standard deviations of that random variation that are kept free, and the
    /// smallest fraction of mMaxShift that is used in any case.
    double mShiftDeviations = 2;
    double mMinShiftUse = 0.47;
    /// The same after an urgent loss of servers, when a slow change would make
    /// requests fail.
    double mUrgentMaxChangePerSecond = 0.5;
    /// Fraction of a region's eligible capacity whose loss is urgent.
    double mUrgentLossFraction = 0.2;
    /// Time after an urgent loss in which the urgent limit applies.
    Duration mUrgentTime = std::chrono::seconds(4);
  };

  explicit RegionPlan(Options aOptions);

  /// Moves the service's shares towards the target. They are set at once on the
  /// first call and while there are no requests (RegionalLoad::mIsIdle).
  void Update(const ServiceId& aService,
              const RegionalLoad& aLoad,
              TimePoint aNow);

  /// Returns the regions in order of preference for a request, of those for
  /// which aMayServe returns true. aPosition is in [0, 1) and equal for all
  /// requests of one object, so that a change of shares moves few objects.
  /// Requests are divided in proportion to the shares, or to the capacities if
  /// no such region has a share. Regions without a share come last, the largest
  /// first. Empty if the service is unknown.
  std::vector<RegionId> Rank(
    const ServiceId& aService,
    double aPosition,
    const std::function<bool(const RegionId&)>& aMayServe) const;
  /// The same for requests that all regions may serve.
  std::vector<RegionId> Rank(const ServiceId& aService, double aPosition) const;

  /// Returns null if the service is unknown.
  const RegionShares* Shares(const ServiceId& aService) const;

  /// Fraction of the requests whose region may change per second, at a given
  /// rate of requests and without an urgent loss.
  double MaxChangePerSecond(double aRequestsPerSecond) const;

private:
  struct Service
  {
    RegionShares mShares;
    std::map<RegionId, double> mEligibleCapacity;
    TimePoint mUpdatedAt{};
    TimePoint mUrgentUntil{};
  };

  /// Whether a region with a share has lost an urgent fraction of its capacity.
  bool HasLostCapacity(const Service& aService,
                       const RegionalLoad& aLoad) const;

  Options mOptions;
  std::unordered_map<ServiceId, Service> mServices;
};

} // namespace cranberrywing::gateway
