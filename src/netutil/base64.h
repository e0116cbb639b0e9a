/// \file
/// Base64 with padding (RFC 4648, section 4), as used by etcd's JSON gateway.
#pragma once

#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Encodes bytes as base64 with padding, without line breaks. Thread-safe.
std::string EncodeBase64(std::string_view aBytes);

/// Decodes padded base64. Errors: Malformed if the length is not a multiple of
/// four or the text holds a character outside the alphabet. Thread-safe.
Result<std::string> DecodeBase64(std::string_view aText);

} // namespace cranberrywing::netutil
