/// \file
/// In-memory store with virtual time that injects lost, delayed and refused
/// calls.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "cranberrywing/store.h"
#include "testing/event_queue.h"

namespace cranberrywing::testing {

/// Applies transactions whose reads name single keys. Calls take effect and
/// reply after random delays. Not thread-safe.
class FakeStore
{
public:
  /// Probabilities of mutually exclusive faults of a call; their sum must not
  /// exceed 1.
  struct Faults
  {
    /// The call is lost before it takes effect.
    double mRequestLossProbability = 0;
    /// The call takes effect, but its reply is lost.
    double mAnswerLossProbability = 0;
    /// The call takes effect after the caller has seen it fail.
    double mLateEffectProbability = 0;
  };

  using Reply = std::function<void(Result<StoreReply>)>;

  FakeStore(EventQueue& aQueue, std::uint64_t aSeed)
    : mQueue(aQueue)
    , mRandom(aSeed)
  {
  }

  void SetFaults(Faults aFaults) { mFaults = aFaults; }
  /// During an outage every call fails without effect, reported at random as
  /// StoreUnavailable or OutcomeUnknown.
  void SetOutage(bool aOutage) { mOutage = aOutage; }
  const std::map<std::string, StoreEntry>& Entries() const { return mEntries; }
  std::uint64_t Reads() const { return mReads; }
  std::uint64_t Writes() const { return mWrites; }

  /// Schedules the transaction and its reply, or a fault.
  void Call(const StoreTxn& aTxn, Reply aReply)
  {
    ++(aTxn.mPuts.empty() ? mReads : mWrites);
    const double chance = RandomUniform(0, 1);
    const Faults& faults = mFaults;
    if (mOutage) {
      ReplyWithError(std::move(aReply),
                     chance < 0.5 ? ResultCode::StoreUnavailable
                                  : ResultCode::OutcomeUnknown);
    } else if (chance < faults.mRequestLossProbability) {
      ReplyWithError(std::move(aReply), ResultCode::OutcomeUnknown);
    } else if (chance <
               faults.mRequestLossProbability + faults.mAnswerLossProbability) {
      mQueue.After(RandomDelay(), [this, aTxn] { Apply(aTxn); });
      ReplyWithError(std::move(aReply), ResultCode::OutcomeUnknown);
    } else if (chance < faults.mRequestLossProbability +
                          faults.mAnswerLossProbability +
                          faults.mLateEffectProbability) {
      mQueue.After(std::chrono::milliseconds(100) + 400 * RandomDelay(),
                   [this, aTxn] { Apply(aTxn); });
      ReplyWithError(std::move(aReply), ResultCode::OutcomeUnknown);
    } else {
      mQueue.After(RandomDelay(), [this, aTxn, reply = std::move(aReply)] {
        mQueue.After(RandomDelay(),
                     [result = Apply(aTxn), reply] { reply(result); });
      });
    }
  }

private:
  double RandomUniform(double aMin, double aMax)
  {
    return std::uniform_real_distribution<double>(aMin, aMax)(mRandom);
  }

  Duration RandomDelay()
  {
    return std::chrono::microseconds(
      static_cast<int>(RandomUniform(500, 5'000)));
  }

  void ReplyWithError(Reply aReply, ResultCode aCode)
  {
    mQueue.After(std::chrono::milliseconds(100),
                 [aCode, reply = std::move(aReply)] {
                   reply(MakeError(aCode, "simulated store fault"));
                 });
  }

  StoreReply Apply(const StoreTxn& aTxn)
  {
    StoreReply reply;
    reply.mSucceeded = true;
    for (const StoreCompare& compare : aTxn.mCompares) {
      const auto it = mEntries.find(compare.mKey);
      const auto revision = it == mEntries.end() ? 0 : it->second.mModRevision;
      reply.mSucceeded &= revision == compare.mModRevision;
    }
    if (reply.mSucceeded && !aTxn.mPuts.empty()) {
      ++mRevision;
      for (const StorePut& put : aTxn.mPuts) {
        mEntries[put.mKey] = { put.mKey, put.mValue, mRevision };
      }
    }
    for (const StoreRange& read : aTxn.mReads) {
      const auto it = mEntries.find(read.mKey);
      if (it != mEntries.end()) {
        reply.mEntries.push_back(it->second);
      }
    }
    reply.mStoreRevision = mRevision;
    return reply;
  }

  EventQueue& mQueue;
  std::mt19937_64 mRandom;
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 0;
  Faults mFaults;
  bool mOutage = false;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

} // namespace cranberrywing::testing
