/// \file
/// Encodes store calls for etcd v3's JSON gateway and decodes its answers. Byte
/// strings are in base64 and 64-bit integers are JSON strings; members with
/// default values may be absent.
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/http_types.h"
#include "cranberrywing/store.h"

namespace cranberrywing::daemon {

/// Encodes a call as an HTTP request. Transactions that only read one range use
/// /v3/kv/range. Precondition: exactly one member of the call is set.
/// Thread-safe.
RequestContent EncodeStoreCall(const StoreCall& aCall);

/// Whether the call can modify the store. Thread-safe.
bool IsStoreWrite(const StoreCall& aCall);

/// Decodes the answer to a call. Errors: StoreUnavailable if the call certainly
/// had no effect, otherwise OutcomeUnknown. Thread-safe.
Result<StoreReply> DecodeStoreAnswer(const StoreCall& aCall,
                                     const AnswerContent& aAnswer);

/// Encodes the request that opens a watch. The watch starts at aFromRevision,
/// or at the current revision if that is zero. Thread-safe.
RequestContent EncodeWatch(const effect::WatchStore& aWatch,
                           std::int64_t aFromRevision);

/// One message of a watch stream.
struct WatchLine
{
  /// The watch was opened. Changes of earlier revisions may still follow.
  bool mIsCreated = false;
  /// The watch has ended because the requested start revision was compacted.
  bool mIsCanceled = false;
  std::int64_t mStoreRevision = 0;
  /// Revision of the last change in mEntries. It may be lower than
  /// mStoreRevision while the watch catches up over several messages.
  std::int64_t mLastChange = 0;
  std::vector<StoreEntry> mEntries;
};

/// Decodes one line of a watch stream. Deleted entries have revision zero and
/// no value. Errors: Malformed. Thread-safe.
Result<WatchLine> DecodeWatchLine(std::string_view aLine);

} // namespace cranberrywing::daemon
