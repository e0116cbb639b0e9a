#include "cranberrywing/share_ledger.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Holders that take back a dead process's fraction at once, in case the
/// first ones are gone too; the others find it at their next review.
constexpr std::size_t kReclaimers = 3;
constexpr Duration kReclaimStep = std::chrono::seconds(1);
/// Time in which a newcomer has published in the record what it wants.
constexpr Duration kSoonReview = std::chrono::seconds(2);
/// A call without any reply for so long counts as lost.
constexpr Duration kCallTimeout = std::chrono::seconds(10);
/// Reviews come early after the start and while a fraction is too small.
constexpr int kEarlyReviewDivisor = 6;
constexpr std::uint32_t kMostReviewDoublings = 5;

} // namespace

ShareLedger::ShareLedger(Options aOptions, ShareLedgerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
{
}

void ShareLedger::Acquire(const std::string& aName)
{
  if (mReturning) {
    return;
  }
  Share& share = mShares[aName];
  if (!share.mWanted) {
    share.mWanted = true;
    share.mLowering.reset();
    share.mDue.reset();
  }
}

void ShareLedger::Release(const std::string& aName)
{
  const auto it = mShares.find(aName);
  if (it != mShares.end() && it->second.mWanted) {
    it->second.mWanted = false;
    it->second.mUsable = 0;
    it->second.mLowering.reset();
    it->second.mDue.reset();
  }
}

void ShareLedger::RequestEarlyReview(const std::string& aName, TimePoint aNow)
{
  const auto it = mShares.find(aName);
  if (it == mShares.end() || !it->second.mWanted || !it->second.mRecord) {
    return;
  }
  const TimePoint due = aNow + Jittered(kSoonReview);
  it->second.mDue = it->second.mDue ? std::min(*it->second.mDue, due) : due;
}

std::uint32_t ShareLedger::Fraction(const std::string& aName) const
{
  const auto it = mShares.find(aName);
  return it == mShares.end() ? 0 : it->second.mUsable;
}

const ShareRecord* ShareLedger::Record(const std::string& aName) const
{
  const auto it = mShares.find(aName);
  const bool isRead = it != mShares.end() && it->second.mRecord;
  return isRead ? &*it->second.mRecord : nullptr;
}

void ShareLedger::ReportUtilization(const std::string& aName, double aUse)
{
  const auto it = mShares.find(aName);
  if (it != mShares.end()) {
    it->second.mUseSum += aUse;
    ++it->second.mUseCount;
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
  std::uint32_t usable = aShare.mWanted ? OwnFraction(aShare) : 0;
  if (aShare.mUnsettled) {
    usable = std::min(usable, aShare.mUnsettled->mLeast);
  }
  if (aShare.mLowering) {
    usable = std::min(usable, aShare.mLowering->mFraction);
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

bool ShareLedger::IsGone(const Share& aShare) const
{
  if (aShare.mWanted || aShare.mUnsettled) {
    return false;
  }
  return !aShare.mRecord || aShare.mRecord->Find(mOptions.mSelf) == nullptr;
}

void ShareLedger::Schedule(const std::string& aName,
                           Share& aShare,
                           TimePoint aNow)
{
  if (aShare.mDue) {
    return;
  }
  if (!aShare.mWanted) {
    aShare.mLowering = Lowering{ .mFraction = 0, .mSince = aNow };
    aShare.mDue = aNow + mOptions.mReleaseDelay;
    return;
  }
  if (aShare.mRecord) {
    aShare.mDue = aNow;
    return;
  }
  // Spread, so that a fleet that starts at once stays within what the store
  // can take.
  const auto holders = static_cast<double>(mHooks.mExpectedHolders(aName));
  const double seconds = holders * static_cast<double>(mShares.size()) /
                         mOptions.mStartReadsPerSecond;
  std::uniform_real_distribution<double> delay(0, seconds);
  aShare.mDue = aNow + std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(delay(mRandom)));
}

void ShareLedger::Tick(TimePoint aNow, EffectList& aOut)
{
  for (auto it = mShares.begin(); it != mShares.end();) {
    const bool isBusy = mCall && mCall->mName == it->first;
    if (!isBusy && IsGone(it->second)) {
      it = mShares.erase(it);
      continue;
    }
    Schedule(it->first, it->second, aNow);
    ++it;
  }
  if (mCall && aNow - mCall->mSentAt >= kCallTimeout) {
    const Call call = *mCall;
    mCall.reset();
    OnFailure(call, true, aNow);
  }
  StartNextCall(aNow, aOut);
}

void ShareLedger::StartNextCall(TimePoint aNow, EffectList& aOut)
{
  if (mCall || aNow < mNotBefore) {
    return;
  }
  const std::string* next = nullptr;
  TimePoint earliest = aNow;
  for (const auto& [name, share] : mShares) {
    if (share.mDue && *share.mDue <= earliest) {
      next = &name;
      earliest = *share.mDue;
    }
  }
  if (next != nullptr) {
    Read(*next, aNow, aOut);
  }
}

void ShareLedger::NoteEnded(Share& aShare, TimePoint aNow) const
{
  const std::vector<EndedHolder> known = std::move(aShare.mEnded);
  aShare.mEnded.clear();
  for (const ShareEntry& entry : aShare.mRecord->mEntries) {
    if (entry.mHolder == mOptions.mSelf || !mHooks.mIsDead(entry.mHolder)) {
      continue;
    }
    const auto it =
      std::find_if(known.begin(), known.end(), [&](const EndedHolder& aEnded) {
        return aEnded.mHolder == entry.mHolder;
      });
    aShare.mEnded.push_back(
      { .mHolder = entry.mHolder,
        .mKnownSince = it == known.end() ? aNow : it->mKnownSince });
  }
}

std::size_t ShareLedger::ReclaimRank(const Share& aShare,
                                     const VmIncarnation& aEnded) const
{
  const std::string& ended = aEnded.mVm.mName;
  const std::uint64_t own = RendezvousWeight(ended, mOptions.mSelf.mVm.mName);
  std::size_t rank = 0;
  for (const ShareEntry& entry : aShare.mRecord->mEntries) {
    if (!mHooks.mIsDead(entry.mHolder) &&
        RendezvousWeight(ended, entry.mHolder.mVm.mName) > own) {
      ++rank;
    }
  }
  return rank;
}

void ShareLedger::ScheduleReview(Share& aShare, bool aIsShort, TimePoint aNow)
{
  Duration interval = mOptions.mReviewInterval;
  if (aIsShort) {
    // Longer each time, so that an account beyond its rate on every VM does
    // not multiply the reads.
    const Duration early = interval / kEarlyReviewDivisor;
    const std::uint32_t doublings =
      std::min(aShare.mShortReviews, kMostReviewDoublings);
    interval = std::min(interval, early * (1u << doublings));
    ++aShare.mShortReviews;
  } else {
    aShare.mShortReviews = 0;
  }
  aShare.mDue = aNow + Jittered(interval);
  HastenReclaim(aShare, aNow);
}

void ShareLedger::HastenReclaim(Share& aShare, TimePoint aNow) const
{
  for (const EndedHolder& ended : aShare.mEnded) {
    const std::size_t rank = ReclaimRank(aShare, ended.mHolder);
    const Duration wait =
      mOptions.mReleaseDelay + kReclaimStep * static_cast<int>(rank);
    if (rank < kReclaimers) {
      aShare.mDue =
        std::min(*aShare.mDue, std::max(aNow, ended.mKnownSince + wait));
    }
  }
}

void ShareLedger::AverageUse(Share& aShare, TimePoint aNow) const
{
  // The part of the newest interval in the mean. Demand that moves within a
  // minute is served by transfers; following it with fractions as well made
  // refusals more frequent.
  constexpr double kNewest = 0.3;
  if (!aShare.mUseSince) {
    aShare.mUseSince = aNow;
  }
  if (aNow - *aShare.mUseSince < mOptions.mReviewInterval ||
      aShare.mUseCount == 0) {
    return;
  }
  const double newest = aShare.mUseSum / aShare.mUseCount;
  const double earlier = aShare.mUse.value_or(1);
  aShare.mUse = earlier + kNewest * (newest - earlier);
  aShare.mUseSum = 0;
  aShare.mUseCount = 0;
  aShare.mUseSince = aNow;
}

void ShareLedger::Review(const std::string& aName,
                         Share& aShare,
                         TimePoint aNow,
                         EffectList& aOut)
{
  SharePlanInput input{ .mSelf = mOptions.mSelf,
                        .mWanted = aShare.mWanted,
                        .mExpectedHolders = mHooks.mExpectedHolders(aName) };
  AverageUse(aShare, aNow);
  input.mUse = aShare.mUse;
  for (const EndedHolder& ended : aShare.mEnded) {
    if (aNow - ended.mKnownSince >= mOptions.mReleaseDelay) {
      input.mEnded.push_back(ended.mHolder);
    }
  }
  if (aShare.mLowering &&
      aNow - aShare.mLowering->mSince >= mOptions.mReleaseDelay) {
    input.mKeptTo = aShare.mLowering->mFraction;
  }
  SharePlan plan = PlanShare(*aShare.mRecord, input);
  if (plan.mLowerTo) {
    aShare.mLowering = Lowering{ .mFraction = *plan.mLowerTo, .mSince = aNow };
    aShare.mDue = aNow + mOptions.mReleaseDelay;
    UpdateUsable(aName, aShare, aOut);
    return;
  }
  // An unsettled write is overtaken by another one, whose comparison makes
  // the lost one fail.
  if (plan.mRecord != *aShare.mRecord || aShare.mUnsettled) {
    Write(aName, aShare, std::move(plan.mRecord), aNow, aOut);
    return;
  }
  aShare.mLowering.reset();
  UpdateUsable(aName, aShare, aOut);
  ScheduleReview(aShare, plan.mIsShort, aNow);
}

void ShareLedger::OnDeath(const VmIncarnation&, TimePoint aNow, EffectList&)
{
  for (auto& [name, share] : mShares) {
    if (!share.mRecord || !share.mDue) {
      continue;
    }
    NoteEnded(share, aNow);
    HastenReclaim(share, aNow);
  }
}

void ShareLedger::ReleaseAll(TimePoint aNow, EffectList& aOut)
{
  mReturning = true;
  for (auto& [name, share] : mShares) {
    Release(name);
    Schedule(name, share, aNow);
  }
  StartNextCall(aNow, aOut);
}

bool ShareLedger::IsReleased() const
{
  return mReturning && mShares.empty();
}

} // namespace cranberrywing
