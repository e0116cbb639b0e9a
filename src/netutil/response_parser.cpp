#include "netutil/response_parser.h"

#include <boost/beast/http/error.hpp>
#include <string_view>

#include "netutil/parse_some.h"

namespace cranberrywing::netutil {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kLineEnd = "\r\n";

/// Whether a line up to the first empty one begins with a blank. Precondition:
/// aLines begins with a line.
bool HasFoldedLine(std::string_view aLines)
{
  while (!aLines.empty() && !aLines.starts_with(kLineEnd)) {
    if (aLines.front() == ' ' || aLines.front() == '\t') {
      return true;
    }
    const std::size_t end = aLines.find(kLineEnd);
    if (end == std::string_view::npos) {
      return false;
    }
    aLines.remove_prefix(end + kLineEnd.size());
  }
  return false;
}

} // namespace

ResponseParser::ResponseParser()
  : mOnChunkHeader([this](std::uint64_t aSize,
                          boost::beast::string_view aExtensions,
                          boost::system::error_code&) {
    if (aSize == 0) {
      mLastChunkEnd = aExtensions.data() + aExtensions.size() + kLineEnd.size();
    }
  })
{
  on_chunk_header(mOnChunkHeader);
}

void ResponseParser::ParseSome(boost::beast::flat_buffer& aBuffer,
                               std::size_t aMaxKeptBytes,
                               boost::system::error_code& aError)
{
  const bool wasInHead = !is_header_done();
  mLastChunkEnd = nullptr;
  const auto* const begin = static_cast<const char*>(aBuffer.data().data());
  const std::size_t bytes =
    detail::PutSome(*this, aBuffer, aMaxKeptBytes, aError);
  const char* const end = begin + bytes;
  const bool isParsed = !aError || aError == http::error::need_more;
  // The library consumes whole lines of a head, and a field only together with
  // the lines that fold it.
  if (isParsed && ((wasInHead && HasFoldedLine({ begin, end })) ||
                   (mLastChunkEnd && HasFoldedLine({ mLastChunkEnd, end })))) {
    aError = http::error::bad_field;
  }
  aBuffer.consume(bytes);
}

} // namespace cranberrywing::netutil
