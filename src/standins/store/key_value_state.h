/// \file
/// State of the store stand-in: revisions, compare-and-swap, leases and the
/// log of changes. It reads no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/result_code.h"

namespace cranberrywing::standins {

using StoreTime = std::chrono::steady_clock::time_point;

struct KeyValue
{
  std::string mKey;
  std::string mValue;
  std::int64_t mCreateRevision = 0;
  std::int64_t mModRevision = 0;
  std::int64_t mVersion = 0;
  std::int64_t mLease = 0;
};

/// A key, or the keys from mKey up to mRangeEnd, which it leaves out. A
/// range end of one zero byte stands for no end.
struct KeyRange
{
  std::string mKey;
  std::string mRangeEnd;

  bool Contains(const std::string& aKey) const;
};

/// One change of one key, as watches report it.
struct Change
{
  bool mIsDelete = false;
  KeyValue mEntry;
};

enum class CompareTarget : std::uint8_t
{
  Version,
  Create,
  Mod,
  Value,
  Lease,
};

enum class CompareResult : std::uint8_t
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

struct Compare
{
  std::string mKey;
  CompareTarget mTarget = CompareTarget::Version;
  CompareResult mResult = CompareResult::Equal;
  std::int64_t mNumber = 0;
  std::string mValue;
};

enum class OperationKind : std::uint8_t
{
  Range,
  Put,
  Delete,
};

struct Operation
{
  OperationKind mKind = OperationKind::Range;
  KeyRange mRange;
  std::int64_t mLimit = 0;
  std::string mValue;
  std::int64_t mLease = 0;
};

struct OperationResult
{
  OperationKind mKind = OperationKind::Range;
  std::vector<KeyValue> mEntries;
  /// Entries in the range, or entries deleted.
  std::int64_t mCount = 0;
};

struct Transaction
{
  std::vector<Compare> mCompares;
  std::vector<Operation> mSuccess;
  std::vector<Operation> mFailure;
};

struct TransactionResult
{
  bool mSucceeded = false;
  std::vector<OperationResult> mResults;
};

/// Not thread-safe. Time is passed in and must not decrease.
class KeyValueState
{
public:
  /// Carries a transaction out at one revision. Errors: UnknownNode if a put
  /// names a lease that does not exist, InvalidArgument for two puts of one
  /// key or a value above a megabyte.
  Result<TransactionResult> Apply(const Transaction& aTransaction);

  /// Errors: InvalidArgument if the identifier is in use.
  Result<std::int64_t> Grant(std::int64_t aLease,
                             std::int64_t aSeconds,
                             StoreTime aNow);
  /// Remaining seconds after the renewal, or zero if the lease is gone.
  std::int64_t KeepAlive(std::int64_t aLease, StoreTime aNow);
  /// False if the lease is gone.
  bool Revoke(std::int64_t aLease);
  /// Deletes the keys of leases that have ended.
  void Expire(StoreTime aNow);

  /// Changes from a revision on, or nullopt if the log no longer has them.
  std::optional<std::vector<Change>> ChangesFrom(std::int64_t aRevision) const;
  std::int64_t Revision() const { return mRevision; }
  std::size_t LeaseCount() const { return mLeases.size(); }

private:
  struct Lease
  {
    std::int64_t mSeconds = 0;
    StoreTime mExpiry{};
    std::set<std::string> mKeys;
  };

  bool Holds(const Compare& aCompare) const;
  std::optional<Error> Check(const std::vector<Operation>& aOperations) const;
  OperationResult Run(const Operation& aOperation);
  OperationResult Read(const Operation& aOperation) const;
  OperationResult Put(const Operation& aOperation);
  OperationResult Delete(const Operation& aOperation);
  std::vector<std::string> KeysIn(const KeyRange& aRange) const;
  void Remove(const std::string& aKey);
  void Record(Change aChange);
  /// The revision that the running transaction's changes get.
  std::int64_t NextRevision() const { return mRevision + 1; }

  std::map<std::string, KeyValue> mEntries;
  std::map<std::int64_t, Lease> mLeases;
  std::deque<Change> mLog;
  std::int64_t mRevision = 1;
  /// Oldest revision that the log still holds in full.
  std::int64_t mLogStart = 1;
  std::int64_t mNextLease = 7'000'001;
  bool mHasChanged = false;
};

} // namespace cranberrywing::standins
