/// \file
/// Responses with field lines that make them malformed.
#include "netutil/exchange_for_tests.h"
#include "netutil/odd_fields_for_tests.h"
#include "netutil/scripted_server_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

const std::string kField = "Signature: s\r\n";

/// Frames of a body, from the fields that state them to the body's end.
const std::vector<std::string> kFrames{
  "Content-Length: 2\r\n\r\nok",
  "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  "\r\nok",
};

std::string StatusLine(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " X\r\n";
}

ExchangeResult Read(const std::string& aResponse)
{
  boost::asio::io_context context(1);
  ScriptedServer server(context, { aResponse });
  HttpClientPool pool(context,
                      { .mClient = { .mAcceptsCloseDelimitedBody = true } });
  return Exchange(context, pool, server.Address());
}

void CheckRejected(const std::string& aResponse)
{
  INFO(aResponse);
  const ExchangeResult result = Read(aResponse);
  CHECK_FALSE(result.has_value());
  if (!result) {
    CHECK(result.error().mKind == ExchangeFailureKind::Malformed);
    CHECK(result.error().mWasSent);
  }
}

/// Checks a line before and after another field, in the heads of final and
/// interim responses and in a trailer.
void CheckRejectedEverywhere(const std::string& aLine)
{
  for (const char* const status : { "200", "500" }) {
    for (const std::string& frame : kFrames) {
      CheckRejected(StatusLine(status) + aLine + kField + frame);
      CheckRejected(StatusLine(status) + kField + aLine + frame);
      CheckRejected(StatusLine(status) + "Empty:\r\n" + aLine + frame);
    }
  }
  CheckRejected(StatusLine("100") + kField + aLine + "\r\n" +
                StatusLine("200") + kFrames.front());
  CheckRejected(StatusLine("200") + "Transfer-Encoding: chunked\r\n\r\n" +
                "2\r\nok\r\n0\r\n" + kField + aLine + "\r\n");
}

} // namespace

// Guards against the failure MIXED: an invalid line that is passed on, or that
// hides how the body is framed.
TEST_CASE("a response with an invalid field name is malformed")
{
  for (const std::string& line : kInvalidNameLines) {
    CheckRejectedEverywhere(line);
  }
}

// Guards against the same failure: the line was joined to the value of the
// field before it, so that a caller got a signature that the server had not
// sent, or the frame of a chunked body as a part of it.
TEST_CASE("a response with a folded field line is malformed")
{
  for (const std::string& line : kFoldedLines) {
    CheckRejectedEverywhere(line);
  }
}

// Guards against a check that takes lines of the body for those of the head.
TEST_CASE("lines of a body may begin with a blank")
{
  const std::string body = "a\r\n b\r\n\r\n\tc\r\n : d\r\n ";
  for (const std::string& frame :
       { "Content-Length: 20\r\n\r\n" + body,
         "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body +
           "\r\n0;name=value\r\n" + kField + "\r\n",
         "\r\n" + body }) {
    INFO(frame);
    const ExchangeResult result =
      Read(StatusLine("100") + "\r\n" + StatusLine("200") + kField + frame);
    REQUIRE(result.has_value());
    CHECK(result->mBody == body);
  }
}
