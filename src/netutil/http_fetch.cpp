#include "netutil/http_fetch.h"

namespace cranberrywing::netutil {

Result<AnswerContent> Fetch(const Endpoint& aEndpoint,
                            RequestContent aRequest,
                            Duration aTimeout)
{
  boost::asio::io_context context(1);
  const auto connection = std::make_shared<HttpClientConnection>(
    context, aEndpoint, HttpClientOptions{});
  Result<AnswerContent> result = MakeError(
    ResultCode::Internal, "event loop ended before the HTTP exchange");
  connection->Start(std::make_shared<const RequestContent>(std::move(aRequest)),
                    { { "Connection", "close" } },
                    aTimeout,
                    [&result, &aEndpoint](ExchangeResult aResult) {
                      if (aResult) {
                        result = std::move(*aResult);
                        return;
                      }
                      const ExchangeFailure& failure = aResult.error();
                      result = MakeError(
                        failure.mWasSent ? ResultCode::OutcomeUnknown
                                         : ResultCode::PeerUnreachable,
                        ToString(aEndpoint) + ": " + failure.mDetail);
                    });
  context.run();
  return result;
}

} // namespace cranberrywing::netutil
