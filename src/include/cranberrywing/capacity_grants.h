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
  /// Forgets expired grants.
  void Tick(TimePoint aNow);
  /// What may still be reserved.
  std::vector<CapacityOffer> Offers(TimePoint aNow) const;
  /// Requests per second granted and not expired.
  double Granted(const ServiceId& aService, TimePoint aNow) const;
  /// Part of this VM's fraction that is granted.
  double Use(const ServiceId& aService, TimePoint aNow) const;

private:
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
    std::deque<UseSample> mUse;
  };

  using GrantKey = std::pair<VmIncarnation, std::uint64_t>;

  struct ServiceInfo
  {
    bool mIsLocal = false;
    double mBytesPerRequest = 0;
  };

  /// Requests per second that the asking VM may send at present.
  double Committed(const Grant& aGrant, TimePoint aNow) const;
  /// Traffic under the grant that the measured load surely contains.
  double Measured(const Grant& aGrant, TimePoint aNow) const;
  void RecordUse(Grant& aGrant, double aUsed, TimePoint aNow) const;
  /// Most that all grants of the service may add up to; nullopt without
  /// fresh measurements.
  std::optional<double> Allowance(const ServiceId& aService,
                                  TimePoint aNow) const;
  double LinkAllowance(const RegionId& aFrom,
                       const Grant* aExcept,
                       TimePoint aNow) const;
  double Decide(const Grant& aGrant, double aAsked, TimePoint aNow) const;
  double LeastFraction() const;

  Options mOptions;
  const OfferBookHooks& mHooks;
  RegionLinks mLinks;
  std::map<ServiceId, ServiceInfo> mServices;
  std::map<GrantKey, Grant> mGrants;
};

} // namespace cranberrywing
