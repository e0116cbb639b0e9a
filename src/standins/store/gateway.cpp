#include "standins/store/gateway.h"

#include <array>
#include <boost/json/serialize.hpp>

#include "netutil/json.h"
#include "netutil/problem.h"
#include "standins/store/gateway_codec.h"

namespace cranberrywing::standins {

namespace json = boost::json;
using netutil::FindInteger;

namespace {

struct CallPath
{
  std::string_view mPath;
  CallKind mKind;
};

constexpr std::array kPaths{
  CallPath{ "/v3/kv/range", CallKind::Range },
  CallPath{ "/v3/kv/txn", CallKind::Txn },
  CallPath{ "/v3/lease/grant", CallKind::LeaseGrant },
  CallPath{ "/v3/lease/keepalive", CallKind::LeaseKeepAlive },
  CallPath{ "/v3/lease/revoke", CallKind::LeaseRevoke },
  CallPath{ "/v3/watch", CallKind::Watch },
};

/// gRPC status code: 5 NOT_FOUND, 14 UNAVAILABLE, 3 INVALID_ARGUMENT.
int GrpcCode(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::UnknownNode:
      return 5;
    case ResultCode::StoreUnavailable:
      return 14;
    default:
      return 3;
  }
}

/// HTTP status to which etcd's gateway maps the gRPC status code.
unsigned GatewayStatus(int aGrpcCode)
{
  if (aGrpcCode == 5) {
    return 404;
  }
  return aGrpcCode == 14 ? 503 : 400;
}

/// One message of a streamed answer.
std::string EncodeStreamLine(json::object aResult)
{
  json::object line;
  line["result"] = std::move(aResult);
  return json::serialize(line) + "\n";
}

} // namespace

AnswerContentPtr GatewayError(const Error& aError)
{
  const int code = GrpcCode(aError.mCode);
  json::object body;
  body["error"] = aError.mMessage;
  body["code"] = code;
  body["message"] = aError.mMessage;
  return netutil::MakeJsonResponse(GatewayStatus(code), body);
}

Gateway::Gateway(KeyValueState& aState)
  : mState(aState)
{
}

CallClass Gateway::Classify(const RequestContent& aRequest)
{
  CallClass result;
  for (const CallPath& path : kPaths) {
    if (path.mPath == aRequest.mTarget && aRequest.mMethod == "POST") {
      result.mKind = path.mKind;
    }
  }
  switch (result.mKind) {
    case CallKind::Txn:
      result.mIsWrite =
        aRequest.mBody.find("request_put") != std::string::npos ||
        aRequest.mBody.find("request_delete_range") != std::string::npos;
      break;
    case CallKind::LeaseGrant:
    case CallKind::LeaseKeepAlive:
    case CallKind::LeaseRevoke:
      result.mIsWrite = true;
      break;
    default:
      break;
  }
  return result;
}

AnswerContentPtr Gateway::Call(const RequestContent& aRequest, StoreTime aNow)
{
  const auto body = netutil::ParseObject(aRequest.mBody);
  if (!body) {
    return GatewayError(body.error());
  }
  mState.Expire(aNow);
  auto result = Run(Classify(aRequest).mKind, *body, aNow);
  if (!result) {
    return GatewayError(result.error());
  }
  return netutil::MakeJsonResponse(200, *result);
}

Result<json::object> Gateway::Run(CallKind aKind,
                                  const json::object& aBody,
                                  StoreTime aNow)
{
  switch (aKind) {
    case CallKind::Range:
      return Range(aBody);
    case CallKind::Txn:
      return Txn(aBody);
    case CallKind::LeaseGrant:
      return Grant(aBody, aNow);
    case CallKind::LeaseKeepAlive:
      return KeepAlive(aBody, aNow);
    case CallKind::LeaseRevoke:
      return Revoke(aBody);
    default:
      return MakeError(ResultCode::UnknownNode, "Not Found");
  }
}

json::object Gateway::Header() const
{
  json::object header;
  header["cluster_id"] = "1";
  header["member_id"] = "1";
  header["revision"] = std::to_string(mState.Revision());
  header["raft_term"] = "1";
  return header;
}

