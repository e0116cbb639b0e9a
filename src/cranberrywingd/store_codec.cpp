#include "cranberrywingd/store_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "netutil/base64.h"
#include "netutil/json.h"

namespace cranberrywing::daemon {

namespace json = boost::json;
using netutil::EncodeBase64;
using netutil::FindArray;
using netutil::FindBool;
using netutil::FindInteger;
using netutil::FindObject;
using netutil::FindString;

namespace {

/// gRPC status codes. NOT_FOUND is returned for a lease that does not exist.
constexpr std::int64_t kGrpcNotFound = 5;
constexpr std::int64_t kGrpcInvalidArgument = 3;
constexpr std::int64_t kGrpcFailedPrecondition = 9;

RequestContent Post(const std::string& aPath, const json::object& aBody)
{
  RequestContent request;
  request.mMethod = "POST";
  request.mTarget = aPath;
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = json::serialize(aBody);
  return request;
}

json::object EncodeKeys(const std::string& aKey, const std::string& aRangeEnd)
{
  json::object keys;
  keys["key"] = EncodeBase64(aKey);
  if (!aRangeEnd.empty()) {
    keys["range_end"] = EncodeBase64(aRangeEnd);
  }
  return keys;
}

json::object EncodeRange(const StoreRange& aRange)
{
  json::object range = EncodeKeys(aRange.mKey, aRange.mRangeEnd);
  if (aRange.mLimit > 0) {
    range["limit"] = std::to_string(aRange.mLimit);
  }
  return range;
}

json::object EncodePut(const StorePut& aPut)
{
  json::object put;
  put["key"] = EncodeBase64(aPut.mKey);
  put["value"] = EncodeBase64(aPut.mValue);
  if (aPut.mLease != LeaseId::None) {
    put["lease"] = std::to_string(static_cast<std::int64_t>(aPut.mLease));
  }
  return put;
}

json::object Wrap(std::string_view aName, json::object aRequest)
{
  json::object operation;
  operation[aName] = std::move(aRequest);
  return operation;
}

json::array EncodeReads(const StoreTxn& aTxn)
{
  json::array reads;
  for (const StoreRange& read : aTxn.mReads) {
    reads.push_back(Wrap("request_range", EncodeRange(read)));
  }
  return reads;
}

json::object EncodeTxn(const StoreTxn& aTxn)
{
  json::array compares;
  for (const StoreCompare& compare : aTxn.mCompares) {
    json::object one;
    one["key"] = EncodeBase64(compare.mKey);
    one["target"] = "MOD";
    one["result"] = "EQUAL";
    one["mod_revision"] = std::to_string(compare.mModRevision);
    compares.push_back(std::move(one));
  }
  json::array success;
  for (const StorePut& put : aTxn.mPuts) {
    success.push_back(Wrap("request_put", EncodePut(put)));
  }
  for (const StoreDelete& del : aTxn.mDeletes) {
    success.push_back(
      Wrap("request_delete_range", EncodeKeys(del.mKey, del.mRangeEnd)));
  }
  for (json::value& read : EncodeReads(aTxn)) {
    success.push_back(std::move(read));
  }
  json::object txn;
  txn["compare"] = std::move(compares);
  txn["success"] = std::move(success);
  txn["failure"] = EncodeReads(aTxn);
  return txn;
}

/// Whether the transaction is one unconditional range read.
bool IsSingleRead(const StoreTxn& aTxn)
{
  return aTxn.mCompares.empty() && aTxn.mPuts.empty() &&
         aTxn.mDeletes.empty() && aTxn.mReads.size() == 1;
}

json::object EncodeLease(LeaseId aLease)
{
  json::object body;
  body["ID"] = std::to_string(static_cast<std::int64_t>(aLease));
  return body;
}

Result<StoreEntry> DecodeEntry(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (!object) {
    return MakeError(ResultCode::Malformed, "store entry is not an object");
  }
  const auto key = netutil::DecodeBase64(FindString(*object, "key"));
  const auto value = netutil::DecodeBase64(FindString(*object, "value"));
  if (!key || !value) {
    return MakeError(ResultCode::Malformed,
                     "key or value of a store entry is not valid base64");
  }
  return StoreEntry{
    .mKey = *key,
    .mValue = *value,
    .mModRevision = FindInteger(*object, "mod_revision").value_or(0),
  };
}

Result<void> DecodeEntries(const json::object& aRange,
                           std::vector<StoreEntry>& aOut)
{
  const json::array* entries = FindArray(aRange, "kvs");
  if (!entries) {
    return {};
  }
  for (const json::value& value : *entries) {
    auto entry = DecodeEntry(value);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    aOut.push_back(std::move(*entry));
  }
  return {};
}

std::int64_t RevisionOf(const json::object& aBody)
{
  const json::object* header = FindObject(aBody, "header");
  return header ? FindInteger(*header, "revision").value_or(0) : 0;
}

Result<StoreReply> DecodeTxn(const json::object& aBody)
{
  StoreReply reply;
  reply.mSucceeded = FindBool(aBody, "succeeded");
  reply.mStoreRevision = RevisionOf(aBody);
  const json::array* responses = FindArray(aBody, "responses");
  if (!responses) {
    return reply;
  }
  for (const json::value& response : *responses) {
    const json::object* range =
      response.is_object() ? FindObject(response.get_object(), "response_range")
                           : nullptr;
    if (!range) {
      continue;
    }
    const auto entries = DecodeEntries(*range, reply.mEntries);
    if (!entries) {
      return tl::unexpected(entries.error());
    }
  }
  return reply;
}

Result<StoreReply> DecodeRange(const json::object& aBody)
{
  StoreReply reply;
  reply.mSucceeded = true;
  reply.mStoreRevision = RevisionOf(aBody);
  const auto entries = DecodeEntries(aBody, reply.mEntries);
  if (!entries) {
    return tl::unexpected(entries.error());
  }
  return reply;
}

Result<StoreReply> DecodeLease(const json::object& aBody)
{
  StoreReply reply;
  const auto lease = FindInteger(aBody, "ID");
  if (!lease) {
    return MakeError(ResultCode::Malformed, "lease answer lacks ID");
  }
  reply.mLease = LeaseId{ *lease };
  reply.mSucceeded = FindInteger(aBody, "TTL").value_or(0) > 0;
  reply.mStoreRevision = RevisionOf(aBody);
  return reply;
}

Result<StoreReply> DecodeKeepAlive(const json::object& aBody)
{
  const json::object* result = FindObject(aBody, "result");
  if (!result) {
    return MakeError(ResultCode::Malformed, "keepalive answer lacks result");
  }
  return DecodeLease(*result);
}

Result<StoreReply> DecodeBody(const StoreCall& aCall, const json::object& aBody)
{
  if (aCall.mTxn) {
    return IsSingleRead(*aCall.mTxn) ? DecodeRange(aBody) : DecodeTxn(aBody);
  }
  if (aCall.mGrant) {
    return DecodeLease(aBody);
  }
  if (aCall.mKeepAlive) {
    return DecodeKeepAlive(aBody);
  }
  StoreReply reply;
  reply.mSucceeded = true;
  reply.mStoreRevision = RevisionOf(aBody);
  return reply;
}

/// Converts an error answer. Only gRPC codes that etcd returns before it
/// proposes a change prove that a write had no effect; a timeout inside etcd
/// does not.
Result<StoreReply> DecodeError(const StoreCall& aCall,
                               const AnswerContent& aAnswer)
{
  const auto body = netutil::ParseObject(aAnswer.mBody);
  const std::int64_t code = body ? FindInteger(*body, "code").value_or(0) : 0;
  if (code == kGrpcNotFound && (aCall.mKeepAlive || aCall.mRevoke)) {
    return StoreReply{};
  }
  const bool hadNoEffect = !IsStoreWrite(aCall) || code == kGrpcNotFound ||
                           code == kGrpcInvalidArgument ||
                           code == kGrpcFailedPrecondition;
  const std::string detail =
    body ? FindString(*body, "message") : std::string();
  return MakeError(hadNoEffect ? ResultCode::StoreUnavailable
                               : ResultCode::OutcomeUnknown,
                   "store answered with status " +
                     std::to_string(aAnswer.mStatus) + " " + detail);
}

} // namespace

bool IsStoreWrite(const StoreCall& aCall)
{
  if (aCall.mTxn) {
    return !aCall.mTxn->mPuts.empty() || !aCall.mTxn->mDeletes.empty();
  }
  return true;
}

RequestContent EncodeStoreCall(const StoreCall& aCall)
{
  if (aCall.mTxn) {
    return IsSingleRead(*aCall.mTxn)
             ? Post("/v3/kv/range", EncodeRange(aCall.mTxn->mReads.front()))
             : Post("/v3/kv/txn", EncodeTxn(*aCall.mTxn));
  }
  if (aCall.mGrant) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aCall.mGrant->mTimeToLive);
    json::object body;
    body["TTL"] = std::to_string(seconds.count());
    return Post("/v3/lease/grant", body);
  }
  if (aCall.mKeepAlive) {
    return Post("/v3/lease/keepalive", EncodeLease(aCall.mKeepAlive->mLease));
  }
  const LeaseId lease = aCall.mRevoke ? aCall.mRevoke->mLease : LeaseId::None;
  return Post("/v3/lease/revoke", EncodeLease(lease));
}

