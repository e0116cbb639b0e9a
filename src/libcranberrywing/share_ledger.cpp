#include "cranberrywing/share_ledger.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Number of holders that reclaim a dead process's fraction as soon as
/// permitted, in case the first ones are dead too. The others find it at their
/// next review.
constexpr std::size_t kMaxReclaimers = 3;
constexpr Duration kReclaimDelayPerRank = std::chrono::seconds(1);
/// Time within which a new holder has published its requested fraction in the
/// record.
constexpr Duration kEarlyReviewDelay = std::chrono::seconds(2);
/// Time after which a call without a reply counts as lost.
constexpr Duration kCallTimeout = std::chrono::seconds(10);
/// Divisor of the review interval after the start and while a fraction is too
/// small.
constexpr int kEarlyReviewDivisor = 6;
constexpr std::uint32_t kMaxReviewDoublings = 5;

} // namespace

ShareLedger::ShareLedger(Options aOptions, ShareLedgerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
{
}

void ShareLedger::Acquire(const std::string& aName)
{
  if (mIsReleasingAll) {
    return;
  }
  Share& share = mShares[aName];
  if (!share.mIsRequested) {
    share.mIsRequested = true;
    share.mReduction.reset();
    share.mNextRead.reset();
  }
}

void ShareLedger::Release(const std::string& aName)
{
  const auto it = mShares.find(aName);
  if (it != mShares.end() && it->second.mIsRequested) {
    it->second.mIsRequested = false;
    it->second.mUsable = 0;
    it->second.mReduction.reset();
    it->second.mNextRead.reset();
  }
}

void ShareLedger::RequestEarlyReview(const std::string& aName, TimePoint aNow)
{
  const auto it = mShares.find(aName);
  if (it == mShares.end() || !it->second.mIsRequested || !it->second.mRecord) {
    return;
  }
  const TimePoint due = aNow + Jittered(kEarlyReviewDelay);
  it->second.mNextRead =
    it->second.mNextRead ? std::min(*it->second.mNextRead, due) : due;
}

std::uint32_t ShareLedger::Fraction(const std::string& aName) const
{
  const auto it = mShares.find(aName);
  return it == mShares.end() ? 0 : it->second.mUsable;
}

const ShareRecord* ShareLedger::Record(const std::string& aName) const
{
  const auto it = mShares.find(aName);
  const bool hasRecord = it != mShares.end() && it->second.mRecord;
  return hasRecord ? &*it->second.mRecord : nullptr;
}

void ShareLedger::ReportUtilization(const std::string& aName,
                                    double aUtilization)
{
  const auto it = mShares.find(aName);
  if (it != mShares.end()) {
    it->second.mUtilizationSum += aUtilization;
    ++it->second.mUtilizationSamples;
  }
}

Duration ShareLedger::Jittered(Duration aDuration)
{
  std::uniform_real_distribution<double> factor(0.75, 1.25);
  return std::chrono::duration_cast<Duration>(aDuration * factor(mRandom));
}

std::uint32_t ShareLedger::OwnFraction(const Share& aShare) const
{
  if (!aShare.mRecord) {
    return 0;
  }
  const ShareEntry* own = aShare.mRecord->Find(mOptions.mSelf);
  return own == nullptr ? 0 : own->mFraction;
}

void ShareLedger::UpdateUsable(const std::string& aName,
                               Share& aShare,
                               EffectList& aOut)
{
  std::uint32_t usable = aShare.mIsRequested ? OwnFraction(aShare) : 0;
  if (aShare.mUnresolvedWrite) {
    usable = std::min(usable, aShare.mUnresolvedWrite->mMinFraction);
  }
  if (aShare.mReduction) {
    usable = std::min(usable, aShare.mReduction->mFraction);
  }
  if (usable == aShare.mUsable) {
    return;
  }
  aOut.push_back(effect::RecordTimeline{
    .mName = "share_changed",
    .mFields = { { "share", aName },
                 { "from", std::to_string(aShare.mUsable) },
                 { "to", std::to_string(usable) } } });
  aShare.mUsable = usable;
}

bool ShareLedger::IsFullyReleased(const Share& aShare) const
{
  if (aShare.mIsRequested || aShare.mUnresolvedWrite) {
    return false;
  }
  return !aShare.mRecord || aShare.mRecord->Find(mOptions.mSelf) == nullptr;
}

void ShareLedger::Schedule(const std::string& aName,
                           Share& aShare,
                           TimePoint aNow)
{
  if (aShare.mNextRead) {
    return;
  }
  if (!aShare.mIsRequested) {
    aShare.mReduction = Reduction{ .mFraction = 0, .mSince = aNow };
    aShare.mNextRead = aNow + mOptions.mReleaseDelay;
    return;
  }
  if (aShare.mRecord) {
    aShare.mNextRead = aNow;
    return;
  }
  // Spread the first reads, so that a fleet that starts at once does not
  // overload the store.
  const auto holders = static_cast<double>(mHooks.mExpectedHolders(aName));
  const double seconds = holders * static_cast<double>(mShares.size()) /
                         mOptions.mInitialReadsPerSecond;
  std::uniform_real_distribution<double> delay(0, seconds);
  aShare.mNextRead = aNow + std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(delay(mRandom)));
}

