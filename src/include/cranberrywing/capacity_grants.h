/// \file
/// Offering side of capacity reservations: grants parts of this VM's fraction
/// of its region's spare capacity to VMs of other regions (design 3.5).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cranberrywing/message.h"
#include "cranberrywing/offer_hooks.h"
#include "cranberrywing/region_links.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Not thread-safe; owned by OfferBook.
class CapacityGrants
{
public:
  struct Options
  {
    RegionId mRegion;
    Duration mLifetime{};
    /// Utilization of the region's servers up to which capacity is granted,
    /// from 0 to 1.
    double mUtilization = 0.9;
    double mLinkUtilization = 0.9;
    Duration mMeasurementLag{};
  };

  /// Precondition: aHooks outlives the grants.
  CapacityGrants(Options aOptions, const OfferBookHooks& aHooks);

  void Apply(const SettingsSnapshot& aSettings, const RegionLinks& aLinks);
  /// Grants, renews or releases a reservation and returns the reply for the
  /// sender. Returns nullopt for another region's request and for one that a
  /// newer request overtook. A repeated request is answered as before and
  /// changes no grant.
  std::optional<message::ReservationReply> OnRequest(
    const VmIncarnation& aFrom,
    const message::ReservationRequest& aMessage,
    TimePoint aNow);
  /// Removes expired grants and samples their usage. To be called about once a
  /// second.
  void Tick(TimePoint aNow);
  /// Capacity that can still be reserved.
  std::vector<CapacityOffer> Offers(TimePoint aNow) const;
  /// Total of the unexpired grants, in requests per second.
  double Granted(const ServiceId& aService, TimePoint aNow) const;
  /// Fraction of this VM's allowance that is granted, from 0; 0 without recent
  /// measurements. It may exceed 1 if the allowance has shrunk.
  double Utilization(const ServiceId& aService, TimePoint aNow) const;

private:
  /// Request rate under all grants of a service at one time.
  struct UsageSample
  {
    TimePoint mTime{};
    double mUsedPerSecond = 0;
  };

  struct Grant
  {
    ServiceId mService;
    RegionId mFromRegion;
    std::uint32_t mSequence = 0;
    double mGranted = 0;
    TimePoint mExpiry{};
    /// Higher amount granted before, in requests per second. The requesting VM
    /// may still use it, since it may not have received the reply with the
    /// reduction. Zero if there is none.
    double mPreviousGranted = 0;
    TimePoint mPreviousExpiry{};
    /// Request rate that the requesting VM last reported, in requests per
    /// second.
    double mUsed = 0;
  };

  using GrantKey = std::pair<VmIncarnation, std::uint64_t>;

  struct ServiceInfo
  {
    bool mIsLocal = false;
    double mBytesPerRequest = 0;
    /// Samples of the last measurement lag, one per Tick.
    std::deque<UsageSample> mUsageSamples;
  };

  /// Requests per second that the requesting VM may send at present: the higher
  /// of the present and the previous grant.
  double Committed(const Grant& aGrant, TimePoint aNow) const;
  /// Request rate under the service's grants. MinUsed is its minimum over the
  /// last measurement lag, which the measured load is certain to contain.
  double Used(const ServiceId& aService, TimePoint aNow) const;
  double MinUsed(const ServiceId& aService) const;
  /// Maximum sum of the service's grants in requests per second, when aUsed of
  /// it is already contained in the measured load; nullopt without recent
  /// measurements.
  std::optional<double> Allowance(const ServiceId& aService,
                                  double aUsed,
                                  TimePoint aNow) const;
  /// Allowance that new grants may fill.
  std::optional<double> NewAllowance(const ServiceId& aService,
                                     TimePoint aNow) const;
  double LinkAllowance(const RegionId& aFrom,
                       const Grant* aExcluded,
                       TimePoint aNow) const;
  double ComputeGrant(const Grant& aGrant, double aAsked, TimePoint aNow) const;
  double Fraction(const ServiceId& aService) const;
  double MinFraction() const;

  Options mOptions;
  const OfferBookHooks& mHooks;
  RegionLinks mLinks;
  std::map<ServiceId, ServiceInfo> mServices;
  std::map<GrantKey, Grant> mGrants;
};

} // namespace cranberrywing
