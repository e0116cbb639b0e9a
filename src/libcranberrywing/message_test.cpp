#include "cranberrywing/message.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;

// Guards against a codec that loses fields or accepts corrupt datagrams.
TEST_CASE("messages round-trip and damaged bytes are refused")
{
  const Envelope sent{
    .mFrom = { VmId("vm-1"), Incarnation{ 7 } },
    .mMessage = message::TokenTransfer{ .mNumber = 9,
                                        .mAccount = AccountId("shops"),
                                        .mTokens = 2.5,
                                        .mSpare = 1 },
  };
  const MessageCodec codec({ "a-secret-of-the-tests" });
  const std::string bytes = EncodeEnvelope(sent, codec);

  const auto read = DecodeEnvelope(bytes, codec);
  REQUIRE(read.has_value());
  CHECK(read->mFrom == sent.mFrom);
  const auto& transfer = std::get<message::TokenTransfer>(read->mMessage);
  CHECK(transfer.mNumber == 9);
  CHECK(transfer.mAccount == AccountId("shops"));
  CHECK(transfer.mTokens == 2.5);

  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeEnvelope(bytes.substr(0, n), codec).has_value());
  }
  CHECK_FALSE(DecodeEnvelope(bytes + "x", codec).has_value());
}

// Guards against a rolling upgrade in which builds take each other's messages
// for something else.
TEST_CASE("messages keep the tags that earlier builds know")
{
  CHECK(Message(message::GatewayStatus{}).index() == 21);
  CHECK(Message(message::StoreQuery{}).index() == 22);
  CHECK(Message(message::StoreBeaconWithoutEpoch{}).index() == 23);
  CHECK(Message(message::StoreChangesWithoutEpoch{}).index() == 24);
  CHECK(Message(message::RegionDemand{}).index() == 25);
  CHECK(Message(message::BackendsLeaving{}).index() == 30);
  CHECK(Message(message::RegionServerLoads{}).index() == 31);
  CHECK(Message(message::BoundDemands{}).index() == 32);
  CHECK(Message(message::ObjectDemands{}).index() == 33);
  CHECK(Message(message::ObjectPlacements{}).index() == 34);
}

TEST_CASE("messages of the gateway round-trip")
{
  const MessageCodec codec;
  const auto roundTrip = [&](const Message& aMessage) {
    return DecodeEnvelope(EncodeEnvelope({ {}, aMessage }, codec), codec)
      ->mMessage;
  };
  const StoreDelta delta{
    .mEpoch = 2,
    .mAfterRevision = 3,
    .mRevision = 5,
    .mChanges = { { { "config", "c", 4 } } },
    .mCarried = { { .mChange = { { "servers/1", "x", 9 }, true },
                    .mTimeLeftMs = 7 } },
  };
  const auto changes = roundTrip(message::StoreChanges{ delta });
  CHECK(std::get<message::StoreChanges>(changes).mDelta == delta);
  const auto beacon = roundTrip(
    message::StoreBeacon{ .mPosition = { 2, 5 }, .mCarriedDigest = 8 });
  CHECK(std::get<message::StoreBeacon>(beacon).mPosition ==
        StorePosition{ 2, 5 });
  CHECK(std::get<message::StoreBeacon>(beacon).mCarriedDigest == 8);
  const auto reach = roundTrip(message::ServerReachStatus{ true });
  CHECK(std::get<message::ServerReachStatus>(reach).mIsCutOff);
  const auto loads =
    roundTrip(message::RegionServerLoads{ { { 4, 9 }, { 5, 1 } } });
  CHECK(std::get<message::RegionServerLoads>(loads).mBusy ==
        std::vector<BusyBackend>{ { 4, 9 }, { 5, 1 } });
  const auto bound = roundTrip(message::BoundDemands{
    true, { { ServiceId("ordering"), RegionId("near"), 2.5F } } });
  CHECK(std::get<message::BoundDemands>(bound).mIsOfRegion);
  CHECK(std::get<message::BoundDemands>(bound).mDemand.front().mRegion ==
        RegionId("near"));
  CHECK(std::get<message::BoundDemands>(bound).mDemand.front().mSlots == 2.5F);
  const auto demands = roundTrip(
    message::ObjectDemands{ ServiceId("ordering"), { { 7, 2.5F }, { 8, 1 } } });
  const auto& objects = std::get<message::ObjectDemands>(demands).mObjects;
  CHECK(std::get<message::ObjectDemands>(demands).mService ==
        ServiceId("ordering"));
  REQUIRE(objects.size() == 2);
  CHECK(objects.front().mObject == 7);
  CHECK(objects.front().mSlots == 2.5F);
  const std::vector<PlacedObject> placed{ { 7, { 1, 2 } }, { 8, {} } };
  const auto placements = roundTrip(message::ObjectPlacements{ 9, placed });
  CHECK(std::get<message::ObjectPlacements>(placements).mNumber == 9);
  CHECK(std::get<message::ObjectPlacements>(placements).mObjects == placed);
  const auto leaving = roundTrip(message::BackendsLeaving{ { 4, 9 } });
  CHECK(std::get<message::BackendsLeaving>(leaving).mBackends ==
        std::vector<std::uint64_t>{ 4, 9 });
  const auto limits = roundTrip(message::BackendRateLimits{
    { { .mBackend = 1, .mPerSecond = 2.5, .mAgeMs = 3 } } });
  const auto& limit =
    std::get<message::BackendRateLimits>(limits).mLimits.front();
  CHECK(limit.mBackend == 1);
  CHECK(limit.mPerSecond == 2.5);
  CHECK(limit.mAgeMs == 3);
}

