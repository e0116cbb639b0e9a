#include "cranberrywing/claim_log.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <set>
#include <sstream>

namespace cranberrywing {

namespace {

/// Version of the encoding; increment it when the layout of batches changes.
constexpr std::uint8_t kBatchVersion = 1;

} // namespace

std::string EncodeClaimBatch(const ClaimBatch& aBatch)
{
  std::ostringstream buf;
  {
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(kBatchVersion, aBatch.mLevel, aBatch.mClaims);
  }
  return std::move(buf).str();
}

Result<ClaimBatch> DecodeClaimBatch(std::string_view aBytes)
{
  try {
    std::istringstream buf{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(buf);
    std::uint8_t version = 0;
    archive(version);
    if (version != kBatchVersion) {
      return MakeError(ResultCode::Malformed,
                       "unsupported claim batch version");
    }
    ClaimBatch batch;
    archive(batch.mLevel, batch.mClaims);
    return batch;
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("claim batch cannot be decoded: ") + e.what());
  }
}

void ClaimLog::Add(std::string aKey, const ClaimBatch& aBatch)
{
  Record record;
  record.mKey = std::move(aKey);
  record.mLevel = aBatch.mLevel;
  record.mIsSealed = aBatch.mClaims.size() >= kSealThreshold;
  for (const Claim& claim : aBatch.mClaims) {
    record.mLastExpiry = std::max(record.mLastExpiry, claim.mExpirySeconds);
    if (!record.mIsSealed) {
      record.mExecutions.push_back(claim.mExecution);
    }
  }
  mRecords.push_back(std::move(record));
}

std::optional<ClaimLog::Merge> ClaimLog::PlanMerge() const
{
  std::map<std::uint8_t, std::size_t> counts;
  for (const Record& record : mRecords) {
    counts[record.mLevel] += record.mIsSealed ? 0 : 1;
  }
  const auto due =
    std::find_if(counts.begin(), counts.end(), [](const auto& aEntry) {
      return aEntry.second >= kRecordsPerMerge;
    });
  if (due == counts.end()) {
    return std::nullopt;
  }
  Merge merge;
  merge.mLevel = due->first + 1;
  for (const Record& record : mRecords) {
    if (record.mIsSealed || record.mLevel != due->first) {
      continue;
    }
    const std::size_t total =
      merge.mExecutions.size() + record.mExecutions.size();
    if (merge.mKeys.size() == kRecordsPerMerge || total > kMaxBatchClaims) {
      break;
    }
    merge.mKeys.push_back(record.mKey);
    merge.mExecutions.insert(merge.mExecutions.end(),
                             record.mExecutions.begin(),
                             record.mExecutions.end());
  }
  return merge;
}

std::vector<std::string> ClaimLog::ExpiredKeys(std::int64_t aWallSeconds,
                                               std::size_t aLimit) const
{
  std::vector<std::string> keys;
  for (const Record& record : mRecords) {
    if (keys.size() < aLimit && record.mLastExpiry <= aWallSeconds) {
      keys.push_back(record.mKey);
    }
  }
  return keys;
}

void ClaimLog::Remove(const std::vector<std::string>& aKeys)
{
  const std::set<std::string> keys(aKeys.begin(), aKeys.end());
  std::erase_if(mRecords, [&](const Record& aRecord) {
    return keys.contains(aRecord.mKey);
  });
}

} // namespace cranberrywing
