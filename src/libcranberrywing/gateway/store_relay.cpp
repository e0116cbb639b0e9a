#include "cranberrywing/gateway/store_relay.h"

#include <algorithm>

namespace cranberrywing::gateway {

namespace {

/// Position of a VM in the order of its group; the first is elected.
std::uint64_t OrderOf(const VmId& aVm)
{
  return HashBytes(aVm.mName);
}

RelayEndpoint EndpointOf(const VmRecord& aRecord)
{
  return { aRecord.mVm, aRecord.mAddress, aRecord.mPeerPort };
}

std::uint32_t ToAgeMs(Duration aAge)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
    0, std::chrono::duration_cast<Milliseconds>(aAge).count()));
}

} // namespace

StoreRelay::StoreRelay(Options aOptions)
  : mOptions(std::move(aOptions))
  , mSelfHash(OrderOf(mOptions.mSelf.mVm))
{
}

void StoreRelay::SetProgress(const StoreProgress& aProgress)
{
  const bool isAdvanced = aProgress.mRevision > mProgress.mRevision;
  mProgress = aProgress;
  if (isAdvanced) {
    UpdateConfirmation();
  }
}

void StoreRelay::OnBeacon(const VmIncarnation& aFrom,
                          const message::StoreBeacon& aBeacon,
                          TimePoint aNow)
{
  if (aFrom.mVm == mOptions.mSelf.mVm) {
    return;
  }
  mSources[aFrom.mVm] = {
    .mEndpoint = { aFrom.mVm, aBeacon.mAddress, aBeacon.mPort },
    .mRevision = aBeacon.mRevision,
    .mHeardAt = aNow,
    .mConfirmation = { .mAt = aNow - Milliseconds(aBeacon.mAgeMs),
                       .mOrigin = aBeacon.mOrigin,
                       .mIsOriginElected = aBeacon.mIsOriginElected },
  };
  UpdateConfirmation();
}

void StoreRelay::UpdateConfirmation()
{
  for (const auto& [id, source] : mSources) {
    // A confirmation of a later revision says nothing about this VM's copy.
    if (source.mRevision <= mProgress.mRevision &&
        source.mConfirmation.mOrigin != mSelfHash &&
        (!mConfirmation || source.mConfirmation.mAt > mConfirmation->mAt)) {
      mConfirmation = source.mConfirmation;
    }
  }
}

void StoreRelay::Tick(const FleetView& aFleet, TimePoint aNow)
{
  if (aNow < mNextGroups) {
    return;
  }
  mNextGroups = aNow + mOptions.mGroupInterval;
  mGroups = FindGroups(aFleet, aNow);
  std::erase_if(mSources, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeardAt > mOptions.mSourceRetention;
  });
}

StoreRelay::Groups StoreRelay::FindGroups(const FleetView& aFleet,
                                          TimePoint aNow) const
{
  std::map<RegionId, std::size_t> regionSizes;
  ++regionSizes[mOptions.mSelf.mRegion];
  for (const auto& [id, peer] : aFleet.Peers()) {
    regionSizes[peer.mRecord.mRegion] += peer.mIsExpired ? 0 : 1;
  }
  const auto groupOf = [&](const VmRecord& aRecord) {
    const bool isSmall = regionSizes[aRecord.mRegion] <= mOptions.mSmallRegion;
    return std::pair(aRecord.mRegion,
                     isSmall ? FailureDomainId() : aRecord.mFailureDomain);
  };
  const auto ownGroup = groupOf(mOptions.mSelf);
  Groups groups;
  std::map<decltype(groupOf(mOptions.mSelf)), const Peer*> elected;
  for (const auto& [id, peer] : aFleet.Peers()) {
    const auto group = groupOf(peer.mRecord);
    const bool isUsable = aFleet.IsUsable(peer, aNow);
    if (group == ownGroup) {
      groups.mMates.push_back(EndpointOf(peer.mRecord));
      groups.mRank += isUsable && OrderOf(id) < mSelfHash ? 1 : 0;
    } else if (isUsable) {
      const Peer*& first = elected[group];
      if (!first || OrderOf(id) < OrderOf(first->mRecord.mVm)) {
        first = &peer;
      }
    }
  }
  for (const auto& [group, peer] : elected) {
    groups.mOtherElected.push_back(EndpointOf(peer->mRecord));
  }
  return groups;
}

bool StoreRelay::IsOrigin() const
{
  // A slightly newer confirmation by another VM makes no difference to the
  // receivers, and naming this VM keeps the origin stable.
  return mProgress.mConfirmedAt &&
         (!mConfirmation || mConfirmation->mAt - *mProgress.mConfirmedAt <=
                              mOptions.mBeaconInterval);
}

std::optional<Duration> StoreRelay::Age(TimePoint aNow) const
{
  if (IsOrigin()) {
    return aNow - *mProgress.mConfirmedAt;
  }
  return mConfirmation ? std::optional(aNow - mConfirmation->mAt)
                       : std::nullopt;
}

