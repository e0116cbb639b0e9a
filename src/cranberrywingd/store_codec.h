/// \file
/// Store calls in etcd v3's JSON gateway form. Bytes are in base64 and 64-bit
/// integers are strings; members with default values may be missing.
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/http_types.h"
#include "cranberrywing/store.h"

namespace cranberrywing::daemon {

/// The HTTP request for a call. Transactions that only read one range use
/// /v3/kv/range. Precondition: exactly one member of the call is set.
/// Thread-safe.
RequestContent EncodeStoreCall(const StoreCall& aCall);

/// Whether the call can change the store. Thread-safe.
bool IsStoreWrite(const StoreCall& aCall);

/// The reply to a call. Errors: StoreUnavailable if the answer says that the
/// call certainly had no effect, else OutcomeUnknown for writes. Thread-safe.
Result<StoreReply> DecodeStoreAnswer(const StoreCall& aCall,
                                     const AnswerContent& aAnswer);

/// The request that opens a watch. Thread-safe.
RequestContent EncodeWatch(const effect::WatchStore& aWatch,
                           std::int64_t aFromRevision);

/// One line of a watch's answer.
struct WatchLine
{
  /// The watch was opened. Earlier changes may still follow.
  bool mIsCreated = false;
  /// The watch has ended: the revision to start from is no longer kept.
  bool mIsCanceled = false;
  std::int64_t mStoreRevision = 0;
  /// Revision of the last change in mEntries. It may be lower than the
  /// store's while the watch catches up in several lines.
  std::int64_t mLastChange = 0;
  std::vector<StoreEntry> mEntries;
};

/// Errors: Malformed. Thread-safe.
Result<WatchLine> DecodeWatchLine(std::string_view aLine);

} // namespace cranberrywing::daemon