void ShareLedger::Tick(TimePoint aNow, EffectList& aOut)
{
  for (auto it = mShares.begin(); it != mShares.end();) {
    const bool hasCall = mCall && mCall->mName == it->first;
    if (!hasCall && IsFullyReleased(it->second)) {
      it = mShares.erase(it);
      continue;
    }
    Schedule(it->first, it->second, aNow);
    ++it;
  }
  if (mCall && aNow - mCall->mSentAt >= kCallTimeout) {
    const Call call = *mCall;
    mCall.reset();
    OnCallFailure(call, true, aNow);
  }
  StartNextCall(aNow, aOut);
}

void ShareLedger::StartNextCall(TimePoint aNow, EffectList& aOut)
{
  if (mCall || aNow < mBackOffUntil) {
    return;
  }
  const std::string* next = nullptr;
  TimePoint earliest = aNow;
  for (const auto& [name, share] : mShares) {
    if (share.mNextRead && *share.mNextRead <= earliest) {
      next = &name;
      earliest = *share.mNextRead;
    }
  }
  if (next != nullptr) {
    Read(*next, aNow, aOut);
  }
}

void ShareLedger::UpdateDeadHolders(Share& aShare, TimePoint aNow) const
{
  const std::vector<DeadHolder> known = std::move(aShare.mDeadHolders);
  aShare.mDeadHolders.clear();
  for (const ShareEntry& entry : aShare.mRecord->mEntries) {
    if (entry.mHolder == mOptions.mSelf || !mHooks.mIsDead(entry.mHolder)) {
      continue;
    }
    const auto it =
      std::find_if(known.begin(), known.end(), [&](const DeadHolder& aDead) {
        return aDead.mHolder == entry.mHolder;
      });
    aShare.mDeadHolders.push_back(
      { .mHolder = entry.mHolder,
        .mKnownSince = it == known.end() ? aNow : it->mKnownSince });
  }
}

std::size_t ShareLedger::ReclaimRank(const Share& aShare,
                                     const VmIncarnation& aDead) const
{
  const std::string& dead = aDead.mVm.mName;
  const std::uint64_t own = RendezvousWeight(dead, mOptions.mSelf.mVm.mName);
  std::size_t rank = 0;
  for (const ShareEntry& entry : aShare.mRecord->mEntries) {
    if (!mHooks.mIsDead(entry.mHolder) &&
        RendezvousWeight(dead, entry.mHolder.mVm.mName) > own) {
      ++rank;
    }
  }
  return rank;
}

void ShareLedger::ScheduleReview(Share& aShare, bool aIsShort, TimePoint aNow)
{
  Duration interval = mOptions.mReviewInterval;
  if (aIsShort) {
    // Increase the interval each time, so that an account that exceeds its rate
    // on all VMs does not multiply the reads.
    const Duration early = interval / kEarlyReviewDivisor;
    const std::uint32_t doublings =
      std::min(aShare.mShortReviews, kMaxReviewDoublings);
    interval = std::min(interval, early * (1u << doublings));
    ++aShare.mShortReviews;
  } else {
    aShare.mShortReviews = 0;
  }
  aShare.mNextRead = aNow + Jittered(interval);
  ScheduleReclaim(aShare, aNow);
}