StoreFollowing StoreRelay::Following(TimePoint aNow) const
{
  const auto steps =
    static_cast<Duration::rep>(std::min(mGroups.mRank, mOptions.mMaxSteps));
  const bool isFresh =
    mConfirmation &&
    aNow - mConfirmation->mAt <= mOptions.mAgeLimit + steps * mOptions.mAgeStep;
  if (IsElected()) {
    const bool needsStore = mProgress.mConfirmedAt || !isFresh;
    return needsStore ? StoreFollowing::Eager : StoreFollowing::Patient;
  }
  if (!isFresh) {
    return StoreFollowing::Patient;
  }
  // Of several VMs that read the store for lack of an elected one, the first
  // continues.
  const bool isReplaced =
    mConfirmation->mIsOriginElected || mConfirmation->mOrigin < mSelfHash;
  return mProgress.mConfirmedAt && !isReplaced ? StoreFollowing::Patient
                                               : StoreFollowing::Off;
}

std::optional<StorePull> StoreRelay::TakePull(TimePoint aNow)
{
  if (mIsPulling || aNow < mNextPull) {
    return std::nullopt;
  }
  const Source* newest = nullptr;
  const auto isPreferred = [&](const Source& aLeft, const Source& aRight) {
    const bool hasLeftFailed = aLeft.mEndpoint.mVm == mFailedSource;
    const bool hasRightFailed = aRight.mEndpoint.mVm == mFailedSource;
    return hasLeftFailed != hasRightFailed
             ? hasRightFailed
             : std::pair(aLeft.mRevision, aLeft.mHeardAt) >
                 std::pair(aRight.mRevision, aRight.mHeardAt);
  };
  for (const auto& [id, source] : mSources) {
    const bool isNews = source.mRevision > mProgress.mRevision &&
                        aNow - source.mHeardAt <= mOptions.mAgeLimit;
    if (isNews && (!newest || isPreferred(source, *newest))) {
      newest = &source;
    }
  }
  if (!newest) {
    mLargeSince.reset();
    return std::nullopt;
  }
  mIsPulling = true;
  mPulledFrom = newest->mEndpoint.mVm;
  mNextPull = aNow + mOptions.mPullInterval;
  return StorePull{ .mFrom = newest->mEndpoint,
                    .mAfterRevision = mProgress.mRevision,
                    .mMayBeLarge = mLargeSince && aNow - *mLargeSince >=
                                                    mOptions.mLargeReadTime };
}

void StoreRelay::OnPullEnded(PullResult aResult, TimePoint aNow)
{
  mIsPulling = false;
  mFailedSource = aResult == PullResult::Failed ? mPulledFrom : VmId();
  switch (aResult) {
    case PullResult::Applied:
      mLargeSince.reset();
      break;
    case PullResult::Failed:
      mNextPull = aNow + mOptions.mPullRetryDelay;
      break;
    case PullResult::TooLarge:
      mLargeSince = mLargeSince.value_or(aNow);
      mNextPull = aNow + mOptions.mLargeReadTime;
      break;
  }
}

std::vector<RelayEndpoint> StoreRelay::TakeReceivers(TimePoint aNow)
{
  const bool isChanged = mProgress.mRevision > mBeaconRevision;
  if (mProgress.mRevision == 0 || !Age(aNow) ||
      (!isChanged && aNow < mNextBeacon)) {
    return {};
  }
  const bool speaksForStore = IsOrigin();
  if (!IsElected() && !speaksForStore) {
    return {};
  }
  mBeaconRevision = mProgress.mRevision;
  std::vector<RelayEndpoint> receivers = mGroups.mMates;
  if (speaksForStore) {
    receivers.insert(receivers.end(),
                     mGroups.mOtherElected.begin(),
                     mGroups.mOtherElected.end());
  }
  const Duration interval = static_cast<Duration::rep>(receivers.size()) *
                            mOptions.mIntervalPerReceiver;
  mNextBeacon =
    aNow +
    std::clamp(interval, mOptions.mBeaconInterval, mOptions.mMaxBeaconInterval);
  return receivers;
}

message::StoreBeacon StoreRelay::Beacon(TimePoint aNow) const
{
  const bool isOwn = IsOrigin() || !mConfirmation;
  return { .mRevision = mProgress.mRevision,
           .mAgeMs = ToAgeMs(Age(aNow).value_or(Duration::zero())),
           .mOrigin = isOwn ? mSelfHash : mConfirmation->mOrigin,
           .mIsOriginElected =
             isOwn ? IsElected() : mConfirmation->mIsOriginElected,
           .mAddress = mOptions.mSelf.mAddress,
           .mPort = mOptions.mSelf.mPeerPort };
}

} // namespace cranberrywing::gateway
