/// \file
/// Spare capacity offered between regions and reserved before it is used
/// (design 3.5).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cranberrywing/capacity_grants.h"
#include "cranberrywing/capacity_reservations.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/offer_hooks.h"
#include "cranberrywing/region_links.h"

namespace cranberrywing {

/// Not thread-safe; owned by the reducer.
class OfferBook
{
public:
  struct Options
  {
    RegionId mRegion;
    std::uint64_t mSeed = 1;
    Duration mOfferLifetime = std::chrono::seconds(5);
    /// Utilization above which local traffic spills to other regions, and up
    /// to which capacity is offered to them. Below the utilization at which
    /// fair queues hold requests back, which would hide the need to spill.
    double mSpillUtilization = 0.8;
    /// Part of a link between regions that reservations may fill.
    double mLinkUtilization = 0.9;
    /// Longest time from a change of traffic to the reports that show it.
    Duration mMeasurementLag = std::chrono::seconds(5);
    /// Peers that get one announcement; more get theirs in later rounds.
    std::size_t mAnnouncedPeers = 16;
  };

  OfferBook(Options aOptions, OfferBookHooks aHooks);
  OfferBook(const OfferBook&) = delete;
  OfferBook& operator=(const OfferBook&) = delete;

  void Apply(const SettingsSnapshot& aSettings);
  /// Region that is to carry the service's next request: this VM's own, or
  /// one in which capacity is reserved.
  RegionId ChooseRegion(const ServiceId& aService, TimePoint aNow);
  /// Requests per second reserved in another region.
  double Reserved(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  /// Whether the reservations in the region carry what shifts move there.
  bool IsCovered(const ServiceId& aService,
                 const RegionId& aRegion,
                 TimePoint aNow) const;
  /// Requests per second of this VM that other VMs have reserved.
  double Granted(const ServiceId& aService, TimePoint aNow) const;
  /// Part of this VM's fraction of the spare capacity that is reserved, for
  /// ShareLedger::ReportUtilization.
  double Utilization(const ServiceId& aService, TimePoint aNow) const;

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
  struct MovedPart
  {
    RegionId mRegion;
    double mPart = 0;
    /// Requests owed to the region; one goes there at 1.
    double mCredit = 0;
  };

  /// This VM's traffic of one service.
  struct Traffic
  {
    std::uint64_t mArrivals = 0;
    std::uint64_t mKeptLocal = 0;
    /// Requests per second, smoothed.
    double mRate = 0;
    double mLocalRate = 0;
    std::vector<MovedPart> mMoved;
    /// Requests per second to spill, and that as a part of the traffic.
    double mSpill = 0;
    double mSpillPart = 0;
    double mSpillCredit = 0;
  };

  void Measure(Traffic& aTraffic, double aSeconds);
  void UpdateMoved(const ServiceId& aService,
                   Traffic& aTraffic,
                   TimePoint aNow);
  void UpdateSpill(const ServiceId& aService,
                   Traffic& aTraffic,
                   TimePoint aNow);
  void Announce(TimePoint aNow, EffectList& aOut);
  bool TakeMoved(const ServiceId& aService,
                 Traffic& aTraffic,
                 TimePoint aNow,
                 RegionId& aRegion);
  bool TakeSpilled(const ServiceId& aService,
                   Traffic& aTraffic,
                   TimePoint aNow,
                   RegionId& aRegion);

  Options mOptions;
  OfferBookHooks mHooks;
  RegionLinks mLinks;
  CapacityGrants mGrants;
  CapacityReservations mReservations;
  std::map<ServiceId, Traffic> mTraffic;
  TimePoint mNextControl{};
  TimePoint mLastControl{};
  TimePoint mNextAnnouncement{};
  std::size_t mNextPeer = 0;
};

} // namespace cranberrywing
