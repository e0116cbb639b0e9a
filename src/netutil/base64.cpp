#include "netutil/base64.h"

#include <openssl/evp.h>

namespace cranberrywing::netutil {

std::string EncodeBase64(std::string_view aBytes)
{
  // EVP_EncodeBlock appends a terminating null byte.
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

Result<std::string> DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return MakeError(ResultCode::Malformed,
                     "base64 text length is not a multiple of 4");
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (size < 0) {
    return MakeError(ResultCode::Malformed, "invalid character in base64 text");
  }
  // EVP_DecodeBlock includes the padding in the size it returns.
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

} // namespace cranberrywing::netutil
