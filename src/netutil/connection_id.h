/// \file
/// Identifier of a server's connection.
#pragma once

#include <cstdint>

namespace cranberrywing::netutil {

/// Identifies a connection within one server. Never reused.
enum class ConnectionId : std::uint64_t
{
};

} // namespace cranberrywing::netutil
