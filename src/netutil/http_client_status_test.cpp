#include <catch2/catch.hpp>

#include "netutil/exchange_for_tests.h"
#include "netutil/scripted_server_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

const std::string kSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string Response(const std::string& aStatus, const std::string& aRest)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + aRest;
}

/// Checks that the response ends its exchange as Malformed and that the
/// connection is not used again.
void CheckRejected(const std::string& aResponse,
                   const HttpClientOptions& aOptions = {})
{
  INFO(aResponse);
  boost::asio::io_context context(1);
  // A second exchange on the same connection would succeed.
  ScriptedServer server(context, { aResponse, kSuccess });
  HttpClientPool pool(context, { .mClient = aOptions });
  for (int n = 0; n < 2; ++n) {
    const ExchangeResult result = Exchange(context, pool, server.Address());
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().mKind == ExchangeFailureKind::Malformed);
    CHECK(result.error().mWasSent);
  }
}

} // namespace

// Guards against a status that HTTP does not define and that is passed on as a
// response, or skipped as an interim one until the exchange times out.
TEST_CASE("a status outside of 100 to 599 ends the exchange as malformed")
{
  for (const char* const status : { "000", "001", "099", "600", "999" }) {
    CheckRejected(Response(status, "Content-Length: 2\r\n\r\nok"));
    CheckRejected(Response(status, "Content-Length: 0\r\n\r\n") + kSuccess);
    CheckRejected(Response("100", "\r\n") +
                  Response(status, "Content-Length: 0\r\n\r\n"));
  }
}

// Guards against a body that is read, and that decides about the failure,
// although the response is rejected already.
TEST_CASE("an invalid status is rejected before the body is read")
{
  for (const char* const status : { "000", "099", "600", "999" }) {
    CheckRejected(Response(status, "Content-Length: 9\r\n\r\nhalf"));
    CheckRejected(Response(status, "Content-Length: 9\r\n\r\n"),
                  { .mMaxBodyBytes = 8 });
    CheckRejected(
      Response(status, "Transfer-Encoding: chunked\r\n\r\n4\r\nha"));
    CheckRejected(Response(status, "\r\nto the end"),
                  { .mAcceptsCloseDelimitedBody = true });
  }
}

TEST_CASE("a status of two or four digits ends the exchange as malformed")
{
  for (const char* const status : { "20", "99", "0200", "1000", "2000" }) {
    CheckRejected(Response(status, "Content-Length: 0\r\n\r\n"));
  }
}

// Guards against a check that also rejects valid statuses, or that takes an
// interim response for the final one.
TEST_CASE("statuses from 200 to 599 are final and interim ones are skipped")
{
  for (const unsigned status : { 200u, 299u, 404u, 500u, 599u }) {
    boost::asio::io_context context(1);
    ScriptedServer server(
      context,
      { Response("100", "\r\n") + Response("199", "\r\n") +
        Response(std::to_string(status), "Content-Length: 0\r\n\r\n") });
    HttpClientPool pool(context, {});
    const ExchangeResult result = Exchange(context, pool, server.Address());
    REQUIRE(result.has_value());
    CHECK(result->mStatus == status);
  }
}