Result<json::object> Gateway::Range(const json::object& aBody)
{
  const auto operation = ParseRange(aBody);
  if (!operation) {
    return tl::unexpected(operation.error());
  }
  Transaction transaction;
  transaction.mSuccess.push_back(*operation);
  const auto result = mState.Apply(transaction);
  if (!result) {
    return tl::unexpected(result.error());
  }
  json::object answer = EncodeResult(result->mResults.front());
  answer["header"] = Header();
  return answer;
}

Result<json::object> Gateway::Txn(const json::object& aBody)
{
  const auto transaction = ParseTransaction(aBody);
  if (!transaction) {
    return tl::unexpected(transaction.error());
  }
  const auto result = mState.Apply(*transaction);
  if (!result) {
    return tl::unexpected(result.error());
  }
  json::object answer;
  answer["header"] = Header();
  // protobuf's JSON mapping omits members with default values.
  if (result->mSucceeded) {
    answer["succeeded"] = true;
  }
  json::array responses;
  for (const OperationResult& one : result->mResults) {
    responses.push_back(EncodeResponse(one));
  }
  answer["responses"] = std::move(responses);
  return answer;
}

Result<json::object> Gateway::Grant(const json::object& aBody, StoreTime aNow)
{
  const std::int64_t seconds = FindInteger(aBody, "TTL").value_or(0);
  const auto id =
    mState.Grant(FindInteger(aBody, "ID").value_or(0), seconds, aNow);
  if (!id) {
    return tl::unexpected(id.error());
  }
  json::object answer;
  answer["header"] = Header();
  answer["ID"] = std::to_string(*id);
  answer["TTL"] = std::to_string(seconds);
  return answer;
}

Result<json::object> Gateway::KeepAlive(const json::object& aBody,
                                        StoreTime aNow)
{
  const std::int64_t id = FindInteger(aBody, "ID").value_or(0);
  const std::int64_t seconds = mState.KeepAlive(id, aNow);
  json::object result;
  result["header"] = Header();
  result["ID"] = std::to_string(id);
  if (seconds > 0) {
    result["TTL"] = std::to_string(seconds);
  }
  json::object answer;
  answer["result"] = std::move(result);
  return answer;
}

Result<json::object> Gateway::Revoke(const json::object& aBody)
{
  if (!mState.Revoke(FindInteger(aBody, "ID").value_or(0))) {
    return MakeError(ResultCode::UnknownNode,
                     "etcdserver: requested lease not found");
  }
  json::object answer;
  answer["header"] = Header();
  return answer;
}

Result<WatchRequest> Gateway::ParseWatch(std::string_view aBody)
{
  const auto body = netutil::ParseObject(aBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  const json::object* create = netutil::FindObject(*body, "create_request");
  if (!create) {
    return MakeError(ResultCode::Malformed,
                     "watch request has no create_request object");
  }
  const auto operation = ParseRange(*create);
  if (!operation) {
    return tl::unexpected(operation.error());
  }
  return WatchRequest{
    .mRange = operation->mRange,
    .mStartRevision = FindInteger(*create, "start_revision").value_or(0),
    .mProgressNotify = netutil::FindBool(*create, "progress_notify"),
  };
}

std::string Gateway::EncodeCreated() const
{
  json::object result;
  result["header"] = Header();
  result["created"] = true;
  return EncodeStreamLine(std::move(result));
}

std::string Gateway::EncodeProgress() const
{
  json::object result;
  result["header"] = Header();
  return EncodeStreamLine(std::move(result));
}

std::string Gateway::EncodeChanges(const std::vector<Change>& aChanges) const
{
  json::array events;
  for (const Change& change : aChanges) {
    json::object event;
    if (change.mIsDelete) {
      event["type"] = "DELETE";
    }
    event["kv"] = EncodeEntry(change.mEntry);
    events.push_back(std::move(event));
  }
  json::object result;
  result["header"] = Header();
  result["events"] = std::move(events);
  return EncodeStreamLine(std::move(result));
}

std::string Gateway::EncodeCompacted() const
{
  json::object result;
  result["header"] = Header();
  result["canceled"] = true;
  result["compact_revision"] = std::to_string(mState.Revision());
  return EncodeStreamLine(std::move(result));
}

} // namespace cranberrywing::standins
