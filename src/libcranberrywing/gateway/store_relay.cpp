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
  const bool isAdvanced = aProgress.mPosition > mProgress.mPosition;
  mProgress = aProgress;
  if (mProgress.mConfirmedAt) {
    mOwnConfirmedAt = mProgress.mConfirmedAt;
  }
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
  Source& source = mSources[aFrom.mVm];
  source.mEndpoint = { aFrom.mVm, aBeacon.mAddress, aBeacon.mPort };
  source.mPosition = aBeacon.mPosition;
  source.mCarriedDigest = aBeacon.mCarriedDigest;
  source.mHeardAt = aNow;
  source.mConfirmation.reset();
  const TimePoint askedAt{ Duration(aBeacon.mQuerySentAt) };
  if (aBeacon.mQuerySentAt > 0 && askedAt <= aNow) {
    source.mConfirmation = { .mAt = askedAt - Milliseconds(aBeacon.mAgeMs),
                             .mOrigin = aBeacon.mOrigin,
                             .mIsOriginElected = aBeacon.mIsOriginElected };
  }
  UpdateConfirmation();
}

void StoreRelay::UpdateConfirmation()
{
  for (const auto& [id, source] : mSources) {
    // A confirmation of a later revision says nothing about this VM's copy.
    if (source.mConfirmation && source.mPosition <= mProgress.mPosition &&
        source.mConfirmation->mOrigin != mSelfHash &&
        (!mConfirmation || source.mConfirmation->mAt > mConfirmation->mAt)) {
      mConfirmation = source.mConfirmation;
    }
  }
}

void StoreRelay::Tick(const FleetView& aFleet, TimePoint aNow)
{
  mStartedAt = mStartedAt.value_or(aNow);
  if (Age(aNow).value_or(Duration::zero()) > mOptions.mAgeLimit) {
    mUnconfirmedAt = aNow;
  }
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
  std::vector<std::pair<std::uint64_t, RelayEndpoint>> mates;
  std::map<decltype(groupOf(mOptions.mSelf)), const Peer*> elected;
  for (const auto& [id, peer] : aFleet.Peers()) {
    const auto group = groupOf(peer.mRecord);
    const bool isUsable = aFleet.IsUsable(peer, aNow);
    if (group == ownGroup) {
      if (isUsable) {
        mates.emplace_back(OrderOf(id), EndpointOf(peer.mRecord));
      }
      // While no VM is heard, all count as usable.
      if (!aFleet.IsHeard(peer, aNow)) {
        groups.mSilentMates.push_back(EndpointOf(peer.mRecord));
      }
    } else if (!peer.mIsExpired && !peer.mIsLeaving) {
      // VMs of other regions are heard too seldom to judge by that.
      const Peer*& first = elected[group];
      if (!first || OrderOf(id) < OrderOf(first->mRecord.mVm)) {
        first = &peer;
      }
    }
  }
  std::sort(
    mates.begin(), mates.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first < aOther.first;
    });
  for (auto& [order, mate] : mates) {
    groups.mRank += order < mSelfHash ? 1 : 0;
    groups.mMates.push_back(std::move(mate));
  }
  std::vector<const Peer*> others;
  for (const auto& [group, peer] : elected) {
    others.push_back(peer);
  }
  std::sort(
    others.begin(), others.end(), [](const Peer* aOne, const Peer* aOther) {
      return OrderOf(aOne->mRecord.mVm) < OrderOf(aOther->mRecord.mVm);
    });
  for (const Peer* const peer : others) {
    groups.mElectedRank += OrderOf(peer->mRecord.mVm) < mSelfHash ? 1 : 0;
    groups.mOtherElected.push_back(EndpointOf(peer->mRecord));
  }
  return groups;
}

std::optional<StoreRelay::Confirmation> StoreRelay::Latest() const
{
  // A slightly newer confirmation by another VM makes no difference to the
  // receivers, and naming this VM keeps the origin stable.
  if (mOwnConfirmedAt &&
      (!mConfirmation ||
       mConfirmation->mAt - *mOwnConfirmedAt <= mOptions.mAgeTolerance)) {
    return Confirmation{ .mAt = *mOwnConfirmedAt,
                         .mOrigin = mSelfHash,
                         .mIsOriginElected = IsElected() };
  }
  return mConfirmation;
}

bool StoreRelay::IsOrigin() const
{
  const auto latest = Latest();
  return mProgress.mConfirmedAt && latest && latest->mOrigin == mSelfHash;
}

std::optional<Duration> StoreRelay::Age(TimePoint aNow) const
{
  const auto latest = Latest();
  return latest ? std::optional(aNow - latest->mAt) : std::nullopt;
}

bool StoreRelay::IsConfirmedByOther(Duration aLimit,
                                    std::size_t aPreceding,
                                    TimePoint aNow) const
{
  const auto steps =
    static_cast<Duration::rep>(std::min(aPreceding, mOptions.mMaxSteps));
  return mConfirmation &&
         aNow - mConfirmation->mAt <= aLimit + steps * mOptions.mAgeStep;
}

bool StoreRelay::IsConfirming(TimePoint aNow) const
{
  return !IsElected() || IsFirstElected() ||
         !IsConfirmedByOther(
           mOptions.mElectedAgeLimit, mGroups.mElectedRank, aNow);
}

