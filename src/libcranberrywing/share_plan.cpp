// How a holder decides about its part of a share record.
#include <algorithm>
#include <cmath>

#include "cranberrywing/share_record.h"

namespace cranberrywing {

namespace {

/// Use above which a holder wants more.
constexpr double kShortUse = 1.1;
/// A fraction is sized for this many times its mean use, since use varies
/// within a review interval.
constexpr double kHeadroom = 1.25;
/// Growth per review is bounded, since demand beyond the account's rate
/// knows no bound.
constexpr double kGreatestGrowth = 2;
/// Changes below this part of an equal division are not worth a write.
constexpr std::uint32_t kSmallestMoveDivisor = 20;
/// Part of the unclaimed rest that one review takes while expected holders
/// are still missing.
constexpr std::uint32_t kPartialTakeDivisor = 4;

std::uint32_t Bounded(double aFraction)
{
  return static_cast<std::uint32_t>(
    std::clamp(aFraction, 0.0, static_cast<double>(kWholeShare)));
}

std::uint32_t Shortage(const ShareEntry& aEntry)
{
  return aEntry.mWanted > aEntry.mFraction ? aEntry.mWanted - aEntry.mFraction
                                           : 0;
}

/// One decision; the record is changed step by step.
class Planner
{
public:
  Planner(const ShareRecord& aRecord, const SharePlanInput& aInput)
    : mInput(aInput)
    , mEqual(EqualFraction(aInput.mExpectedHolders))
    , mLeastMove(std::max(1u, mEqual / kSmallestMoveDivisor))
  {
    mPlan.mRecord = aRecord;
  }

  SharePlan Run()
  {
    RemoveEnded();
    if (!mInput.mWanted) {
      ReleaseAll();
      return std::move(mPlan);
    }
    if (mPlan.mRecord.Find(mInput.mSelf) == nullptr) {
      mPlan.mRecord.mEntries.push_back({ .mHolder = mInput.mSelf });
    }
    const std::uint32_t desired = Desired();
    TakeFree(desired);
    Publish(desired);
    GiveBack();
    return std::move(mPlan);
  }

private:
  ShareEntry& Own() { return *mPlan.mRecord.Find(mInput.mSelf); }

  void RemoveEnded()
  {
    std::erase_if(mPlan.mRecord.mEntries, [this](const ShareEntry& aEntry) {
      return std::find(mInput.mEnded.begin(),
                       mInput.mEnded.end(),
                       aEntry.mHolder) != mInput.mEnded.end();
    });
  }

  void ReleaseAll()
  {
    const ShareEntry* own = mPlan.mRecord.Find(mInput.mSelf);
    if (own == nullptr) {
      return;
    }
    if (own->mFraction > 0 && mInput.mKeptTo != 0u) {
      mPlan.mLowerTo = 0;
      return;
    }
    std::erase_if(mPlan.mRecord.mEntries, [this](const ShareEntry& aEntry) {
      return aEntry.mHolder == mInput.mSelf;
    });
  }

  /// The fraction that this process would like to have.
  std::uint32_t Desired()
  {
    const std::uint32_t fraction = Own().mFraction;
    if (!mInput.mUse || fraction == 0) {
      return std::max(fraction, mEqual);
    }
    if (*mInput.mUse <= kShortUse) {
      return fraction;
    }
    const double growth = std::min(*mInput.mUse * kHeadroom, kGreatestGrowth);
    const std::uint32_t grown = Bounded(std::ceil(fraction * growth));
    return std::max(grown, mEqual / 2);
  }

  /// Adds to an entry what it is short of, as far as aAmount reaches, and
  /// takes that from aAmount.
  static void Fill(ShareEntry& aEntry, std::uint32_t& aAmount)
  {
    const std::uint32_t part = std::min(Shortage(aEntry), aAmount);
    aEntry.mFraction += part;
    aAmount -= part;
  }

