#include "cranberrywing/capacity_reservations.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Reservations are made this much larger than the need, for its variation.
constexpr double kMargin = 1.1;
/// Surplus above this multiple of the greatest recent need is given back.
constexpr double kSurplus = 1.3;
/// Time in which the memory of a greater need fades.
constexpr double kNeedMemory = 5;
/// What a region is asked for at least; a shift that has just begun moves a few
/// requests a minute, and goes on only when they are covered.
constexpr double kLeastNeed = 0.5;
/// Smaller amounts are not reserved.
constexpr double kLeastAmount = 0.05;
/// Time of unused reservation that may be sent at once.
constexpr double kBurstSeconds = 0.2;
constexpr double kLeastBurst = 2;
constexpr Duration kRenewInterval = std::chrono::seconds(1);
/// An unanswered ask is repeated after this time.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(400);
/// An offering VM that is silent for this long is not counted on; what it has
/// granted is used until it expires.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1500);
/// Smaller changes of an amount wait for the next renewal.
constexpr double kChange = 0.05;
/// Weight of one reply in an offer's yield, and part of the rest that each new
/// announcement restores.
constexpr double kYieldGain = 0.5;
constexpr double kYieldRecovery = 0.1;
constexpr double kUseSmoothing = 0.4;
constexpr double kShortestUse = 0.05;
/// Asks that may be answered late.
constexpr std::size_t kMostAsks = 16;

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
    it->mLeft = std::max(0.0, offered.mRequestsPerSecond);
    it->mYield += kYieldRecovery * (1 - it->mYield);
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
      Accept(service, it, aMessage, aNow);
      return;
    }
  }
}

void CapacityReservations::Accept(Service& aService,
                                  Reservation& aReservation,
                                  const message::ReservationReply& aReply,
                                  TimePoint aNow)
{
  std::deque<Ask>& asks = aReservation.mAsks;
  while (!asks.empty() && asks.front().mSequence < aReply.mSequence) {
    asks.pop_front();
  }
  if (asks.empty() || asks.front().mSequence != aReply.mSequence) {
    return;
  }
  // A later ask for less binds from its sending.
  double amount = aReply.mRequestsPerSecond;
  for (const Ask& ask : asks) {
    amount = std::min(amount, ask.mAmount);
  }
  Refill(aReservation, aNow);
  const Ask answered = asks.front();
  asks.pop_front();
  aReservation.mGranted = amount;
  aReservation.mExpiry = answered.mTime + Milliseconds(aReply.mLifetimeMs);
  aReservation.mAnswered = aReply.mSequence;
  aReservation.mLastAnswer = aNow;
  // What this VM does not grant is looked for elsewhere.
  if (asks.empty()) {
    aReservation.mWanted = std::min(aReservation.mWanted, amount);
  }
  const double asked = answered.mAmount - answered.mHeld;
  if (asked <= kLeastAmount) {
    return;
  }
  const double gained = aReply.mRequestsPerSecond - answered.mHeld;
  const double yield = std::clamp(gained / asked, 0.0, 1.0);
  for (Offer& offer : aService.mOffers) {
    if (offer.mVm == aReservation.mVm) {
      offer.mYield += kYieldGain * (yield - offer.mYield);
    }
  }
}

void CapacityReservations::Cover(const ServiceId& aService,
                                 const Need& aNeed,
                                 TimePoint aNow,
                                 EffectList& aOut)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  const std::map<RegionId, double> wanted = Compose(service, aNeed, aNow);
  for (const RegionId& region : mLinks.Nearest()) {
    const auto it = wanted.find(region);
    const double need = it == wanted.end() ? 0 : it->second;
    double current = 0;
    for (const Reservation& reservation : service.mReservations) {
      if (reservation.mRegion == region && IsAnswering(reservation, aNow)) {
        current += reservation.mWanted;
      }
    }
    if (current < need) {
      Raise(service, region, need - current, aNow);
    }
    PeakNeed& peak = service.mPeaks[region];
    const double faded =
      peak.mAmount * std::exp(-ToSeconds(aNow - peak.mTime) / kNeedMemory);
    peak = { std::max(need, faded), aNow };
    if (current > peak.mAmount * kSurplus) {
      Lower(service, region, current - peak.mAmount);
    }
  }
  for (Reservation& reservation : service.mReservations) {
    SendAsk(aService, reservation, aNow, aOut);
  }
  std::erase_if(service.mReservations, [&](const Reservation& aReservation) {
    return aReservation.mWanted <= 0 ||
           (!IsAnswering(aReservation, aNow) && !aReservation.IsLive(aNow));
  });
}

bool CapacityReservations::IsAnswering(const Reservation& aReservation,
                                       TimePoint aNow)
{
  return aNow - aReservation.mLastAnswer < kSilenceLimit;
}

