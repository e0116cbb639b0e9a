/// \file
/// Bounds the memory of responses that are being read.
#pragma once

#include <cstddef>
#include <unordered_map>

namespace cranberrywing::netutil {

class HttpClientConnection;

/// Bounds the memory of the unfinished responses of several connections. When
/// it is exceeded, the response that uses the most is given up, so that
/// responses without end make no room for each other at the expense of small
/// ones. Not thread-safe.
class ResponseBudget
{
public:
  explicit ResponseBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  std::size_t UsedBytes() const { return mUsedBytes; }
  /// Sets the memory that a connection uses, and gives up the largest
  /// responses, its own perhaps, until the rest fits.
  void Charge(HttpClientConnection& aConnection, std::size_t aBytes);
  void Release(HttpClientConnection& aConnection);

private:
  std::size_t mMaxBytes;
  std::size_t mUsedBytes = 0;
  std::unordered_map<HttpClientConnection*, std::size_t> mBytes;
};

} // namespace cranberrywing::netutil