  /// Fills the entries of others, the emptiest first.
  void FillOthers(std::uint32_t& aAmount)
  {
    std::vector<ShareEntry*> others;
    for (ShareEntry& entry : mPlan.mRecord.mEntries) {
      if (entry.mHolder != mInput.mSelf && Shortage(entry) > 0) {
        others.push_back(&entry);
      }
    }
    std::stable_sort(others.begin(),
                     others.end(),
                     [](const ShareEntry* aLeft, const ShareEntry* aRight) {
                       return aLeft->mFraction < aRight->mFraction;
                     });
    for (ShareEntry* entry : others) {
      Fill(*entry, aAmount);
    }
  }

  /// Takes unclaimed parts: what this process desires, then what others are
  /// short of, then the rest, since an unclaimed part serves nobody.
  void TakeFree(std::uint32_t aDesired)
  {
    std::uint32_t free = mPlan.mRecord.Free();
    ShareEntry& own = Own();
    const bool isNew = own.mFraction == 0;
    if (free < mLeastMove && !isNew) {
      return;
    }
    const std::uint32_t wanted =
      aDesired > own.mFraction ? aDesired - own.mFraction : 0;
    const std::uint32_t taken = std::min(wanted, free);
    own.mFraction += taken;
    free -= taken;
    FillOthers(free);
    if (isNew) {
      return;
    }
    const bool allArrived =
      mPlan.mRecord.mEntries.size() >= mInput.mExpectedHolders;
    own.mFraction += allArrived ? free : free / kPartialTakeDivisor;
  }

  void Publish(std::uint32_t aDesired)
  {
    ShareEntry& own = Own();
    mPlan.mIsShort = aDesired >= own.mFraction + mLeastMove;
    const std::uint32_t wanted = mPlan.mIsShort ? aDesired : 0;
    // A small change of the wish is not worth a write.
    const std::uint32_t change =
      wanted > own.mWanted ? wanted - own.mWanted : own.mWanted - wanted;
    if ((wanted == 0) != (own.mWanted == 0) || change > own.mWanted / 4) {
      own.mWanted = wanted;
    }
  }

  /// The fraction that this process keeps while others are short.
  std::uint32_t Kept(bool aIsAnyoneEmpty)
  {
    const std::uint32_t fraction = Own().mFraction;
    std::uint32_t kept = mEqual;
    if (mInput.mUse) {
      const double used = fraction * *mInput.mUse * kHeadroom;
      kept = std::max(Bounded(std::ceil(used)), mEqual / 2);
    }
    // A holder with next to nothing is served up to an equal division,
    // however busy the others are.
    return aIsAnyoneEmpty ? std::min(kept, mEqual) : kept;
  }

  void GiveBack()
  {
    std::uint64_t shortage = 0;
    bool isAnyoneEmpty = false;
    for (const ShareEntry& entry : mPlan.mRecord.mEntries) {
      if (entry.mHolder != mInput.mSelf) {
        shortage += Shortage(entry);
        isAnyoneEmpty |= Shortage(entry) > 0 && entry.mFraction < mEqual / 2;
      }
    }
    ShareEntry& own = Own();
    const std::uint32_t kept = Kept(isAnyoneEmpty);
    if (kept >= own.mFraction) {
      return;
    }
    const auto given = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(own.mFraction - kept, shortage));
    if (given < mLeastMove) {
      return;
    }
    if (!mInput.mKeptTo) {
      mPlan.mLowerTo = own.mFraction - given;
      return;
    }
    if (*mInput.mKeptTo >= own.mFraction) {
      return;
    }
    std::uint32_t amount = std::min(given, own.mFraction - *mInput.mKeptTo);
    own.mFraction -= amount;
    own.mWanted = 0;
    mPlan.mIsShort = false;
    FillOthers(amount);
    own.mFraction += amount;
  }

  const SharePlanInput& mInput;
  std::uint32_t mEqual;
  std::uint32_t mLeastMove;
  SharePlan mPlan;
};

} // namespace

std::uint32_t EqualFraction(std::size_t aHolders)
{
  return static_cast<std::uint32_t>(kWholeShare /
                                    std::max<std::size_t>(1, aHolders));
}

SharePlan PlanShare(const ShareRecord& aRecord, const SharePlanInput& aInput)
{
  return Planner(aRecord, aInput).Run();
}

} // namespace cranberrywing
