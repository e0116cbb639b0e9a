#include "netutil/http_line_stream.h"

#include <catch2/catch.hpp>

#include "netutil/loopback_for_tests.h"
#include "netutil/odd_fields_for_tests.h"
#include "netutil/scripted_server_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

const std::string kField = "Content-Type: application/json\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
/// Two lines and a part of a third in two chunks.
const std::string kChunks = "4\r\none\n\r\n6\r\ntwo\nth\r\n0\r\n\r\n";

std::string StatusLine(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " X\r\n";
}

/// Lines of a response up to its end.
std::vector<std::string> ReadLines(const std::string& aResponse)
{
  boost::asio::io_context context(1);
  ScriptedServer server(context, { aResponse });
  std::vector<std::string> lines;
  int ends = 0;
  const auto stream = std::make_shared<HttpLineStream>(
    context,
    server.Address(),
    LineStreamHooks{
      .mOnLine = [&](std::string_view aLine) { lines.emplace_back(aLine); },
      .mOnEnd = [&](const std::string&) { ++ends; },
    });
  stream->Start({ .mMethod = "GET", .mTarget = "/" }, std::chrono::seconds(5));
  REQUIRE(RunUntil(context, [&] { return ends > 0; }));
  CHECK(ends == 1);
  return lines;
}

void CheckNoLines(const std::string& aResponse)
{
  INFO(aResponse);
  CHECK(ReadLines(aResponse).empty());
}

} // namespace

TEST_CASE("a stream passes on the complete lines of a response")
{
  const std::vector<std::string> expected{ "one", "two" };
  CHECK(ReadLines(StatusLine("200") + kField + kChunked + "\r\n" + kChunks) ==
        expected);
}

// Guards against using lines of a malformed response.
TEST_CASE("a stream passes on no line of a response with an invalid status")
{
  for (const char* const status : { "000", "099", "100", "600", "999", "20" }) {
    CheckNoLines(StatusLine(status) + kChunked + "\r\n" + kChunks);
    CheckNoLines(StatusLine(status) + "\r\none\ntwo\n");
  }
}

TEST_CASE("a stream passes on no line after an invalid field name")
{
  for (const std::string& line : kInvalidNameLines) {
    CheckNoLines(StatusLine("200") + kField + line + kChunked + "\r\n" +
                 kChunks);
  }
}

// Guards against sizes of chunks that are read as lines, after a folded line
// that hides the transfer coding.
TEST_CASE("a stream passes on no line after a folded field line")
{
  for (const std::string& line : kFoldedLines) {
    CheckNoLines(StatusLine("200") + kField + line + kChunked + "\r\n" +
                 kChunks);
    CheckNoLines(StatusLine("200") + kField + line + "\r\n" + kChunks);
  }
}
