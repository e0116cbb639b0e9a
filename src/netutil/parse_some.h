/// \file
/// Feeds received bytes to an HTTP parser, within a bound on what it may need.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>

namespace cranberrywing::netutil::detail {

/// Parses what it can of the buffer and returns how many bytes that is, without
/// consuming them. Errors: those of the parser, need_more among them;
/// header_limit if a field is longer than the library can store, or if the
/// parser has to see more than aMaxKeptBytes at once, as for a chunk line or a
/// trailer without end. Not thread-safe.
template<bool IsRequest>
std::size_t PutSome(boost::beast::http::basic_parser<IsRequest>& aParser,
                    const boost::beast::flat_buffer& aBuffer,
                    std::size_t aMaxKeptBytes,
                    boost::system::error_code& aError)
{
  namespace http = boost::beast::http;
  std::size_t bytes = 0;
  try {
    bytes = aParser.put(aBuffer.data(), aError);
  } catch (const std::length_error&) {
    // Thrown for a field name or value of more than 64 KB. The header limit
    // does not apply to trailers.
    aError = http::error::header_limit;
  }
  if (aError == http::error::need_more &&
      aBuffer.size() - bytes > aMaxKeptBytes) {
    aError = http::error::header_limit;
  }
  return bytes;
}

/// As PutSome, and consumes what has been parsed.
template<bool IsRequest>
void ParseSome(boost::beast::http::basic_parser<IsRequest>& aParser,
               boost::beast::flat_buffer& aBuffer,
               std::size_t aMaxKeptBytes,
               boost::system::error_code& aError)
{
  aBuffer.consume(PutSome(aParser, aBuffer, aMaxKeptBytes, aError));
}

} // namespace cranberrywing::netutil::detail
