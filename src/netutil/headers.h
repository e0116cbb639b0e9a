/// \file
/// Header fields: look-up by name and removal of those that belong to one
/// connection only (RFC 9110, section 7.6.1).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/http_types.h"

namespace cranberrywing::netutil {

/// Whether two field names are equal without regard to case. Thread-safe.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Value of the first field with the name, or null. Thread-safe.
const std::string* FindHeader(const std::vector<Header>& aHeaders,
                              std::string_view aName);

/// Number of fields with the name. Thread-safe.
std::size_t CountHeaders(const std::vector<Header>& aHeaders,
                         std::string_view aName);

/// Removes every field with the name. Thread-safe.
void EraseHeader(std::vector<Header>& aHeaders, std::string_view aName);

/// Removes Connection, the fields that it names, and every other field that
/// belongs to one connection, Content-Length included. Thread-safe.
void EraseHopByHopHeaders(std::vector<Header>& aHeaders);

} // namespace cranberrywing::netutil
