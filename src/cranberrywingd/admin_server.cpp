#include "cranberrywingd/admin_server.h"

#include "cranberrywing/parse_number.h"
#include "cranberrywingd/lookup_api.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

/// Sufficient for 1.2 million client blocks at about 25 bytes per line.
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

AnswerContentPtr TextAnswer(std::string aBody, std::string_view aType)
{
  AnswerContent answer;
  answer.mStatus = 200;
  answer.mHeaders = { { "Content-Type", std::string(aType) } };
  answer.mBody = std::move(aBody);
  return std::make_shared<const AnswerContent>(std::move(answer));
}

/// Whether a path matches a route's path, in which "*" stands for a non-empty
/// name.
bool MatchesRoutePath(std::string_view aRoute, std::string_view aPath)
{
  const std::size_t star = aRoute.find('*');
  if (star == std::string_view::npos) {
    return aRoute == aPath;
  }
  const std::string_view before = aRoute.substr(0, star);
  const std::string_view after = aRoute.substr(star + 1);
  return aPath.size() > before.size() + after.size() &&
         aPath.starts_with(before) && aPath.ends_with(after);
}

} // namespace

std::string AdminServer::Call::Parameter(std::string_view aName) const
{
  const std::string* value = mTarget.Find(aName);
  return value ? *value : std::string();
}

AdminServer::AdminServer(boost::asio::io_context& aContext,
                         AdminSources aSources,
                         EventSink aSink)
  : mSources(std::move(aSources))
  , mSink(std::move(aSink))
  , mUploader(aContext, mSources.mStore, mSources.mStorePrefix)
  , mServer(aContext,
            { .mMaxBodyBytes = kMaxBodyBytes },
            { .mOnRequest =
                [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
                  OnRequest(aExchange, std::move(aRequest));
                },
              .mOnAborted = [](const ExchangeId&) {} })
{
}

Result<void> AdminServer::Listen(const netutil::Endpoint& aEndpoint)
{
  return mServer.Listen(aEndpoint);
}

const std::vector<AdminServer::Route>& AdminServer::Routes()
{
  static const std::vector<Route> sRoutes{
    { "GET", "/v1/status", &AdminServer::GetStatus, false },
    { "GET", "/v1/members", &AdminServer::GetMembers, false },
    { "GET", "/metrics", &AdminServer::GetMetrics, false },
    { "GET", "/v1/lookup", &AdminServer::GetLookup, false },
    { "GET", "/v1/timeline", &AdminServer::GetTimeline, true },
    { "GET", "/v1/explain/request", &AdminServer::GetExplainRequest, true },
    { "GET", "/v1/explain/lookup", &AdminServer::GetExplainLookup, true },
    { "GET", "/v1/explain/setting", &AdminServer::GetExplainSetting, true },
    { "GET", "/v1/settings", &AdminServer::GetSettings, true },
    { "PUT", "/v1/settings", &AdminServer::PutSettings, true },
    { "POST", "/v1/settings/check", &AdminServer::CheckSettings, true },
    { "GET", "/v1/settings/history", &AdminServer::GetHistory, true },
    { "GET", "/v1/settings/revision", &AdminServer::GetRevision, true },
    { "POST", "/v1/keys", &AdminServer::PostKey, true },
    { "POST", "/v1/client-blocks", &AdminServer::PostBlocks, true },
    { "POST", "/v1/accounts/*/keys", &AdminServer::PostAccountKey, true },
  };
  return sRoutes;
}

void AdminServer::OnRequest(const ExchangeId& aExchange,
                            RequestContent&& aRequest)
{
  auto target = netutil::ParseTarget(aRequest.mTarget);
  Call call{ .mExchange = aExchange,
             .mRequest = std::move(aRequest),
             .mTarget = {} };
  if (!target) {
    Answer(call, netutil::MakeProblemResponse(target.error()));
    return;
  }
  call.mTarget = std::move(*target);
  Dispatch(call);
}

void AdminServer::Dispatch(const Call& aCall)
{
  for (const Route& route : Routes()) {
    if (route.mMethod != aCall.mRequest.mMethod ||
        !MatchesRoutePath(route.mPath, aCall.mTarget.mPath)) {
      continue;
    }
    if (route.mNeedsOperator) {
      const auto identity = IdentifyOperator(*GetActiveDocument().mSnapshot,
                                             BearerToken(aCall.mRequest));
      if (!identity) {
        Answer(aCall, netutil::MakeProblemResponse(identity.error()));
        return;
      }
    }
    (this->*route.mHandler)(aCall);
    return;
  }
  AnswerError(aCall,
              ResultCode::UnknownRoute,
              "the administration API has no route " + aCall.mRequest.mMethod +
                " " + aCall.mTarget.mPath);
}

void AdminServer::Answer(const Call& aCall, AnswerContentPtr aAnswer)
{
  mServer.Answer(aCall.mExchange, std::move(aAnswer), {});
}

void AdminServer::AnswerError(const Call& aCall,
                              ResultCode aCode,
                              std::string aMessage)
{
  Answer(aCall,
         netutil::MakeProblemResponse(Error{ aCode, std::move(aMessage) }));
}

ActiveDocument AdminServer::GetActiveDocument() const
{
  const Configuration& configuration = mSources.mReducer.GetConfiguration();
  return { configuration.Current(), configuration.Document() };
}

void AdminServer::GetStatus(const Call& aCall)
{
  Answer(
    aCall,
    netutil::MakeJsonResponse(200, StatusView(mSources.mReducer, ReadClock())));
}

void AdminServer::GetMembers(const Call& aCall)
{
  Answer(aCall,
         netutil::MakeJsonResponse(
           200, MembersView(mSources.mReducer, ReadClock())));
}

void AdminServer::GetTimeline(const Call& aCall)
{
  const std::string since = aCall.Parameter("since");
  const auto number = ParseNumber<std::uint64_t>(since);
  if (!since.empty() && !number) {
    AnswerError(aCall,
                ResultCode::InvalidArgument,
                "query parameter since must be a non-negative integer");
    return;
  }
  Answer(aCall,
         netutil::MakeJsonResponse(
           200, TimelineView(mSources.mTimeline, number.value_or(0))));
}

void AdminServer::GetMetrics(const Call& aCall)
{
  MetricsWriter writer;
  WriteMetrics(mSources.mMetrics, writer);
  WriteCoreMetrics(mSources.mReducer, ReadClock(), writer);
  Answer(aCall, TextAnswer(writer.Take(), "text/plain; version=0.0.4"));
}

void AdminServer::GetLookup(const Call& aCall)
{
  auto query = ReadLookup(aCall.mRequest.mTarget,
                          mServer.RemoteAddress(aCall.mExchange.mConnection));
  if (!query) {
    Answer(aCall, netutil::MakeProblemResponse(query.error()));
    return;
  }
  const RequestId id{ mNextLookup++ };
  mLookups[id] = aCall.mExchange;
  query->mLookup.mLookup = id;
  mSink(std::move(query->mLookup));
}

void AdminServer::Execute(const effect::AnswerLookup& aEffect)
{
  const auto it = mLookups.find(aEffect.mLookup);
  if (it == mLookups.end()) {
    return;
  }
  mServer.Answer(it->second, EncodeLookup(aEffect, nullptr), {});
  mLookups.erase(it);
}

void AdminServer::Shutdown()
{
  mServer.StopAccepting();
  mServer.CloseAllAfterResponses();
}

} // namespace cranberrywing::daemon
