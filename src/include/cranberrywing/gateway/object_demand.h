/// \file
/// Counts the demand of this VM's callers for objects, as reported to the VMs
/// that place objects.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/messages/gateway.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Demand of callers by object, service and region that serves it. Not
/// thread-safe; owned by the gateway.
class ObjectDemandCounter
{
public:
  struct Options
  {
    /// Time constant of the moving average; that of the demand for services.
    Duration mTimeConstant = std::chrono::seconds(2);
    /// Time without requests after which an object is dropped: its average is
    /// then below a twelfth of a single request's.
    Duration mRetention = std::chrono::seconds(5);
    /// Objects tracked per service and region. If there are more, the less busy
    /// half is dropped, so that requests for ever new objects cannot exhaust
    /// the VM's memory.
    std::size_t mMaxTracked = 4096;
  };

  /// Objects of one service that are served in one region.
  struct Group
  {
    ServiceId mService;
    RegionId mRegion;

    auto operator<=>(const Group&) const = default; // NOLINT
    bool operator==(const Group&) const = default;
  };

  explicit ObjectDemandCounter(Options aOptions);

  /// Counts a request that keeps a server slot busy for aServiceTime.
  void Count(const ServiceId& aService,
             const RegionId& aRegion,
             ObjectHash aObject,
             Duration aServiceTime,
             TimePoint aNow);
  /// At most aMaxCount objects with the greatest demand, the greatest first, in
  /// busy slots.
  std::vector<ObjectDemand> Busiest(const Group& aGroup,
                                    std::size_t aMaxCount,
                                    TimePoint aNow) const;
  /// Groups with tracked objects.
  std::vector<Group> Groups() const;
  /// Drops objects without recent requests. Its cost grows with the number of
  /// tracked objects.
  void Prune(TimePoint aNow);
  /// Number of tracked objects.
  std::size_t Size() const;

private:
  struct Average
  {
    /// As of mAt.
    double mSlots = 0;
    TimePoint mAt{};
  };
  using Averages = std::unordered_map<ObjectHash, Average>;

  double SlotsOf(const Average& aAverage, TimePoint aNow) const;
  void DropLessBusyHalf(Averages& aObjects, TimePoint aNow) const;

  Options mOptions;
  std::unordered_map<ServiceId, std::unordered_map<RegionId, Averages>> mGroups;
};

} // namespace cranberrywing::gateway
