/// \file
/// The claim batches of one slot in the store: their encoding, and which of
/// them are merged or removed next, so that neither their number nor their
/// size grows without bound.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/messages/execution.h"
#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Part of a request's content digest that records keep. It only tells a
/// caller that it used a key for two requests, for which 64 bits suffice.
using ContentTag = std::uint64_t;

inline ContentTag MakeContentTag(const ContentDigest& aDigest)
{
  return aDigest.mLow;
}

struct Claim
{
  ExecutionId mExecution;
  ContentTag mContent = 0;
  /// Wall-clock seconds at which the claim may be removed.
  std::uint32_t mExpirySeconds = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mExecution, mContent, mExpirySeconds);
  }
};

struct ClaimBatch
{
  /// Zero for a batch as committed; one more than its parts for a merged one.
  std::uint8_t mLevel = 0;
  std::vector<Claim> mClaims;
};

/// Most claims of one record: 28 bytes each, far below the store's limit of
/// a megabyte even in base64.
inline constexpr std::size_t kMaxBatchClaims = 8'192;

std::string EncodeClaimBatch(const ClaimBatch& aBatch);
/// Errors: Malformed.
Result<ClaimBatch> DecodeClaimBatch(std::string_view aBytes);

/// Merges sixteen records of one level into one of the next, so that n
/// commits leave at most 15 records per level and each claim is written about
/// log16(n) times. Records of kSealThreshold and more are not merged again.
/// Not thread-safe.
class ClaimLog
{
public:
  static constexpr std::size_t kRecordsPerMerge = 16;
  static constexpr std::size_t kSealThreshold = 2'048;

  /// Records to replace by one.
  struct Merge
  {
    std::vector<std::string> mKeys;
    std::vector<ExecutionId> mExecutions;
    std::uint8_t mLevel = 0;
  };

  void Add(std::string aKey, const ClaimBatch& aBatch);
  /// Records of one level that are due to be merged, oldest first.
  std::optional<Merge> PlanMerge() const;
  /// Up to aLimit keys of records whose claims have all expired.
  std::vector<std::string> ExpiredKeys(std::int64_t aWallSeconds,
                                       std::size_t aLimit) const;
  void Remove(const std::vector<std::string>& aKeys);

  std::size_t RecordCount() const { return mRecords.size(); }

private:
  struct Record
  {
    std::string mKey;
    std::uint8_t mLevel = 0;
    std::uint32_t mLastExpiry = 0;
    /// Empty if the record is sealed.
    std::vector<ExecutionId> mExecutions;
    bool mIsSealed = false;
  };

  std::vector<Record> mRecords;
};

} // namespace cranberrywing
