#include "cranberrywing/message_codec.h"

#include <openssl/crypto.h>
#include <sstream>

#include "keyed_mac.h"

namespace cranberrywing {

/// HMAC with one secret, truncated to kEnvelopeMacBytes.
class MessageCodec::Mac
{
public:
  explicit Mac(std::string_view aSecret)
    : mMac(aSecret)
  {
  }

  /// Returns an empty string if the crypto library fails.
  std::string Compute(std::string_view aBody)
  {
    const auto code = mMac.Compute(aBody);
    return code ? std::string(code->begin(), code->begin() + kEnvelopeMacBytes)
                : std::string();
  }

private:
  detail::KeyedMac mMac;
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
                     "message of " + std::to_string(aBytes.size()) +
                       " bytes is outside the size limits");
  }
  const std::string_view body = aBytes.substr(kEnvelopeMacBytes);
  for (const auto& mac : mMacs) {
    const std::string good = mac->Compute(body);
    if (good.size() == kEnvelopeMacBytes &&
        CRYPTO_memcmp(good.data(), aBytes.data(), kEnvelopeMacBytes) == 0) {
      return body;
    }
  }
  return MakeError(ResultCode::Malformed,
                   "message authentication code matches no peer secret");
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
    return MakeError(ResultCode::InvalidArgument,
                     "the text holds no peer secret");
  }
  return secrets;
}

} // namespace cranberrywing
