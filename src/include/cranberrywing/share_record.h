/// \file
/// The store's record of one shared quantity, and the decision how a holder
/// changes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Fractions are counted in millionths, so that sums are exact.
inline constexpr std::uint32_t kWholeShare = 1'000'000;

/// One process's part of a shared quantity.
struct ShareEntry
{
  VmIncarnation mHolder;
  /// In millionths.
  std::uint32_t mFraction = 0;
  /// Fraction that the holder would like to have; zero if it is content.
  std::uint32_t mWanted = 0;
  /// Number of the holder's last own write, which settles a lost answer.
  std::uint64_t mOperation = 0;

  bool operator==(const ShareEntry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mFraction, mWanted, mOperation);
  }
};

struct ShareRecord
{
  std::vector<ShareEntry> mEntries;

  bool operator==(const ShareRecord&) const = default;

  const ShareEntry* Find(const VmIncarnation& aHolder) const;
  ShareEntry* Find(const VmIncarnation& aHolder);
  /// Sum of the fractions.
  std::uint64_t Sum() const;
  /// What is left of the whole.
  std::uint32_t Free() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEntries);
  }
};

/// Thread-safe.
std::string EncodeShareRecord(const ShareRecord& aRecord);

/// Malformed for bytes that EncodeShareRecord did not make, for a holder that
/// occurs twice and for fractions above the whole. Thread-safe.
Result<ShareRecord> DecodeShareRecord(std::string_view aBytes);

/// What a holder knows when it decides about its entry.
struct SharePlanInput
{
  VmIncarnation mSelf;
  /// False to give the whole fraction back.
  bool mWanted = true;
  /// Processes that hold or want the share, this one included.
  std::size_t mExpectedHolders = 1;
  /// Mean use of the own fraction since the last review; above 1 when more
  /// was wanted; nullopt if not known.
  std::optional<double> mUse{};
  /// Holders that have ended, so that their entries may be removed.
  std::vector<VmIncarnation> mEnded{};
  /// The fraction that this process has kept to for long enough to give the
  /// rest back; nullopt if it uses all of its entry.
  std::optional<std::uint32_t> mKeptTo{};
};

struct SharePlan
{
  /// The record as it should become.
  ShareRecord mRecord;
  /// Set if the process has to keep to this fraction first, and plan again
  /// later, before it may give the rest back.
  std::optional<std::uint32_t> mLowerTo{};
  /// Whether this process wants more than it has.
  bool mIsShort = false;
};

/// The fraction of an equal division.
std::uint32_t EqualFraction(std::size_t aHolders);

/// Decides how this process changes the record. The sum of fractions never
/// rises above the whole, and no living holder's fraction but the own one
/// shrinks. Thread-safe.
SharePlan PlanShare(const ShareRecord& aRecord, const SharePlanInput& aInput);

} // namespace cranberrywing
