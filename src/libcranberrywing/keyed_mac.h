/// \file
/// HMAC-SHA-256 with a fixed secret, for key digests and peer messages.
#pragma once

#include <array>
#include <memory>
#include <openssl/evp.h>
#include <optional>
#include <string_view>

namespace cranberrywing::detail {

/// Reuses the keyed context, since setting up HMAC dominates the cost for short
/// inputs. Not thread-safe.
class KeyedMac
{
public:
  static constexpr std::size_t kBytes = 32;
  using Code = std::array<unsigned char, kBytes>;

  explicit KeyedMac(std::string_view aSecret);

  /// Returns nullopt if the crypto library fails.
  std::optional<Code> Compute(std::string_view aInput);

private:
  struct Free
  {
    void operator()(EVP_MAC* aMac) const { EVP_MAC_free(aMac); }
    void operator()(EVP_MAC_CTX* aContext) const { EVP_MAC_CTX_free(aContext); }
  };

  std::unique_ptr<EVP_MAC, Free> mMac;
  std::unique_ptr<EVP_MAC_CTX, Free> mContext;
  bool mIsUsable = false;
};

} // namespace cranberrywing::detail
