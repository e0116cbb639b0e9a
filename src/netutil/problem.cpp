#include "netutil/problem.h"

#include <boost/json/serialize.hpp>
#include <string>

namespace cranberrywing::netutil {

namespace json = boost::json;

namespace {

json::object MakeProblemObject(ResultCode aCode, const std::string& aDetail)
{
  json::object problem;
  problem["type"] = "about:blank";
  problem["title"] = std::string(ToString(aCode));
  problem["status"] = HttpStatus(aCode);
  problem["code"] = static_cast<int>(aCode);
  if (!aDetail.empty()) {
    problem["detail"] = aDetail;
  }
  return problem;
}

AnswerContent SerializeProblem(ResultCode aCode, const json::object& aBody)
{
  AnswerContent response;
  response.mStatus = HttpStatus(aCode);
  response.mHeaders.push_back({ "Content-Type", "application/problem+json" });
  response.mBody = json::serialize(aBody);
  return response;
}

/// Retry-After is in whole seconds; round up so that clients do not retry too
/// early.
std::string RetryAfterSeconds(Duration aWait)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aWait);
  return std::to_string(seconds.count());
}

} // namespace

AnswerContentPtr MakeProblemResponse(const Refusal& aRefusal)
{
  json::object problem = MakeProblemObject(aRefusal.mCode, aRefusal.mDetail);
  problem["execution"] = std::string(ToString(aRefusal.mExecution));
  AnswerContent response = SerializeProblem(aRefusal.mCode, problem);
  if (aRefusal.mRetryAfter > Duration::zero()) {
    response.mHeaders.push_back(
      { "Retry-After", RetryAfterSeconds(aRefusal.mRetryAfter) });
  }
  if (response.mStatus == 401) {
    response.mHeaders.push_back({ "WWW-Authenticate", "Bearer" });
  }
  return std::make_shared<const AnswerContent>(std::move(response));
}

AnswerContentPtr MakeProblemResponse(const Error& aError, json::object aMembers)
{
  json::object problem = MakeProblemObject(aError.mCode, aError.mMessage);
  for (auto& member : aMembers) {
    problem[member.key()] = std::move(member.value());
  }
  AnswerContent response = SerializeProblem(aError.mCode, problem);
  return std::make_shared<const AnswerContent>(std::move(response));
}

AnswerContentPtr MakeJsonResponse(unsigned aStatus, const json::value& aBody)
{
  AnswerContent response;
  response.mStatus = aStatus;
  response.mHeaders.push_back({ "Content-Type", "application/json" });
  response.mBody = json::serialize(aBody);
  return std::make_shared<const AnswerContent>(std::move(response));
}

} // namespace cranberrywing::netutil
