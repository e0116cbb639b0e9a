#include "cranberrywing/message_codec.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <sstream>

namespace cranberrywing {

/// Keeps the keyed context, since setting up HMAC takes most of the time of
/// a short message.
class MessageCodec::Mac
{
public:
  explicit Mac(std::string_view aSecret)
    : mMac(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
    , mContext(EVP_MAC_CTX_new(mMac.get()))
  {
    std::string digest = "SHA256";
    const std::array parameters{ OSSL_PARAM_construct_utf8_string(
                                   "digest", digest.data(), 0),
                                 OSSL_PARAM_construct_end() };
    // An empty key is given as such: a null one would mean "the last key".
    const auto* secret = reinterpret_cast<const unsigned char*>(
      aSecret.empty() ? "" : aSecret.data());
    mIsUsable =
      EVP_MAC_init(mContext.get(), secret, aSecret.size(), parameters.data()) ==
      1;
  }

  /// Empty if the library fails.
  std::string Compute(std::string_view aBody)
  {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    std::size_t size = 0;
    const auto* body = reinterpret_cast<const unsigned char*>(aBody.data());
    const bool isDone =
      mIsUsable && EVP_MAC_init(mContext.get(), nullptr, 0, nullptr) == 1 &&
      EVP_MAC_update(mContext.get(), body, aBody.size()) == 1 &&
      EVP_MAC_final(mContext.get(), bytes.data(), &size, bytes.size()) == 1 &&
      size >= kEnvelopeMacBytes;
    return isDone
             ? std::string(bytes.begin(), bytes.begin() + kEnvelopeMacBytes)
             : std::string();
  }

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

MessageCodec::MessageCodec()
  : MessageCodec(std::vector<std::string>{})
{
}

MessageCodec::MessageCodec(const std::vector<std::string>& aSecrets)
{
  for (const std::string& secret : aSecrets) {
    mMacs.push_back(std::make_shared<Mac>(secret));
  }
  if (mMacs.empty()) {
    mMacs.push_back(std::make_shared<Mac>(""));
  }
}

std::string MessageCodec::Sign(std::string_view aBody) const
{
  return mMacs.front()->Compute(aBody);
}

Result<std::string_view> MessageCodec::Verify(std::string_view aBytes) const
{
  if (aBytes.size() < kEnvelopeMacBytes || aBytes.size() > kMaxEnvelopeBytes) {
    return MakeError(ResultCode::Malformed,
                     "message of " + std::to_string(aBytes.size()) + " bytes");
  }
  const std::string_view body = aBytes.substr(kEnvelopeMacBytes);
  for (const auto& mac : mMacs) {
    const std::string good = mac->Compute(body);
    if (good.size() == kEnvelopeMacBytes &&
        CRYPTO_memcmp(good.data(), aBytes.data(), kEnvelopeMacBytes) == 0) {
      return body;
    }
  }
  return MakeError(ResultCode::Malformed, "message is not authentic");
}

Result<std::vector<std::string>> ParsePeerSecrets(std::string_view aText)
{
  std::vector<std::string> secrets;
  std::istringstream lines{ std::string(aText) };
  std::string line;
  while (std::getline(lines, line)) {
    line.erase(line.find_last_not_of(" \t\r") + 1);
    if (line.empty()) {
      continue;
    }
    if (line.size() < kMinPeerSecretLength) {
      return MakeError(ResultCode::InvalidArgument,
                       "a peer secret has fewer than " +
                         std::to_string(kMinPeerSecretLength) + " characters");
    }
    secrets.push_back(line);
  }
  if (secrets.empty()) {
    return MakeError(ResultCode::InvalidArgument, "no peer secret");
  }
  return secrets;
}

} // namespace cranberrywing
