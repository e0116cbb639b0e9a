/// \file
/// The asking side of reservations: offers heard, and capacity reserved in
/// other regions (design 3.5).
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

  /// Requests per second that a service needs in other regions.
  struct Need
  {
    /// In a given region.
    std::map<RegionId, double> mByRegion;
    /// Wherever there is some, nearest first.
    double mAnywhere = 0;
  };
  /// Asks for, renews, lowers and releases reservations so that they cover
  /// the need. To be called a few times a second.
  void Cover(const ServiceId& aService,
             const Need& aNeed,
             TimePoint aNow,
             EffectList& aOut);

  /// Takes one request out of the region's reservations.
  bool TryTake(const ServiceId& aService,
               const RegionId& aRegion,
               TimePoint aNow);
  /// As TryTake, from the nearest region that has any; null if none has.
  const RegionId* TryTakeNearest(const ServiceId& aService, TimePoint aNow);
  double Reserved(const ServiceId& aService,
                  const RegionId& aRegion,
                  TimePoint aNow) const;
  void Tick(TimePoint aNow);

private:
  /// An offer as last announced by its VM.
  struct Offer
  {
    VmIncarnation mVm;
    RegionId mRegion;
    double mLeft = 0;
    /// Part of what was asked for of late that was granted: others ask for the
    /// same offer.
    double mYield = 1;
    TimePoint mExpiry{};
  };

  /// A request for a reservation that may still be answered.
  struct Ask
  {
    std::uint32_t mSequence = 0;
    TimePoint mTime{};
    double mAmount = 0;
    /// Granted when it was sent.
    double mHeld = 0;
  };

  /// One per service and offering VM.
  struct Reservation
  {
    VmIncarnation mVm;
    RegionId mRegion;
    std::uint64_t mNumber = 0;
    std::uint32_t mLastSequence = 0;
    std::uint32_t mAnswered = 0;
    std::deque<Ask> mAsks;
    /// Requests per second to ask for.
    double mWanted = 0;
    double mGranted = 0;
    TimePoint mExpiry{};
    TimePoint mLastAsk{};
    double mLastAmount = 0;
    /// Or the time of its making.
    TimePoint mLastAnswer{};
    double mTokens = 0;
    TimePoint mRefilled{};
    /// Requests sent since the last ask.
    std::uint64_t mSent = 0;
    double mUsedPerSecond = 0;

    bool IsLive(TimePoint aNow) const { return aNow < mExpiry; }
  };

  /// Greatest need of late, which fades.
  struct PeakNeed
  {
    double mAmount = 0;
    TimePoint mTime{};
  };

  struct Service
  {
    std::vector<Offer> mOffers;
    std::vector<Reservation> mReservations;
    std::map<RegionId, PeakNeed> mPeaks;
  };

  static bool IsAnswering(const Reservation& aReservation, TimePoint aNow);
  std::map<RegionId, double> Compose(const Service& aService,
                                     const Need& aNeed,
                                     TimePoint aNow) const;
  void Raise(Service& aService,
             const RegionId& aRegion,
             double aMissing,
             TimePoint aNow);
  void Lower(Service& aService, const RegionId& aRegion, double aSurplus);
  /// Takes the reply into account, if it answers a known ask.
  static void Accept(Service& aService,
                     Reservation& aReservation,
                     const message::ReservationReply& aReply,
                     TimePoint aNow);
  void SendAsk(const ServiceId& aService,
               Reservation& aReservation,
               TimePoint aNow,
               EffectList& aOut);
  static bool Take(Reservation& aReservation, TimePoint aNow);
  static void Refill(Reservation& aReservation, TimePoint aNow);

  RegionId mRegion;
  RegionLinks mLinks;
  std::map<ServiceId, Service> mServices;
  std::uint64_t mNextNumber = 1;
};

} // namespace cranberrywing
