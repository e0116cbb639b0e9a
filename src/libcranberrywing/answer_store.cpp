#include "cranberrywing/answer_store.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Memory of one answer's table entry, insertion entry and allocation headers.
constexpr std::size_t kEntryBytes = 240;
/// Memory of one header besides its text.
constexpr std::size_t kHeaderBytes = 64;

/// Estimated memory use in bytes.
std::size_t SizeOf(const AnswerContent& aAnswer)
{
  std::size_t bytes = kEntryBytes + aAnswer.mBody.capacity();
  for (const Header& header : aAnswer.mHeaders) {
    bytes += kHeaderBytes + header.mName.size() + header.mValue.size();
  }
  return bytes;
}

} // namespace

AnswerStore::AnswerStore(std::size_t aByteLimit)
  : mByteLimit(aByteLimit)
{
}

void AnswerStore::Put(std::uint32_t aSlot,
                      const ExecutionId& aExecution,
                      AnswerContentPtr aAnswer,
                      TimePoint aNow)
{
  const std::size_t bytes = SizeOf(*aAnswer);
  Remove(aExecution);
  if (bytes > mByteLimit / 4) {
    return;
  }
  const std::uint64_t number = mNextNumber++;
  mAnswers[aExecution] = { .mSlot = aSlot,
                           .mNumber = number,
                           .mBytes = bytes,
                           .mAnswer = std::move(aAnswer) };
  mInsertions.push_back({ aExecution, number, aNow });
  mBytes += bytes;
  while (mBytes > mByteLimit) {
    EvictOldest();
  }
}

AnswerContentPtr AnswerStore::Find(const ExecutionId& aExecution) const
{
  const auto it = mAnswers.find(aExecution);
  return it == mAnswers.end() ? nullptr : it->second.mAnswer;
}

void AnswerStore::Remove(const ExecutionId& aExecution)
{
  const auto it = mAnswers.find(aExecution);
  if (it != mAnswers.end()) {
    mBytes -= it->second.mBytes;
    mAnswers.erase(it);
  }
}

std::vector<ExecutionId> AnswerStore::FindBySlot(std::uint32_t aSlot) const
{
  std::vector<ExecutionId> found;
  for (auto it = mInsertions.rbegin(); it != mInsertions.rend(); ++it) {
    const auto entry = mAnswers.find(it->mExecution);
    if (entry != mAnswers.end() && entry->second.mNumber == it->mNumber &&
        entry->second.mSlot == aSlot) {
      found.push_back(it->mExecution);
    }
  }
  return found;
}

void AnswerStore::EvictExpired(Duration aRetention, TimePoint aNow)
{
  while (!mInsertions.empty() &&
         aNow - mInsertions.front().mTime > aRetention) {
    EvictOldest();
  }
}

void AnswerStore::EvictOldest()
{
  const Insertion first = mInsertions.front();
  mInsertions.pop_front();
  const auto it = mAnswers.find(first.mExecution);
  if (it != mAnswers.end() && it->second.mNumber == first.mNumber) {
    mBytes -= it->second.mBytes;
    mAnswers.erase(it);
  }
}

} // namespace cranberrywing
