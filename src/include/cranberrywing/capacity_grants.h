/// \file
/// The offering side of reservations: what this VM has granted of its own
/// fraction of its region's spare capacity (design 3.5).
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
    /// Part of the region's capacity that may be used.
    double mUtilization = 0.9;
    double mLinkUtilization = 0.9;
    Duration mMeasurementLag{};
  };

  /// Precondition: aHooks outlives the grants.
  CapacityGrants(Options aOptions, const OfferBookHooks& aHooks);

  void Apply(const SettingsSnapshot& aSettings, const RegionLinks& aLinks);
  /// Grants, renews or releases; the reply is for the sender. A repeated or
  /// overtaken message changes nothing.
  std::optional<message::ReservationReply> OnRequest(
    const VmIncarnation& aFrom,
    const message::ReservationRequest& aMessage,
    TimePoint aNow);
  /// Forgets expired grants; to be called about once a second.
  void Tick(TimePoint aNow);
  /// What may still be reserved.
  std::vector<CapacityOffer> Offers(TimePoint aNow) const;
  /// Requests per second granted and not expired.
  double Granted(const ServiceId& aService, TimePoint aNow) const;
  /// Part of this VM's fraction that is granted.
  double Utilization(const ServiceId& aService, TimePoint aNow) const;

private:
  /// Requests per second sent under all grants of a service, at a time.
  struct UseSample
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
    /// A higher earlier grant, which the asking VM may still use if it has
    /// not heard of the reduction.
    double mEarlier = 0;
    TimePoint mEarlierExpiry{};
    /// As the asking VM last told; requests per second.
    double mUsed = 0;
  };

  using GrantKey = std::pair<VmIncarnation, std::uint64_t>;

  struct ServiceInfo
  {
    bool mIsLocal = false;
    double mBytesPerRequest = 0;
    /// One per Tick, from the measurement lag on.
    std::deque<UseSample> mUse;
  };

  /// Requests per second that the asking VM may send at present.
  double Committed(const Grant& aGrant, TimePoint aNow) const;
  /// Requests per second sent under the service's grants: now, or the least of
  /// the last measurement lag, which the measured load contains for sure.
  double Used(const ServiceId& aService, TimePoint aNow) const;
  double LeastUsed(const ServiceId& aService) const;
  /// Most that all grants of the service may add up to, when aUsed of it is
  /// in the measured load; nullopt without fresh measurements.
  std::optional<double> Allowance(const ServiceId& aService,
                                  double aUsed,
                                  TimePoint aNow) const;
  /// The allowance for new grants.
  std::optional<double> NewAllowance(const ServiceId& aService,
                                     TimePoint aNow) const;
  double LinkAllowance(const RegionId& aFrom,
                       const Grant* aExcept,
                       TimePoint aNow) const;
  double Decide(const Grant& aGrant, double aAsked, TimePoint aNow) const;
  double Fraction(const ServiceId& aService) const;
  double LeastFraction() const;

  Options mOptions;
  const OfferBookHooks& mHooks;
  RegionLinks mLinks;
  std::map<ServiceId, ServiceInfo> mServices;
  std::map<GrantKey, Grant> mGrants;
};

} // namespace cranberrywing
