#include "cranberrywing/capacity_reservations.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Factor by which reservations exceed the demand, to absorb its variation.
constexpr double kDemandMargin = 1.1;
/// Reservations above this multiple of the recent maximum demand are released.
constexpr double kSurplusFactor = 1.3;
/// Time constant of the decay of the recent maximum demand.
constexpr double kPeakDecaySeconds = 5;
/// Minimum amount requested from a region, in requests per second. A shift that
/// has just started moves only a few requests a minute, and advances only when
/// these are covered.
constexpr double kMinDemand = 0.5;
/// Smaller amounts, in requests per second, are not reserved.
constexpr double kMinAmount = 0.05;
/// Unused reservation, in seconds, that may be sent as a burst.
constexpr double kBurstSeconds = 0.2;
constexpr double kMinBurst = 2;
constexpr Duration kRenewInterval = std::chrono::seconds(1);
/// Time after which an unanswered request is repeated.
constexpr Duration kRetryInterval = std::chrono::milliseconds(400);
/// Time without a reply after which a VM is no longer counted on. Its grants
/// are used until they expire.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1500);
/// Smaller relative changes of an amount wait for the next renewal.
constexpr double kChangeThreshold = 0.05;
/// Weight of one reply in an offer's grant ratio, and fraction of the distance
/// to 1 that each new announcement restores.
constexpr double kGrantRatioGain = 0.5;
constexpr double kGrantRatioRecovery = 0.1;
constexpr double kUsageSmoothing = 0.4;
constexpr double kMinUsageSeconds = 0.05;
/// Requests whose late replies are still accepted.
constexpr std::size_t kMaxPendingRequests = 16;

} // namespace

CapacityReservations::CapacityReservations(RegionId aRegion)
  : mRegion(std::move(aRegion))
{
}

void CapacityReservations::Apply(const RegionLinks& aLinks)
{
  mLinks = aLinks;
}

void CapacityReservations::OnOffers(const VmIncarnation& aFrom,
                                    const message::OfferAnnouncement& aMessage,
                                    TimePoint aNow)
{
  for (const CapacityOffer& offered : aMessage.mOffers) {
    if (offered.mRegion == mRegion) {
      continue;
    }
    std::vector<Offer>& offers = mServices[offered.mService].mOffers;
    auto it =
      std::find_if(offers.begin(), offers.end(), [&](const Offer& aOffer) {
        return aOffer.mVm.mVm == aFrom.mVm;
      });
    if (it == offers.end()) {
      it = offers.emplace(offers.end());
    }
    it->mVm = aFrom;
    it->mRegion = offered.mRegion;
    it->mAvailable = std::max(0.0, offered.mRequestsPerSecond);
    it->mGrantRatio += kGrantRatioRecovery * (1 - it->mGrantRatio);
    it->mExpiry = aNow + Milliseconds(offered.mLifetimeMs);
  }
}

void CapacityReservations::OnReply(const VmIncarnation& aFrom,
                                   const message::ReservationReply& aMessage,
                                   TimePoint aNow)
{
  for (auto& [id, service] : mServices) {
    for (Reservation& it : service.mReservations) {
      if (it.mNumber != aMessage.mNumber || it.mVm != aFrom) {
        continue;
      }
      ApplyReply(service, it, aMessage, aNow);
      return;
    }
  }
}

void CapacityReservations::ApplyReply(Service& aService,
                                      Reservation& aReservation,
                                      const message::ReservationReply& aReply,
                                      TimePoint aNow)
{
  std::deque<PendingRequest>& pending = aReservation.mPendingRequests;
  while (!pending.empty() && pending.front().mSequence < aReply.mSequence) {
    pending.pop_front();
  }
  if (pending.empty() || pending.front().mSequence != aReply.mSequence) {
    return;
  }
  // A later request for a lower amount is binding from the time when it was
  // sent.
  double amount = aReply.mRequestsPerSecond;
  for (const PendingRequest& request : pending) {
    amount = std::min(amount, request.mAmount);
  }
  Refill(aReservation, aNow);
  const PendingRequest answered = pending.front();
  pending.pop_front();
  aReservation.mGranted = amount;
  aReservation.mExpiry = answered.mTime + Milliseconds(aReply.mLifetimeMs);
  aReservation.mAnsweredSequence = aReply.mSequence;
  aReservation.mLastReplyTime = aNow;
  // Capacity that this VM does not grant is requested from other VMs.
  if (pending.empty()) {
    aReservation.mTarget = std::min(aReservation.mTarget, amount);
  }
  const double asked = answered.mAmount - answered.mPreviouslyGranted;
  if (asked <= kMinAmount) {
    return;
  }
  const double gained = aReply.mRequestsPerSecond - answered.mPreviouslyGranted;
  const double grantRatio = std::clamp(gained / asked, 0.0, 1.0);
  for (Offer& offer : aService.mOffers) {
    if (offer.mVm == aReservation.mVm) {
      offer.mGrantRatio += kGrantRatioGain * (grantRatio - offer.mGrantRatio);
    }
  }
}