// Guards against accepting messages of another deployment or modified messages,
// and against a secret rotation that separates old VMs from new ones.
TEST_CASE("only messages signed with a known peer secret are accepted")
{
  const std::string first = "first-secret-of-the-tests";
  const std::string second = "second-secret-of-the-tests";
  const MessageCodec oldOnly({ first });
  const MessageCodec both({ second, first });
  const MessageCodec newOnly({ second });
  const Envelope sent{ .mFrom = { VmId("vm-1"), Incarnation{ 7 } },
                       .mMessage = message::Leave{} };

  const std::string bytes = EncodeEnvelope(sent, oldOnly);
  CHECK(DecodeEnvelope(bytes, both).has_value());
  CHECK(DecodeEnvelope(EncodeEnvelope(sent, both), newOnly).has_value());
  CHECK_FALSE(DecodeEnvelope(bytes, newOnly).has_value());
  CHECK_FALSE(DecodeEnvelope(bytes, MessageCodec()).has_value());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    std::string changed = bytes;
    changed[n] = static_cast<char>(changed[n] ^ 1);
    CHECK_FALSE(DecodeEnvelope(changed, oldOnly).has_value());
  }
}

// Guards against allocating memory according to an unchecked length in a signed
// message.
TEST_CASE("lengths beyond the message are refused before allocation")
{
  const MessageCodec codec;
  const std::string body = std::string("\x01\x02\x00", 3) +
                           std::string("\xff\xff\xff\xff\xff\xff\xff\x0f", 8);
  const auto read = DecodeEnvelope(codec.Sign(body) + body, codec);
  REQUIRE_FALSE(read.has_value());
  CHECK(read.error().mMessage.ends_with("length beyond the message's end"));
  const std::string huge(kMaxEnvelopeBytes + 1, 'x');
  CHECK(DecodeEnvelope(huge, codec).error().mMessage ==
        "message of 33554433 bytes is outside the size limits");
}

// Guards against a daemon that starts with an empty or too short secret.
TEST_CASE("peer secrets are read one per line and short ones are refused")
{
  CHECK(ParsePeerSecrets("sixteen-letters!\r\n\nanother-secret-here").value() ==
        std::vector<std::string>{ "sixteen-letters!", "another-secret-here" });
  CHECK_FALSE(ParsePeerSecrets("fifteen-letters\n").has_value());
  CHECK_FALSE(ParsePeerSecrets("\n").has_value());
}
