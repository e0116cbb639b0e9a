#include "cranberrywingd/client_block_text.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

std::string ErrorOf(const std::string& aText)
{
  const auto shards = EncodeClientBlocks(aText);
  return shards ? std::string() : shards.error().mMessage;
}

std::string ManyBlocks(const std::string& aFirstSite)
{
  std::string text = "# blocks\n";
  for (int n = 0; n < 64; ++n) {
    text += std::to_string(n * 4) + ".0.0.0/24 " +
            (n == 0 ? aFirstSite : "tema") + "\n";
  }
  return text;
}

} // namespace

// Guards against a change of one block that makes all VMs reload all shards.
TEST_CASE("a small change of blocks replaces few shards")
{
  const auto before = EncodeClientBlocks(ManyBlocks("tema"), 8);
  const auto after = EncodeClientBlocks(ManyBlocks("accra"), 8);
  REQUIRE(before.has_value());
  REQUIRE(after.has_value());
  REQUIRE(before->size() == 8);
  REQUIRE(after->size() == 8);
  CHECK((*before)[0].mDigest != (*after)[0].mDigest);
  for (std::size_t n = 1; n < 8; ++n) {
    CHECK((*before)[n].mDigest == (*after)[n].mDigest);
  }
  const auto shard = DecodeShard((*after)[0].mBytes);
  REQUIRE(shard.has_value());
  CHECK(shard->mSites ==
        std::vector<SiteId>{ SiteId("accra"), SiteId("tema") });
}

// Guards against steering clients by a misread block.
TEST_CASE("malformed lines are rejected with their line number")
{
  CHECK(ErrorOf("10.0.0.0/24 accra\n10.0.1.0/24\n").starts_with("line 2: "));
  CHECK(ErrorOf("10.0.0.1/24 accra\n").starts_with("line 1: "));
  CHECK(ErrorOf("10.0.0.0/33 accra\n").starts_with("line 1: "));
  CHECK(ErrorOf("host accra\n").starts_with("line 1: "));
  CHECK_FALSE(ErrorOf("10.0.0.0/8 a\n10.1.0.0/16 b\n").empty());
}