Result<StoreReply> DecodeStoreAnswer(const StoreCall& aCall,
                                     const AnswerContent& aAnswer)
{
  if (aAnswer.mStatus != 200) {
    return DecodeError(aCall, aAnswer);
  }
  const auto body = netutil::ParseObject(aAnswer.mBody);
  Result<StoreReply> reply =
    body ? DecodeBody(aCall, *body) : tl::unexpected(body.error());
  if (reply) {
    return reply;
  }
  // After an answer that cannot be decoded, the effect of a write is unknown.
  return MakeError(IsStoreWrite(aCall) ? ResultCode::OutcomeUnknown
                                       : ResultCode::StoreUnavailable,
                   reply.error().mMessage);
}

RequestContent EncodeWatch(const effect::WatchStore& aWatch,
                           std::int64_t aFromRevision)
{
  json::object create = EncodeKeys(aWatch.mKey, aWatch.mRangeEnd);
  create["progress_notify"] = true;
  if (aFromRevision > 0) {
    create["start_revision"] = std::to_string(aFromRevision);
  }
  json::object body;
  body["create_request"] = std::move(create);
  return Post("/v3/watch", body);
}

Result<WatchLine> DecodeWatchLine(std::string_view aLine)
{
  const auto body = netutil::ParseObject(aLine);
  if (!body) {
    return tl::unexpected(body.error());
  }
  const json::object* result = FindObject(*body, "result");
  if (!result) {
    return MakeError(ResultCode::Malformed, "watch message lacks result");
  }
  WatchLine line;
  line.mIsCreated = FindBool(*result, "created");
  line.mIsCanceled = FindBool(*result, "canceled");
  line.mStoreRevision = RevisionOf(*result);
  const json::array* events = FindArray(*result, "events");
  if (!events) {
    return line;
  }
  for (const json::value& event : *events) {
    const json::object* object = event.if_object();
    const json::value* kv = object ? object->if_contains("kv") : nullptr;
    auto entry = kv ? DecodeEntry(*kv)
                    : MakeError(ResultCode::Malformed, "watch event lacks kv");
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    line.mLastChange = std::max(line.mLastChange, entry->mModRevision);
    if (FindString(*object, "type") == "DELETE") {
      entry->mModRevision = 0;
      entry->mValue.clear();
    }
    line.mEntries.push_back(std::move(*entry));
  }
  return line;
}

} // namespace cranberrywing::daemon
