#include "cranberrywing/gateway/gateway.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing::gateway {

namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// Interval of status messages to VMs of the own region, up to kNearPeers of
/// them; it grows with more, so that the cost for a VM stays the same.
constexpr Duration kNearInterval = std::chrono::milliseconds(200);
constexpr std::size_t kNearPeers = 6;
constexpr Duration kFarInterval = std::chrono::milliseconds(1000);
constexpr std::size_t kFarPeers = 12;
/// Time constant of the moving average of arrivals.
constexpr double kArrivalSeconds = 2.0;
/// Last moment before the kill at which the process ends by itself.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

/// Demand of the own region below which its shares are set at once.
constexpr double kIdleSlots = 0.05;
/// Use of the servers that is planned with before there are requests.
constexpr double kGuessedUse = 0.5;
/// Tokens may come from another region, whose round trip can take 70 ms.
constexpr Duration kLongestTokenWait = std::chrono::milliseconds(90);
/// Change of a region's share that is logged.
constexpr double kRecordedChange = 0.1;

bool DiffersBy(const RegionShares& aLeft,
               const RegionShares& aRight,
               double aChange)
{
  const auto differs = [&](const RegionShares& aOne,
                           const RegionShares& aOther) {
    return std::any_of(aOne.begin(), aOne.end(), [&](const auto& aEntry) {
      const auto it = aOther.find(aEntry.first);
      const double other = it == aOther.end() ? 0 : it->second;
      return std::abs(aEntry.second - other) >= aChange;
    });
  };
  return differs(aLeft, aRight) || differs(aRight, aLeft);
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration Stretch(Duration aInterval, std::size_t aPeers, std::size_t aUsual)
{
  const auto factor = static_cast<Duration::rep>(
    (std::max(aPeers, aUsual) + aUsual - 1) / aUsual);
  return aInterval * factor;
}

} // namespace

