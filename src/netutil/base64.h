/// \file
/// Base64 with padding, as etcd's JSON gateway uses it (RFC 4648).
#pragma once

#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Thread-safe.
std::string EncodeBase64(std::string_view aBytes);

/// Errors: Malformed. Thread-safe.
Result<std::string> DecodeBase64(std::string_view aText);

} // namespace cranberrywing::netutil
