/// \file
/// Stores the answers of completed executions so that repeated requests get
/// the same answer: answers of slots that this VM owns, and copies held for
/// slot owners in other failure domains.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "cranberrywing/http_types.h"
#include "cranberrywing/messages/execution.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Identity hash: execution IDs are digests and uniformly distributed already.
struct ExecutionIdHash
{
  using is_avalanching = void; // NOLINT: name fixed by Boost.Unordered

  std::size_t operator()(const ExecutionId& aId) const noexcept
  {
    return aId.mDigest.mLow;
  }
};

/// Answers by execution ID, bounded in bytes and evicted in insertion order.
/// Not thread-safe.
class AnswerStore
{
public:
  /// aByteLimit: estimated memory in bytes beyond which the oldest answers are
  /// evicted.
  explicit AnswerStore(std::size_t aByteLimit);

  /// Stores an answer, replacing an earlier one of the same execution. An
  /// answer larger than a quarter of the byte limit is not stored.
  void Put(std::uint32_t aSlot,
           const ExecutionId& aExecution,
           AnswerContentPtr aAnswer,
           TimePoint aNow);
  /// Returns null if no answer is stored.
  AnswerContentPtr Find(const ExecutionId& aExecution) const;
  void Remove(const ExecutionId& aExecution);
  /// Executions of the slot with a stored answer, newest first.
  std::vector<ExecutionId> FindBySlot(std::uint32_t aSlot) const;
  /// Removes answers stored for longer than the retention time.
  void EvictExpired(Duration aRetention, TimePoint aNow);

  std::size_t Count() const { return mAnswers.size(); }
  std::size_t Bytes() const { return mBytes; }

private:
  struct Entry
  {
    std::uint32_t mSlot = 0;
    std::uint64_t mNumber = 0;
    std::size_t mBytes = 0;
    AnswerContentPtr mAnswer;
  };

  /// One entry of the insertion order. Skipped if the answer has been removed
  /// or replaced since.
  struct Insertion
  {
    ExecutionId mExecution;
    std::uint64_t mNumber = 0;
    TimePoint mTime{};
  };

  void EvictOldest();

  std::size_t mByteLimit;
  std::size_t mBytes = 0;
  std::uint64_t mNextNumber = 1;
  std::unordered_map<ExecutionId, Entry, ExecutionIdHash> mAnswers;
  std::deque<Insertion> mInsertions;
};

} // namespace cranberrywing
