// Fuzz target for messages between peers. If the first byte is a multiple of 8,
// the whole input is decoded as received. Otherwise the byte is removed and the
// rest is signed first, since unsigned input is rejected by the authentication
// and would never reach the decoder. Whatever decodes must survive encoding and
// decoding once more.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "cranberrywing/message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  using namespace cranberrywing;
  static const MessageCodec sCodec({ "secret-of-the-fuzzer" });
  std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  if (aSize > 0 && aData[0] % 8 != 0) {
    bytes.erase(0, 1);
    bytes.insert(0, sCodec.Sign(bytes));
  }
  const auto envelope = DecodeEnvelope(bytes, sCodec);
  if (envelope && !DecodeEnvelope(EncodeEnvelope(*envelope, sCodec), sCodec)) {
    std::abort();
  }
  return 0;
}
