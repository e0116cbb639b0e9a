#include "cranberrywing/client_blocks.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;

namespace {

ClientBlockShard MakeShard(std::uint32_t aFirst)
{
  ClientBlockShard shard;
  shard.mSites = { SiteId("accra"), SiteId("kumasi") };
  shard.mBlocks = { { aFirst, 24, 0 }, { aFirst + 512, 23, 1 } };
  return shard;
}

} // namespace

// Guards against mapping an address outside of all blocks, or at the edge of a
// block, to the site of a neighbouring block.
TEST_CASE("addresses map to the site of their block, and to none outside of it")
{
  const auto table =
    ClientBlockTable::Build({ MakeShard(0x0a000000), MakeShard(0x0b000000) });
  REQUIRE(table.has_value());
  CHECK(table->BlockCount() == 4);
  CHECK(*table->Find(0x0a000000) == SiteId("accra"));
  CHECK(*table->Find(0x0a0000ff) == SiteId("accra"));
  CHECK(table->Find(0x0a000100) == nullptr);
  CHECK(*table->Find(0x0a000200) == SiteId("kumasi"));
  CHECK(*table->Find(0x0a0003ff) == SiteId("kumasi"));
  CHECK(table->Find(0x0a000400) == nullptr);
  CHECK(table->Find(0x09ffffff) == nullptr);
  CHECK(*table->Find(0x0b0003ff) == SiteId("kumasi"));
}

// Guards against overlapping shards, with which a client's site would depend on
// their order.
TEST_CASE("overlapping shards and misaligned blocks are refused")
{
  CHECK_FALSE(
    ClientBlockTable::Build({ MakeShard(0x0a000000), MakeShard(0x0a000000) })
      .has_value());
  ClientBlockShard misaligned = MakeShard(0x0a000000);
  misaligned.mBlocks[0].mFirstAddress += 1;
  CHECK_FALSE(DecodeShard(EncodeShard(misaligned)).has_value());
}

// Guards against corrupt shards whose length fields make the decoder allocate
// excessive memory (found by shard_fuzz -seed=1).
TEST_CASE("a shard survives encoding and corrupt bytes are refused")
{
  const std::string bytes = EncodeShard(MakeShard(0x0a000000));
  const auto read = DecodeShard(bytes);
  REQUIRE(read.has_value());
  CHECK(read->mBlocks == MakeShard(0x0a000000).mBlocks);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeShard(bytes.substr(0, n)).has_value());
  }
  const std::string falseLength(
    "\x01\x01\x00\x02\x00\x00\x00\x01\x01\x00\x00\x00\x00", 13);
  CHECK_FALSE(DecodeShard(falseLength).has_value());
}
