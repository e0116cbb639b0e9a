#include "cranberrywing/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::ToMs;

namespace {

/// Tokens may be borrowed from another region, where a round trip can take 70
/// ms.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(90);

} // namespace

Gateway::Gateway(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mPool(BackendPool::Options{})
  , mServerReach(ServerReach::Options{})
  , mFleet(FleetView::Options{ .mSelf = mOptions.mSelf })
  , mCallerVms(CallerVms::Options{})
  , mStoreRelay(StoreRelay::Options{ .mSelf = mOptions.mSelf })
  , mRegionPlan(RegionPlan::Options{ .mOwnRegion = mOptions.mSelf.mRegion,
                                     .mMaxShift = mOptions.mMaxShift })
  , mRegionTraffic(RegionTraffic::Options{})
  , mSelector(ObjectSelector::Options{})
  , mColdStart(mOptions.mColdStart)
  , mRetries(mOptions.mRetries)
  , mRateLimiter(
      RateLimiter::Options{ .mSeed = mOptions.mSeed,
                            .mMaxWait = kMaxTokenWait },
      RateLimiterHooks{
        .mFraction =
          [this](const AccountId& aAccount) {
            return mAccountShares.Fraction(aAccount, mOptions.mSelf.mVm);
          },
        .mPeers =
          [this](const AccountId& aAccount) { return TokenPeers(aAccount); } })
  , mCrashGuard(CrashGuard::Options{
      .mCrashThreshold = 3,
      .mBlockTime = std::chrono::seconds(60),
    })
  , mObjectDemand(ObjectDemandCounter::Options{})
  , mPlacementExchange(PlacementExchange::Options{
      .mSelf = { mOptions.mSelf.mVm, mOptions.mSelf.mIncarnation },
      .mRegion = mOptions.mSelf.mRegion })
  , mNextDemandReceiver(HashBytes(mOptions.mSelf.mVm.mName))
  , mNextLimitReceiver(mNextDemandReceiver)
  , mNextLoadReceiver(mNextDemandReceiver)
  , mNextBlockReceiver(mNextDemandReceiver)
{
}

std::vector<VmId> Gateway::TokenPeers(const AccountId& aAccount)
{
  std::vector<VmId> sameRegion;
  std::vector<VmId> otherRegions;
  for (const VmId& holder : mAccountShares.Holders(aAccount)) {
    const auto it = mFleet.Peers().find(holder);
    if (it == mFleet.Peers().end() || it->second.mIsLeaving ||
        (it->second.mIsExpired && !mFleet.IsHeard(it->second, mNow))) {
      continue;
    }
    const bool isSameRegion =
      it->second.mRecord.mRegion == mOptions.mSelf.mRegion;
    (isSameRegion ? sameRegion : otherRegions).push_back(holder);
  }
  sameRegion.insert(sameRegion.end(), otherRegions.begin(), otherRegions.end());
  return sameRegion;
}

EffectList Gateway::Reduce(const Event& aEvent, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aAlternative) { On(aAlternative); }, aEvent);
  return std::exchange(mEffects, {});
}

void Gateway::Record(std::string aName,
                     std::vector<cranberrywing::effect::Field> aFields)
{
  mEffects.push_back(
    effect::RecordTimeline{ std::move(aName), std::move(aFields) });
}

void Gateway::ForwardCoreEffects(cranberrywing::EffectList& aEffects)
{
  for (cranberrywing::Effect& each : aEffects) {
    if (auto* const send =
          std::get_if<cranberrywing::effect::SendMessage>(&each)) {
      const auto it = mFleet.Peers().find(send->mTo);
      if (it != mFleet.Peers().end()) {
        send->mAddress = it->second.mRecord.mAddress;
        send->mPort = it->second.mRecord.mPeerPort;
        mEffects.push_back(std::move(*send));
      }
    } else if (auto* const record =
                 std::get_if<cranberrywing::effect::RecordTimeline>(&each)) {
      mEffects.push_back(std::move(*record));
    }
  }
  aEffects.clear();
}

