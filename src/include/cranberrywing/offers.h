/// \file
/// Offers of spare capacity between regions, which must be reserved before it
/// is used (design 3.5).
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
    /// Utilization above which local traffic spills to other regions, and up to
    /// which capacity is offered to them. It must be below the utilization at
    /// which fair queues hold back requests, which would hide the need to
    /// spill.
    double mSpillUtilization = 0.8;
    /// Fraction of the bandwidth of a link between regions that reservations
    /// may fill.
    double mLinkUtilization = 0.9;
    /// Maximum time from a change of traffic to the load reports that show it.
    Duration mMeasurementLag = std::chrono::seconds(5);
    /// Number of peers to which one announcement is sent; the others follow in
    /// later rounds.
    std::size_t mPeersPerAnnouncement = 16;
  };

  OfferBook(Options aOptions, OfferBookHooks aHooks);
  OfferBook(const OfferBook&) = delete;
  OfferBook& operator=(const OfferBook&) = delete;

  void Apply(const SettingsSnapshot& aSettings);
  /// Chooses the region that serves the service's next request: this VM's own
  /// or one in which capacity is reserved.
  RegionId ChooseRegion(const ServiceId& aService, TimePoint aNow);
  /// Requests per second reserved in another region.
  double Reserved(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  /// Whether the reservations in the region cover the traffic that shifts move
  /// there.
  bool IsCovered(const ServiceId& aService,
                 const RegionId& aRegion,
                 TimePoint aNow) const;
  /// Capacity of this VM that other VMs have reserved, in requests per second.
  double Granted(const ServiceId& aService, TimePoint aNow) const;
  /// Fraction of this VM's part of the spare capacity that is reserved, for
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
  struct ShiftedTraffic
  {
    RegionId mRegion;
    double mFraction = 0;
    /// Accumulated requests due to the region; at 1, one is sent there.
    double mCredit = 0;
  };

  /// Traffic of one service that arrives at this VM.
  struct Traffic
  {
    std::uint64_t mArrivals = 0;
    std::uint64_t mLocalArrivals = 0;
    /// All arrivals and those kept local, in requests per second, smoothed.
    double mRate = 0;
    double mLocalRate = 0;
    std::vector<ShiftedTraffic> mShifted;
    /// Rate to spill in requests per second, and as a fraction of the arrivals.
    double mSpill = 0;
    double mSpillFraction = 0;
    double mSpillCredit = 0;
  };

  void UpdateRates(Traffic& aTraffic, double aSeconds);
  void UpdateShifted(const ServiceId& aService,
                     Traffic& aTraffic,
                     TimePoint aNow);
  void UpdateSpill(const ServiceId& aService,
                   Traffic& aTraffic,
                   TimePoint aNow);
  void Announce(TimePoint aNow, EffectList& aOut);
  bool TryRouteShifted(const ServiceId& aService,
                       Traffic& aTraffic,
                       TimePoint aNow,
                       RegionId& aRegion);
  bool TryRouteSpilled(const ServiceId& aService,
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
