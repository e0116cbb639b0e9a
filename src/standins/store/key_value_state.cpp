#include "standins/store/key_value_state.h"

#include <algorithm>

namespace cranberrywing::standins {

namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::size_t kMaxLoggedChanges = 200'000;

/// Whether a three-way comparison's sign satisfies the required relation.
bool MatchesRelation(CompareResult aResult, int aThreeWay)
{
  switch (aResult) {
    case CompareResult::Equal:
      return aThreeWay == 0;
    case CompareResult::Greater:
      return aThreeWay > 0;
    case CompareResult::Less:
      return aThreeWay < 0;
    case CompareResult::NotEqual:
      return aThreeWay != 0;
  }
  return false;
}

/// Three-way comparison: -1, 0 or 1.
int ThreeWayCompare(std::int64_t aLeft, std::int64_t aRight)
{
  return aLeft < aRight ? -1 : (aLeft > aRight ? 1 : 0);
}

std::int64_t NumericField(const KeyValue& aEntry, CompareTarget aTarget)
{
  switch (aTarget) {
    case CompareTarget::Version:
      return aEntry.mVersion;
    case CompareTarget::Create:
      return aEntry.mCreateRevision;
    case CompareTarget::Mod:
      return aEntry.mModRevision;
    case CompareTarget::Lease:
      return aEntry.mLease;
    case CompareTarget::Value:
      break;
  }
  return 0;
}

} // namespace

bool KeyRange::Contains(const std::string& aKey) const
{
  if (mRangeEnd.empty()) {
    return aKey == mKey;
  }
  const bool isUnbounded = mRangeEnd == std::string(1, '\0');
  return aKey >= mKey && (isUnbounded || aKey < mRangeEnd);
}

bool KeyValueState::IsSatisfied(const Compare& aCompare) const
{
  const auto it = mEntries.find(aCompare.mKey);
  if (aCompare.mTarget == CompareTarget::Value) {
    // As in etcd, a comparison of the value fails if the key is absent.
    return it != mEntries.end() &&
           MatchesRelation(aCompare.mResult,
                           it->second.mValue.compare(aCompare.mValue));
  }
  const KeyValue absent;
  const KeyValue& entry = it == mEntries.end() ? absent : it->second;
  const std::int64_t number = NumericField(entry, aCompare.mTarget);
  return MatchesRelation(aCompare.mResult,
                         ThreeWayCompare(number, aCompare.mOperand));
}

std::optional<Error> KeyValueState::ValidateOperations(
  const std::vector<Operation>& aOperations) const
{
  std::set<std::string> keys;
  for (const Operation& operation : aOperations) {
    if (operation.mKind != OperationKind::Put) {
      continue;
    }
    if (!keys.insert(operation.mRange.mKey).second) {
      return Error{ ResultCode::InvalidArgument,
                    "etcdserver: duplicate key given in txn request" };
    }
    if (operation.mValue.size() > kMaxValueBytes) {
      return Error{ ResultCode::InvalidArgument,
                    "etcdserver: request is too large" };
    }
    if (operation.mLease != 0 && !mLeases.contains(operation.mLease)) {
      return Error{ ResultCode::UnknownNode,
                    "etcdserver: requested lease not found" };
    }
  }
  return std::nullopt;
}

Result<TransactionResult> KeyValueState::Apply(const Transaction& aTransaction)
{
  TransactionResult result;
  result.mSucceeded = std::all_of(
    aTransaction.mCompares.begin(),
    aTransaction.mCompares.end(),
    [this](const Compare& aCompare) { return IsSatisfied(aCompare); });
  const std::vector<Operation>& operations =
    result.mSucceeded ? aTransaction.mSuccess : aTransaction.mFailure;
  if (const auto error = ValidateOperations(operations)) {
    return tl::unexpected(*error);
  }
  mHasChanged = false;
  for (const Operation& operation : operations) {
    result.mResults.push_back(Run(operation));
  }
  if (mHasChanged) {
    ++mRevision;
  }
  return result;
}

OperationResult KeyValueState::Run(const Operation& aOperation)
{
  switch (aOperation.mKind) {
    case OperationKind::Put:
      return Put(aOperation);
    case OperationKind::Delete:
      return Delete(aOperation);
    case OperationKind::Range:
      break;
  }
  return Read(aOperation);
}

std::vector<std::string> KeyValueState::KeysIn(const KeyRange& aRange) const
{
  std::vector<std::string> keys;
  auto it = mEntries.lower_bound(aRange.mKey);
  for (; it != mEntries.end() && aRange.Contains(it->first); ++it) {
    keys.push_back(it->first);
  }
  return keys;
}

