/// \file
/// Responses that begin before the request's body has been written.
#include "netutil/early_server_for_tests.h"
#include "netutil/exchange_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

const std::string kBody(30'000, 'b');

/// Heads of responses that end with the connection.
const std::vector<std::string> kCloseDelimitedHeads{
  "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
  "HTTP/1.0 200 OK\r\n\r\n",
};

/// Sends a long request as a gateway does to a backend server.
ExchangeResult Upload(EarlyServerOptions aOptions)
{
  boost::asio::io_context context(1);
  EarlyServer server(context, std::move(aOptions));
  HttpClientPool pool(context,
                      { .mClient = { .mAcceptsCloseDelimitedBody = true } });
  std::optional<ExchangeResult> result;
  pool.Start(server.Address(),
             std::make_shared<const RequestContent>(
               RequestContent{ .mMethod = "POST",
                               .mTarget = "/",
                               .mBody = std::string(kLongUploadBytes, 'u') }),
             {},
             std::chrono::seconds(20),
             [&](ExchangeResult aResult) { result = std::move(aResult); });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(pool.IdleCount(server.Address()) == 0);
  return std::move(*result);
}

void CheckCut(const EarlyServerOptions& aOptions)
{
  INFO(aOptions.mResponse.substr(0, 40) << ' ' << aOptions.mDelay.count());
  const ExchangeResult result = Upload(aOptions);
  CHECK_FALSE(result.has_value());
  if (!result) {
    CHECK(result.error().mKind == ExchangeFailureKind::Malformed);
    CHECK(result.error().mWasSent);
  }
}

} // namespace

// Guards against the failure MIXED: the system reports a reset once only. If
// the pending write gets the report, the next read sees an ordinary end, which
// made the part that had arrived a complete response.
TEST_CASE("a reset during the upload cuts a close-delimited response")
{
  const Milliseconds delay =
    GENERATE(Milliseconds(0), Milliseconds(30), Milliseconds(300));
  for (const std::string& head : kCloseDelimitedHeads) {
    for (const std::string& body : { std::string(), kBody }) {
      CheckCut({ .mResponse = head + body,
                 .mEnding = EarlyEnding::Reset,
                 .mDelay = delay });
    }
  }
}

// Guards against the same failure where the system ends the connection for a
// process that crashed: an ordinary end, then a reset for what still arrives.
TEST_CASE("a reset after the end of a response cuts it during the upload")
{
  const Milliseconds delay = GENERATE(Milliseconds(0), Milliseconds(30));
  for (const std::string& head : kCloseDelimitedHeads) {
    CheckCut({ .mResponse = head + kBody,
               .mEnding = EarlyEnding::HalfCloseThenReset,
               .mDelay = delay });
  }
}

// Guards against giving up sound responses with those that are cut.
TEST_CASE("an early close-delimited response is complete once the request is")
{
  const EarlyEnding ending =
    GENERATE(EarlyEnding::ReadThenClose, EarlyEnding::HalfCloseThenRead);
  const Milliseconds delay = GENERATE(Milliseconds(0), Milliseconds(30));
  for (const std::string& head : kCloseDelimitedHeads) {
    const ExchangeResult result =
      Upload({ .mResponse = head + kBody, .mEnding = ending, .mDelay = delay });
    REQUIRE(result.has_value());
    CHECK(result->mBody == kBody);
  }
}

// A response with a length is complete without regard to the connection's end.
TEST_CASE("an early response with a length survives a reset of the upload")
{
  const EarlyEnding ending =
    GENERATE(EarlyEnding::ReadThenClose, EarlyEnding::Reset);
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& rest :
       { "Content-Length: " + std::to_string(kBody.size()) + "\r\n\r\n" + kBody,
         "Transfer-Encoding: chunked\r\n\r\n7530\r\n" + kBody +
           "\r\n0\r\n\r\n" }) {
    const ExchangeResult result =
      Upload({ .mResponse = head + rest, .mEnding = ending });
    REQUIRE(result.has_value());
    CHECK(result->mBody == kBody);
  }
}

TEST_CASE("an early response with a length that a reset cuts is incomplete")
{
  const Milliseconds delay = GENERATE(Milliseconds(0), Milliseconds(30));
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& rest :
       { "Content-Length: 30001\r\n\r\n" + kBody,
         "Transfer-Encoding: chunked\r\n\r\n7530\r\n" + kBody + "\r\n" }) {
    const ExchangeResult result = Upload({ .mResponse = head + rest,
                                           .mEnding = EarlyEnding::Reset,
                                           .mDelay = delay });
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().mKind == ExchangeFailureKind::Reset);
    CHECK(result.error().mWasSent);
  }
}
