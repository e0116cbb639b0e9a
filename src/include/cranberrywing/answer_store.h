/// \file
/// Answers of finished executions, kept for repeats: those of slots owned
/// here, and copies held for owners in other failure domains.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "cranberrywing/http_types.h"
#include "cranberrywing/messages/execution.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Executions are named by digests, which are uniform already.
struct ExecutionIdHash
{
  using is_avalanching = void; // NOLINT: name fixed by Boost.Unordered

  std::size_t operator()(const ExecutionId& aId) const noexcept
  {
    return aId.mDigest.mLow;
  }
};

/// Not thread-safe.
class AnswerStore
{
public:
  /// aByteLimit: the oldest answers are dropped beyond it.
  explicit AnswerStore(std::size_t aByteLimit);

  /// Keeps an answer in place of an earlier one. Answers above a quarter of
  /// the limit are not kept.
  void Put(std::uint32_t aSlot,
           const ExecutionId& aExecution,
           AnswerContentPtr aAnswer,
           TimePoint aNow);
  /// Null if none is kept.
  AnswerContentPtr Find(const ExecutionId& aExecution) const;
  void Remove(const ExecutionId& aExecution);
  /// Executions of the slot with an answer, latest first.
  std::vector<ExecutionId> FindBySlot(std::uint32_t aSlot) const;
  /// Drops answers kept for longer than the retention.
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

  /// Order of arrival. Entries whose answer was removed are skipped.
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
