// Fuzz target for the parser of settings documents, which are received from
// operators, peers and the store.

#include <cstdint>
#include <string_view>

#include "cranberrywing/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  using namespace cranberrywing;
  (void)ParseSettings({ reinterpret_cast<const char*>(aData), aSize },
                      Revision{ 1 });
  return 0;
}
