/// \file
/// Spare capacity offered between regions and reserved before it is used
/// (design 3.5).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

struct OfferBookHooks
{
  /// This process's fraction of its region's spare capacity for a service, in
  /// millionths.
  std::function<std::uint32_t(const ServiceId&)> mFraction;
  /// Requests per second that a region can carry for a service.
  std::function<double(const ServiceId&, const RegionId&, TimePoint)> mCapacity;
  /// Reported requests per second of a region for a service, if fresh.
  std::function<
    std::optional<double>(const ServiceId&, const RegionId&, TimePoint)>
    mReportedRate;
  /// Part of the service's local traffic that shifts move to other regions.
  std::function<std::vector<std::pair<RegionId, double>>(const ServiceId&,
                                                         TimePoint)>
    mShifted;
  /// Peers of other regions to which offers are announced.
  std::function<std::vector<VmId>()> mAudience;
};

/// Not thread-safe; owned by the reducer.
class OfferBook
{
public:
  struct Options
  {
    RegionId mRegion;
    std::uint64_t mSeed = 1;
    Duration mOfferLifetime = std::chrono::seconds(5);
    /// Utilization above which local traffic spills to other regions.
    double mSpillUtilization = 0.9;
  };

  OfferBook(Options aOptions, OfferBookHooks aHooks);

  void Apply(const SettingsSnapshot& aSettings);
  /// Region that is to carry the service's next request: this VM's own, or
  /// one in which capacity is reserved.
  RegionId ChooseRegion(const ServiceId& aService, TimePoint aNow);
  /// Requests per second reserved in another region.
  double Reserved(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::OfferAnnouncement& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ReservationRequest& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ReservationReply& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

private:
  Options mOptions;
  OfferBookHooks mHooks;
};

} // namespace cranberrywing
