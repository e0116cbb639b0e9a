#include "cranberrywing/explain.h"
#include "cranberrywing/parse_number.h"
#include "cranberrywingd/admin_server.h"
#include "cranberrywingd/lookup_api.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

json::object StepView(const ExplainStep& aStep)
{
  json::array inputs;
  for (const ExplainInput& input : aStep.mInputs) {
    json::object one;
    one["name"] = input.mName;
    one["value"] = input.mValue;
    inputs.push_back(std::move(one));
  }
  json::object view;
  view["rule"] = aStep.mRule;
  view["inputs"] = std::move(inputs);
  view["settings"] = PolicyView(aStep.mSettings);
  view["result"] = aStep.mResult;
  return view;
}

AnswerContentPtr ExplanationAnswer(const Explanation& aExplanation)
{
  json::array steps;
  for (const ExplainStep& step : aExplanation.mSteps) {
    steps.push_back(StepView(step));
  }
  json::object body;
  body["revision"] = aExplanation.mRevision.mNumber;
  body["steps"] = std::move(steps);
  body["code"] = static_cast<int>(aExplanation.mCode);
  body["result"] = ToString(aExplanation.mCode);
  return netutil::MakeJsonResponse(200, body);
}

} // namespace

void AdminServer::GetExplainRequest(const Call& aCall)
{
  RequestDescription question;
  const std::string method = aCall.Parameter("method");
  if (!method.empty()) {
    question.mMethod = method;
  }
  const auto target = netutil::NormalizeTarget(aCall.Parameter("path"));
  if (!target) {
    AnswerError(aCall,
                ResultCode::InvalidArgument,
                "query parameter path: " + target.error().mMessage);
    return;
  }
  question.mTarget = *target;
  question.mAccount = AccountId(aCall.Parameter("account"));
  question.mIdempotencyKey = aCall.Parameter("key");
  const std::string bytes = aCall.Parameter("bytes");
  const auto number = ParseNumber<std::uint64_t>(bytes);
  if (!bytes.empty() && !number) {
    AnswerError(aCall,
                ResultCode::InvalidArgument,
                "query parameter bytes must be a non-negative integer");
    return;
  }
  question.mBodyBytes = number.value_or(0);
  Answer(aCall,
         ExplanationAnswer(
           ExplainRequest(mSources.mReducer, question, ReadClock())));
}

void AdminServer::GetExplainLookup(const Call& aCall)
{
  const auto query = ReadLookup(
    aCall.mRequest.mTarget, mServer.RemoteAddress(aCall.mExchange.mConnection));
  if (!query) {
    Answer(aCall, netutil::MakeProblemResponse(query.error()));
    return;
  }
  Answer(aCall,
         ExplanationAnswer(
           ExplainLookup(mSources.mReducer, query->mLookup, ReadClock())));
}

void AdminServer::GetExplainSetting(const Call& aCall)
{
  const auto sources = ExplainPolicy(GetActiveDocument().mDocument,
                                     RegionId(aCall.Parameter("region")),
                                     ServiceId(aCall.Parameter("service")),
                                     AccountId(aCall.Parameter("account")),
                                     RouteId(aCall.Parameter("route")));
  if (!sources) {
    Answer(aCall, netutil::MakeProblemResponse(sources.error()));
    return;
  }
  json::object body;
  body["revision"] = GetActiveDocument().mSnapshot->mRevision.mNumber;
  body["policy"] = PolicyView(*sources);
  Answer(aCall, netutil::MakeJsonResponse(200, body));
}

} // namespace cranberrywing::daemon