void Gateway::OnBackendDown(const BackendId& aBackend)
{
  cranberrywing::EffectList effects;
  mCrashGuard.OnServerDown(aBackend, mNow, effects);
  ForwardCoreEffects(effects);
}

void Gateway::OnBackendRestarted(const Backend& aBackend)
{
  cranberrywing::EffectList effects;
  mCrashGuard.OnServerRestarted(
    aBackend.mEntry.mBackend, aBackend.mLifetimeHash, mNow, effects);
  ForwardCoreEffects(effects);
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
  mRateLimiter.Apply(accounts, mNow);
  mAccountShares.SetAccounts(std::move(accounts));
  mServiceSplit.RetainRoutes(*mPolicy);
  mEffects.push_back(effect::ApplyCallerLimits{ mPolicy->Content().mLimits });
  Record(
    "policy_in_force",
    { { "revision", std::to_string(mPolicy->GetRevision().mNumber) },
      { "routes", std::to_string(mPolicy->Content().mRoutes.size()) },
      { "accounts", std::to_string(mPolicy->Content().mAccounts.size()) },
      { "problems", std::to_string(mPolicy->Content().mProblems.size()) } });
  for (const std::string& problem : mPolicy->Content().mProblems) {
    ++mCounters.mPolicyProblems;
    Record("policy_problem",
           { { "revision", std::to_string(mPolicy->GetRevision().mNumber) },
             { "reason", problem } });
  }
}

void Gateway::On(const event::BackendRegistered& aEvent)
{
  const BackendEntry& entry = aEvent.mEntry;
  if (!mPool.Upsert(entry, mNow)) {
    return;
  }
  OnBackendRestarted(*mPool.Find(entry.mBackend));
  if (entry.mIsDraining) {
    mEffects.push_back(
      effect::CloseBackendConnections{ entry.mAddress, entry.mPort });
  }
  Record("backend_registered",
         { { "backend", entry.mBackend.mName },
           { "service", entry.mService.mName },
           { "region", entry.mRegion.mName },
           { "failure_domain", entry.mFailureDomain.mName },
           { "draining", entry.mIsDraining ? "1" : "0" },
           { "cold_ms",
             std::to_string(
               std::chrono::duration_cast<Milliseconds>(entry.mColdTimeLeft)
                 .count()) } });
  if (mHasRegistrations && !mRegionPlan.Shares(entry.mService)) {
    mNextPlan = mNow;
    UpdatePlan();
  }
}

void Gateway::On(const event::BackendRemoved& aEvent)
{
  const Backend* const backend = mPool.Find(aEvent.mBackend);
  if (!backend) {
    return;
  }
  mEffects.push_back(effect::CloseBackendConnections{ backend->mEntry.mAddress,
                                                      backend->mEntry.mPort });
  OnBackendDown(aEvent.mBackend);
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
  const auto unconfirmedAt = mStoreRelay.UnconfirmedAt();
  if (!aEvent.mIsEvacuated && unconfirmedAt &&
      mNow < *unconfirmedAt + mOptions.mReportTime) {
    // Servers that became cold meanwhile could not say so.
    mPool.SuspectCold(aEvent.mFailureDomain,
                      *unconfirmedAt + mOptions.mReportTime);
  }
}

void Gateway::On(const event::VmRegistered& aEvent)
{
  mFleet.Register(aEvent.mRecord, mNow);
}

void Gateway::On(const event::RosterVmFound& aEvent)
{
  mFleet.AddFromRoster(aEvent.mRecord, mNow);
}

void Gateway::On(const event::VmRemoved& aEvent)
{
  mFleet.Remove(aEvent.mVm, mNow);
}

void Gateway::On(const event::RegistrationsComplete&)
{
  if (!mHasRegistrations) {
    mHasRegistrations = true;
    mRegistrationsAt = mNow;
    Record("registrations_complete",
           { { "backends", std::to_string(mPool.All().size()) },
             { "vms", std::to_string(mFleet.SharingVmCount()) } });
    // Requests may come at once, and without a plan they have no server.
    mNextPlan = mNow;
    UpdatePlan();
  }
}

