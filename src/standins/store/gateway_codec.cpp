#include "standins/store/gateway_codec.h"

#include <array>

#include "netutil/base64.h"
#include "netutil/json.h"

namespace cranberrywing::standins {

namespace json = boost::json;
using netutil::DecodeBase64;
using netutil::EncodeBase64;
using netutil::FindInteger;
using netutil::FindObject;
using netutil::FindString;

namespace {

struct TargetName
{
  CompareTarget mTarget;
  std::string_view mName;
  /// JSON member that holds the operand to compare with.
  std::string_view mMember;
};

constexpr std::array kTargetNames{
  TargetName{ CompareTarget::Version, "VERSION", "version" },
  TargetName{ CompareTarget::Create, "CREATE", "create_revision" },
  TargetName{ CompareTarget::Mod, "MOD", "mod_revision" },
  TargetName{ CompareTarget::Value, "VALUE", "value" },
  TargetName{ CompareTarget::Lease, "LEASE", "lease" },
};

struct ResultName
{
  CompareResult mResult;
  std::string_view mName;
};

constexpr std::array kResultNames{
  ResultName{ CompareResult::Equal, "EQUAL" },
  ResultName{ CompareResult::Greater, "GREATER" },
  ResultName{ CompareResult::Less, "LESS" },
  ResultName{ CompareResult::NotEqual, "NOT_EQUAL" },
};

tl::unexpected<Error> MalformedError(const std::string& aReason)
{
  return MakeError(ResultCode::Malformed, aReason);
}

/// protobuf's JSON mapping writes 64-bit integers as strings.
std::string Number(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

Result<KeyRange> ParseKeyRange(const json::object& aBody)
{
  const auto key = DecodeBase64(FindString(aBody, "key"));
  const auto end = DecodeBase64(FindString(aBody, "range_end"));
  if (!key || !end) {
    return MalformedError("key or range_end is not base64");
  }
  if (key->empty()) {
    return MalformedError("etcdserver: key is not provided");
  }
  return KeyRange{ *key, *end };
}

Result<Compare> ParseCompare(const json::object& aBody)
{
  Compare compare;
  const auto key = DecodeBase64(FindString(aBody, "key"));
  if (!key) {
    return MalformedError("compare key is not base64");
  }
  compare.mKey = *key;
  const std::string target = FindString(aBody, "target");
  const std::string result = FindString(aBody, "result");
  bool isKnown = result.empty();
  for (const ResultName& name : kResultNames) {
    if (name.mName == result) {
      compare.mResult = name.mResult;
      isKnown = true;
    }
  }
  if (!isKnown) {
    return MalformedError("unknown compare result " + result);
  }
  for (const TargetName& name : kTargetNames) {
    if (name.mName != (target.empty() ? "VERSION" : target)) {
      continue;
    }
    compare.mTarget = name.mTarget;
    if (name.mTarget == CompareTarget::Value) {
      const auto value = DecodeBase64(FindString(aBody, name.mMember));
      compare.mValue = value.value_or("");
    } else {
      compare.mOperand = FindInteger(aBody, name.mMember).value_or(0);
    }
    return compare;
  }
  return MalformedError("unknown compare target " + target);
}

Result<Operation> ParsePut(const json::object& aBody)
{
  const auto range = ParseKeyRange(aBody);
  if (!range) {
    return tl::unexpected(range.error());
  }
  const auto value = DecodeBase64(FindString(aBody, "value"));
  if (!value) {
    return MalformedError("value is not base64");
  }
  return Operation{
    .mKind = OperationKind::Put,
    .mRange = { range->mKey, "" },
    .mLimit = 0,
    .mValue = *value,
    .mLease = FindInteger(aBody, "lease").value_or(0),
  };
}

Result<Operation> ParseDelete(const json::object& aBody)
{
  const auto range = ParseKeyRange(aBody);
  if (!range) {
    return tl::unexpected(range.error());
  }
  Operation operation;
  operation.mKind = OperationKind::Delete;
  operation.mRange = *range;
  return operation;
}

Result<Operation> ParseOperation(const json::value& aValue)
{
  const json::object* body = aValue.if_object();
  if (!body) {
    return MalformedError("operation is not an object");
  }
  if (const json::object* put = FindObject(*body, "request_put")) {
    return ParsePut(*put);
  }
  if (const json::object* del = FindObject(*body, "request_delete_range")) {
    return ParseDelete(*del);
  }
  if (const json::object* range = FindObject(*body, "request_range")) {
    return ParseRange(*range);
  }
  return MalformedError("operation is neither put, delete_range nor range");
}

Result<std::vector<Operation>> ParseOperations(const json::object& aBody,
                                               std::string_view aName)
{
  std::vector<Operation> operations;
  const json::array* list = netutil::FindArray(aBody, aName);
  if (!list) {
    return operations;
  }
  for (const json::value& value : *list) {
    auto operation = ParseOperation(value);
    if (!operation) {
      return tl::unexpected(operation.error());
    }
    operations.push_back(std::move(*operation));
  }
  return operations;
}

} // namespace

Result<Operation> ParseRange(const json::object& aBody)
{
  const auto range = ParseKeyRange(aBody);
  if (!range) {
    return tl::unexpected(range.error());
  }
  Operation operation;
  operation.mKind = OperationKind::Range;
  operation.mRange = *range;
  operation.mLimit = FindInteger(aBody, "limit").value_or(0);
  return operation;
}

Result<Transaction> ParseTransaction(const json::object& aBody)
{
  Transaction transaction;
  if (const json::array* compares = netutil::FindArray(aBody, "compare")) {
    for (const json::value& value : *compares) {
      if (!value.is_object()) {
        return MalformedError("compare is not an object");
      }
      auto compare = ParseCompare(value.get_object());
      if (!compare) {
        return tl::unexpected(compare.error());
      }
      transaction.mCompares.push_back(std::move(*compare));
    }
  }
  auto success = ParseOperations(aBody, "success");
  auto failure = ParseOperations(aBody, "failure");
  if (!success || !failure) {
    return tl::unexpected(success ? failure.error() : success.error());
  }
  transaction.mSuccess = std::move(*success);
  transaction.mFailure = std::move(*failure);
  return transaction;
}

json::object EncodeEntry(const KeyValue& aEntry)
{
  json::object entry;
  entry["key"] = EncodeBase64(aEntry.mKey);
  entry["mod_revision"] = Number(aEntry.mModRevision);
  if (aEntry.mVersion == 0) {
    return entry;
  }
  entry["create_revision"] = Number(aEntry.mCreateRevision);
  entry["version"] = Number(aEntry.mVersion);
  entry["value"] = EncodeBase64(aEntry.mValue);
  if (aEntry.mLease != 0) {
    entry["lease"] = Number(aEntry.mLease);
  }
  return entry;
}

json::object EncodeResult(const OperationResult& aResult)
{
  json::object result;
  if (aResult.mKind == OperationKind::Delete) {
    result["deleted"] = Number(aResult.mCount);
    return result;
  }
  if (aResult.mKind == OperationKind::Put) {
    return result;
  }
  json::array entries;
  for (const KeyValue& entry : aResult.mEntries) {
    entries.push_back(EncodeEntry(entry));
  }
  if (!entries.empty()) {
    result["kvs"] = std::move(entries);
  }
  result["count"] = Number(aResult.mCount);
  return result;
}

json::object EncodeResponse(const OperationResult& aResult)
{
  json::object response;
  switch (aResult.mKind) {
    case OperationKind::Put:
      response["response_put"] = EncodeResult(aResult);
      break;
    case OperationKind::Delete:
      response["response_delete_range"] = EncodeResult(aResult);
      break;
    case OperationKind::Range:
      response["response_range"] = EncodeResult(aResult);
      break;
  }
  return response;
}

} // namespace cranberrywing::standins
