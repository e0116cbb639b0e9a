/// \file
/// Framing of the peer streams. A frame is a 32-bit big-endian length followed
/// by one envelope of that many bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/message_codec.h"
#include "cranberrywing/result_code.h"

namespace cranberrywing::daemon {

inline constexpr std::size_t kMaxFrameBytes = kMaxEnvelopeBytes;

/// Prepends the length to an envelope. Thread-safe.
std::string EncodeFrame(std::string_view aEnvelope);

/// Incremental decoder for one stream. Not thread-safe.
class FrameReader
{
public:
  explicit FrameReader(std::size_t aLimit = kMaxFrameBytes);

  /// Adds received bytes, of any number, and returns the envelopes that they
  /// complete. Errors: Malformed for a length of zero or beyond the limit; the
  /// stream cannot be decoded any further then.
  Result<std::vector<std::string>> Add(std::string_view aBytes);

private:
  std::size_t mLimit;
  std::string mBuffer;
};

} // namespace cranberrywing::daemon
