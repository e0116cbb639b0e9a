#include "cranberrywing/reducer.h"

#include <algorithm>

#include "reducer_delivery.h"
#include "reducer_state.h"

namespace cranberrywing {

namespace {

/// Time between looks at which VMs lookups may name. Membership changes show
/// in answers after it at the latest.
constexpr Duration kTargetInterval = std::chrono::milliseconds(250);
/// Deadline of a drain when the settings name no route.
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);

/// Gives each process its own random sequence. Equal sequences would make
/// VMs probe, retry and choose servers in step.
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
  , mRates({ .mSeed = mOptions.mSeed, .mTransfers = mOptions.mTokenTransfers },
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
  Settle(aNow, aOut);
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
    Delivery{ .mState = *this, .mNow = aNow, .mOut = aOut, .mFrom = from },
    aEvent);
  Settle(aNow, aOut);
}

void Reducer::State::Settle(TimePoint aNow, EffectList& aOut)
{
  for (const HeardVersion& heard : std::exchange(mHeard, {})) {
    mConfiguration.OnPeerVersion(heard.mFrom, heard.mVersion, aNow, aOut);
  }
  for (const VmIncarnation& process : std::exchange(mDeaths, {})) {
    mShares.OnDeath(process, aNow, aOut);
    mSlots.OnDeath(process, aNow, aOut);
  }
  if (mConfiguration.Current() != mApplied) {
    ApplySettings(aNow, aOut);
  }
  mRequests.Advance(aNow, aOut);
}

void Reducer::State::ApplySettings(TimePoint aNow, EffectList& aOut)
{
  mApplied = mConfiguration.Current();
  mKeys.Apply(*mApplied);
  mHealth.Apply(*mApplied, aNow, aOut);
  mSelector.Apply(*mApplied);
  mQueue.Apply(*mApplied);
  mRates.Apply(mApplied->mAccounts, aNow);
  mSlots.Apply(*mApplied);
  mExecutions.Apply(*mApplied);
  mOffers.Apply(*mApplied);
  mShifts.Apply(*mApplied, aNow, aOut);
  mSteering.Apply(mApplied);
  mRequests.Apply(mApplied, aNow, aOut);
  ReviewShares(aNow);
}

void Reducer::State::Tick(TimePoint aNow, EffectList& aOut)
{
  if (aNow >= mNextTargets) {
    mSteering.Invalidate();
    mNextTargets = aNow + kTargetInterval;
  }
  mConfiguration.Tick(aNow, aOut);
  mMembership.Tick(aNow, aOut);
  if (aNow >= mNextReview) {
    ReviewShares(aNow);
  }
  mShares.Tick(aNow, aOut);
  mRates.Tick(aNow, aOut);
  mHealth.Tick(aNow, aOut);
  mCrashGuard.Tick(aNow);
  mSlots.Tick(aNow, aOut);
  mExecutions.Tick(aNow, aOut);
  mShifts.Tick(aNow, aOut);
  mOffers.Tick(aNow, aOut);
  mRequests.Tick(aNow, aOut);
  mDrain.Tick(aNow, aOut);
  SendBlocks(aOut);
}

void Reducer::State::SendBlocks(EffectList& aOut)
{
  for (const message::RequestBlock& block : mCrashGuard.TakeNewBlocks()) {
    for (const auto& [vm, member] : mMembership.Members()) {
      aOut.push_back(
        effect::SendMessage{ .mTo = vm,
                             .mTransport = effect::Transport::Stream,
                             .mMessage = block });
    }
  }
}

bool Reducer::State::IsCurrent(TimePoint aNow) const
{
  if (!mApplied || mApplied->mFleet.mIsolationLimit == Duration::zero()) {
    return true;
  }
  return mMembership.IsCurrent(mApplied->mFleet.mIsolationLimit, aNow);
}

bool Reducer::State::MayAcceptEdits(TimePoint aNow) const
{
  return !mApplied ||
         mMembership.MayAcceptEdits(mApplied->mFleet.mIsolationLimit, aNow);
}

Duration Reducer::State::LongestDeadline() const
{
  Duration longest = Duration::zero();
  if (mApplied) {
    for (const RouteSettings& route : mApplied->mRoutes) {
      longest = std::max(longest, route.mTimeout);
    }
    for (const auto& [key, route] : mApplied->mOverrides) {
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
  mState->mSteering.SetBlocks(std::move(aBlocks));
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

const Executions& Reducer::GetExecutions() const
{
  return mState->mExecutions;
}

} // namespace cranberrywing
