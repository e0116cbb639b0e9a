#include "cranberrywing/api_client.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "netutil/json.h"

namespace cranberrywing::cli {

namespace {

/// Whether a daemon that reports this did nothing, and another may be able
/// to.
bool IsOtherDaemonWorthTrying(ResultCode aCode, bool aIsRead)
{
  switch (aCode) {
    case ResultCode::PeerUnreachable:
    case ResultCode::Isolated:
    case ResultCode::ShuttingDown:
    case ResultCode::NoConfiguration:
      return true;
    case ResultCode::OutcomeUnknown:
    case ResultCode::StoreUnavailable:
      return aIsRead;
    default:
      return false;
  }
}

ResultCode CodeOf(std::int64_t aNumber)
{
  const auto code = static_cast<ResultCode>(aNumber);
  const bool isKnown = ToString(code) != ToString(ResultCode::Internal);
  return isKnown && code != ResultCode::Ok ? code : ResultCode::Internal;
}

Result<boost::json::object> ReadBody(const Result<AnswerContent>& aAnswer)
{
  if (!aAnswer) {
    return tl::unexpected(aAnswer.error());
  }
  return netutil::ParseObject(aAnswer->mBody);
}

} // namespace

std::string EncodeSegment(std::string_view aName)
{
  return boost::urls::encode(aName, boost::urls::unreserved_chars);
}

std::string MakeTarget(std::string_view aPath, const Query& aQuery)
{
  std::string target(aPath);
  char separator = '?';
  for (const auto& [name, value] : aQuery) {
    if (value.empty()) {
      continue;
    }
    target += separator + name + "=" + EncodeSegment(value);
    separator = '&';
  }
  return target;
}

Error ReadProblem(const AnswerContent& aAnswer)
{
  const std::string status = "HTTP status " + std::to_string(aAnswer.mStatus);
  const auto body = netutil::ParseObject(aAnswer.mBody);
  if (!body) {
    return { ResultCode::Malformed, "the daemon answered with " + status };
  }
  const auto code = netutil::FindInteger(*body, "code");
  std::string detail = netutil::FindString(*body, "detail");
  if (detail.empty()) {
    detail = status;
  }
  return { code ? CodeOf(*code) : ResultCode::Malformed, std::move(detail) };
}

std::string WithDaemon(const netutil::Endpoint& aDaemon, const Error& aError)
{
  const std::string name = netutil::ToString(aDaemon);
  const std::string& message = aError.mMessage;
  return message.starts_with(name) ? message : name + ": " + message;
}

ApiClient::ApiClient(Options aOptions, Transport aTransport)
  : mOptions(std::move(aOptions))
  , mTransport(std::move(aTransport))
{
}

Result<AnswerContent> ApiClient::Exchange(const netutil::Endpoint& aDaemon,
                                          RequestContent aRequest) const
{
  aRequest.mHeaders.push_back({ "Host", netutil::ToString(aDaemon) });
  if (!mOptions.mToken.empty()) {
    aRequest.mHeaders.push_back(
      { "Authorization", "Bearer " + mOptions.mToken });
  }
  auto answer = mTransport(aDaemon, std::move(aRequest), mOptions.mTimeout);
  if (!answer) {
    return answer;
  }
  if (answer->mStatus < 200 || answer->mStatus > 299) {
    return tl::unexpected(ReadProblem(*answer));
  }
  return answer;
}

Result<AnswerContent> ApiClient::TryAll(const RequestContent& aRequest,
                                        bool aIsRead) const
{
  Result<AnswerContent> answer =
    MakeError(ResultCode::InvalidArgument, "no daemon is given");
  std::string failures;
  for (const netutil::Endpoint& daemon : mOptions.mDaemons) {
    answer = Exchange(daemon, aRequest);
    if (answer || !IsOtherDaemonWorthTrying(answer.error().mCode, aIsRead)) {
      return answer;
    }
    failures += failures.empty() ? "" : "; ";
    failures += WithDaemon(daemon, answer.error());
  }
  if (!answer && !failures.empty()) {
    return MakeError(answer.error().mCode, failures);
  }
  return answer;
}

Result<AnswerContent> ApiClient::Get(const std::string& aTarget) const
{
  return TryAll(
    { .mMethod = "GET", .mTarget = aTarget, .mHeaders = {}, .mBody = {} },
    true);
}

Result<boost::json::object> ApiClient::GetObject(
  const std::string& aTarget) const
{
  return ReadBody(Get(aTarget));
}

Result<boost::json::object> ApiClient::GetObjectFrom(
  const netutil::Endpoint& aDaemon,
  const std::string& aTarget) const
{
  return ReadBody(Exchange(
    aDaemon,
    { .mMethod = "GET", .mTarget = aTarget, .mHeaders = {}, .mBody = {} }));
}

Result<AnswerContent> ApiClient::Send(const RequestContent& aRequest) const
{
  return TryAll(aRequest, false);
}

} // namespace cranberrywing::cli