void CapacityReservations::Adjust(const ServiceId& aService,
                                  const Demand& aDemand,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  const std::map<RegionId, double> targets =
    AllocateDemand(service, aDemand, aNow);
  for (const RegionId& region : mLinks.RegionsByLatency()) {
    const auto it = targets.find(region);
    const double target = it == targets.end() ? 0 : it->second;
    double current = 0;
    for (const Reservation& reservation : service.mReservations) {
      if (reservation.mRegion == region && IsResponsive(reservation, aNow)) {
        current += reservation.mTarget;
      }
    }
    if (current < target) {
      Increase(service, region, target - current, aNow);
    }
    PeakDemand& peak = service.mPeaks[region];
    const double decayed =
      peak.mAmount *
      std::exp(-ToSeconds(aNow - peak.mTime) / kPeakDecaySeconds);
    peak = { std::max(target, decayed), aNow };
    if (current > peak.mAmount * kSurplusFactor) {
      Decrease(service, region, current - peak.mAmount);
    }
  }
  for (Reservation& reservation : service.mReservations) {
    SendRequest(aService, reservation, aNow, aOut);
  }
  std::erase_if(service.mReservations, [&](const Reservation& aReservation) {
    return aReservation.mTarget <= 0 ||
           (!IsResponsive(aReservation, aNow) && !aReservation.IsLive(aNow));
  });
}

bool CapacityReservations::IsResponsive(const Reservation& aReservation,
                                        TimePoint aNow)
{
  return aNow - aReservation.mLastReplyTime < kResponseTimeout;
}

std::map<RegionId, double> CapacityReservations::AllocateDemand(
  const Service& aService,
  const Demand& aDemand,
  TimePoint aNow) const
{
  std::map<RegionId, double> targets;
  for (const auto& [region, amount] : aDemand.mByRegion) {
    targets[region] =
      amount > 0 ? std::max(amount * kDemandMargin, kMinDemand) : 0;
  }
  double remaining = aDemand.mAnyRegion * kDemandMargin;
  for (const RegionId& region : mLinks.RegionsByLatency()) {
    double available = 0;
    for (const Offer& offer : aService.mOffers) {
      if (offer.mRegion == region && aNow < offer.mExpiry) {
        available += offer.mAvailable * offer.mGrantRatio;
      }
    }
    for (const Reservation& reservation : aService.mReservations) {
      if (reservation.mRegion == region && IsResponsive(reservation, aNow)) {
        available += reservation.mTarget;
      }
    }
    const double share =
      std::clamp(available - targets[region], 0.0, std::max(0.0, remaining));
    targets[region] += share;
    remaining -= share;
  }
  return targets;
}

void CapacityReservations::Increase(Service& aService,
                                    const RegionId& aRegion,
                                    double aMissing,
                                    TimePoint aNow)
{
  std::vector<Offer*> offers;
  for (Offer& offer : aService.mOffers) {
    if (offer.mRegion == aRegion && aNow < offer.mExpiry) {
      offers.push_back(&offer);
    }
  }
  std::stable_sort(
    offers.begin(), offers.end(), [](const Offer* aLeft, const Offer* aRight) {
      return aLeft->mAvailable > aRight->mAvailable;
    });
  for (Offer* offer : offers) {
    const double share = std::min(aMissing, offer->mAvailable);
    if (share < kMinAmount) {
      return;
    }
    std::vector<Reservation>& all = aService.mReservations;
    auto it =
      std::find_if(all.begin(), all.end(), [&](const Reservation& aItem) {
        return aItem.mVm == offer->mVm;
      });
    if (it == all.end()) {
      it = all.emplace(all.end());
      it->mVm = offer->mVm;
      it->mRegion = aRegion;
      it->mNumber = mNextNumber++;
      it->mLastRefill = aNow;
      it->mLastReplyTime = aNow;
    }
    it->mTarget += share;
    offer->mAvailable -= share;
    aMissing -= share;
  }
}

