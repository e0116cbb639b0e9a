#include <catch2/catch.hpp>

#include "netutil/base64.h"
#include "netutil/json.h"
#include "netutil/loopback_for_tests.h"
#include "standins/store/store_server.h"

using namespace cranberrywing;
using namespace cranberrywing::standins;
using netutil::EncodeBase64;

namespace {

const StoreTime kStart{ std::chrono::hours(1) };

boost::json::object Call(Gateway& aGateway,
                         const std::string& aPath,
                         const std::string& aBody,
                         StoreTime aNow = kStart)
{
  const AnswerContentPtr answer = aGateway.Call(
    { .mMethod = "POST", .mTarget = aPath, .mHeaders = {}, .mBody = aBody },
    aNow);
  return *netutil::ParseObject(answer->mBody);
}

std::string Create(const std::string& aKey, const std::string& aLease = "0")
{
  const std::string key = EncodeBase64(aKey);
  return R"({"compare":[{"key":")" + key +
         R"(","target":"VERSION","version":"0"}],"success":[{"request_put":)" +
         R"({"key":")" + key + R"(","value":"eA==","lease":")" + aLease +
         R"("}}],"failure":[{"request_range":{"key":")" + key + R"("}}]})";
}

std::string RangeOf(const std::string& aKey)
{
  return R"({"key":")" + EncodeBase64(aKey) + R"("})";
}

} // namespace

// Two writers must not both succeed in creating one key by compare-and-swap.
TEST_CASE("only the first of two creating transactions succeeds")
{
  KeyValueState state;
  Gateway gateway(state);
  const auto first = Call(gateway, "/v3/kv/txn", Create("a"));
  CHECK(netutil::FindBool(first, "succeeded"));
  const auto second = Call(gateway, "/v3/kv/txn", Create("a"));
  CHECK_FALSE(second.contains("succeeded"));
  const auto& read = second.at("responses").at(0).at("response_range");
  CHECK(read.at("kvs").at(0).at("mod_revision").as_string() == "2");
  CHECK(state.Revision() == 2);
}

// Keys must not outlive the lease of an owner that died, and a renewal that
// arrives after the expiry must not revive the lease.
TEST_CASE("a lease that is not renewed deletes its keys")
{
  KeyValueState state;
  Gateway gateway(state);
  const auto grant = Call(gateway, "/v3/lease/grant", R"({"TTL":"3"})");
  const std::string id = netutil::FindString(grant, "ID");
  Call(gateway, "/v3/kv/txn", Create("owned", id));
  const std::string body = R"({"ID":")" + id + R"("})";
  const auto kept = Call(
    gateway, "/v3/lease/keepalive", body, kStart + std::chrono::seconds(2));
  CHECK(kept.at("result").at("TTL").as_string() == "3");
  const auto later = kStart + std::chrono::seconds(4);
  const auto held = Call(gateway, "/v3/kv/range", RangeOf("owned"), later);
  CHECK(held.contains("kvs"));
  const auto end = kStart + std::chrono::seconds(6);
  const auto gone = Call(gateway, "/v3/kv/range", RangeOf("owned"), end);
  CHECK_FALSE(gone.contains("kvs"));
  const auto late = Call(gateway, "/v3/lease/keepalive", body, end);
  CHECK_FALSE(late.at("result").as_object().contains("TTL"));
}

// A watcher that starts at the revision after its read must not miss a change
// made in between, deletes included.
TEST_CASE("changes from a revision on include deletes")
{
  KeyValueState state;
  Gateway gateway(state);
  Call(gateway, "/v3/kv/txn", Create("a"));
  Call(gateway,
       "/v3/kv/txn",
       R"({"success":[{"request_delete_range":)" + RangeOf("a") + "}]}");
  const auto changes = state.ChangesFrom(2);
  REQUIRE(changes.has_value());
  REQUIRE(changes->size() == 2);
  CHECK_FALSE(changes->at(0).mIsDelete);
  CHECK(changes->at(1).mIsDelete);
  CHECK(changes->at(1).mEntry.mModRevision == 3);
}

// The fault lose_answers must still apply the write. If it did not, tests of
// recovery after a lost answer would pass without testing anything.
TEST_CASE("a lost answer takes effect and closes the connection")
{
  boost::asio::io_context context(1);
  StoreServer server(context,
                     { .mListen = { "127.0.0.1", 0 },
                       .mControl = { "127.0.0.1", 0 },
                       .mProgressInterval = Milliseconds(1000) });
  REQUIRE(server.Start());
  const auto post = [](const std::string& aPath, const std::string& aBody) {
    return "POST " + aPath +
           " HTTP/1.1\r\nContent-Length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  };
  netutil::LoopbackClient control(context, server.ControlPort());
  control.Send(post("/faults", R"({"lose_answers":1})"));
  REQUIRE(control.ReceiveUntil("\"lose_answers\":1"));
  netutil::LoopbackClient writer(context, server.Port());
  writer.Send(post("/v3/kv/txn", Create("a")));
  REQUIRE(writer.ReceiveUntilClosed());
  CHECK(writer.Received().empty());
  netutil::LoopbackClient reader(context, server.Port());
  reader.Send(post("/v3/kv/range", RangeOf("a")));
  REQUIRE(reader.ReceiveUntil("\"count\":\"1\""));
  netutil::LoopbackClient watcher(context, server.Port());
  watcher.Send(post(
    "/v3/watch", R"({"create_request":{"key":"YQ==","start_revision":"2"}})"));
  REQUIRE(watcher.ReceiveUntil("\"events\""));
}
