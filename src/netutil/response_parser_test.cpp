#include "netutil/response_parser.h"

#include <boost/beast/http/error.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "netutil/odd_fields_for_tests.h"

using namespace cranberrywing::netutil;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxKeptBytes = 64UL * 1024;

const std::string kHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n";
/// What follows the fields of a chunked head, up to the trailers.
const std::string kChunks = "\r\n2\r\n\r\n\r\n3\r\n a\r\r\n0\r\n";

struct Outcome
{
  boost::system::error_code mError;
  std::string mBody;
};

/// Parses a response that arrives in parts of aPartBytes, the first of them
/// with aFirstBytes, to its end or an error.
Outcome ParseInParts(const std::string& aResponse,
                     std::size_t aFirstBytes,
                     std::size_t aPartBytes)
{
  ResponseParser parser;
  parser.eager(true);
  boost::beast::flat_buffer buffer;
  Outcome outcome;
  std::size_t part = aFirstBytes;
  for (std::size_t start = 0; start < aResponse.size();) {
    const std::string bytes = aResponse.substr(start, part);
    start += bytes.size();
    part = aPartBytes;
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes.size()),
                                           boost::asio::buffer(bytes)));
    while (buffer.size() > 0 && !parser.is_done()) {
      parser.ParseSome(buffer, kMaxKeptBytes, outcome.mError);
      if (outcome.mError) {
        break;
      }
    }
    if (outcome.mError && outcome.mError != http::error::need_more) {
      return outcome;
    }
  }
  CHECK(parser.is_done());
  outcome.mBody = parser.get().body();
  return outcome;
}

/// Checks a response whole, divided in two at each byte, and with its first
/// part followed byte by byte.
void CheckOutcome(const std::string& aResponse,
                  const boost::system::error_code& aError,
                  const std::string& aBody)
{
  INFO(aResponse);
  for (std::size_t first = 1; first <= aResponse.size(); ++first) {
    for (const std::size_t next : { std::size_t(1), aResponse.size() }) {
      INFO(first << ' ' << next);
      const Outcome outcome = ParseInParts(aResponse, first, next);
      CHECK(outcome.mError == aError);
      CHECK(outcome.mBody == aBody);
    }
  }
}

} // namespace

// Guards against a folded line that is missed because it arrives in another
// part than the line before it.
TEST_CASE("a folded line is an error wherever its response is divided")
{
  const boost::system::error_code error = http::error::bad_field;
  for (const std::string& line : kFoldedLines) {
    CheckOutcome(kHead + line + "Content-Length: 2\r\n\r\nok", error, {});
    CheckOutcome(
      kHead + "Content-Length: 0\r\nEmpty:\r\n" + line + "\r\n", error, {});
    CheckOutcome(kChunkedHead + line + kChunks + "\r\n", error, {});
    CheckOutcome(
      kChunkedHead + kChunks + "T: t\r\n" + line + "\r\n", error, {});
    CheckOutcome(kChunkedHead + kChunks + "T:\r\n" + line + "\r\n", error, {});
  }
}

// Guards against bytes of a body that are taken for lines of a head.
TEST_CASE("a body may hold any bytes wherever its response is divided")
{
  const std::string body = "\r\n a\r";
  CheckOutcome(kHead + "Content-Length: 5\r\n\r\n" + body, {}, body);
  for (const std::string& end :
       { std::string("\r\n"), std::string("T: t\r\nU:\r\n\r\n") }) {
    CheckOutcome(kChunkedHead + kChunks + end, {}, body);
  }
}
