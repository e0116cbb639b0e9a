// Fuzz target for shards of the client block table, which are read from the
// store: decodes a shard and builds a table from it.

#include <cstdint>
#include <string_view>

#include "cranberrywing/client_blocks.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  using namespace cranberrywing;
  const auto shard =
    DecodeShard({ reinterpret_cast<const char*>(aData), aSize });
  if (shard) {
    (void)ClientBlockTable::Build({ *shard });
  }
  return 0;
}