Gateway::Gateway(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mPool(BackendPool::Options{})
  , mFleet(FleetView::Options{ .mSelf = mOptions.mSelf })
  , mPlan(RegionPlan::Options{ .mOwn = mOptions.mSelf.mRegion })
  , mSelector(ObjectSelector::Options{})
  , mColdStart(mOptions.mColdStart)
  , mRetries(mOptions.mRetries)
  , mRates(RateLimiter::Options{ .mSeed = mOptions.mSeed,
                                 .mLongestWait = kLongestTokenWait },
           RateLimiterHooks{ .mFraction =
                               [this](const AccountId& aAccount) {
                                 return mShares.Fraction(aAccount,
                                                         mOptions.mSelf.mVm);
                               },
                             .mPeers =
                               [this](const AccountId& aAccount) {
                                 return TokenPeers(aAccount);
                               } })
  , mCrashGuard(CrashGuard::Options{
      .mServersLost = 3,
      .mBlockTime = std::chrono::seconds(60),
    })
{
}

std::vector<VmId> Gateway::TokenPeers(const AccountId& aAccount)
{
  std::vector<VmId> near;
  std::vector<VmId> far;
  for (const VmId& holder : mShares.Holders(aAccount)) {
    const auto it = mFleet.Peers().find(holder);
    if (it == mFleet.Peers().end() || it->second.mIsLapsed ||
        it->second.mIsLeaving) {
      continue;
    }
    const bool isNear = it->second.mRecord.mRegion == mOptions.mSelf.mRegion;
    (isNear ? near : far).push_back(holder);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

EffectList Gateway::Reduce(const Event& aEvent, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aAlternative) { On(aAlternative); }, aEvent);
  return std::exchange(mOut, {});
}

bool Gateway::IsReady() const
{
  return mPolicy && mHasRegistrations && !mStoppingSince;
}

std::vector<VmRecord> Gateway::CallerTargets(const RegionId& aRegion,
                                             TimePoint aNow) const
{
  return mFleet.CallerTargets(aRegion, IsReady(), aNow);
}

void Gateway::Record(std::string aName,
                     std::vector<cranberrywing::effect::Field> aFields)
{
  mOut.push_back(
    effect::RecordTimeline{ std::move(aName), std::move(aFields) });
}

void Gateway::TakeCoreEffects(cranberrywing::EffectList& aEffects)
{
  for (cranberrywing::Effect& each : aEffects) {
    if (auto* const send =
          std::get_if<cranberrywing::effect::SendMessage>(&each)) {
      const auto it = mFleet.Peers().find(send->mTo);
      if (it != mFleet.Peers().end()) {
        send->mAddress = it->second.mRecord.mAddress;
        send->mPort = it->second.mRecord.mPeerPort;
        mOut.push_back(std::move(*send));
      }
    } else if (auto* const record =
                 std::get_if<cranberrywing::effect::RecordTimeline>(&each)) {
      mOut.push_back(std::move(*record));
    }
  }
  aEffects.clear();
}

void Gateway::On(const event::PolicyReceived& aEvent)
{
  if (mPolicy && aEvent.mPolicy->GetRevision() <= mPolicy->GetRevision()) {
    return;
  }
  mPolicy = aEvent.mPolicy;
  std::unordered_map<AccountId, AccountSettings> accounts;
  for (const AccountPolicy& account : mPolicy->Content().mAccounts) {
    if (account.mRate > 0) {
      accounts[account.mAccount] = { .mAccount = account.mAccount,
                                     .mRate = account.mRate,
                                     .mBurst = account.mBurst };
    }
  }
  mRates.Apply(accounts, mNow);
  mShares.SetAccounts(std::move(accounts));
  mSplit.Retain(*mPolicy);
  mOut.push_back(effect::ApplyCallerLimits{ mPolicy->Content().mLimits });
  Record(
    "policy_in_force",
    { { "revision", std::to_string(mPolicy->GetRevision().mNumber) },
      { "routes", std::to_string(mPolicy->Content().mRoutes.size()) },
      { "accounts", std::to_string(mPolicy->Content().mAccounts.size()) } });
}

void Gateway::On(const event::BackendRegistered& aEvent)
{
  const BackendEntry& entry = aEvent.mEntry;
  if (!mPool.Upsert(entry, mNow)) {
    return;
  }
  if (entry.mIsDraining) {
    mOut.push_back(
      effect::CloseBackendConnections{ entry.mAddress, entry.mPort });
  }
  Record(
    "backend_registered",
    { { "backend", entry.mBackend.mName },
      { "service", entry.mService.mName },
      { "draining", entry.mIsDraining ? "1" : "0" },
      { "cold_ms",
        std::to_string(std::chrono::duration_cast<Milliseconds>(entry.mColdFor)
                         .count()) } });
}

void Gateway::On(const event::BackendRemoved& aEvent)
{
  const Backend* const backend = mPool.Find(aEvent.mBackend);
  if (!backend) {
    return;
  }
  mOut.push_back(effect::CloseBackendConnections{ backend->mEntry.mAddress,
                                                  backend->mEntry.mPort });
  cranberrywing::EffectList effects;
  mCrashGuard.OnServerDown(aEvent.mBackend, mNow, effects);
  TakeCoreEffects(effects);
  mPool.Remove(aEvent.mBackend);
  Record("backend_removed", { { "backend", aEvent.mBackend.mName } });
}

void Gateway::On(const event::EvacuationChanged& aEvent)
{
  if (mPool.IsEvacuated(aEvent.mFailureDomain) == aEvent.mIsEvacuated) {
    return;
  }
  mPool.SetEvacuated(aEvent.mFailureDomain, aEvent.mIsEvacuated);
  Record("evacuation_changed",
         { { "failure_domain", aEvent.mFailureDomain.mName },
           { "evacuated", aEvent.mIsEvacuated ? "1" : "0" } });
}

void Gateway::On(const event::VmRegistered& aEvent)
{
  mFleet.Register(aEvent.mRecord, mNow);
}

void Gateway::On(const event::VmListed& aEvent)
{
  mFleet.List(aEvent.mRecord, mNow);
}

void Gateway::On(const event::VmRemoved& aEvent)
{
  mFleet.Remove(aEvent.mVm, mNow);
}

void Gateway::On(const event::RegistrationsComplete&)
{
  if (!mHasRegistrations) {
    mHasRegistrations = true;
    Record("registrations_complete",
           { { "backends", std::to_string(mPool.All().size()) },
             { "vms", std::to_string(mFleet.ShareCount()) } });
  }
}

void Gateway::On(const event::StopRequested&)
{
  if (mStoppingSince) {
    return;
  }
  mStoppingSince = mNow;
  mOut.push_back(effect::AnnounceLeaving{});
  mNextNearStatus = mNow;
  mNextFarStatus = mNow;
  SendStatus();
  Record("stopping", { { "in_flight", std::to_string(mRequests.size()) } });
}

void Gateway::On(const event::BackendProbed& aEvent)
{
  Backend* const backend = mPool.Find(aEvent.mBackend);
  if (!backend) {
    return;
  }
  if (aEvent.mColdFor) {
    backend->mColdUntil =
      std::max(backend->mColdUntil, mNow + *aEvent.mColdFor);
  }
  mPool.OnProbe(*backend, aEvent.mIsHealthy, mNow);
  if (!aEvent.mIsHealthy) {
    cranberrywing::EffectList effects;
    mCrashGuard.OnServerDown(aEvent.mBackend, mNow, effects);
    TakeCoreEffects(effects);
  }
  Record("backend_probed",
         { { "backend", aEvent.mBackend.mName },
           { "healthy", aEvent.mIsHealthy ? "1" : "0" } });
}

void Gateway::On(const event::PeerMessageReceived& aEvent)
{
  if (const auto* const status =
        std::get_if<message::GatewayStatus>(&aEvent.mMessage)) {
    mFleet.OnStatus(aEvent.mFrom, *status, mNow);
    return;
  }
  cranberrywing::EffectList effects;
  if (const auto* const ask =
        std::get_if<message::TokenRequest>(&aEvent.mMessage)) {
    mRates.OnMessage(aEvent.mFrom, *ask, mNow, effects);
  } else if (const auto* const transfer =
               std::get_if<message::TokenTransfer>(&aEvent.mMessage)) {
    mRates.OnMessage(aEvent.mFrom, *transfer, mNow, effects);
  } else if (const auto* const block =
               std::get_if<message::RequestBlock>(&aEvent.mMessage)) {
    mCrashGuard.OnMessage(*block, mNow);
  }
  TakeCoreEffects(effects);
}

void Gateway::On(const event::Tick&)
{
  cranberrywing::EffectList effects;
  mRates.Tick(mNow, effects);
  TakeCoreEffects(effects);
  mCrashGuard.Tick(mNow);
  mFleet.Tick(mNow);
  if (mFleet.Version() != mSharedVersion) {
    mSharedVersion = mFleet.Version();
    mShares.SetVms(mFleet.SharingVms());
  }
  for (const RateOutcome& outcome : mRates.TakeDecided()) {
    const auto it = mRequests.find(outcome.mRequest);
    if (it == mRequests.end() || !it->second.mWaitsForTokens) {
      continue;
    }
    it->second.mWaitsForTokens = false;
    if (outcome.mAdmitted) {
      Send(it->second);
    } else {
      RefuseRequest(it->second,
                    { .mCode = ResultCode::RateExceeded,
                      .mDetail = "the account's rate is used up",
                      .mRetryAfter = SpreadRetry(std::chrono::seconds(1)) });
    }
  }
  CheckDeadlines();
  LeaveSilentServers();
  TellBlocks();
  UpdatePlan();
  ProbeServers();
  SendStatus();
  ContinueStop();
}

void Gateway::TellBlocks()
{
  for (const message::RequestBlock& block : mCrashGuard.TakeNewBlocks()) {
    for (const auto& [id, peer] : mFleet.Peers()) {
      mOut.push_back(effect::SendMessage{ .mTo = id,
                                          .mAddress = peer.mRecord.mAddress,
                                          .mPort = peer.mRecord.mPeerPort,
                                          .mMessage = block });
    }
  }
}

double Gateway::ArrivalRate(const ServiceId& aService) const
{
  const auto it = mArrivals.find(aService);
  if (it == mArrivals.end()) {
    return 0;
  }
  return it->second.mPerSecond *
         std::exp(-ToSeconds(mNow - it->second.mAt) / kArrivalSeconds);
}

void Gateway::SendStatus()
{
  const bool isNearDue = mNow >= mNextNearStatus;
  const bool isFarDue = mNow >= mNextFarStatus;
  if (!isNearDue && !isFarDue) {
    return;
  }
  message::GatewayStatus status;
  status.mPolicy = mPolicy ? mPolicy->GetRevision() : Revision{};
  status.mIsLeaving = mStoppingSince.has_value();
  for (const auto& [service, arrivals] : mArrivals) {
    const double rate = ArrivalRate(service);
    const double seconds =
      ToSeconds(mTimes.Mean(service).value_or(Duration::zero()));
    status.mDemand.push_back({ service,
                               static_cast<float>(rate),
                               static_cast<float>(rate * seconds) });
  }
  message::GatewayStatus far = status;
  for (const auto& [id, backend] : mPool.All()) {
    if (backend->mInFlight > 0) {
      status.mInFlight.push_back(
        { backend->mHash, static_cast<std::uint16_t>(backend->mInFlight) });
    }
  }
  std::size_t nearPeers = 0;
  std::size_t farPeers = 0;
  for (const auto& [id, peer] : mFleet.Peers()) {
    const bool isNear = peer.mRecord.mRegion == mOptions.mSelf.mRegion;
    ++(isNear ? nearPeers : farPeers);
    if (peer.mIsLapsed || !(isNear ? isNearDue : isFarDue)) {
      continue;
    }
    mOut.push_back(effect::SendMessage{ .mTo = id,
                                        .mAddress = peer.mRecord.mAddress,
                                        .mPort = peer.mRecord.mPeerPort,
                                        .mMessage = isNear ? status : far });
  }
  if (isNearDue) {
    mNextNearStatus = mNow + Stretch(kNearInterval, nearPeers, kNearPeers);
  }
  if (isFarDue) {
    mNextFarStatus = mNow + Stretch(kFarInterval, farPeers, kFarPeers);
  }
}

RegionalLoad Gateway::LoadOf(const ServiceId& aService) const
{
  RegionalLoad load;
  for (const Backend* backend : mPool.OfService(aService)) {
    const RegionId& region = backend->mEntry.mRegion;
    load.mCapacity[region] += 0;
    load.mOffered[region] += 0;
    if (!mPool.IsOffered(*backend)) {
      continue;
    }
    load.mOffered[region] += backend->mEntry.mSlots;
    // Servers that are slow or await a health check count in full: they come
    // and go too fast for traffic to follow.
    if (mNow >= backend->mEjectedUntil) {
      load.mCapacity[region] += backend->mEntry.mSlots;
    }
  }
  const RegionId& own = mOptions.mSelf.mRegion;
  const double seconds =
    ToSeconds(mTimes.Mean(aService).value_or(Duration::zero()));
  for (const auto& [region, slots] : load.mOffered) {
    load.mDemand[region] = mFleet.Demand(region, aService, mNow);
  }
  load.mDemand[own] =
    mFleet.Demand(own, aService, mNow) + ArrivalRate(aService) * seconds;
  if (load.mDemand[own] < kIdleSlots) {
    load.mIsIdle = true;
    std::map<RegionId, std::size_t> vms{ { own, 1 } };
    for (const auto& [id, peer] : mFleet.Peers()) {
      ++vms[peer.mRecord.mRegion];
    }
    load.mDemand = GuessDemand(load.mOffered, vms, kGuessedUse);
  }
  return load;
}

void Gateway::UpdatePlan()
{
  if (mNow < mNextPlan) {
    return;
  }
  mNextPlan = mNow + kPlanInterval;
  for (const ServiceId& service : mPool.Services()) {
    const RegionalLoad load = LoadOf(service);
    mPlan.Update(service, load, mNow);
    RecordShares(service, load);
  }
  // What others of the region have in flight at each server.
  std::unordered_map<std::uint64_t, double> inFlight;
  for (const auto& [id, peer] : mFleet.Peers()) {
    for (const BackendInFlight& entry : peer.mStatus.mInFlight) {
      inFlight[entry.mBackend] += entry.mRequests;
    }
  }
  for (const auto& [id, backend] : mPool.All()) {
    const auto it = inFlight.find(backend->mHash);
    Backend* const known = mPool.Find(id);
    known->mPeerInFlight = it == inFlight.end() ? 0 : it->second;
    known->mPeerInFlightAt = mNow;
  }
}

void Gateway::RecordShares(const ServiceId& aService, const RegionalLoad& aLoad)
{
  const RegionShares* const shares = mPlan.Shares(aService);
  RegionShares& recorded = mRecordedShares[aService];
  if (!shares || !DiffersBy(*shares, recorded, kRecordedChange)) {
    return;
  }
  recorded = *shares;
  std::vector<cranberrywing::effect::Field> fields{ { "service",
                                                      aService.mName } };
  for (const auto& [region, slots] : aLoad.mCapacity) {
    const auto share = shares->find(region);
    const auto demand = aLoad.mDemand.find(region);
    const double part = share == shares->end() ? 0 : share->second;
    const double busy = demand == aLoad.mDemand.end() ? 0 : demand->second;
    fields.push_back({ region.mName,
                       std::to_string(std::lround(100 * part)) + "%/" +
                         std::to_string(std::lround(slots)) + "slots/" +
                         std::to_string(std::lround(busy)) + "busy" });
  }
  Record("region_shares", std::move(fields));
}

void Gateway::ProbeServers()
{
  if (!mPolicy) {
    return;
  }
  for (Backend* const backend : mPool.TakeProbesDue(mNow)) {
    const ServicePolicy* const service =
      mPolicy->FindService(backend->mEntry.mService);
    if (!service) {
      backend->mIsProbing = false;
      continue;
    }
    mOut.push_back(effect::ProbeBackend{ .mBackend = backend->mEntry.mBackend,
                                         .mAddress = backend->mEntry.mAddress,
                                         .mPort = backend->mEntry.mPort,
                                         .mHealthPath = service->mHealthPath });
  }
}

void Gateway::ContinueStop()
{
  if (!mStoppingSince || mHasExited) {
    return;
  }
  const Duration age = mNow - *mStoppingSince;
  const bool isQuiet = age >= mOptions.mStopAccepting && mRequests.empty();
  if (age >= mOptions.mStopAccepting && !mHasClosedCallers) {
    mHasClosedCallers = true;
    mOut.push_back(effect::CloseCallerConnections{});
  }
  if (isQuiet || age >= mOptions.mStopLimit - kStopMargin) {
    mHasExited = true;
    Record("stopped", { { "in_flight", std::to_string(mRequests.size()) } });
    mOut.push_back(effect::Exit{});
  }
}

} // namespace cranberrywing::gateway
