// The callbacks through which the components query and notify each other.

#include "reducer_state.h"

namespace cranberrywing {

namespace {

/// Age beyond which a load report is ignored in capacity decisions.
constexpr Duration kLoadReportLifetime = std::chrono::seconds(5);
/// Maximum number of peers in other regions that an offer is announced to. At
/// 460 VMs, announcing to all would take hundreds of messages per second.
constexpr std::size_t kMaxOfferRecipients = 8;

} // namespace

ConfigurationHooks Reducer::State::MakeConfigurationHooks()
{
  return {
    .mIsWatcher = [this] { return mMembership.IsStoreWatcher(); },
    .mPickPeers =
      [this](std::size_t aCount) { return mMembership.PickPeers(aCount); },
    .mMemberCount = [this] { return mMembership.UsableCount(); },
  };
}

MembershipHooks Reducer::State::MakeMembershipHooks()
{
  return {
    .mVersion = [this] { return mConfiguration.Version(); },
    .mStoreContactAge = [this] { return mConfiguration.StoreContactAge(mNow); },
    .mOnVersion =
      [this](const VmId& aFrom, const ConfigurationVersion& aVersion) {
        mPendingVersions.push_back({ aFrom, aVersion });
      },
    .mOnDeath =
      [this](const VmIncarnation& aProcess) { mDeaths.push_back(aProcess); },
  };
}

ShareLedgerHooks Reducer::State::MakeLedgerHooks()
{
  return {
    .mIsDead =
      [this](const VmIncarnation& aProcess) {
        return mMembership.IsDead(aProcess);
      },
    .mExpectedHolders =
      [this](const std::string& aName) { return ExpectedHolders(aName); },
  };
}

RateLimiterHooks Reducer::State::MakeRateHooks()
{
  return {
    .mFraction =
      [this](const AccountId& aAccount) {
        return mShares.Fraction(AccountShareName(aAccount));
      },
    .mPeers = [this](const AccountId& aAccount) { return RatePeers(aAccount); },
  };
}

SlotTableHooks Reducer::State::MakeSlotHooks()
{
  return {
    .mIsDead =
      [this](const VmIncarnation& aProcess) {
        return mMembership.IsDead(aProcess);
      },
    .mIsUsable =
      [this](const VmId& aVm) {
        return aVm == mOptions.mSelf.mMember.mVm || mMembership.IsUsable(aVm);
      },
    .mCandidates = [this] { return SlotCandidates(); },
    .mOnAcquired =
      [this](std::uint32_t aSlot,
             std::uint64_t aEpoch,
             TimePoint aNow,
             EffectList& aOut) {
        mExecutions.OnSlotAcquired(aSlot, aEpoch, aNow, aOut);
      },
    .mOnLost =
      [this](std::uint32_t aSlot, TimePoint aNow, EffectList& aOut) {
        mExecutions.OnSlotLost(aSlot, aNow, aOut);
      },
  };
}

std::vector<std::pair<VmId, FailureDomainId>> Reducer::State::SlotCandidates()
  const
{
  std::vector<std::pair<VmId, FailureDomainId>> candidates;
  if (mDrain.Stage() == DrainStage::Serving && !IsAvoided()) {
    candidates.emplace_back(mOptions.mSelf.mMember.mVm,
                            mOptions.mSelf.mFailureDomain);
  }
  for (const auto& [vm, member] : mMembership.Members()) {
    if (mMembership.IsUsable(member) && !IsAvoided(member)) {
      candidates.emplace_back(vm, member.mUpdate.mFailureDomain);
    }
  }
  return candidates;
}

ExecutionsHooks Reducer::State::MakeExecutionHooks()
{
  return {
    .mCopyHolder = [this](std::uint32_t aSlot) { return CopyHolder(aSlot); },
    .mPeers =
      [this] { return mMembership.PickPeers(mMembership.Members().size()); },
    .mWallSeconds = [this] { return mWallSeconds; },
  };
}

std::optional<VmId> Reducer::State::CopyHolder(std::uint32_t aSlot) const
{
  std::optional<VmId> holder;
  std::uint64_t greatest = 0;
  for (const auto& [vm, member] : mMembership.Members()) {
    const bool isElsewhere =
      member.mUpdate.mFailureDomain != mOptions.mSelf.mFailureDomain;
    if (!isElsewhere || !mMembership.IsUsable(member)) {
      continue;
    }
    const std::uint64_t weight = CopyHolderWeight(aSlot, vm);
    if (!holder || weight > greatest) {
      holder = vm;
      greatest = weight;
    }
  }
  return holder;
}

OfferBookHooks Reducer::State::MakeOfferHooks()
{
  return {
    .mFraction =
      [this](const ServiceId& aService) {
        return mShares.Fraction(CapacityShareName(aService));
      },
    .mCapacity =
      [this](
        const ServiceId& aService, const RegionId& aRegion, TimePoint aNow) {
        return mHealth.Capacity(aService, aRegion, aNow);
      },
    .mReportedRate =
      [this](
        const ServiceId& aService, const RegionId& aRegion, TimePoint aNow) {
        return mHealth.ReportedRate(
          aService, aRegion, kLoadReportLifetime, aNow);
      },
    .mShiftedFractions =
      [this](const ServiceId& aService, TimePoint aNow) {
        return mShifts.ShiftedFractions(aService, aNow);
      },
    .mRemotePeers = [this] { return OtherRegionPeers(); },
  };
}

std::function<std::optional<double>(const ServiceId&, TimePoint)>
Reducer::State::MakeUtilizationHook()
{
  return [this](const ServiceId& aService, TimePoint aNow) {
    return mHealth.Utilization(
      aService, mOptions.mSelf.mRegion, kLoadReportLifetime, aNow);
  };
}

std::vector<VmId> Reducer::State::OtherRegionPeers()
{
  std::vector<VmId> audience;
  for (VmId& vm : mMembership.PickPeers(mMembership.Members().size())) {
    const Member* member = mMembership.Find(vm);
    const bool isElsewhere =
      member && member->mUpdate.mRegion != mOptions.mSelf.mRegion;
    if (isElsewhere && audience.size() < kMaxOfferRecipients) {
      audience.push_back(std::move(vm));
    }
  }
  return audience;
}

std::vector<VmId> Reducer::State::RegionPeers() const
{
  std::vector<VmId> peers;
  for (const auto& [vm, member] : mMembership.Members()) {
    const bool isInRegion = member.mUpdate.mRegion == mOptions.mSelf.mRegion;
    if (isInRegion && mMembership.IsUsable(member)) {
      peers.push_back(vm);
    }
  }
  return peers;
}

ShiftHooks Reducer::State::MakeShiftHooks()
{
  return {
    .mMayAdvance =
      [this](
        const ServiceId& aService, const RegionId& aRegion, TimePoint aNow) {
        // The target region grants no new capacity without recent measurements.
        return mOffers.IsCovered(aService, aRegion, aNow);
      },
    .mRegionPeers = [this] { return RegionPeers(); },
  };
}

SteeringHooks Reducer::State::MakeSteeringHooks()
{
  return {
    .mTargets = [this] { return SteeringTargets(); },
    .mExecutionOwner = [this](const AccountId& aAccount,
                              const RouteId& aRoute,
                              const std::string& aKey) -> std::optional<VmId> {
      const auto location = mExecutions.Locate(
        { .mAccount = aAccount, .mRoute = aRoute, .mIdempotencyKey = aKey });
      if (!location || !location->mOwner) {
        return std::nullopt;
      }
      return location->mOwner->mProcess.mVm;
    },
  };
}

std::vector<SteeringTarget> Reducer::State::SteeringTargets() const
{
  std::vector<SteeringTarget> targets;
  const auto add = [&](const MemberUpdate& aUpdate) {
    targets.push_back({ .mVm = aUpdate.mMember.mVm,
                        .mRegion = aUpdate.mRegion,
                        .mSite = aUpdate.mSite,
                        .mAddress = aUpdate.mAddress,
                        .mPort = aUpdate.mCallerPort });
  };
  if (mDrain.Stage() == DrainStage::Serving && IsCurrent(mNow) &&
      !IsAvoided()) {
    add(mOptions.mSelf);
  }
  for (const auto& [vm, member] : mMembership.Members()) {
    if (mMembership.IsUsable(member) && !IsAvoided(member)) {
      add(member.mUpdate);
    }
  }
  return targets;
}

PipelineHooks Reducer::State::MakePipelineHooks()
{
  return {
    .mIsKeyViewCurrent = [this](TimePoint aNow) { return IsCurrent(aNow); },
    .mClosesConnections = [this] { return mDrain.ClosesConnections(); },
    .mLatestDeadline = [this] { return mDrain.LatestDeadline(); },
    .mFindVm = [this](const VmId& aVm) -> std::optional<effect::LookupVm> {
      const Member* member = mMembership.Find(aVm);
      if (!member || !mMembership.IsUsable(aVm)) {
        return std::nullopt;
      }
      return effect::LookupVm{ aVm,
                               member->mUpdate.mAddress,
                               member->mUpdate.mCallerPort };
    },
    .mFindAnyOwner = [this]() -> std::optional<VmId> {
      for (std::uint32_t n = 0; n < mSlots.SlotCount(); ++n) {
        const auto owner = mSlots.Owner(n);
        if (owner && mMembership.IsUsable(owner->mProcess.mVm)) {
          return owner->mProcess.mVm;
        }
      }
      return std::nullopt;
    },
    .mCanForward =
      [this](const VmId& aVm) {
        // A leaving VM owns its slots until it has handed them over.
        const Member* member = mMembership.Find(aVm);
        return mMembership.IsUsable(aVm) ||
               (member && member->mUpdate.mState == MemberState::Leaving);
      },
    .mIsConfirmedOwner =
      [this](std::uint32_t aSlot, TimePoint aNow) {
        return mSlots.IsConfirmedOwner(aSlot, aNow);
      },
  };
}

DrainHooks Reducer::State::MakeDrainHooks()
{
  return {
    .mLeave =
      [this](bool aFinal, TimePoint aNow, EffectList& aOut) {
        mMembership.Leave(aFinal, aNow, aOut);
      },
    .mStartHandover =
      [this](TimePoint aNow, EffectList& aOut) {
        mSlots.ReleaseAll(aNow, aOut);
        mShares.ReleaseAll(aNow, aOut);
      },
    .mIsHandedOver =
      [this] { return mSlots.IsReleased() && mShares.IsReleased(); },
    .mInFlight = [this] { return mRequests.InFlight(); },
    .mRefuseRemaining = [this](EffectList& aOut) { mRequests.RefuseAll(aOut); },
  };
}

} // namespace cranberrywing
