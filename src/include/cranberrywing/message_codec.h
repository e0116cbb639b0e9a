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

/// Size in bytes of the truncated HMAC-SHA-256 at the start of each envelope.
inline constexpr std::size_t kEnvelopeMacBytes = 16;

/// Maximum size of an envelope in bytes. Configurations are below one megabyte,
/// and the body of a forwarded request is bounded by its route.
inline constexpr std::size_t kMaxEnvelopeBytes = 32 * 1024 * 1024;

/// Minimum length of a peer secret in characters. A shorter one could be found
/// by brute force from a recorded datagram.
inline constexpr std::size_t kMinPeerSecretLength = 16;

/// Signs and verifies messages with the fleet's peer secrets. Copies share
/// their state. Not thread-safe.
class MessageCodec
{
public:
  /// Uses one empty secret, which detects corruption but not forgery.
  MessageCodec();
  /// The first secret signs, and all of them verify, so that secrets can be
  /// rotated. An empty list stands for one empty secret.
  explicit MessageCodec(const std::vector<std::string>& aSecrets);

  /// Returns the authentication code to put before aBody; empty if the crypto
  /// library fails.
  std::string Sign(std::string_view aBody) const;
  /// Checks the authentication code and returns the body after it. Compares in
  /// constant time. Errors: Malformed for a size outside the limits or a code
  /// that matches no secret.
  Result<std::string_view> Verify(std::string_view aBytes) const;

private:
  class Mac;

  std::vector<std::shared_ptr<Mac>> mMacs;
};

/// Parses the contents of a secrets file, one secret per line; empty lines are
/// ignored. Errors: InvalidArgument if there is no secret or one is too short.
/// Error messages never contain a secret.
Result<std::vector<std::string>> ParsePeerSecrets(std::string_view aText);

} // namespace cranberrywing
