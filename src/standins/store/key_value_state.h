/// \file
/// State of the store stand-in, an in-memory model of etcd: revisions,
/// compare-and-swap transactions, leases and the change log. It reads no clock.
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

/// One key with its value and etcd's metadata.
struct KeyValue
{
  std::string mKey;
  std::string mValue;
  std::int64_t mCreateRevision = 0;
  std::int64_t mModRevision = 0;
  /// Number of writes since the key was created; zero for an absent key.
  std::int64_t mVersion = 0;
  /// Lease that the key is attached to; zero for none.
  std::int64_t mLease = 0;
};

/// The half-open range of keys [mKey, mRangeEnd). An empty mRangeEnd selects
/// mKey alone; a single zero byte selects all keys from mKey on.
struct KeyRange
{
  std::string mKey;
  std::string mRangeEnd;

  bool Contains(const std::string& aKey) const;
};

/// One change of one key, as watches report it. A delete has only the key and
/// the revision set.
struct Change
{
  bool mIsDelete = false;
  KeyValue mEntry;
};

/// Property of a key that a comparison reads.
enum class CompareTarget : std::uint8_t
{
  Version,
  Create,
  Mod,
  Value,
  Lease,
};

/// Relation of the key's property to the operand that a comparison requires.
enum class CompareResult : std::uint8_t
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

/// Condition of a transaction on one key.
struct Compare
{
  std::string mKey;
  CompareTarget mTarget = CompareTarget::Version;
  CompareResult mResult = CompareResult::Equal;
  /// Operand for every target but Value.
  std::int64_t mOperand = 0;
  /// Operand for the target Value.
  std::string mValue;
};

enum class OperationKind : std::uint8_t
{
  Range,
  Put,
  Delete,
};

/// One operation of a transaction; which members count depends on the kind.
struct Operation
{
  OperationKind mKind = OperationKind::Range;
  KeyRange mRange;
  /// Maximum number of entries that a range returns; zero for no limit.
  std::int64_t mLimit = 0;
  std::string mValue;
  std::int64_t mLease = 0;
};

/// Outcome of one operation.
struct OperationResult
{
  OperationKind mKind = OperationKind::Range;
  std::vector<KeyValue> mEntries;
  /// Number of entries in the range (also beyond the limit), or of those
  /// deleted.
  std::int64_t mCount = 0;
};

/// Runs mSuccess if all conditions hold, otherwise mFailure.
struct Transaction
{
  std::vector<Compare> mCompares;
  std::vector<Operation> mSuccess;
  std::vector<Operation> mFailure;
};

/// Outcome of a transaction; one result for each operation that ran.
struct TransactionResult
{
  bool mSucceeded = false;
  std::vector<OperationResult> mResults;
};

/// Entries, leases and change log of the store. Not thread-safe. Time is passed
/// in and must not decrease.
class KeyValueState
{
public:
  /// Applies a transaction atomically; all its changes get one revision.
  /// Errors: UnknownNode if a put names a lease that does not exist,
  /// InvalidArgument for two puts of one key or a value of more than 1 MiB. On
  /// an error nothing is changed.
  Result<TransactionResult> Apply(const Transaction& aTransaction);

  /// Creates a lease of aSeconds (at least 1) and returns its identifier:
  /// aLease, or a new one if aLease is zero. Errors: InvalidArgument if the
  /// identifier is in use.
  Result<std::int64_t> Grant(std::int64_t aLease,
                             std::int64_t aSeconds,
                             StoreTime aNow);
  /// Renews a lease. Returns its remaining seconds, or zero if it does not
  /// exist.
  std::int64_t KeepAlive(std::int64_t aLease, StoreTime aNow);
  /// Ends a lease and deletes its keys. Returns false if it does not exist.
  bool Revoke(std::int64_t aLease);
  /// Ends the leases that have expired by aNow and deletes their keys.
  void Expire(StoreTime aNow);

  /// Changes since aRevision, inclusive, or nullopt if the log no longer holds
  /// all of them.
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

  bool IsSatisfied(const Compare& aCompare) const;
  std::optional<Error> ValidateOperations(
    const std::vector<Operation>& aOperations) const;
  OperationResult Run(const Operation& aOperation);
  OperationResult Read(const Operation& aOperation) const;
  OperationResult Put(const Operation& aOperation);
  OperationResult Delete(const Operation& aOperation);
  std::vector<std::string> KeysIn(const KeyRange& aRange) const;
  void Remove(const std::string& aKey);
  void Record(Change aChange);
  /// Revision of the changes that the current transaction makes.
  std::int64_t NextRevision() const { return mRevision + 1; }

  std::map<std::string, KeyValue> mEntries;
  std::map<std::int64_t, Lease> mLeases;
  std::deque<Change> mLog;
  std::int64_t mRevision = 1;
  /// Oldest revision of which the log still holds all changes.
  std::int64_t mFirstLoggedRevision = 1;
  std::int64_t mNextLease = 7'000'001;
  bool mHasChanged = false;
};

} // namespace cranberrywing::standins
