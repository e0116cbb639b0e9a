/// \file
/// Frames of the peer streams: four bytes of length, most significant first,
/// then that many bytes of one envelope.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/message_codec.h"
#include "cranberrywing/result_code.h"

namespace cranberrywing::daemon {

inline constexpr std::size_t kFrameLimit = kMaxEnvelopeBytes;

/// Thread-safe.
std::string EncodeFrame(std::string_view aEnvelope);

/// Takes the bytes of one stream in pieces of any size. Not thread-safe.
class FrameReader
{
public:
  explicit FrameReader(std::size_t aLimit = kFrameLimit);

  /// Adds bytes and returns the envelopes that they complete. Errors:
  /// Malformed for a length of zero or beyond the limit; the stream is then
  /// unusable.
  Result<std::vector<std::string>> Add(std::string_view aBytes);

private:
  std::size_t mLimit;
  std::string mBuffer;
};

} // namespace cranberrywing::daemon
