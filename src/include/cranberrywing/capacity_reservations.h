/// \file
/// Requesting side of capacity reservations: tracks the offers of other regions
/// and reserves capacity there (design 3.5).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/message.h"
#include "cranberrywing/region_links.h"

namespace cranberrywing {

/// Not thread-safe; owned by OfferBook.
class CapacityReservations
{
public:
  explicit CapacityReservations(RegionId aRegion);

  void Apply(const RegionLinks& aLinks);
  void OnOffers(const VmIncarnation& aFrom,
                const message::OfferAnnouncement& aMessage,
                TimePoint aNow);
  void OnReply(const VmIncarnation& aFrom,
               const message::ReservationReply& aMessage,
               TimePoint aNow);

  /// Demand of a service for capacity in other regions, in requests per second.
  struct Demand
  {
    /// Demand for capacity in a specific region.
    std::map<RegionId, double> mByRegion;
    /// Demand that any region may serve, the nearest first.
    double mAnyRegion = 0;
  };
  /// Requests, renews, reduces and releases reservations so that they cover the
  /// demand. To be called a few times a second.
  void Adjust(const ServiceId& aService,
              const Demand& aDemand,
              TimePoint aNow,
              EffectList& aOut);

  /// Uses the region's reservations for one request. False if they have no
  /// capacity left.
  bool TryTake(const ServiceId& aService,
               const RegionId& aRegion,
               TimePoint aNow);
  /// Same as TryTake for the nearest region with capacity left; null if there
  /// is none.
  const RegionId* TryTakeNearest(const ServiceId& aService, TimePoint aNow);
  double Reserved(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  void Tick(TimePoint aNow);

private:
  /// Last offer announced by a VM.
  struct Offer
  {
    VmIncarnation mVm;
    RegionId mRegion;
    double mAvailable = 0;
    /// Smoothed ratio of granted to requested capacity. It is below 1 when
    /// other VMs request the same offer.
    double mGrantRatio = 1;
    TimePoint mExpiry{};
  };

  /// A reservation request whose reply may still arrive.
  struct PendingRequest
  {
    std::uint32_t mSequence = 0;
    TimePoint mTime{};
    double mAmount = 0;
    /// Capacity granted when the request was sent, in requests per second.
    double mPreviouslyGranted = 0;
  };

  /// Capacity reserved at one VM for one service.
  struct Reservation
  {
    VmIncarnation mVm;
    RegionId mRegion;
    std::uint64_t mNumber = 0;
    std::uint32_t mLastSequence = 0;
    std::uint32_t mAnsweredSequence = 0;
    std::deque<PendingRequest> mPendingRequests;
    /// Capacity to request, in requests per second.
    double mTarget = 0;
    double mGranted = 0;
    TimePoint mExpiry{};
    TimePoint mLastRequestTime{};
    double mLastRequested = 0;
    /// Time of the last reply; of the reservation's creation before the first
    /// one.
    TimePoint mLastReplyTime{};
    double mTokens = 0;
    TimePoint mLastRefill{};
    /// Requests routed since the last reservation request.
    std::uint64_t mSent = 0;
    double mUsedPerSecond = 0;

    bool IsLive(TimePoint aNow) const { return aNow < mExpiry; }
  };

  /// Recent maximum of the demand, which decays exponentially.
  struct PeakDemand
  {
    double mAmount = 0;
    TimePoint mTime{};
  };

  struct Service
  {
    std::vector<Offer> mOffers;
    std::vector<Reservation> mReservations;
    std::map<RegionId, PeakDemand> mPeaks;
  };

  static bool IsResponsive(const Reservation& aReservation, TimePoint aNow);
  std::map<RegionId, double> AllocateDemand(const Service& aService,
                                            const Demand& aDemand,
                                            TimePoint aNow) const;
  void Increase(Service& aService,
                const RegionId& aRegion,
                double aMissing,
                TimePoint aNow);
  void Decrease(Service& aService, const RegionId& aRegion, double aSurplus);
  /// Applies a reply if it answers a pending request.
  static void ApplyReply(Service& aService,
                         Reservation& aReservation,
                         const message::ReservationReply& aReply,
                         TimePoint aNow);
  void SendRequest(const ServiceId& aService,
                   Reservation& aReservation,
                   TimePoint aNow,
                   EffectList& aOut);
  static bool TakeToken(Reservation& aReservation, TimePoint aNow);
  static void Refill(Reservation& aReservation, TimePoint aNow);

  RegionId mRegion;
  RegionLinks mLinks;
  std::map<ServiceId, Service> mServices;
  std::uint64_t mNextNumber = 1;
};

} // namespace cranberrywing
