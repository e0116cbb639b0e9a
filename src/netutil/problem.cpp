#include "netutil/problem.h"

#include <boost/json/serialize.hpp>
#include <string>

namespace cranberrywing::netutil {

namespace json = boost::json;

namespace {

json::object BaseProblem(ResultCode aCode, const std::string& aDetail)
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

AnswerContent ProblemAnswer(ResultCode aCode, const json::object& aBody)
{
  AnswerContent answer;
  answer.mStatus = HttpStatus(aCode);
  answer.mHeaders.push_back({ "Content-Type", "application/problem+json" });
  answer.mBody = json::serialize(aBody);
  return answer;
}

/// Retry-After counts whole seconds; a shorter wait is rounded up.
std::string RetryAfterSeconds(Duration aWait)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aWait);
  return std::to_string(seconds.count());
}

} // namespace

AnswerContentPtr MakeProblemResponse(const Refusal& aRefusal)
{
  json::object problem = BaseProblem(aRefusal.mCode, aRefusal.mDetail);
  problem["execution"] = std::string(ToString(aRefusal.mExecution));
  AnswerContent answer = ProblemAnswer(aRefusal.mCode, problem);
  if (aRefusal.mRetryAfter > Duration::zero()) {
    answer.mHeaders.push_back(
      { "Retry-After", RetryAfterSeconds(aRefusal.mRetryAfter) });
  }
  if (answer.mStatus == 401) {
    answer.mHeaders.push_back({ "WWW-Authenticate", "Bearer" });
  }
  return std::make_shared<const AnswerContent>(std::move(answer));
}

AnswerContentPtr MakeProblemResponse(const Error& aError, json::object aMembers)
{
  json::object problem = BaseProblem(aError.mCode, aError.mMessage);
  for (auto& member : aMembers) {
    problem[member.key()] = std::move(member.value());
  }
  AnswerContent answer = ProblemAnswer(aError.mCode, problem);
  return std::make_shared<const AnswerContent>(std::move(answer));
}

AnswerContentPtr MakeJsonResponse(unsigned aStatus, const json::value& aBody)
{
  AnswerContent answer;
  answer.mStatus = aStatus;
  answer.mHeaders.push_back({ "Content-Type", "application/json" });
  answer.mBody = json::serialize(aBody);
  return std::make_shared<const AnswerContent>(std::move(answer));
}

} // namespace cranberrywing::netutil
