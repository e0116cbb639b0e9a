/// \file
/// Header field lookup, and removal of hop-by-hop fields (RFC 9110, section
/// 7.6.1).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/http_types.h"

namespace cranberrywing::netutil {

/// Whether two strings, such as field names or authentication schemes, are
/// equal when ASCII case is ignored. Thread-safe.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first field with the name, or null. The pointer is
/// valid until aHeaders is modified. Thread-safe.
const std::string* FindHeader(const std::vector<Header>& aHeaders,
                              std::string_view aName);

/// Returns the number of fields with the name. Thread-safe.
std::size_t CountHeaders(const std::vector<Header>& aHeaders,
                         std::string_view aName);

/// Removes every field with the name. Thread-safe.
void EraseHeader(std::vector<Header>& aHeaders, std::string_view aName);

/// Removes the hop-by-hop fields: Connection, the fields it lists, and the
/// others that apply to a single connection. Content-Length, Expect and
/// Proxy-Authorization are removed too; the sender of the message adds
/// Content-Length again. Thread-safe.
void EraseHopByHopHeaders(std::vector<Header>& aHeaders);

} // namespace cranberrywing::netutil