void ShareLedger::ScheduleReclaim(Share& aShare, TimePoint aNow) const
{
  for (const DeadHolder& dead : aShare.mDeadHolders) {
    const std::size_t rank = ReclaimRank(aShare, dead.mHolder);
    const Duration wait =
      mOptions.mReleaseDelay + kReclaimDelayPerRank * static_cast<int>(rank);
    if (rank < kMaxReclaimers) {
      aShare.mNextRead =
        std::min(*aShare.mNextRead, std::max(aNow, dead.mKnownSince + wait));
    }
  }
}

void ShareLedger::UpdateMeanUtilization(Share& aShare, TimePoint aNow) const
{
  // Weight of the newest interval in the mean. Transfers serve demand that
  // moves within a minute; following it with fractions as well caused more
  // refusals.
  constexpr double kNewestWeight = 0.3;
  if (!aShare.mUtilizationSince) {
    aShare.mUtilizationSince = aNow;
  }
  if (aNow - *aShare.mUtilizationSince < mOptions.mReviewInterval ||
      aShare.mUtilizationSamples == 0) {
    return;
  }
  const double newest = aShare.mUtilizationSum / aShare.mUtilizationSamples;
  const double earlier = aShare.mMeanUtilization.value_or(1);
  aShare.mMeanUtilization = earlier + kNewestWeight * (newest - earlier);
  aShare.mUtilizationSum = 0;
  aShare.mUtilizationSamples = 0;
  aShare.mUtilizationSince = aNow;
}

void ShareLedger::Review(const std::string& aName,
                         Share& aShare,
                         TimePoint aNow,
                         EffectList& aOut)
{
  SharePlanInput input{ .mSelf = mOptions.mSelf,
                        .mIsRequested = aShare.mIsRequested,
                        .mExpectedHolders = mHooks.mExpectedHolders(aName) };
  UpdateMeanUtilization(aShare, aNow);
  input.mMeanUtilization = aShare.mMeanUtilization;
  for (const DeadHolder& dead : aShare.mDeadHolders) {
    if (aNow - dead.mKnownSince >= mOptions.mReleaseDelay) {
      input.mDeadHolders.push_back(dead.mHolder);
    }
  }
  if (aShare.mReduction &&
      aNow - aShare.mReduction->mSince >= mOptions.mReleaseDelay) {
    input.mReducedTo = aShare.mReduction->mFraction;
  }
  SharePlan plan = PlanShare(*aShare.mRecord, input);
  if (plan.mReduceTo) {
    aShare.mReduction =
      Reduction{ .mFraction = *plan.mReduceTo, .mSince = aNow };
    aShare.mNextRead = aNow + mOptions.mReleaseDelay;
    UpdateUsable(aName, aShare, aOut);
    return;
  }
  // Replace an unresolved write by another one: once that has changed the
  // revision, the comparison of the lost write fails.
  if (plan.mRecord != *aShare.mRecord || aShare.mUnresolvedWrite) {
    Write(aName, aShare, std::move(plan.mRecord), aNow, aOut);
    return;
  }
  aShare.mReduction.reset();
  UpdateUsable(aName, aShare, aOut);
  ScheduleReview(aShare, plan.mIsShort, aNow);
}

void ShareLedger::OnDeath(const VmIncarnation&, TimePoint aNow, EffectList&)
{
  for (auto& [name, share] : mShares) {
    if (!share.mRecord || !share.mNextRead) {
      continue;
    }
    UpdateDeadHolders(share, aNow);
    ScheduleReclaim(share, aNow);
  }
}

void ShareLedger::ReleaseAll(TimePoint aNow, EffectList& aOut)
{
  mIsReleasingAll = true;
  for (auto& [name, share] : mShares) {
    Release(name);
    Schedule(name, share, aNow);
  }
  StartNextCall(aNow, aOut);
}

bool ShareLedger::IsReleased() const
{
  return mIsReleasingAll && mShares.empty();
}

} // namespace cranberrywing
