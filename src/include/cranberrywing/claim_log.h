/// \file
/// Encoding of the claim batches of one slot in the store, and the policy that
/// merges and removes them so that neither their number nor their size grows
/// without bound.
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

/// The 64 bits of a request's content digest that are stored with a claim.
/// Only used to detect an idempotency key that is reused for another request;
/// 64 bits suffice for that.
using ContentTag = std::uint64_t;

inline ContentTag MakeContentTag(const ContentDigest& aDigest)
{
  return aDigest.mLow;
}

/// Marks an execution as started, so that no later owner of the slot runs it.
struct Claim
{
  ExecutionId mExecution;
  ContentTag mContent = 0;
  /// Unix time in seconds from which the claim may be removed.
  std::uint32_t mExpirySeconds = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mExecution, mContent, mExpirySeconds);
  }
};

struct ClaimBatch
{
  /// Merge level: zero for a batch as committed, and one more than the level of
  /// its parts for a merged batch.
  std::uint8_t mLevel = 0;
  std::vector<Claim> mClaims;
};

/// Maximum number of claims in one store record. At 28 bytes per claim the
/// record stays far below the store's limit of one megabyte, even in base64.
inline constexpr std::size_t kMaxBatchClaims = 8'192;

std::string EncodeClaimBatch(const ClaimBatch& aBatch);
/// Errors: Malformed.
Result<ClaimBatch> DecodeClaimBatch(std::string_view aBytes);

/// In-memory index of a slot's claim records. Merges kRecordsPerMerge records
/// of one level into one record of the next level, so that n commits leave at
/// most 15 records per level and each claim is written about log16(n) times.
/// Records with kSealThreshold or more claims are sealed and not merged again.
/// Not thread-safe.
class ClaimLog
{
public:
  static constexpr std::size_t kRecordsPerMerge = 16;
  static constexpr std::size_t kSealThreshold = 2'048;

  /// A planned merge: the records to replace by a single one.
  struct Merge
  {
    std::vector<std::string> mKeys;
    std::vector<ExecutionId> mExecutions;
    std::uint8_t mLevel = 0;
  };

  /// Adds a record that has been written to or read from the store.
  void Add(std::string aKey, const ClaimBatch& aBatch);
  /// The next records of one level to merge, oldest first; nullopt if no merge
  /// is due.
  std::optional<Merge> PlanMerge() const;
  /// Keys of at most aLimit records whose claims have all expired by
  /// aWallSeconds (Unix time).
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
