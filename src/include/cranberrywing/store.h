/// \file
/// Calls to the platform's key-value service ("the store") as plain data.
/// The daemon's store client sends them through the etcd v3 JSON gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// The component of the core that made a store call and receives the reply.
enum class Component : std::uint8_t
{
  Configuration,
  ShareLedger,
  SlotTable,
  Executions,
};

/// Correlates a reply with its call. Numbers are unique per component.
struct StoreCallId
{
  Component mComponent = Component::Configuration;
  std::uint64_t mNumber = 0;

  auto operator<=>(const StoreCallId&) const = default;
};

/// A lease of the store; zero means none.
enum class LeaseId : std::int64_t
{
  None = 0
};

struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  /// Store revision of the entry's last change; zero if the key is absent.
  std::int64_t mModRevision = 0;
};

/// Condition that the key's last change has this store revision; zero means
/// that the key is absent.
struct StoreCompare
{
  std::string mKey;
  std::int64_t mModRevision = 0;
};

struct StorePut
{
  std::string mKey;
  std::string mValue;
  LeaseId mLease = LeaseId::None;
};

struct StoreDelete
{
  std::string mKey;
  /// Exclusive end of the range; empty for a single key.
  std::string mRangeEnd;
};

/// Reads one key, or the range [mKey, mRangeEnd) in key order.
struct StoreRange
{
  std::string mKey;
  /// Exclusive end of the range; empty for a single key.
  std::string mRangeEnd;
  /// Maximum number of entries to return; zero means no limit.
  std::int64_t mLimit = 0;
};

/// A transaction. If all compares hold, the puts and deletes take effect
/// atomically before the reads; otherwise only the reads are executed.
struct StoreTxn
{
  std::vector<StoreCompare> mCompares;
  std::vector<StorePut> mPuts;
  std::vector<StoreDelete> mDeletes;
  std::vector<StoreRange> mReads;
};

struct StoreLeaseGrant
{
  Duration mTimeToLive{};
};

struct StoreLeaseKeepAlive
{
  LeaseId mLease = LeaseId::None;
};

struct StoreLeaseRevoke
{
  LeaseId mLease = LeaseId::None;
};

/// A store call; exactly one member is set.
struct StoreCall
{
  std::optional<StoreTxn> mTxn;
  std::optional<StoreLeaseGrant> mGrant;
  std::optional<StoreLeaseKeepAlive> mKeepAlive;
  std::optional<StoreLeaseRevoke> mRevoke;
};

/// Reply to a store call. A failed call yields an Error instead, with
/// StoreUnavailable (the call had no effect) or OutcomeUnknown (the reply was
/// lost; a write may or may not have taken effect).
struct StoreReply
{
  /// Whether the transaction's compares held, or the lease call succeeded.
  bool mSucceeded = false;
  /// Entries returned by the reads, in the order of the reads.
  std::vector<StoreEntry> mEntries;
  LeaseId mLease = LeaseId::None;
  /// Revision of the store at the time of the reply.
  std::int64_t mStoreRevision = 0;
};

/// Exclusive end of the range of all keys that start with the prefix.
std::string PrefixRangeEnd(std::string aPrefix);

} // namespace cranberrywing