void CapacityReservations::Decrease(Service& aService,
                                    const RegionId& aRegion,
                                    double aSurplus)
{
  for (auto it = aService.mReservations.rbegin();
       it != aService.mReservations.rend() && aSurplus > 0;
       ++it) {
    if (it->mRegion != aRegion) {
      continue;
    }
    const double share = std::min(aSurplus, it->mTarget);
    it->mTarget -= share;
    aSurplus -= share;
    if (it->mTarget < kMinAmount) {
      it->mTarget = 0;
    }
  }
}

void CapacityReservations::SendRequest(const ServiceId& aService,
                                       Reservation& aReservation,
                                       TimePoint aNow,
                                       EffectList& aOut)
{
  const bool isNew = aReservation.mLastSequence == 0;
  const bool isAnswered =
    aReservation.mAnsweredSequence == aReservation.mLastSequence;
  const Duration age = aNow - aReservation.mLastRequestTime;
  const double lastRequested = aReservation.mLastRequested;
  const double target = aReservation.mTarget;
  const bool isDecrease = target < lastRequested * (1 - kChangeThreshold);
  const bool isIncrease = target > lastRequested * (1 + kChangeThreshold);
  const bool isDue = age >= (isAnswered ? kRenewInterval : kRetryInterval);
  if (!isNew && !isDue && !isDecrease && !(isIncrease && isAnswered)) {
    return;
  }
  if (!isNew) {
    const double seconds = std::max(ToSeconds(age), kMinUsageSeconds);
    const double used = static_cast<double>(aReservation.mSent) / seconds;
    aReservation.mUsedPerSecond +=
      kUsageSmoothing * (used - aReservation.mUsedPerSecond);
    aReservation.mSent = 0;
  }
  Refill(aReservation, aNow);
  aReservation.mGranted = std::min(aReservation.mGranted, target);
  aReservation.mLastRequestTime = aNow;
  aReservation.mLastRequested = target;
  const std::uint32_t sequence = ++aReservation.mLastSequence;
  if (aReservation.mPendingRequests.size() == kMaxPendingRequests) {
    aReservation.mPendingRequests.pop_front();
  }
  aReservation.mPendingRequests.push_back(
    { sequence, aNow, target, aReservation.mGranted });
  effect::SendMessage send;
  send.mTo = aReservation.mVm.mVm;
  send.mMessage =
    message::ReservationRequest{ aReservation.mNumber,       aService, mRegion,
                                 aReservation.mRegion,       target,   sequence,
                                 aReservation.mUsedPerSecond };
  aOut.push_back(std::move(send));
}

bool CapacityReservations::TryTake(const ServiceId& aService,
                                   const RegionId& aRegion,
                                   TimePoint aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return false;
  }
  for (Reservation& reservation : found->second.mReservations) {
    if (reservation.mRegion == aRegion && TakeToken(reservation, aNow)) {
      return true;
    }
  }
  return false;
}

const RegionId* CapacityReservations::TryTakeNearest(const ServiceId& aService,
                                                     TimePoint aNow)
{
  for (const RegionId& region : mLinks.RegionsByLatency()) {
    if (TryTake(aService, region, aNow)) {
      return &region;
    }
  }
  return nullptr;
}

bool CapacityReservations::TakeToken(Reservation& aReservation, TimePoint aNow)
{
  if (!aReservation.IsLive(aNow)) {
    return false;
  }
  Refill(aReservation, aNow);
  if (aReservation.mTokens < 1) {
    return false;
  }
  aReservation.mTokens -= 1;
  ++aReservation.mSent;
  return true;
}

void CapacityReservations::Refill(Reservation& aReservation, TimePoint aNow)
{
  const double rate = aReservation.IsLive(aNow) ? aReservation.mGranted : 0;
  const double capacity = std::max(kMinBurst, rate * kBurstSeconds);
  const double elapsed = ToSeconds(aNow - aReservation.mLastRefill);
  aReservation.mTokens =
    std::min(capacity, aReservation.mTokens + rate * elapsed);
  aReservation.mLastRefill = aNow;
}

double CapacityReservations::Reserved(const ServiceId& aService,
                                      const RegionId& aRegion,
                                      TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return 0;
  }
  double reserved = 0;
  for (const Reservation& reservation : found->second.mReservations) {
    if (reservation.mRegion == aRegion && reservation.IsLive(aNow)) {
      reserved += reservation.mGranted;
    }
  }
  return reserved;
}

void CapacityReservations::Tick(TimePoint aNow)
{
  for (auto& [id, service] : mServices) {
    std::erase_if(service.mOffers,
                  [&](const Offer& aOffer) { return aNow >= aOffer.mExpiry; });
  }
}

} // namespace cranberrywing
