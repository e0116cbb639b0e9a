/// \file
/// Parser of HTTP/1.1 responses.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace cranberrywing::netutil {

/// Parses one response. Unlike the parser of the library, it rejects folded
/// field lines (RFC 9112, section 5.2) in the head and in trailers. The library
/// joins a line that begins with a blank to the value before it, so that a
/// field of a malformed response is hidden in the value of another.
///
/// Not thread-safe.
class ResponseParser
  : public boost::beast::http::response_parser<boost::beast::http::string_body>
{
public:
  ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// Parses what it can of the buffer and consumes that. Call it instead of
  /// put. Errors: those of detail::ParseSome; bad_field for a folded line.
  /// Precondition: the response is not complete.
  void ParseSome(boost::beast::flat_buffer& aBuffer,
                 std::size_t aMaxKeptBytes,
                 boost::system::error_code& aError);

private:
  /// Called for each line that states the size of a chunk.
  std::function<void(std::uint64_t aSize,
                     boost::beast::string_view aExtensions,
                     boost::system::error_code& aError)>
    mOnChunkHeader;
  /// Where the line of the last chunk ends in the buffer that is being parsed,
  /// if it is there. The library reads it and the trailers together.
  const char* mLastChunkEnd = nullptr;
};

} // namespace cranberrywing::netutil