void Gateway::On(const event::StoreProgressed& aEvent)
{
  mStoreRelay.SetProgress(aEvent.mProgress);
}

void Gateway::On(const event::StorePullEnded& aEvent)
{
  mStoreRelay.OnPullEnded(aEvent.mResult, mNow);
  if (aEvent.mResult == PullResult::TooLarge) {
    mEffects.push_back(effect::ReadStore{});
  }
}

void Gateway::On(const event::StopRequested&)
{
  if (mStoppingSince) {
    return;
  }
  // A process without processor time handles the signal late, but is killed at
  // a fixed time after it. A signal from before the last but one Tick would
  // have been handled between the last two, so that Tick bounds its time from
  // below.
  mStoppingSince = mTickBefore.value_or(mNow);
  mEffects.push_back(effect::AnnounceLeaving{});
  mNextSameRegionStatus = mNow;
  mNextCrossRegionStatus = mNow;
  SendStatus();
  Record("stopping",
         { { "in_flight", std::to_string(mRequests.size()) },
           { "noticed_after_ms", ToMs(mNow - *mStoppingSince) } });
}

void Gateway::On(const event::BackendProbed& aEvent)
{
  Backend* const backend = mPool.Find(aEvent.mBackend);
  if (!backend) {
    return;
  }
  if (aEvent.mLifetime.value_or(backend->mLifetimeHash) !=
      backend->mLifetimeHash) {
    backend->mIsProbing = false;
    return;
  }
  if (aEvent.mColdTimeLeft) {
    backend->mColdUntil =
      std::max(backend->mColdUntil, mNow + *aEvent.mColdTimeLeft);
  }
  if (aEvent.mHasAnswered) {
    backend->mMayBeColdUntil = {};
  }
  // Samples without a time factor are left out, so that servers that state none
  // are treated as they were before there was one.
  if (aEvent.mLoad && ValidTimeFactor(aEvent.mLoad->mTimeFactor)) {
    mPool.OnLoadSample(*backend, *aEvent.mLoad, mNow);
  }
  if (aEvent.mRateLimit) {
    LearnRateLimit(*backend, aEvent.mRateLimit, mNow, "probe");
  }
  HeedNotices(
    *backend, aEvent.mIsLeaving, aEvent.mWait, NoticeSource::HealthCheck);
  if (!aEvent.mHasAnswered) {
    backend->mIsProbing = false;
    OnUnreachable(aEvent.mBackend);
  } else {
    mPool.OnProbeResult(*backend, aEvent.mIsHealthy, mNow);
    if (!aEvent.mIsHealthy) {
      OnBackendDown(aEvent.mBackend);
    }
  }
  Record("backend_probed",
         { { "backend", aEvent.mBackend.mName },
           { "healthy", aEvent.mIsHealthy ? "1" : "0" },
           { "answered", aEvent.mHasAnswered ? "1" : "0" } });
}

