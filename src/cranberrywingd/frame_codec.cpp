#include "cranberrywingd/frame_codec.h"

#include <boost/endian/conversion.hpp>

namespace cranberrywing::daemon {

namespace {

constexpr std::size_t kLengthBytes = 4;

} // namespace

std::string EncodeFrame(std::string_view aEnvelope)
{
  std::string frame(kLengthBytes, '\0');
  frame.reserve(kLengthBytes + aEnvelope.size());
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(aEnvelope.size()));
  frame += aEnvelope;
  return frame;
}

FrameReader::FrameReader(std::size_t aLimit)
  : mLimit(aLimit)
{
}

Result<std::vector<std::string>> FrameReader::Add(std::string_view aBytes)
{
  mBuffer += aBytes;
  std::vector<std::string> envelopes;
  std::size_t start = 0;
  while (mBuffer.size() - start >= kLengthBytes) {
    const std::size_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(mBuffer.data() + start));
    if (length == 0 || length > mLimit) {
      return MakeError(ResultCode::Malformed,
                       "frame length " + std::to_string(length) +
                         " is zero or exceeds the limit");
    }
    if (mBuffer.size() - start - kLengthBytes < length) {
      break;
    }
    envelopes.push_back(mBuffer.substr(start + kLengthBytes, length));
    start += kLengthBytes + length;
  }
  mBuffer.erase(0, start);
  return envelopes;
}

} // namespace cranberrywing::daemon
