#include "cranberrywing/offers.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

constexpr Duration kControlInterval = std::chrono::milliseconds(200);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
/// Time over which the own traffic is averaged; close to the age of load
/// reports, with which it is compared.
constexpr double kRateSeconds = 2;
/// Part of the distance to the computed spill that one control step takes.
constexpr double kSpillGain = 0.1;
/// Bounds on the correction that one load report may call for.
constexpr double kLeastCorrection = 0.3;
constexpr double kGreatestCorrection = 1.5;
/// Utilization by which spilling starts later while capacity is lent to other
/// regions, so that this is taken back first: else two regions that are both
/// near the limit would exchange traffic. Above CapacityGrants' slack for
/// renewals, so that what is lent falls to nothing.
constexpr double kLentHeadroom = 0.05;
/// Fractions are in millionths.
constexpr double kWholeFraction = 1e6;
/// Requests owed to a region that has no tokens are not kept for longer.
constexpr double kMostCredit = 2;

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
  if (!traffic.mMoved.empty() && TakeMoved(aService, traffic, aNow, region)) {
    return region;
  }
  if (traffic.mSpillPart > 0 && TakeSpilled(aService, traffic, aNow, region)) {
    return region;
  }
  ++traffic.mKeptLocal;
  return mOptions.mRegion;
}

bool OfferBook::TakeMoved(const ServiceId& aService,
                          Traffic& aTraffic,
                          TimePoint aNow,
                          RegionId& aRegion)
{
  MovedPart* due = nullptr;
  for (MovedPart& moved : aTraffic.mMoved) {
    moved.mCredit = std::min(moved.mCredit + moved.mPart, kMostCredit);
    if (moved.mCredit >= 1 &&
        (due == nullptr || moved.mCredit > due->mCredit)) {
      due = &moved;
    }
  }
  if (due == nullptr || !mReservations.TryTake(aService, due->mRegion, aNow)) {
    return false;
  }
  due->mCredit -= 1;
  aRegion = due->mRegion;
  return true;
}

bool OfferBook::TakeSpilled(const ServiceId& aService,
                            Traffic& aTraffic,
                            TimePoint aNow,
                            RegionId& aRegion)
{
  aTraffic.mSpillCredit =
    std::min(aTraffic.mSpillCredit + aTraffic.mSpillPart, kMostCredit);
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
  for (const MovedPart& moved : it->second.mMoved) {
    if (moved.mRegion == aRegion) {
      needed += moved.mPart * it->second.mRate;
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
    Measure(traffic, seconds);
    UpdateMoved(service, traffic, aNow);
    UpdateSpill(service, traffic, aNow);
    CapacityReservations::Need need;
    for (const MovedPart& moved : traffic.mMoved) {
      need.mByRegion[moved.mRegion] += moved.mPart * traffic.mRate;
    }
    need.mAnywhere = traffic.mSpill;
    mReservations.Cover(service, need, aNow, aOut);
  }
}

void OfferBook::Measure(Traffic& aTraffic, double aSeconds)
{
  if (aSeconds > 0) {
    const double gain = 1 - std::exp(-aSeconds / kRateSeconds);
    const double rate = static_cast<double>(aTraffic.mArrivals) / aSeconds;
    const double local = static_cast<double>(aTraffic.mKeptLocal) / aSeconds;
    aTraffic.mRate += gain * (rate - aTraffic.mRate);
    aTraffic.mLocalRate += gain * (local - aTraffic.mLocalRate);
  }
  aTraffic.mArrivals = 0;
  aTraffic.mKeptLocal = 0;
}

void OfferBook::UpdateMoved(const ServiceId& aService,
                            Traffic& aTraffic,
                            TimePoint aNow)
{
  const std::vector<std::pair<RegionId, double>> shifted =
    mHooks.mShiftedFractions ? mHooks.mShiftedFractions(aService, aNow)
                             : std::vector<std::pair<RegionId, double>>();
  std::vector<MovedPart> moved;
  for (const auto& shift : shifted) {
    const auto it = std::find_if(
      aTraffic.mMoved.begin(),
      aTraffic.mMoved.end(),
      [&](const MovedPart& aPart) { return aPart.mRegion == shift.first; });
    const double credit = it == aTraffic.mMoved.end() ? 0 : it->mCredit;
    moved.push_back({ shift.first, shift.second, credit });
  }
  aTraffic.mMoved = std::move(moved);
}

void OfferBook::UpdateSpill(const ServiceId& aService,
                            Traffic& aTraffic,
                            TimePoint aNow)
{
  const double whole = mHooks.mCapacity(aService, mOptions.mRegion, aNow);
  const double part = whole * mHooks.mFraction(aService) / kWholeFraction;
  const double lent = part > 0 ? mGrants.Granted(aService, aNow) / part : 0;
  const double capacity =
    whole * (mOptions.mSpillUtilization + std::min(lent, kLentHeadroom));
  const std::optional<double> load =
    mHooks.mReportedRate(aService, mOptions.mRegion, aNow);
  double movedPart = 0;
  for (const MovedPart& moved : aTraffic.mMoved) {
    movedPart += moved.mPart;
  }
  const double kept = aTraffic.mRate * std::max(0.0, 1 - movedPart);
  double spill = aTraffic.mSpill;
  if (capacity <= 0) {
    spill = kept;
  } else if (load && *load > 0) {
    // The own region should carry this VM's local traffic times the ratio of
    // capacity to load; the rest is to be spilled.
    const double correction =
      std::clamp(capacity / *load, kLeastCorrection, kGreatestCorrection);
    const double wanted =
      std::clamp(kept - aTraffic.mLocalRate * correction, 0.0, kept);
    spill += kSpillGain * (wanted - spill);
  }
  aTraffic.mSpill = spill < kept * 1e-3 ? 0 : spill;
  aTraffic.mSpillPart =
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
  const std::vector<VmId> audience = mHooks.mRemotePeers();
  if (offers.empty() || audience.empty()) {
    return;
  }
  const std::size_t count = std::min(audience.size(), mOptions.mAnnouncedPeers);
  for (std::size_t n = 0; n < count; ++n) {
    effect::SendMessage send;
    send.mTo = audience[mNextPeer++ % audience.size()];
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