void Gateway::On(const event::PeerMessageReceived& aEvent)
{
  const bool wasHeard = mFleet.HasHeard(aEvent.mFrom);
  if (const auto* const status =
        std::get_if<message::GatewayStatus>(&aEvent.mMessage)) {
    mFleet.OnStatus(aEvent.mFrom, *status, mNow);
  } else if (const auto* const demand =
               std::get_if<message::RegionDemand>(&aEvent.mMessage)) {
    mFleet.OnRegionDemand(aEvent.mFrom, *demand, mNow);
  }
  if (const auto* const bound =
        std::get_if<message::BoundDemands>(&aEvent.mMessage)) {
    mFleet.OnBoundDemands(aEvent.mFrom, *bound, mNow);
    return;
  }
  if (!wasHeard && mFleet.HasHeard(aEvent.mFrom)) {
    TellLeavingServers(aEvent.mFrom.mVm);
    TellRequestBlocks(aEvent.mFrom.mVm);
  }
  if (const auto* const beacon =
        std::get_if<message::StoreBeacon>(&aEvent.mMessage)) {
    mStoreRelay.OnBeacon(aEvent.mFrom, *beacon, mNow);
    return;
  }
  if (const auto* const query =
        std::get_if<message::StoreQuery>(&aEvent.mMessage)) {
    if (const auto beacon = mStoreRelay.Answer(*query, mNow)) {
      SendTo({ aEvent.mFrom.mVm, query->mAddress, query->mPort }, *beacon);
    }
    return;
  }
  if (const auto* const limits =
        std::get_if<message::BackendRateLimits>(&aEvent.mMessage)) {
    OnMessage(*limits);
    return;
  }
  if (const auto* const reach =
        std::get_if<message::ServerReachStatus>(&aEvent.mMessage)) {
    mFleet.OnServerReach(aEvent.mFrom, *reach, mNow);
    return;
  }
  if (const auto* const leaving =
        std::get_if<message::BackendsLeaving>(&aEvent.mMessage)) {
    OnMessage(*leaving);
    return;
  }
  if (const auto* const loads =
        std::get_if<message::RegionServerLoads>(&aEvent.mMessage)) {
    OnMessage(aEvent.mFrom, *loads);
    return;
  }
  if (const auto* const demands =
        std::get_if<message::ObjectDemands>(&aEvent.mMessage)) {
    OnMessage(aEvent.mFrom, *demands);
    return;
  }
  if (const auto* const placements =
        std::get_if<message::ObjectPlacements>(&aEvent.mMessage)) {
    OnMessage(aEvent.mFrom, *placements);
    return;
  }
  cranberrywing::EffectList effects;
  if (const auto* const tokenRequest =
        std::get_if<message::TokenRequest>(&aEvent.mMessage)) {
    mRateLimiter.OnMessage(aEvent.mFrom, *tokenRequest, mNow, effects);
  } else if (const auto* const transfer =
               std::get_if<message::TokenTransfer>(&aEvent.mMessage)) {
    mRateLimiter.OnMessage(aEvent.mFrom, *transfer, mNow, effects);
  } else if (const auto* const block =
               std::get_if<message::RequestBlock>(&aEvent.mMessage)) {
    if (mCrashGuard.OnMessage(*block, mNow)) {
      Record("request_block_learned",
             { { "fingerprint", ToHex(block->mFingerprint) },
               { "from", aEvent.mFrom.mVm.mName } });
    }
  }
  ForwardCoreEffects(effects);
}

void Gateway::On(const event::Tick&)
{
  if (mLastTick != TimePoint{}) {
    mTickBefore = mLastTick;
  }
  mLastTick = mNow;
  cranberrywing::EffectList effects;
  mRateLimiter.Tick(mNow, effects);
  ForwardCoreEffects(effects);
  mCrashGuard.Tick(mNow);
  mFleet.Tick(mNow);
  if (mFleet.Version() != mSharedFleetVersion) {
    mSharedFleetVersion = mFleet.Version();
    mAccountShares.SetVms(mFleet.SharingVms());
  }
  for (const RateOutcome& outcome : mRateLimiter.TakeOutcomes()) {
    const auto it = mRequests.find(outcome.mRequest);
    if (it == mRequests.end() || !it->second.mWaitsForTokens) {
      continue;
    }
    it->second.mWaitsForTokens = false;
    if (outcome.mAdmitted) {
      DispatchOrRefuse(it->second, Select(it->second));
    } else {
      RefuseRateExceeded(it->second);
    }
  }
  mPool.Notices().Tick(mNow);
  CheckServerReach();
  ExpireRequests();
  RetryFromSilentServers();
  BroadcastRequestBlocks();
  RepeatRequestBlocks();
  RelayStoreChanges();
  UpdatePlan();
  UpdateCallerVms();
  ExchangePlacements();
  RecordRegionTraffic();
  ProbeServers();
  SendStatus();
  AdvanceShutdown();
}

} // namespace cranberrywing::gateway