StoreFollowing StoreRelay::Following(TimePoint aNow) const
{
  const bool isFresh =
    IsConfirmedByOther(mOptions.mAgeLimit, mGroups.mRank, aNow);
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

bool StoreRelay::HasUnknownEntries(const Source& aSource, TimePoint aNow) const
{
  return aNow >= mNextCarriedPull &&
         aSource.mPosition.mEpoch == mProgress.mPosition.mEpoch &&
         aSource.mCarriedDigest != 0 &&
         aSource.mCarriedDigest != mProgress.mCarriedDigest &&
         aSource.mCarriedDigest != mKnownDigest;
}

std::optional<StorePull> StoreRelay::TakePull(TimePoint aNow)
{
  const bool awaitsStore =
    mProgress.mPosition.mRevision == 0 &&
    (!mStartedAt || aNow - *mStartedAt < mOptions.mFirstCopyDelay);
  if (mIsPulling || aNow < mNextPull || awaitsStore) {
    return std::nullopt;
  }
  const Source* newest = nullptr;
  const auto isPreferred = [&](const Source& aLeft, const Source& aRight) {
    const bool hasLeftFailed = aLeft.mEndpoint.mVm == mFailedSource;
    const bool hasRightFailed = aRight.mEndpoint.mVm == mFailedSource;
    return hasLeftFailed != hasRightFailed
             ? hasRightFailed
             : std::pair(aLeft.mPosition, aLeft.mHeardAt) >
                 std::pair(aRight.mPosition, aRight.mHeardAt);
  };
  for (const auto& [id, source] : mSources) {
    const bool isNews = (source.mPosition > mProgress.mPosition ||
                         HasUnknownEntries(source, aNow)) &&
                        aNow - source.mHeardAt <= mOptions.mSourceValidity;
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
  mPulledDigest = newest->mCarriedDigest;
  mNextCarriedPull = aNow + mOptions.mCarriedPullInterval;
  mNextPull = aNow + mOptions.mPullInterval;
  return StorePull{ .mFrom = newest->mEndpoint,
                    .mAfter = mProgress.mPosition,
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
      mKnownDigest = mPulledDigest;
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

std::vector<RelayEndpoint> StoreRelay::TakeQueries(TimePoint aNow)
{
  const bool readsStore = mProgress.mConfirmedAt &&
                          aNow - *mProgress.mConfirmedAt <= mOptions.mDoubtAge;
  if (aNow < mNextQuery || (IsFirstElected() && readsStore)) {
    return {};
  }
  const auto growth = static_cast<Duration::rep>(
    mGroups.mMates.size() / std::max<std::size_t>(1, mOptions.mUsualGroup));
  mNextQuery =
    aNow + (IsElected() ? mOptions.mElectedQueryInterval
                        : std::min((1 + growth) * mOptions.mQueryInterval,
                                   mOptions.mMaxQueryInterval));
  std::vector<RelayEndpoint> receivers;
  std::vector<RelayEndpoint> further = mGroups.mOtherElected;
  further.insert(further.end(), mGroups.mMates.begin(), mGroups.mMates.end());
  if (!IsElected()) {
    receivers.push_back(mGroups.mMates.front());
  } else if (!IsFirstElected()) {
    receivers.push_back(mGroups.mOtherElected.front());
  }
  const auto age = Age(aNow);
  const bool isInDoubt = !age || *age > mOptions.mDoubtAge;
  const std::size_t count =
    isInDoubt ? std::min(mOptions.mFurtherQueries, further.size()) : 0;
  for (std::size_t n = 0; n < count; ++n) {
    receivers.push_back(further[mNextFurther++ % further.size()]);
  }
  return receivers;
}

message::StoreQuery StoreRelay::Query(TimePoint aNow) const
{
  return { .mSentAt = aNow.time_since_epoch().count(),
           .mAddress = mOptions.mSelf.mAddress,
           .mPort = mOptions.mSelf.mPeerPort };
}

std::vector<RelayEndpoint> StoreRelay::TakeReceivers(TimePoint aNow)
{
  std::vector<RelayEndpoint> receivers;
  const bool isChanged = mProgress.mPosition > mSentPosition;
  const bool isFirst = mSentPosition.mRevision == 0;
  mSentPosition = mProgress.mPosition;
  if (isFirst || (!IsElected() && !IsOrigin())) {
    return receivers;
  }
  if (isChanged) {
    receivers = mGroups.mMates;
  }
  if (isChanged && IsOrigin()) {
    receivers.insert(receivers.end(),
                     mGroups.mOtherElected.begin(),
                     mGroups.mOtherElected.end());
  }
  if (aNow >= mNextNews) {
    mNextNews = aNow + mOptions.mNewsInterval;
    receivers.insert(receivers.end(),
                     mGroups.mSilentMates.begin(),
                     mGroups.mSilentMates.end());
  }
  return receivers;
}

message::StoreBeacon StoreRelay::News() const
{
  return { .mPosition = mProgress.mPosition,
           .mCarriedDigest = mProgress.mCarriedDigest,
           .mAddress = mOptions.mSelf.mAddress,
           .mPort = mOptions.mSelf.mPeerPort };
}

std::optional<message::StoreBeacon> StoreRelay::Answer(
  const message::StoreQuery& aQuery,
  TimePoint aNow) const
{
  const auto latest = Latest();
  if (!latest || mProgress.mPosition.mRevision == 0) {
    return std::nullopt;
  }
  message::StoreBeacon beacon = News();
  beacon.mQuerySentAt = aQuery.mSentAt;
  beacon.mAgeMs = ToAgeMs(aNow - latest->mAt);
  beacon.mOrigin = latest->mOrigin;
  beacon.mIsOriginElected = latest->mIsOriginElected;
  return beacon;
}

} // namespace cranberrywing::gateway
