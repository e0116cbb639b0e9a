#include "keyed_mac.h"

#include <openssl/params.h>
#include <string>

namespace cranberrywing::detail {

KeyedMac::KeyedMac(std::string_view aSecret)
  : mMac(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
  , mContext(EVP_MAC_CTX_new(mMac.get()))
{
  std::string digest = "SHA256";
  const std::array parameters{ OSSL_PARAM_construct_utf8_string(
                                 "digest", digest.data(), 0),
                               OSSL_PARAM_construct_end() };
  // An empty secret needs a non-null pointer: for OpenSSL, null means to reuse
  // the previous key.
  const auto* secret = reinterpret_cast<const unsigned char*>(
    aSecret.empty() ? "" : aSecret.data());
  mIsUsable = EVP_MAC_init(
                mContext.get(), secret, aSecret.size(), parameters.data()) == 1;
}

std::optional<KeyedMac::Code> KeyedMac::Compute(std::string_view aInput)
{
  Code code{};
  std::size_t size = 0;
  const auto* input = reinterpret_cast<const unsigned char*>(aInput.data());
  const bool isDone =
    mIsUsable && EVP_MAC_init(mContext.get(), nullptr, 0, nullptr) == 1 &&
    EVP_MAC_update(mContext.get(), input, aInput.size()) == 1 &&
    EVP_MAC_final(mContext.get(), code.data(), &size, code.size()) == 1 &&
    size == code.size();
  return isDone ? std::optional<Code>(code) : std::nullopt;
}

} // namespace cranberrywing::detail
