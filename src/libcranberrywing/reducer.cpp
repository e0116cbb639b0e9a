#include "cranberrywing/reducer.h"

#include <algorithm>

#include "reducer_delivery.h"
#include "reducer_state.h"

namespace cranberrywing {

namespace {

/// Interval at which the VMs named in lookups are recomputed. It bounds the
/// delay until a membership change shows in lookups.
constexpr Duration kTargetUpdateInterval = std::chrono::milliseconds(250);
/// Longest deadline assumed by a drain if the settings have no route.
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);

/// Derives a seed that is unique to the process. With equal seeds, VMs would
/// probe, retry and select servers in lockstep.
Reducer::Options SeedPerProcess(Reducer::Options aOptions)
{
  const VmIncarnation& self = aOptions.mSelf.mMember;
  aOptions.mSeed =
    HashBytes(self.mVm.mName, aOptions.mSeed ^ self.mIncarnation.mNumber);
  return aOptions;
}

} // namespace

Reducer::State::State(Options aOptions)
  : mOptions(SeedPerProcess(std::move(aOptions)))
  , mCrashGuard({})
  , mRetries({})
  , mHealth({ .mSeed = mOptions.mSeed, .mRegion = mOptions.mSelf.mRegion })
  , mReach({})
  , mSelector({ .mSeed = mOptions.mSeed, .mPolicy = mOptions.mSelection },
              mHealth)
  , mQueue({ .mUtilization = MakeUtilizationHook() })
  , mConfiguration({ .mStorePrefix = mOptions.mStorePrefix,
                     .mInitialDocument = mOptions.mInitialDocument,
                     .mSeed = mOptions.mSeed },
                   MakeConfigurationHooks())
  , mMembership({ .mSelf = mOptions.mSelf,
                  .mSeeds = mOptions.mSeeds,
                  .mSeed = mOptions.mSeed },
                MakeMembershipHooks())
  , mShares({ .mSelf = mOptions.mSelf.mMember,
              .mStorePrefix = mOptions.mStorePrefix + "shares/",
              .mSeed = mOptions.mSeed },
            MakeLedgerHooks())
  , mRates({ .mSeed = mOptions.mSeed,
             .mTransfersEnabled = mOptions.mTokenTransfers },
           MakeRateHooks())
  , mSlots({ .mSelf = mOptions.mSelf.mMember,
             .mStorePrefix = mOptions.mStorePrefix + "slots/" },
           MakeSlotHooks())
  , mExecutions({ .mSelf = mOptions.mSelf.mMember,
                  .mStorePrefix = mOptions.mStorePrefix + "claims/",
                  .mSeed = mOptions.mSeed },
                MakeExecutionHooks(),
                mSlots)
  , mOffers({ .mRegion = mOptions.mSelf.mRegion, .mSeed = mOptions.mSeed },
            MakeOfferHooks())
  , mShifts({ .mRegion = mOptions.mSelf.mRegion }, MakeShiftHooks())
  , mSteering({ .mRegion = mOptions.mSelf.mRegion }, MakeSteeringHooks())
  , mRequests(
      { .mSelf = mOptions.mSelf.mMember, .mRegion = mOptions.mSelf.mRegion },
      { .mKeys = mKeys,
        .mCrashGuard = mCrashGuard,
        .mRates = mRates,
        .mExecutions = mExecutions,
        .mQueue = mQueue,
        .mOffers = mOffers,
        .mSelector = mSelector,
        .mHealth = mHealth,
        .mRetries = mRetries },
      MakePipelineHooks())
  , mDrain(MakeDrainHooks())
{
}

void Reducer::State::Start(TimePoint aNow, EffectList& aOut)
{
  mNow = aNow;
  mStartedAt = aNow;
  mConfiguration.Start(aNow, aOut);
  ProcessDeferred(aNow, aOut);
}

void Reducer::State::Deliver(const Event& aEvent,
                             TimePoint aNow,
                             EffectList& aOut)
{
  mNow = aNow;
  VmId from;
  if (const auto* peer = std::get_if<event::PeerMessageReceived>(&aEvent)) {
    from = peer->mFrom.mVm;
  }
  std::visit(
    EventVisitor{ .mState = *this, .mNow = aNow, .mOut = aOut, .mFrom = from },
    aEvent);
  ProcessDeferred(aNow, aOut);
}

void Reducer::State::ProcessDeferred(TimePoint aNow, EffectList& aOut)
{
  for (const PendingVersion& pending : std::exchange(mPendingVersions, {})) {
    mConfiguration.OnPeerVersion(pending.mFrom, pending.mVersion, aNow, aOut);
  }
  for (const VmIncarnation& process : std::exchange(mDeaths, {})) {
    mShares.OnDeath(process, aNow, aOut);
    mSlots.OnDeath(process, aNow, aOut);
  }
  if (mConfiguration.Current() != mAppliedSettings) {
    ApplySettings(aNow, aOut);
  }
  mRequests.Advance(aNow, aOut);
}

void Reducer::State::ApplySettings(TimePoint aNow, EffectList& aOut)
{
  mAppliedSettings = mConfiguration.Current();
  mKeys.Apply(*mAppliedSettings);
  mHealth.Apply(*mAppliedSettings, aNow, aOut);
  mSelector.Apply(*mAppliedSettings);
  mQueue.Apply(*mAppliedSettings);
  mRates.Apply(mAppliedSettings->mAccounts, aNow);
  mSlots.Apply(*mAppliedSettings);
  mExecutions.Apply(*mAppliedSettings);
  mOffers.Apply(*mAppliedSettings);
  mShifts.Apply(*mAppliedSettings, aNow, aOut);
  mSteering.Apply(mAppliedSettings);
  mRequests.Apply(mAppliedSettings, aNow, aOut);
  UpdateShares(aNow);
}

