/// \file
/// Numeric IP address and port of a TCP endpoint.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// A numeric IP address in text form and a port. Host names are not supported,
/// so no resolver is needed.
struct Endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  // clang-tidy 14 mistakes the zero in the generated comparison for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "127.0.0.1:7001" or "[::1]:7001". Errors: InvalidArgument for host
/// names, a missing port, or a port above 65535. Thread-safe.
Result<Endpoint> ParseEndpoint(std::string_view aText);

/// Parses a comma-separated list of endpoints; an empty string gives an empty
/// list. Errors: InvalidArgument. Thread-safe.
Result<std::vector<Endpoint>> ParseEndpoints(std::string_view aText);

/// Formats an endpoint so that ParseEndpoint can read it; IPv6 addresses are
/// put in brackets. Thread-safe.
std::string ToString(const Endpoint& aEndpoint);

} // namespace cranberrywing::netutil
