// Algorithm by which a holder changes its entry in a share record.
#include <algorithm>
#include <cmath>

#include "cranberrywing/share_record.h"

namespace cranberrywing {

namespace {

/// Utilization above which a holder requests a larger fraction.
constexpr double kShortageUtilization = 1.1;
/// Factor of the fraction over its mean use, since usage varies within a review
/// interval.
constexpr double kHeadroom = 1.25;
/// Maximum growth per review; bounded, since demand beyond the account's rate
/// is unbounded.
constexpr double kMaxGrowth = 2;
/// Divisor of an equal division that gives the minimum change worth a write.
constexpr std::uint32_t kMinChangeDivisor = 20;
/// Divisor of the unclaimed remainder that gives the part claimed per review
/// while expected holders are still missing.
constexpr std::uint32_t kPartialClaimDivisor = 4;

std::uint32_t Bounded(double aFraction)
{
  return static_cast<std::uint32_t>(
    std::clamp(aFraction, 0.0, static_cast<double>(kWholeShare)));
}

std::uint32_t Shortage(const ShareEntry& aEntry)
{
  return aEntry.mRequestedFraction > aEntry.mFraction
           ? aEntry.mRequestedFraction - aEntry.mFraction
           : 0;
}

/// Makes one plan by changing a copy of the record step by step.
class Planner
{
public:
  Planner(const ShareRecord& aRecord, const SharePlanInput& aInput)
    : mInput(aInput)
    , mEqualFraction(EqualFraction(aInput.mExpectedHolders))
    , mMinChange(std::max(1u, mEqualFraction / kMinChangeDivisor))
  {
    mPlan.mRecord = aRecord;
  }

  SharePlan MakePlan()
  {
    RemoveDeadHolders();
    if (!mInput.mIsRequested) {
      ReleaseAll();
      return std::move(mPlan);
    }
    if (mPlan.mRecord.Find(mInput.mSelf) == nullptr) {
      mPlan.mRecord.mEntries.push_back({ .mHolder = mInput.mSelf });
    }
    const std::uint32_t desired = DesiredFraction();
    ClaimFree(desired);
    PublishRequest(desired);
    ReleaseSurplus();
    return std::move(mPlan);
  }

private:
  ShareEntry& Own() { return *mPlan.mRecord.Find(mInput.mSelf); }

  void RemoveDeadHolders()
  {
    std::erase_if(mPlan.mRecord.mEntries, [this](const ShareEntry& aEntry) {
      return std::find(mInput.mDeadHolders.begin(),
                       mInput.mDeadHolders.end(),
                       aEntry.mHolder) != mInput.mDeadHolders.end();
    });
  }

  void ReleaseAll()
  {
    const ShareEntry* own = mPlan.mRecord.Find(mInput.mSelf);
    if (own == nullptr) {
      return;
    }
    if (own->mFraction > 0 && mInput.mReducedTo != 0u) {
      mPlan.mReduceTo = 0;
      return;
    }
    std::erase_if(mPlan.mRecord.mEntries, [this](const ShareEntry& aEntry) {
      return aEntry.mHolder == mInput.mSelf;
    });
  }

  /// The fraction that this process needs.
  std::uint32_t DesiredFraction()
  {
    const std::uint32_t fraction = Own().mFraction;
    if (!mInput.mMeanUtilization || fraction == 0) {
      return std::max(fraction, mEqualFraction);
    }
    if (*mInput.mMeanUtilization <= kShortageUtilization) {
      return fraction;
    }
    const double growth =
      std::min(*mInput.mMeanUtilization * kHeadroom, kMaxGrowth);
    const std::uint32_t grown = Bounded(std::ceil(fraction * growth));
    return std::max(grown, mEqualFraction / 2);
  }

  /// Increases an entry by its shortage, up to aAmount, and subtracts that from
  /// aAmount.
  static void Fill(ShareEntry& aEntry, std::uint32_t& aAmount)
  {
    const std::uint32_t part = std::min(Shortage(aEntry), aAmount);
    aEntry.mFraction += part;
    aAmount -= part;
  }

  /// Fills the entries of other holders, the smallest first.
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

  /// Distributes the unclaimed fraction: first the shortage of this process,
  /// then the shortages of others, then the remainder to this process, since an
  /// unclaimed fraction is of no use.
  void ClaimFree(std::uint32_t aDesired)
  {
    std::uint32_t free = mPlan.mRecord.Free();
    ShareEntry& own = Own();
    const bool isNew = own.mFraction == 0;
    if (free < mMinChange && !isNew) {
      return;
    }
    const std::uint32_t requested =
      aDesired > own.mFraction ? aDesired - own.mFraction : 0;
    const std::uint32_t claimed = std::min(requested, free);
    own.mFraction += claimed;
    free -= claimed;
    FillOthers(free);
    if (isNew) {
      return;
    }
    const bool allArrived =
      mPlan.mRecord.mEntries.size() >= mInput.mExpectedHolders;
    own.mFraction += allArrived ? free : free / kPartialClaimDivisor;
  }

  void PublishRequest(std::uint32_t aDesired)
  {
    ShareEntry& own = Own();
    mPlan.mIsShort = aDesired >= own.mFraction + mMinChange;
    const std::uint32_t requested = mPlan.mIsShort ? aDesired : 0;
    // A small change of the requested fraction is not worth a write.
    const std::uint32_t change = requested > own.mRequestedFraction
                                   ? requested - own.mRequestedFraction
                                   : own.mRequestedFraction - requested;
    if ((requested == 0) != (own.mRequestedFraction == 0) ||
        change > own.mRequestedFraction / 4) {
      own.mRequestedFraction = requested;
    }
  }

  /// The fraction that this process retains while others are short.
  std::uint32_t RetainedFraction(bool aIsAnyStarved)
  {
    const std::uint32_t fraction = Own().mFraction;
    std::uint32_t retained = mEqualFraction;
    if (mInput.mMeanUtilization) {
      const double used = fraction * *mInput.mMeanUtilization * kHeadroom;
      retained = std::max(Bounded(std::ceil(used)), mEqualFraction / 2);
    }
    // Holders with almost no fraction are served up to an equal division,
    // however busy the others are.
    return aIsAnyStarved ? std::min(retained, mEqualFraction) : retained;
  }

  void ReleaseSurplus()
  {
    std::uint64_t shortage = 0;
    bool isAnyStarved = false;
    for (const ShareEntry& entry : mPlan.mRecord.mEntries) {
      if (entry.mHolder != mInput.mSelf) {
        shortage += Shortage(entry);
        isAnyStarved |=
          Shortage(entry) > 0 && entry.mFraction < mEqualFraction / 2;
      }
    }
    ShareEntry& own = Own();
    const std::uint32_t retained = RetainedFraction(isAnyStarved);
    if (retained >= own.mFraction) {
      return;
    }
    const auto released = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(own.mFraction - retained, shortage));
    if (released < mMinChange) {
      return;
    }
    if (!mInput.mReducedTo) {
      mPlan.mReduceTo = own.mFraction - released;
      return;
    }
    if (*mInput.mReducedTo >= own.mFraction) {
      return;
    }
    std::uint32_t amount =
      std::min(released, own.mFraction - *mInput.mReducedTo);
    own.mFraction -= amount;
    own.mRequestedFraction = 0;
    mPlan.mIsShort = false;
    FillOthers(amount);
    own.mFraction += amount;
  }

  const SharePlanInput& mInput;
  std::uint32_t mEqualFraction;
  std::uint32_t mMinChange;
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
  return Planner(aRecord, aInput).MakePlan();
}

} // namespace cranberrywing