std::map<RegionId, double> CapacityReservations::Compose(
  const Service& aService,
  const Need& aNeed,
  TimePoint aNow) const
{
  std::map<RegionId, double> wanted;
  for (const auto& [region, amount] : aNeed.mByRegion) {
    wanted[region] = amount > 0 ? std::max(amount * kMargin, kLeastNeed) : 0;
  }
  double left = aNeed.mAnywhere * kMargin;
  for (const RegionId& region : mLinks.Nearest()) {
    double available = 0;
    for (const Offer& offer : aService.mOffers) {
      if (offer.mRegion == region && aNow < offer.mExpiry) {
        available += offer.mLeft * offer.mYield;
      }
    }
    for (const Reservation& reservation : aService.mReservations) {
      if (reservation.mRegion == region && IsAnswering(reservation, aNow)) {
        available += reservation.mWanted;
      }
    }
    const double part =
      std::clamp(available - wanted[region], 0.0, std::max(0.0, left));
    wanted[region] += part;
    left -= part;
  }
  return wanted;
}

void CapacityReservations::Raise(Service& aService,
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
      return aLeft->mLeft > aRight->mLeft;
    });
  for (Offer* offer : offers) {
    const double part = std::min(aMissing, offer->mLeft);
    if (part < kLeastAmount) {
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
      it->mRefilled = aNow;
      it->mLastAnswer = aNow;
    }
    it->mWanted += part;
    offer->mLeft -= part;
    aMissing -= part;
  }
}

void CapacityReservations::Lower(Service& aService,
                                 const RegionId& aRegion,
                                 double aSurplus)
{
  for (auto it = aService.mReservations.rbegin();
       it != aService.mReservations.rend() && aSurplus > 0;
       ++it) {
    if (it->mRegion != aRegion) {
      continue;
    }
    const double part = std::min(aSurplus, it->mWanted);
    it->mWanted -= part;
    aSurplus -= part;
    if (it->mWanted < kLeastAmount) {
      it->mWanted = 0;
    }
  }
}

void CapacityReservations::SendAsk(const ServiceId& aService,
                                   Reservation& aReservation,
                                   TimePoint aNow,
                                   EffectList& aOut)
{
  const bool isNew = aReservation.mLastSequence == 0;
  const bool isAnswered = aReservation.mAnswered == aReservation.mLastSequence;
  const Duration age = aNow - aReservation.mLastAsk;
  const double last = aReservation.mLastAmount;
  const double wanted = aReservation.mWanted;
  const bool isLess = wanted < last * (1 - kChange);
  const bool isMore = wanted > last * (1 + kChange);
  const bool isDue = age >= (isAnswered ? kRenewInterval : kRepeatInterval);
  if (!isNew && !isDue && !isLess && !(isMore && isAnswered)) {
    return;
  }
  if (!isNew) {
    const double seconds = std::max(ToSeconds(age), kShortestUse);
    const double used = static_cast<double>(aReservation.mSent) / seconds;
    aReservation.mUsedPerSecond +=
      kUseSmoothing * (used - aReservation.mUsedPerSecond);
    aReservation.mSent = 0;
  }
  Refill(aReservation, aNow);
  aReservation.mGranted = std::min(aReservation.mGranted, wanted);
  aReservation.mLastAsk = aNow;
  aReservation.mLastAmount = wanted;
  const std::uint32_t sequence = ++aReservation.mLastSequence;
  if (aReservation.mAsks.size() == kMostAsks) {
    aReservation.mAsks.pop_front();
  }
  aReservation.mAsks.push_back(
    { sequence, aNow, wanted, aReservation.mGranted });
  effect::SendMessage send;
  send.mTo = aReservation.mVm.mVm;
  send.mMessage =
    message::ReservationRequest{ aReservation.mNumber,       aService, mRegion,
                                 aReservation.mRegion,       wanted,   sequence,
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
    if (reservation.mRegion == aRegion && Take(reservation, aNow)) {
      return true;
    }
  }
  return false;
}

const RegionId* CapacityReservations::TryTakeNearest(const ServiceId& aService,
                                                     TimePoint aNow)
{
  for (const RegionId& region : mLinks.Nearest()) {
    if (TryTake(aService, region, aNow)) {
      return &region;
    }
  }
  return nullptr;
}

bool CapacityReservations::Take(Reservation& aReservation, TimePoint aNow)
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
  const double most = std::max(kLeastBurst, rate * kBurstSeconds);
  const double elapsed = ToSeconds(aNow - aReservation.mRefilled);
  aReservation.mTokens = std::min(most, aReservation.mTokens + rate * elapsed);
  aReservation.mRefilled = aNow;
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
