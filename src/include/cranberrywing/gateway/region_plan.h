/// \file
/// Which region's backend servers take which part of this region's requests.
///
/// Each region serves its own demand as far as its servers have room; what is
/// left goes to regions with room to spare, in proportion to it. Every VM
/// computes the plan from the same gossiped demand and the same
/// registrations. Shares move slowly, so that deciders that act on one lagging
/// measurement cannot swing traffic between regions.
#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Demand and room of one service, in server slots.
struct RegionalLoad
{
  /// Slots of usable servers, by region.
  std::map<RegionId, double> mCapacity;
  /// Slots of registered servers that are to be used, whether this VM has
  /// failures with them or not.
  std::map<RegionId, double> mOffered;
  /// Busy slots that requests from a region cause, wherever they run.
  std::map<RegionId, double> mDemand;
  /// Whether the own region has no requests yet, so that a change of shares
  /// moves none and mDemand is a guess.
  bool mIsIdle = false;
};

/// Demand to plan with before there are requests: VMs stand where the callers
/// are, and the servers suffice for all at the given use. Thread-safe.
std::map<RegionId, double> GuessDemand(
  const std::map<RegionId, double>& aCapacity,
  const std::map<RegionId, std::size_t>& aVms,
  double aUtilization);

using RegionShares = std::map<RegionId, double>;

/// Shares that would serve the demand best, without regard to the past: the
/// own region first, then the spare room of others. Empty if there are no
/// servers. aUtilization is the part of its slots that a region may use before
/// it sends requests elsewhere. Thread-safe.
RegionShares PlanShares(const RegionalLoad& aLoad,
                        const RegionId& aOwn,
                        double aUtilization);

/// Not thread-safe; owned by the gateway.
class RegionPlan
{
public:
  struct Options
  {
    RegionId mOwn;
    /// Above this use of its slots a region's queues grow fast.
    double mUtilization = 0.7;
    /// Part of the requests that may change their region within a second.
    double mStepPerSecond = 0.035;
    /// The same after servers were lost, when waiting costs answers.
    double mUrgentStepPerSecond = 0.5;
    /// Loss of a region's registered servers, as a part, that is urgent.
    double mUrgentLoss = 0.35;
    Duration mUrgentTime = std::chrono::seconds(4);
  };

  explicit RegionPlan(Options aOptions);

  /// Moves the service's shares towards the best ones. The first call sets
  /// them at once.
  void Update(const ServiceId& aService,
              const RegionalLoad& aLoad,
              TimePoint aNow);

  /// Regions in order of preference for a request at aPosition (from 0 to 1,
  /// the same for all requests of one object, so that a change of the shares
  /// moves few objects). Regions without a share come last. Empty if the
  /// service is unknown.
  std::vector<RegionId> Rank(const ServiceId& aService, double aPosition) const;

  /// Null if the service is unknown.
  const RegionShares* Shares(const ServiceId& aService) const;

private:
  struct Service
  {
    RegionShares mShares;
    std::map<RegionId, double> mOffered;
    TimePoint mUpdatedAt{};
    TimePoint mUrgentUntil{};
  };

  bool HasLostRoom(const Service& aService, const RegionalLoad& aLoad) const;

  Options mOptions;
  std::unordered_map<ServiceId, Service> mServices;
};

} // namespace cranberrywing::gateway
