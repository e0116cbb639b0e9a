#include "cranberrywing/message.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;

// Guards against a codec that loses fields or accepts damaged datagrams.
TEST_CASE("a message survives encoding and damaged bytes are refused")
{
  const Envelope sent{
    .mFrom = { VmId("vm-1"), Incarnation{ 7 } },
    .mMessage = message::TokenTransfer{ .mNumber = 9,
                                        .mAccount = AccountId("shops"),
                                        .mTokens = 2.5,
                                        .mSpare = 1 },
  };
  const std::string bytes = EncodeEnvelope(sent);

  const auto read = DecodeEnvelope(bytes);
  REQUIRE(read.has_value());
  CHECK(read->mFrom == sent.mFrom);
  const auto& transfer = std::get<message::TokenTransfer>(read->mMessage);
  CHECK(transfer.mNumber == 9);
  CHECK(transfer.mAccount == AccountId("shops"));
  CHECK(transfer.mTokens == 2.5);

  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeEnvelope(bytes.substr(0, n)).has_value());
  }
  CHECK_FALSE(DecodeEnvelope(bytes + "x").has_value());
}