OperationResult KeyValueState::Read(const Operation& aOperation) const
{
  OperationResult result{ .mKind = OperationKind::Range,
                          .mEntries = {},
                          .mCount = 0 };
  for (const std::string& key : KeysIn(aOperation.mRange)) {
    ++result.mCount;
    if (aOperation.mLimit == 0 || result.mCount <= aOperation.mLimit) {
      result.mEntries.push_back(mEntries.at(key));
    }
  }
  return result;
}

OperationResult KeyValueState::Put(const Operation& aOperation)
{
  KeyValue& entry = mEntries[aOperation.mRange.mKey];
  if (entry.mLease != 0) {
    mLeases[entry.mLease].mKeys.erase(aOperation.mRange.mKey);
  }
  if (entry.mVersion == 0) {
    entry.mKey = aOperation.mRange.mKey;
    entry.mCreateRevision = NextRevision();
  }
  entry.mValue = aOperation.mValue;
  entry.mModRevision = NextRevision();
  entry.mLease = aOperation.mLease;
  ++entry.mVersion;
  if (entry.mLease != 0) {
    mLeases[entry.mLease].mKeys.insert(entry.mKey);
  }
  Record({ .mIsDelete = false, .mEntry = entry });
  return { .mKind = OperationKind::Put, .mEntries = {}, .mCount = 1 };
}

OperationResult KeyValueState::Delete(const Operation& aOperation)
{
  OperationResult result{ .mKind = OperationKind::Delete,
                          .mEntries = {},
                          .mCount = 0 };
  for (const std::string& key : KeysIn(aOperation.mRange)) {
    Remove(key);
    ++result.mCount;
  }
  return result;
}

void KeyValueState::Remove(const std::string& aKey)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return;
  }
  const auto lease = mLeases.find(it->second.mLease);
  if (lease != mLeases.end()) {
    lease->second.mKeys.erase(aKey);
  }
  mEntries.erase(it);
  Change change{ .mIsDelete = true, .mEntry = {} };
  change.mEntry.mKey = aKey;
  change.mEntry.mModRevision = NextRevision();
  Record(std::move(change));
}

void KeyValueState::Record(Change aChange)
{
  mHasChanged = true;
  mLog.push_back(std::move(aChange));
  if (mLog.size() > kMaxLoggedChanges) {
    mFirstLoggedRevision = mLog.front().mEntry.mModRevision + 1;
    mLog.pop_front();
  }
}

Result<std::int64_t> KeyValueState::Grant(std::int64_t aLease,
                                          std::int64_t aSeconds,
                                          StoreTime aNow)
{
  const std::int64_t id = aLease == 0 ? mNextLease++ : aLease;
  if (mLeases.contains(id)) {
    return MakeError(ResultCode::InvalidArgument,
                     "etcdserver: lease already exists");
  }
  const std::int64_t seconds = std::max<std::int64_t>(aSeconds, 1);
  mLeases[id] = { .mSeconds = seconds,
                  .mExpiry = aNow + std::chrono::seconds(seconds),
                  .mKeys = {} };
  return id;
}

std::int64_t KeyValueState::KeepAlive(std::int64_t aLease, StoreTime aNow)
{
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return 0;
  }
  it->second.mExpiry = aNow + std::chrono::seconds(it->second.mSeconds);
  return it->second.mSeconds;
}

bool KeyValueState::Revoke(std::int64_t aLease)
{
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return false;
  }
  const std::set<std::string> keys = it->second.mKeys;
  mHasChanged = false;
  for (const std::string& key : keys) {
    Remove(key);
  }
  mLeases.erase(aLease);
  if (mHasChanged) {
    ++mRevision;
  }
  return true;
}

void KeyValueState::Expire(StoreTime aNow)
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mExpiry <= aNow) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    Revoke(id);
  }
}

std::optional<std::vector<Change>> KeyValueState::ChangesFrom(
  std::int64_t aRevision) const
{
  if (aRevision < mFirstLoggedRevision) {
    return std::nullopt;
  }
  const auto first =
    std::lower_bound(mLog.begin(),
                     mLog.end(),
                     aRevision,
                     [](const Change& aChange, std::int64_t aNumber) {
                       return aChange.mEntry.mModRevision < aNumber;
                     });
  return std::vector<Change>(first, mLog.end());
}

} // namespace cranberrywing::standins
