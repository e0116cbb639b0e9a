#include "cranberrywing/capacity_grants.h"

#include <algorithm>
#include <limits>

namespace cranberrywing {

namespace {

constexpr double kMillionth = 1e-6;
/// Part of the capacity by which renewals may go beyond the allowance, for the
/// noise of load reports.
constexpr double kRenewalSlack = 0.02;
/// Smaller offers are not worth a message.
constexpr double kLeastOffer = 0.1;

} // namespace

CapacityGrants::CapacityGrants(Options aOptions, const OfferBookHooks& aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(aHooks)
{
}

void CapacityGrants::Apply(const SettingsSnapshot& aSettings,
                           const RegionLinks& aLinks)
{
  mLinks = aLinks;
  std::erase_if(mServices, [&](const auto& aItem) {
    return !aSettings.mServices.contains(aItem.first);
  });
  for (const auto& [id, service] : aSettings.mServices) {
    ServiceInfo& info = mServices[id];
    info.mBytesPerRequest = service.mBytesPerRequest;
    info.mIsLocal = false;
    for (const BackendSettings& backend : service.mBackends) {
      info.mIsLocal |= backend.mRegion == mOptions.mRegion;
    }
  }
}

std::optional<message::ReservationReply> CapacityGrants::OnRequest(
  const VmIncarnation& aFrom,
  const message::ReservationRequest& aMessage,
  TimePoint aNow)
{
  if (aMessage.mToRegion != mOptions.mRegion) {
    return std::nullopt;
  }
  Grant& grant = mGrants[{ aFrom, aMessage.mNumber }];
  if (aMessage.mSequence < grant.mSequence) {
    return std::nullopt;
  }
  const bool isRepeat =
    aMessage.mSequence == grant.mSequence && grant.mExpiry != TimePoint{};
  if (!isRepeat) {
    grant.mService = aMessage.mService;
    grant.mFromRegion = aMessage.mFromRegion;
    grant.mSequence = aMessage.mSequence;
    grant.mUsed = std::max(0.0, aMessage.mUsedPerSecond);
    const double asked = std::max(0.0, aMessage.mRequestsPerSecond);
    const double granted = Decide(grant, asked, aNow);
    // The asking VM keeps to what it asked for from its asking on, and to
    // what is granted from the reply on, which may be lost.
    const double mayUse = std::min(Committed(grant, aNow), asked);
    if (mayUse > granted) {
      grant.mEarlierExpiry = std::max(grant.mExpiry, grant.mEarlierExpiry);
      grant.mEarlier = mayUse;
    } else {
      grant.mEarlier = 0;
    }
    grant.mGranted = granted;
    grant.mExpiry = aNow + WithDriftMargin(mOptions.mLifetime);
  }
  const auto lifetime =
    std::chrono::duration_cast<Milliseconds>(mOptions.mLifetime);
  return message::ReservationReply{
    aMessage.mNumber,
    grant.mGranted,
    static_cast<std::uint32_t>(lifetime.count()),
    aMessage.mSequence,
  };
}

void CapacityGrants::Tick(TimePoint aNow)
{
  std::erase_if(mGrants, [&](const auto& aItem) {
    const Grant& grant = aItem.second;
    return aNow >= std::max(grant.mExpiry, grant.mEarlierExpiry);
  });
  for (auto& [id, info] : mServices) {
    info.mUse.push_back({ aNow, Used(id, aNow) });
    // One sample older than the lag stays, to cover the whole of it.
    while (info.mUse.size() > 1 &&
           info.mUse[1].mTime <= aNow - mOptions.mMeasurementLag) {
      info.mUse.pop_front();
    }
  }
}

std::vector<CapacityOffer> CapacityGrants::Offers(TimePoint aNow) const
{
  std::vector<CapacityOffer> offers;
  const auto lifetime =
    std::chrono::duration_cast<Milliseconds>(mOptions.mLifetime);
  for (const auto& [id, info] : mServices) {
    if (!info.mIsLocal) {
      continue;
    }
    const std::optional<double> allowance = NewAllowance(id, aNow);
    const double offered = allowance ? *allowance - Granted(id, aNow) : 0;
    if (offered >= kLeastOffer) {
      offers.push_back({ id,
                         mOptions.mRegion,
                         offered,
                         static_cast<std::uint32_t>(lifetime.count()) });
    }
  }
  return offers;
}

double CapacityGrants::Granted(const ServiceId& aService, TimePoint aNow) const
{
  double granted = 0;
  for (const auto& [key, grant] : mGrants) {
    if (grant.mService == aService) {
      granted += Committed(grant, aNow);
    }
  }
  return granted;
}

double CapacityGrants::Utilization(const ServiceId& aService,
                                   TimePoint aNow) const
{
  const std::optional<double> allowance = NewAllowance(aService, aNow);
  if (!allowance || *allowance <= 0) {
    return 0;
  }
  return Granted(aService, aNow) / *allowance;
}

double CapacityGrants::Committed(const Grant& aGrant, TimePoint aNow) const
{
  const double granted = aNow < aGrant.mExpiry ? aGrant.mGranted : 0;
  const double earlier = aNow < aGrant.mEarlierExpiry ? aGrant.mEarlier : 0;
  return std::max(granted, earlier);
}

double CapacityGrants::Used(const ServiceId& aService, TimePoint aNow) const
{
  double used = 0;
  for (const auto& [key, grant] : mGrants) {
    if (grant.mService == aService) {
      used += std::min(grant.mUsed, Committed(grant, aNow));
    }
  }
  return used;
}

double CapacityGrants::LeastUsed(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end() || it->second.mUse.empty()) {
    return 0;
  }
  double least = it->second.mUse.front().mUsedPerSecond;
  for (const UseSample& sample : it->second.mUse) {
    least = std::min(least, sample.mUsedPerSecond);
  }
  return least;
}

double CapacityGrants::Fraction(const ServiceId& aService) const
{
  return mHooks.mFraction(aService) * kMillionth;
}

std::optional<double> CapacityGrants::Allowance(const ServiceId& aService,
                                                double aUsed,
                                                TimePoint aNow) const
{
  const std::optional<double> rate =
    mHooks.mReportedRate(aService, mOptions.mRegion, aNow);
  if (!rate) {
    return std::nullopt;
  }
  const double capacity =
    mHooks.mCapacity(aService, mOptions.mRegion, aNow) * mOptions.mUtilization;
  return std::max(0.0, aUsed + Fraction(aService) * (capacity - *rate));
}

std::optional<double> CapacityGrants::NewAllowance(const ServiceId& aService,
                                                   TimePoint aNow) const
{
  return Allowance(aService, LeastUsed(aService), aNow);
}

double CapacityGrants::LeastFraction() const
{
  std::optional<std::uint32_t> least;
  for (const auto& [id, info] : mServices) {
    if (info.mIsLocal) {
      const std::uint32_t fraction = mHooks.mFraction(id);
      least = least ? std::min(*least, fraction) : fraction;
    }
  }
  return least.value_or(0) * kMillionth;
}

double CapacityGrants::LinkAllowance(const RegionId& aFrom,
                                     const Grant* aExcept,
                                     TimePoint aNow) const
{
  const std::optional<double> bytes = mLinks.BytesPerSecond(aFrom);
  if (!bytes) {
    return std::numeric_limits<double>::infinity();
  }
  // A link is shared by all services, so this VM's part of it is the least of
  // its fractions: those add up to at most the whole over all VMs.
  double left = *bytes * mOptions.mLinkUtilization * LeastFraction();
  for (const auto& [key, grant] : mGrants) {
    if (&grant == aExcept || grant.mFromRegion != aFrom) {
      continue;
    }
    const auto it = mServices.find(grant.mService);
    if (it != mServices.end()) {
      left -= Committed(grant, aNow) * it->second.mBytesPerRequest;
    }
  }
  return std::max(0.0, left);
}

double CapacityGrants::Decide(const Grant& aGrant,
                              double aAsked,
                              TimePoint aNow) const
{
  const auto it = mServices.find(aGrant.mService);
  if (aAsked <= 0 || it == mServices.end() || !it->second.mIsLocal) {
    return 0;
  }
  const double own = Committed(aGrant, aNow);
  const double others = Granted(aGrant.mService, aNow) - own;
  const std::optional<double> allowance =
    Allowance(aGrant.mService, Used(aGrant.mService, aNow), aNow);
  // Without measurements nothing new is granted, and what is held stays.
  double free = own;
  if (allowance) {
    // What is held counts as measured at once, and stays as long as that is
    // possible; only what is new waits for the measurements to show all use.
    const double slack =
      kRenewalSlack * Fraction(aGrant.mService) *
      mHooks.mCapacity(aGrant.mService, mOptions.mRegion, aNow);
    const double kept = std::min(own, *allowance + slack - others);
    const double fresh = *NewAllowance(aGrant.mService, aNow) - others;
    free = std::max(kept, fresh);
  }
  double granted = std::min(aAsked, std::max(0.0, free));
  const double perRequest = it->second.mBytesPerRequest;
  if (perRequest > 0) {
    const double bytes = LinkAllowance(aGrant.mFromRegion, &aGrant, aNow);
    granted = std::min(granted, bytes / perRequest);
  }
  return granted;
}

} // namespace cranberrywing
