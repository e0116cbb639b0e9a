#include "standins/vm_list/vm_list_server.h"

#include "netutil/json.h"
#include "netutil/problem.h"

namespace cranberrywing::standins {

namespace json = boost::json;
using netutil::ExchangeId;

VmListServer::VmListServer(boost::asio::io_context& aContext, Milliseconds aLag)
  : mState(aLag)
  , mServer(aContext,
            {},
            { .mOnRequest =
                [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
                  mServer.Answer(aExchange, Answer(aRequest), {});
                },
              .mOnAborted = [](const ExchangeId&) {} })
{
}

Result<void> VmListServer::Start(const netutil::Endpoint& aEndpoint)
{
  return mServer.Listen(aEndpoint);
}

void VmListServer::Stop()
{
  mServer.StopAccepting();
  mServer.AbortAll();
}

AnswerContentPtr VmListServer::Answer(const RequestContent& aRequest)
{
  const std::string call = aRequest.mMethod + " " + aRequest.mTarget;
  if (call == "GET /vms") {
    const auto now = std::chrono::steady_clock::now();
    return netutil::MakeJsonResponse(200, mState.Encode(now));
  }
  if (call == "POST /control/vms") {
    return SetVm(aRequest.mBody);
  }
  if (call == "POST /control/lag") {
    return SetLag(aRequest.mBody);
  }
  return netutil::MakeProblemResponse(Error{
    ResultCode::UnknownRoute,
    "unknown endpoint; use GET /vms, POST /control/vms or POST /control/lag" });
}

AnswerContentPtr VmListServer::SetVm(const std::string& aBody)
{
  const auto body = netutil::ParseObject(aBody);
  if (!body) {
    return netutil::MakeProblemResponse(body.error());
  }
  const auto change = ParseVmChange(*body);
  if (!change) {
    return netutil::MakeProblemResponse(change.error());
  }
  mState.Set(*change, std::chrono::steady_clock::now());
  return netutil::MakeJsonResponse(200, json::object());
}

AnswerContentPtr VmListServer::SetLag(const std::string& aBody)
{
  const auto body = netutil::ParseObject(aBody);
  const auto lag = body ? netutil::FindInteger(*body, "lag_ms") : std::nullopt;
  if (!lag || *lag < 0) {
    return netutil::MakeProblemResponse(Error{
      ResultCode::InvalidArgument, "lag_ms must be a non-negative integer" });
  }
  mState.SetLag(Milliseconds(*lag));
  return netutil::MakeJsonResponse(200, json::object());
}

} // namespace cranberrywing::standins
