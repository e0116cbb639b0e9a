/// \file
/// In-memory store for tests, with transactions, leases and a change log from
/// which watches are served.
#pragma once

#include <map>
#include <vector>

#include "cranberrywing/store.h"

namespace cranberrywing::execution_testing {

/// Not thread-safe.
class MemoryStore
{
public:
  /// A write; a removal has an empty value and modification revision 0.
  struct Change
  {
    StoreEntry mEntry;
    std::int64_t mRevision = 0;
  };

  /// Applies the call as of the given time, which must not decrease between
  /// calls.
  StoreReply Apply(const StoreCall& aCall, TimePoint aNow)
  {
    ExpireLeases(aNow);
    StoreReply reply;
    reply.mSucceeded = true;
    if (aCall.mTxn) {
      ++mTransactions;
      reply = ApplyTxn(*aCall.mTxn);
    } else if (aCall.mGrant) {
      reply.mLease = LeaseId(++mLastLease);
      mLeases[reply.mLease] = { aCall.mGrant->mTimeToLive,
                                aNow + aCall.mGrant->mTimeToLive };
    } else if (aCall.mKeepAlive) {
      const auto it = mLeases.find(aCall.mKeepAlive->mLease);
      reply.mSucceeded = it != mLeases.end();
      if (reply.mSucceeded) {
        it->second.mExpiry = aNow + it->second.mTimeToLive;
      }
    } else if (aCall.mRevoke) {
      RevokeLease(aCall.mRevoke->mLease);
    }
    reply.mStoreRevision = mRevision;
    return reply;
  }

  /// Ends the leases that have expired and removes their keys.
  void ExpireLeases(TimePoint aNow)
  {
    for (auto it = mLeases.begin(); it != mLeases.end();) {
      const auto [lease, state] = *it++;
      if (state.mExpiry <= aNow) {
        RevokeLease(lease);
      }
    }
  }

  /// All changes in order of their revision.
  const std::vector<Change>& Changes() const { return mChanges; }
  std::int64_t StoreRevision() const { return mRevision; }
  const std::map<std::string, StoreEntry>& Entries() const { return mEntries; }
  /// Number of transactions applied, whether they succeeded or not.
  std::size_t Transactions() const { return mTransactions; }

private:
  struct Lease
  {
    Duration mTimeToLive{};
    TimePoint mExpiry{};
  };

  StoreReply ApplyTxn(const StoreTxn& aTxn)
  {
    StoreReply reply;
    reply.mSucceeded = true;
    for (const StoreCompare& compare : aTxn.mCompares) {
      const auto it = mEntries.find(compare.mKey);
      const std::int64_t revision =
        it == mEntries.end() ? 0 : it->second.mModRevision;
      reply.mSucceeded &= revision == compare.mModRevision;
    }
    if (reply.mSucceeded && !(aTxn.mPuts.empty() && aTxn.mDeletes.empty())) {
      ++mRevision;
      for (const StoreDelete& remove : aTxn.mDeletes) {
        EraseKey(remove.mKey);
      }
      for (const StorePut& put : aTxn.mPuts) {
        Put(put);
      }
    }
    for (const StoreRange& range : aTxn.mReads) {
      Read(range, reply);
    }
    return reply;
  }

  void Put(const StorePut& aPut)
  {
    const StoreEntry entry{ aPut.mKey, aPut.mValue, mRevision };
    mEntries[aPut.mKey] = entry;
    mLeaseOfKey[aPut.mKey] = aPut.mLease;
    mChanges.push_back({ entry, mRevision });
  }

  void EraseKey(const std::string& aKey)
  {
    if (mEntries.erase(aKey) > 0) {
      mChanges.push_back({ { aKey, "", 0 }, mRevision });
    }
  }

  void Read(const StoreRange& aRange, StoreReply& aReply) const
  {
    const std::string end =
      aRange.mRangeEnd.empty() ? aRange.mKey + '\0' : aRange.mRangeEnd;
    std::int64_t count = 0;
    for (auto it = mEntries.lower_bound(aRange.mKey);
         it != mEntries.end() && it->first < end;
         ++it) {
      if (aRange.mLimit > 0 && count++ == aRange.mLimit) {
        return;
      }
      aReply.mEntries.push_back(it->second);
    }
  }

  void RevokeLease(LeaseId aLease)
  {
    mLeases.erase(aLease);
    ++mRevision;
    for (auto it = mEntries.begin(); it != mEntries.end();) {
      const std::string key = (it++)->first;
      if (mLeaseOfKey[key] == aLease) {
        EraseKey(key);
      }
    }
  }

  std::int64_t mRevision = 1;
  std::int64_t mLastLease = 0;
  std::size_t mTransactions = 0;
  std::map<std::string, StoreEntry> mEntries;
  std::map<std::string, LeaseId> mLeaseOfKey;
  std::map<LeaseId, Lease> mLeases;
  std::vector<Change> mChanges;
};

} // namespace cranberrywing::execution_testing
