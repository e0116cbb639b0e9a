#include "cranberrywing/capacity_grants.h"

#include <algorithm>
#include <limits>

namespace cranberrywing {

namespace {

constexpr double kMillionth = 1e-6;
/// Fraction of the capacity by which renewals may exceed the allowance, to
/// tolerate noise in load reports.
constexpr double kRenewalSlack = 0.02;
/// Minimum offer in requests per second that is worth a message.
constexpr double kMinOffer = 0.1;

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
    const double granted = ComputeGrant(grant, asked, aNow);
    // The requesting VM limits itself to the requested amount when it sends the
    // request, and to the granted amount when it receives the reply, which may
    // be lost.
    const double mayStillUse = std::min(Committed(grant, aNow), asked);
    if (mayStillUse > granted) {
      grant.mPreviousExpiry = std::max(grant.mExpiry, grant.mPreviousExpiry);
      grant.mPreviousGranted = mayStillUse;
    } else {
      grant.mPreviousGranted = 0;
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
    return aNow >= std::max(grant.mExpiry, grant.mPreviousExpiry);
  });
  for (auto& [id, info] : mServices) {
    info.mUsageSamples.push_back({ aNow, Used(id, aNow) });
    // Keep one sample older than the lag, so that the samples cover the whole
    // of it.
    while (info.mUsageSamples.size() > 1 &&
           info.mUsageSamples[1].mTime <= aNow - mOptions.mMeasurementLag) {
      info.mUsageSamples.pop_front();
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
    if (offered >= kMinOffer) {
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
  const double earlier =
    aNow < aGrant.mPreviousExpiry ? aGrant.mPreviousGranted : 0;
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

double CapacityGrants::MinUsed(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end() || it->second.mUsageSamples.empty()) {
    return 0;
  }
  double minimum = it->second.mUsageSamples.front().mUsedPerSecond;
  for (const UsageSample& sample : it->second.mUsageSamples) {
    minimum = std::min(minimum, sample.mUsedPerSecond);
  }
  return minimum;
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
  return Allowance(aService, MinUsed(aService), aNow);
}

double CapacityGrants::MinFraction() const
{
  std::optional<std::uint32_t> minimum;
  for (const auto& [id, info] : mServices) {
    if (info.mIsLocal) {
      const std::uint32_t fraction = mHooks.mFraction(id);
      minimum = minimum ? std::min(*minimum, fraction) : fraction;
    }
  }
  return minimum.value_or(0) * kMillionth;
}

double CapacityGrants::LinkAllowance(const RegionId& aFrom,
                                     const Grant* aExcluded,
                                     TimePoint aNow) const
{
  const std::optional<double> bytes = mLinks.BytesPerSecond(aFrom);
  if (!bytes) {
    return std::numeric_limits<double>::infinity();
  }
  // A link is shared by all services, so this VM's part of it is its minimum
  // fraction over the services: over all VMs, these add up to at most the
  // whole.
  double remaining = *bytes * mOptions.mLinkUtilization * MinFraction();
  for (const auto& [key, grant] : mGrants) {
    if (&grant == aExcluded || grant.mFromRegion != aFrom) {
      continue;
    }
    const auto it = mServices.find(grant.mService);
    if (it != mServices.end()) {
      remaining -= Committed(grant, aNow) * it->second.mBytesPerRequest;
    }
  }
  return std::max(0.0, remaining);
}

double CapacityGrants::ComputeGrant(const Grant& aGrant,
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
  // Without measurements nothing new is granted, and existing grants are
  // renewed.
  double available = own;
  if (allowance) {
    // An existing grant counts as measured at once and is renewed as far as
    // possible. Only an increase waits until the measurements contain all
    // usage.
    const double slack =
      kRenewalSlack * Fraction(aGrant.mService) *
      mHooks.mCapacity(aGrant.mService, mOptions.mRegion, aNow);
    const double renewable = std::min(own, *allowance + slack - others);
    const double additional = *NewAllowance(aGrant.mService, aNow) - others;
    available = std::max(renewable, additional);
  }
  double granted = std::min(aAsked, std::max(0.0, available));
  const double perRequest = it->second.mBytesPerRequest;
  if (perRequest > 0) {
    const double bytes = LinkAllowance(aGrant.mFromRegion, &aGrant, aNow);
    granted = std::min(granted, bytes / perRequest);
  }
  return granted;
}

} // namespace cranberrywing
