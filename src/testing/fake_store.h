/// \file
/// An in-memory store with virtual time that loses, delays and refuses calls.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "cranberrywing/store.h"
#include "testing/event_queue.h"

namespace cranberrywing::testing {

/// Carries out transactions on single keys. Not thread-safe.
class FakeStore
{
public:
  struct Faults
  {
    /// Chances that a request is lost, that an answer is lost after the
    /// effect, and that the effect comes long after the caller gave up.
    double mRequestLossProbability = 0;
    double mAnswerLossProbability = 0;
    double mLateEffectProbability = 0;
  };

  using Reply = std::function<void(Result<StoreReply>)>;

  FakeStore(EventQueue& aQueue, std::uint64_t aSeed)
    : mQueue(aQueue)
    , mRandom(aSeed)
  {
  }

  void SetFaults(Faults aFaults) { mFaults = aFaults; }
  void SetOutage(bool aOutage) { mOutage = aOutage; }
  const std::map<std::string, StoreEntry>& Entries() const { return mEntries; }
  std::uint64_t Reads() const { return mReads; }
  std::uint64_t Writes() const { return mWrites; }

  void Call(const StoreTxn& aTxn, Reply aReply)
  {
    ++(aTxn.mPuts.empty() ? mReads : mWrites);
    const double chance = Uniform(0, 1);
    const Faults& faults = mFaults;
    if (mOutage) {
      FailLater(std::move(aReply),
                chance < 0.5 ? ResultCode::StoreUnavailable
                             : ResultCode::OutcomeUnknown);
    } else if (chance < faults.mRequestLossProbability) {
      FailLater(std::move(aReply), ResultCode::OutcomeUnknown);
    } else if (chance <
               faults.mRequestLossProbability + faults.mAnswerLossProbability) {
      mQueue.After(Delay(), [this, aTxn] { Apply(aTxn); });
      FailLater(std::move(aReply), ResultCode::OutcomeUnknown);
    } else if (chance < faults.mRequestLossProbability +
                          faults.mAnswerLossProbability +
                          faults.mLateEffectProbability) {
      mQueue.After(std::chrono::milliseconds(100) + 400 * Delay(),
                   [this, aTxn] { Apply(aTxn); });
      FailLater(std::move(aReply), ResultCode::OutcomeUnknown);
    } else {
      mQueue.After(Delay(), [this, aTxn, reply = std::move(aReply)] {
        mQueue.After(Delay(), [result = Apply(aTxn), reply] { reply(result); });
      });
    }
  }

private:
  double Uniform(double aLeast, double aGreatest)
  {
    return std::uniform_real_distribution<double>(aLeast, aGreatest)(mRandom);
  }

  Duration Delay()
  {
    return std::chrono::microseconds(static_cast<int>(Uniform(500, 5'000)));
  }

  void FailLater(Reply aReply, ResultCode aCode)
  {
    mQueue.After(std::chrono::milliseconds(100),
                 [aCode, reply = std::move(aReply)] {
                   reply(MakeError(aCode, "store call failed"));
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
