/// \file
/// The store's record of one shared quantity, and the algorithm by which a
/// holder changes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// The whole of a shared quantity. Fractions are counted in millionths, so that
/// sums are exact.
inline constexpr std::uint32_t kWholeShare = 1'000'000;

/// One process's part of a shared quantity.
struct ShareEntry
{
  VmIncarnation mHolder;
  /// In millionths.
  std::uint32_t mFraction = 0;
  /// Fraction that the holder requests, in millionths; zero if its fraction
  /// suffices.
  std::uint32_t mRequestedFraction = 0;
  /// Number of the holder's last write, by which it recognizes whether a write
  /// took effect whose answer was lost.
  std::uint64_t mOperation = 0;

  bool operator==(const ShareEntry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mFraction, mRequestedFraction, mOperation);
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
  /// Unclaimed fraction.
  std::uint32_t Free() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEntries);
  }
};

/// Thread-safe.
std::string EncodeShareRecord(const ShareRecord& aRecord);

/// Errors: Malformed for bytes that EncodeShareRecord did not produce, for a
/// holder that occurs twice and for fractions above the whole. Thread-safe.
Result<ShareRecord> DecodeShareRecord(std::string_view aBytes);

/// Input of a holder's decision about its entry.
struct SharePlanInput
{
  VmIncarnation mSelf;
  /// False to release the whole fraction.
  bool mIsRequested = true;
  /// Number of processes that hold or request the share, including this one.
  std::size_t mExpectedHolders = 1;
  /// Smoothed utilization of the own fraction; above 1 if more was demanded,
  /// nullopt if unknown.
  std::optional<double> mMeanUtilization{};
  /// Holders that are known to be dead, whose entries may be removed.
  std::vector<VmIncarnation> mDeadHolders{};
  /// Fraction to which this process has limited itself for long enough to
  /// release the rest; nullopt if it uses all of its entry.
  std::optional<std::uint32_t> mReducedTo{};
};

struct SharePlan
{
  /// The record as it should be written.
  ShareRecord mRecord;
  /// Set if the process must first limit itself to this fraction, and plan
  /// again later, before it may release the rest.
  std::optional<std::uint32_t> mReduceTo{};
  /// Whether this process needs a larger fraction than it has.
  bool mIsShort = false;
};

/// Fraction of each holder in an equal division, in millionths.
std::uint32_t EqualFraction(std::size_t aHolders);

/// Plans how this process changes the record. The sum of fractions never rises
/// above the whole, and no living holder's fraction shrinks except the own one.
/// Thread-safe.
SharePlan PlanShare(const ShareRecord& aRecord, const SharePlanInput& aInput);

} // namespace cranberrywing
