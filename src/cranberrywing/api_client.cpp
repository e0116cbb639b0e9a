#include "cranberrywing/api_client.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "netutil/json.h"

namespace cranberrywing::cli {

namespace {

/// Whether the error means that the daemon did nothing (or, for a read, that
/// repeating it is harmless) and that another daemon may succeed.
bool ShouldTryNextDaemon(ResultCode aCode, bool aIsRead)
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

/// Converts the number of a result code; unknown numbers and Ok become
/// Internal.
ResultCode ParseResultCode(std::int64_t aNumber)
{
  const auto code = static_cast<ResultCode>(aNumber);
  const bool isKnown = ToString(code) != ToString(ResultCode::Internal);
  return isKnown && code != ResultCode::Ok ? code : ResultCode::Internal;
}

Result<boost::json::object> ReadBody(const Result<AnswerContent>& aResponse)
{
  if (!aResponse) {
    return tl::unexpected(aResponse.error());
  }
  return netutil::ParseObject(aResponse->mBody);
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

Error ParseProblem(const AnswerContent& aResponse)
{
  const std::string status = "HTTP status " + std::to_string(aResponse.mStatus);
  const auto body = netutil::ParseObject(aResponse.mBody);
  if (!body) {
    return { ResultCode::Malformed,
             "the daemon returned no error description with " + status };
  }
  const auto code = netutil::FindInteger(*body, "code");
  std::string detail = netutil::FindString(*body, "detail");
  if (detail.empty()) {
    detail = status;
  }
  return { code ? ParseResultCode(*code) : ResultCode::Malformed,
           std::move(detail) };
}

std::string PrefixDaemon(const netutil::Endpoint& aDaemon, const Error& aError)
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
  auto response = mTransport(aDaemon, std::move(aRequest), mOptions.mTimeout);
  if (!response) {
    return response;
  }
  if (response->mStatus < 200 || response->mStatus > 299) {
    return tl::unexpected(ParseProblem(*response));
  }
  return response;
}

Result<AnswerContent> ApiClient::SendToDaemons(const RequestContent& aRequest,
                                               bool aIsRead) const
{
  Result<AnswerContent> response =
    MakeError(ResultCode::InvalidArgument, "no daemon address was given");
  std::string failures;
  for (const netutil::Endpoint& daemon : mOptions.mDaemons) {
    response = Exchange(daemon, aRequest);
    if (response || !ShouldTryNextDaemon(response.error().mCode, aIsRead)) {
      return response;
    }
    failures += failures.empty() ? "" : "; ";
    failures += PrefixDaemon(daemon, response.error());
  }
  if (!response && !failures.empty()) {
    return MakeError(response.error().mCode, failures);
  }
  return response;
}

Result<AnswerContent> ApiClient::Get(const std::string& aTarget) const
{
  return SendToDaemons(
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
  return SendToDaemons(aRequest, false);
}

} // namespace cranberrywing::cli