void Reducer::State::Tick(TimePoint aNow, EffectList& aOut)
{
  if (aNow >= mNextTargetUpdate) {
    mSteering.Invalidate();
    mNextTargetUpdate = aNow + kTargetUpdateInterval;
  }
  mConfiguration.Tick(aNow, aOut);
  mMembership.Tick(aNow, aOut);
  if (aNow >= mNextShareUpdate) {
    UpdateShares(aNow);
  }
  mShares.Tick(aNow, aOut);
  mRates.Tick(aNow, aOut);
  mHealth.Tick(aNow, aOut);
  mCrashGuard.Tick(aNow);
  CheckServerReach(aNow, aOut);
  mSlots.Tick(aNow, aOut);
  mExecutions.Tick(aNow, aOut);
  mShifts.Tick(aNow, aOut);
  mOffers.Tick(aNow, aOut);
  mRequests.Tick(aNow, aOut);
  mDrain.Tick(aNow, aOut);
  SendRequestBlocks(aNow, aOut);
}

void Reducer::State::SendRequestBlocks(TimePoint aNow, EffectList& aOut)
{
  const auto send = [&aOut](const VmId& aVm,
                            const message::RequestBlock& aBlock) {
    aOut.push_back(effect::SendMessage{ .mTo = aVm,
                                        .mTransport = effect::Transport::Stream,
                                        .mMessage = aBlock });
  };
  const auto& members = mMembership.Members();
  for (const message::RequestBlock& block : mCrashGuard.TakePeerMessages()) {
    for (const auto& [vm, member] : members) {
      send(vm, block);
    }
  }
  const auto repeated = mCrashGuard.TakeBlocksToRepeat(aNow);
  if (repeated.empty() || members.empty()) {
    return;
  }
  const auto next = std::next(
    members.begin(),
    static_cast<std::ptrdiff_t>(mNextBlockReceiver++ % members.size()));
  for (const message::RequestBlock& block : repeated) {
    send(next->first, block);
  }
}

bool Reducer::State::IsCurrent(TimePoint aNow) const
{
  if (!mAppliedSettings ||
      mAppliedSettings->mFleet.mIsolationLimit == Duration::zero()) {
    return true;
  }
  return mMembership.IsCurrent(mAppliedSettings->mFleet.mIsolationLimit, aNow);
}

bool Reducer::State::MayAcceptEdits(TimePoint aNow) const
{
  return !mAppliedSettings || mMembership.MayAcceptEdits(
                                mAppliedSettings->mFleet.mIsolationLimit, aNow);
}

Duration Reducer::State::LongestDeadline() const
{
  Duration longest = Duration::zero();
  if (mAppliedSettings) {
    for (const RouteSettings& route : mAppliedSettings->mRoutes) {
      longest = std::max(longest, route.mTimeout);
    }
    for (const auto& [key, route] : mAppliedSettings->mOverrides) {
      longest = std::max(longest, route.mTimeout);
    }
  }
  return longest > Duration::zero() ? longest : kDefaultDeadline;
}

Reducer::Reducer(Options aOptions)
  : mState(std::make_unique<State>(std::move(aOptions)))
{
}

Reducer::~Reducer() = default;

EffectList Reducer::Start(TimePoint aNow, std::int64_t aWallSeconds)
{
  EffectList out;
  mState->mWallSeconds = aWallSeconds;
  mState->Start(aNow, out);
  return out;
}

EffectList Reducer::Reduce(const Event& aEvent,
                           TimePoint aNow,
                           std::int64_t aWallSeconds)
{
  EffectList out;
  mState->mWallSeconds = aWallSeconds;
  mState->Deliver(aEvent, aNow, out);
  return out;
}

void Reducer::SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks)
{
  mState->mSteering.SetClientBlocks(std::move(aBlocks));
}

const Configuration& Reducer::GetConfiguration() const
{
  return mState->mConfiguration;
}

const Membership& Reducer::GetMembership() const
{
  return mState->mMembership;
}

const BackendHealth& Reducer::GetHealth() const
{
  return mState->mHealth;
}

const BackendSelector& Reducer::GetSelector() const
{
  return mState->mSelector;
}

const RateLimiter& Reducer::GetRates() const
{
  return mState->mRates;
}

const ShareLedger& Reducer::GetShares() const
{
  return mState->mShares;
}

const SlotTable& Reducer::GetSlots() const
{
  return mState->mSlots;
}

const FairQueue& Reducer::GetQueue() const
{
  return mState->mQueue;
}

const OfferBook& Reducer::GetOffers() const
{
  return mState->mOffers;
}

const ShiftController& Reducer::GetShifts() const
{
  return mState->mShifts;
}

const RequestPipeline& Reducer::GetRequests() const
{
  return mState->mRequests;
}

const DrainController& Reducer::GetDrain() const
{
  return mState->mDrain;
}

const Steering& Reducer::GetSteering() const
{
  return mState->mSteering;
}

const ServerReach& Reducer::GetServerReach() const
{
  return mState->mReach;
}

const Executions& Reducer::GetExecutions() const
{
  return mState->mExecutions;
}

} // namespace cranberrywing
