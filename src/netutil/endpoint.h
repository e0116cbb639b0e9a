/// \file
/// Numeric network addresses with a port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// An IP address in text form and a port. Names are never resolved.
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  // clang-tidy 14 takes the generated comparison's zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "127.0.0.1:7001" or "[::1]:7001". Errors: InvalidArgument.
/// Thread-safe.
Result<Endpoint> ParseEndpoint(std::string_view aText);

/// Parses endpoints that are separated by commas; an empty text gives none.
/// Errors: InvalidArgument. Thread-safe.
Result<std::vector<Endpoint>> ParseEndpoints(std::string_view aText);

/// Form that ParseEndpoint reads. Thread-safe.
std::string ToString(const Endpoint& aEndpoint);

} // namespace cranberrywing::netutil
