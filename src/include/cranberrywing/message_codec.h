/// \file
/// Authentication of messages between daemons (docs/security.md).
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"

namespace cranberrywing {

/// Bytes of the HMAC-SHA-256 that each envelope starts with.
inline constexpr std::size_t kEnvelopeMacBytes = 16;

/// A configuration is at most a megabyte and a forwarded request's body is
/// bounded by its route.
inline constexpr std::size_t kMaxEnvelopeBytes = 32 * 1024 * 1024;

/// Fewer characters could be guessed from a recorded datagram.
inline constexpr std::size_t kMinPeerSecretLength = 16;

/// Signs and verifies under the fleet's peer secrets. Copies share their
/// state. Not thread-safe.
class MessageCodec
{
public:
  /// One empty secret, which detects damage but no forgery.
  MessageCodec();
  /// The first secret signs and every one verifies. Without any, the empty
  /// secret is used.
  explicit MessageCodec(const std::vector<std::string>& aSecrets);

  /// The code to put before aBody; empty if the library fails.
  std::string Sign(std::string_view aBody) const;
  /// Compares in constant time. Errors: Malformed for a size outside the
  /// limits or a code that no secret gives.
  Result<std::string_view> Verify(std::string_view aBytes) const;

private:
  class Mac;

  std::vector<std::shared_ptr<Mac>> mMacs;
};

/// Reads secrets from the text of a file, one a line; empty lines count for
/// nothing. Errors: InvalidArgument for no secret or a short one, without
/// the secret in the text.
Result<std::vector<std::string>> ParsePeerSecrets(std::string_view aText);

} // namespace cranberrywing
