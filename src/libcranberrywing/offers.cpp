#include "cranberrywing/offers.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

constexpr Duration kControlInterval = std::chrono::milliseconds(200);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
/// Averaging time of the local traffic; close to the age of the load reports
/// with which it is compared.
constexpr double kRateAveragingSeconds = 2;
/// Fraction of the distance to the computed spill that one control step covers.
constexpr double kSpillGain = 0.1;
/// Bounds on the correction factor that one load report may cause.
constexpr double kMinCorrection = 0.3;
constexpr double kMaxCorrection = 1.5;
/// Utilization by which spilling starts later while capacity is granted to
/// other regions, so that these grants are reduced first. Otherwise two regions
/// that are both near the limit would exchange traffic. It must exceed the
/// slack of CapacityGrants for renewals, so that the grants fall to zero.
constexpr double kGrantedHeadroom = 0.05;
/// Unit of OfferBookHooks::mFraction.
constexpr double kMillionthsPerUnit = 1e6;
/// Bound on the accumulated requests due to a region without reserved capacity.
constexpr double kMaxCredit = 2;

} // namespace

OfferBook::OfferBook(Options aOptions, OfferBookHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mGrants({ .mRegion = mOptions.mRegion,
              .mLifetime = mOptions.mOfferLifetime,
              .mUtilization = mOptions.mSpillUtilization,
              .mLinkUtilization = mOptions.mLinkUtilization,
              .mMeasurementLag = mOptions.mMeasurementLag },
            mHooks)
  , mReservations(mOptions.mRegion)
{
}

void OfferBook::Apply(const SettingsSnapshot& aSettings)
{
  mLinks = RegionLinks(aSettings, mOptions.mRegion);
  mGrants.Apply(aSettings, mLinks);
  mReservations.Apply(mLinks);
  std::erase_if(mTraffic, [&](const auto& aItem) {
    return !aSettings.mServices.contains(aItem.first);
  });
  for (const auto& [id, service] : aSettings.mServices) {
    mTraffic.try_emplace(id);
  }
}

RegionId OfferBook::ChooseRegion(const ServiceId& aService, TimePoint aNow)
{
  const auto it = mTraffic.find(aService);
  if (it == mTraffic.end()) {
    return mOptions.mRegion;
  }
  Traffic& traffic = it->second;
  ++traffic.mArrivals;
  RegionId region;
  if (!traffic.mShifted.empty() &&
      TryRouteShifted(aService, traffic, aNow, region)) {
    return region;
  }
  if (traffic.mSpillFraction > 0 &&
      TryRouteSpilled(aService, traffic, aNow, region)) {
    return region;
  }
  ++traffic.mLocalArrivals;
  return mOptions.mRegion;
}

bool OfferBook::TryRouteShifted(const ServiceId& aService,
                                Traffic& aTraffic,
                                TimePoint aNow,
                                RegionId& aRegion)
{
  ShiftedTraffic* due = nullptr;
  for (ShiftedTraffic& shifted : aTraffic.mShifted) {
    shifted.mCredit = std::min(shifted.mCredit + shifted.mFraction, kMaxCredit);
    if (shifted.mCredit >= 1 &&
        (due == nullptr || shifted.mCredit > due->mCredit)) {
      due = &shifted;
    }
  }
  if (due == nullptr || !mReservations.TryTake(aService, due->mRegion, aNow)) {
    return false;
  }
  due->mCredit -= 1;
  aRegion = due->mRegion;
  return true;
}

bool OfferBook::TryRouteSpilled(const ServiceId& aService,
                                Traffic& aTraffic,
                                TimePoint aNow,
                                RegionId& aRegion)
{
  aTraffic.mSpillCredit =
    std::min(aTraffic.mSpillCredit + aTraffic.mSpillFraction, kMaxCredit);
  if (aTraffic.mSpillCredit < 1) {
    return false;
  }
  const RegionId* region = mReservations.TryTakeNearest(aService, aNow);
  if (region == nullptr) {
    return false;
  }
  aTraffic.mSpillCredit -= 1;
  aRegion = *region;
  return true;
}

double OfferBook::Reserved(const ServiceId& aService,
                           const RegionId& aRegion,
                           TimePoint aNow) const
{
  return mReservations.Reserved(aService, aRegion, aNow);
}

bool OfferBook::IsCovered(const ServiceId& aService,
                          const RegionId& aRegion,
                          TimePoint aNow) const
{
  const auto it = mTraffic.find(aService);
  if (it == mTraffic.end()) {
    return false;
  }
  double needed = 0;
  for (const ShiftedTraffic& shifted : it->second.mShifted) {
    if (shifted.mRegion == aRegion) {
      needed += shifted.mFraction * it->second.mRate;
    }
  }
  return mReservations.Reserved(aService, aRegion, aNow) >= needed;
}

double OfferBook::Granted(const ServiceId& aService, TimePoint aNow) const
{
  return mGrants.Granted(aService, aNow);
}

double OfferBook::Utilization(const ServiceId& aService, TimePoint aNow) const
{
  return mGrants.Utilization(aService, aNow);
}

void OfferBook::Tick(TimePoint aNow, EffectList& aOut)
{
  if (aNow >= mNextAnnouncement) {
    mNextAnnouncement = aNow + kAnnounceInterval;
    mGrants.Tick(aNow);
    mReservations.Tick(aNow);
    Announce(aNow, aOut);
  }
  if (aNow < mNextControl) {
    return;
  }
  const double seconds =
    mNextControl == TimePoint{} ? 0 : ToSeconds(aNow - mLastControl);
  mNextControl = aNow + kControlInterval;
  mLastControl = aNow;
  for (auto& [service, traffic] : mTraffic) {
    UpdateRates(traffic, seconds);
    UpdateShifted(service, traffic, aNow);
    UpdateSpill(service, traffic, aNow);
    CapacityReservations::Demand demand;
    for (const ShiftedTraffic& shifted : traffic.mShifted) {
      demand.mByRegion[shifted.mRegion] += shifted.mFraction * traffic.mRate;
    }
    demand.mAnyRegion = traffic.mSpill;
    mReservations.Adjust(service, demand, aNow, aOut);
  }
}

void OfferBook::UpdateRates(Traffic& aTraffic, double aSeconds)
{
  if (aSeconds > 0) {
    const double gain = 1 - std::exp(-aSeconds / kRateAveragingSeconds);
    const double rate = static_cast<double>(aTraffic.mArrivals) / aSeconds;
    const double local =
      static_cast<double>(aTraffic.mLocalArrivals) / aSeconds;
    aTraffic.mRate += gain * (rate - aTraffic.mRate);
    aTraffic.mLocalRate += gain * (local - aTraffic.mLocalRate);
  }
  aTraffic.mArrivals = 0;
  aTraffic.mLocalArrivals = 0;
}

void OfferBook::UpdateShifted(const ServiceId& aService,
                              Traffic& aTraffic,
                              TimePoint aNow)
{
  const std::vector<std::pair<RegionId, double>> fractions =
    mHooks.mShiftedFractions ? mHooks.mShiftedFractions(aService, aNow)
                             : std::vector<std::pair<RegionId, double>>();
  std::vector<ShiftedTraffic> shifted;
  for (const auto& shift : fractions) {
    const auto it = std::find_if(aTraffic.mShifted.begin(),
                                 aTraffic.mShifted.end(),
                                 [&](const ShiftedTraffic& aShifted) {
                                   return aShifted.mRegion == shift.first;
                                 });
    const double credit = it == aTraffic.mShifted.end() ? 0 : it->mCredit;
    shifted.push_back({ shift.first, shift.second, credit });
  }
  aTraffic.mShifted = std::move(shifted);
}

void OfferBook::UpdateSpill(const ServiceId& aService,
                            Traffic& aTraffic,
                            TimePoint aNow)
{
  const double regionCapacity =
    mHooks.mCapacity(aService, mOptions.mRegion, aNow);
  const double ownCapacity =
    regionCapacity * mHooks.mFraction(aService) / kMillionthsPerUnit;
  const double grantedFraction =
    ownCapacity > 0 ? mGrants.Granted(aService, aNow) / ownCapacity : 0;
  const double capacity =
    regionCapacity *
    (mOptions.mSpillUtilization + std::min(grantedFraction, kGrantedHeadroom));
  const std::optional<double> load =
    mHooks.mReportedRate(aService, mOptions.mRegion, aNow);
  double shiftedFraction = 0;
  for (const ShiftedTraffic& shifted : aTraffic.mShifted) {
    shiftedFraction += shifted.mFraction;
  }
  const double unshifted = aTraffic.mRate * std::max(0.0, 1 - shiftedFraction);
  double spill = aTraffic.mSpill;
  if (capacity <= 0) {
    spill = unshifted;
  } else if (load && *load > 0) {
    // The local region should serve this VM's local traffic times the ratio of
    // capacity to load; the rest is to be spilled.
    const double correction =
      std::clamp(capacity / *load, kMinCorrection, kMaxCorrection);
    const double target =
      std::clamp(unshifted - aTraffic.mLocalRate * correction, 0.0, unshifted);
    spill += kSpillGain * (target - spill);
  }
  aTraffic.mSpill = spill < unshifted * 1e-3 ? 0 : spill;
  aTraffic.mSpillFraction =
    aTraffic.mRate > 0 ? std::min(1.0, aTraffic.mSpill / aTraffic.mRate) : 0;
  if (aTraffic.mSpill == 0) {
    aTraffic.mSpillCredit = 0;
  }
}

void OfferBook::Announce(TimePoint aNow, EffectList& aOut)
{
  if (!mHooks.mRemotePeers) {
    return;
  }
  std::vector<CapacityOffer> offers = mGrants.Offers(aNow);
  const std::vector<VmId> peers = mHooks.mRemotePeers();
  if (offers.empty() || peers.empty()) {
    return;
  }
  const std::size_t count =
    std::min(peers.size(), mOptions.mPeersPerAnnouncement);
  for (std::size_t n = 0; n < count; ++n) {
    effect::SendMessage send;
    send.mTo = peers[mNextPeer++ % peers.size()];
    send.mMessage = message::OfferAnnouncement{ offers };
    aOut.push_back(std::move(send));
  }
}

void OfferBook::OnMessage(const VmIncarnation& aFrom,
                          const message::OfferAnnouncement& aMessage,
                          TimePoint aNow,
                          EffectList&)
{
  mReservations.OnOffers(aFrom, aMessage, aNow);
}

void OfferBook::OnMessage(const VmIncarnation& aFrom,
                          const message::ReservationRequest& aMessage,
                          TimePoint aNow,
                          EffectList& aOut)
{
  const std::optional<message::ReservationReply> reply =
    mGrants.OnRequest(aFrom, aMessage, aNow);
  if (!reply) {
    return;
  }
  effect::SendMessage send;
  send.mTo = aFrom.mVm;
  send.mMessage = *reply;
  aOut.push_back(std::move(send));
}

void OfferBook::OnMessage(const VmIncarnation& aFrom,
                          const message::ReservationReply& aMessage,
                          TimePoint aNow,
                          EffectList&)
{
  mReservations.OnReply(aFrom, aMessage, aNow);
}

} // namespace cranberrywing
