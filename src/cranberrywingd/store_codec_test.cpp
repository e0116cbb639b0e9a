#include "cranberrywingd/store_codec.h"

#include <catch2/catch.hpp>

#include "cranberrywingd/store_client.h"
#include "netutil/http_server.h"
#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

StoreCall PutIfUnchanged()
{
  StoreTxn txn;
  txn.mCompares.push_back({ "a", 7 });
  txn.mPuts.push_back({ "a", "new", LeaseId{ 9 } });
  txn.mReads.push_back({ "a", "", 0 });
  StoreCall call;
  call.mTxn = txn;
  return call;
}

StoreCall ReadOnly()
{
  StoreCall call;
  call.mTxn.emplace();
  call.mTxn->mReads.push_back({ "a", "b", 2 });
  return call;
}

AnswerContent Json(unsigned aStatus, const std::string& aBody)
{
  return { .mStatus = aStatus, .mHeaders = {}, .mBody = aBody };
}

ResultCode CodeOf(const StoreCall& aCall, const AnswerContent& aAnswer)
{
  const auto reply = DecodeStoreAnswer(aCall, aAnswer);
  return reply ? ResultCode::Ok : reply.error().mCode;
}

} // namespace

// Guards against a compare that etcd interprets differently, which would make
// fencing ineffective.
TEST_CASE("transactions are encoded as etcd's gateway expects")
{
  const RequestContent request = EncodeStoreCall(PutIfUnchanged());
  CHECK(request.mTarget == "/v3/kv/txn");
  CHECK(request.mBody ==
        R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL",)"
        R"("mod_revision":"7"}],"success":[{"request_put":{"key":"YQ==",)"
        R"("value":"bmV3","lease":"9"}},{"request_range":{"key":"YQ=="}}],)"
        R"("failure":[{"request_range":{"key":"YQ=="}}]})");
  const RequestContent read = EncodeStoreCall(ReadOnly());
  CHECK(read.mTarget == "/v3/kv/range");
  CHECK(read.mBody == R"({"key":"YQ==","range_end":"Yg==","limit":"2"})");
}

// Guards against treating an absent member with its default value as success.
TEST_CASE("answers with absent members are decoded")
{
  const auto failed = DecodeStoreAnswer(
    PutIfUnchanged(),
    Json(200,
         R"({"header":{"revision":"12"},"responses":[{"response_range":)"
         R"({"kvs":[{"key":"YQ==","mod_revision":"8"}],"count":"1"}}]})"));
  REQUIRE(failed.has_value());
  CHECK_FALSE(failed->mSucceeded);
  CHECK(failed->mStoreRevision == 12);
  REQUIRE(failed->mEntries.size() == 1);
  CHECK(failed->mEntries[0].mModRevision == 8);
  CHECK(failed->mEntries[0].mValue.empty());

  StoreCall keepAlive;
  keepAlive.mKeepAlive.emplace();
  const auto gone = DecodeStoreAnswer(
    keepAlive, Json(200, R"({"result":{"header":{},"ID":"9"}})"));
  REQUIRE(gone.has_value());
  CHECK_FALSE(gone->mSucceeded);
}

// Guards against reporting a write that may have taken effect as without
// effect.
TEST_CASE("only errors that prove it report a write as without effect")
{
  const StoreCall write = PutIfUnchanged();
  CHECK(CodeOf(write, Json(400, R"({"code":3})")) ==
        ResultCode::StoreUnavailable);
  CHECK(CodeOf(write, Json(404, R"({"code":5})")) ==
        ResultCode::StoreUnavailable);
  CHECK(CodeOf(write, Json(503, R"({"code":14})")) ==
        ResultCode::OutcomeUnknown);
  CHECK(CodeOf(write, Json(500, "")) == ResultCode::OutcomeUnknown);
  CHECK(CodeOf(write, Json(200, "{")) == ResultCode::OutcomeUnknown);
  CHECK(CodeOf(ReadOnly(), Json(503, R"({"code":14})")) ==
        ResultCode::StoreUnavailable);
}

// Guards against reporting a deleted key as present, and against taking the
// created message as proof that no change was missed.
TEST_CASE("watch messages are decoded")
{
  const auto line = DecodeWatchLine(
    R"({"result":{"header":{"revision":"5"},"events":[)"
    R"({"kv":{"key":"YQ==","value":"eA==","mod_revision":"4"}},)"
    R"({"type":"DELETE","kv":{"key":"Yg==","mod_revision":"5"}}]}})");
  REQUIRE(line.has_value());
  REQUIRE(line->mEntries.size() == 2);
  CHECK(line->mEntries[0].mValue == "x");
  CHECK(line->mEntries[1].mModRevision == 0);
  CHECK(line->mLastChange == 5);
  CHECK(DecodeWatchLine(R"({"result":{"created":true}})")->mIsCreated);
  CHECK_FALSE(DecodeWatchLine(R"({"error":{"code":14}})").has_value());
}

// Guards against confusing a lost answer, after which the outcome is unknown,
// with a refused connection, after which the call had no effect.
TEST_CASE(
  "the store client distinguishes refused connections from lost answers")
{
  boost::asio::io_context context(1);
  netutil::HttpServer* cutting = nullptr;
  netutil::HttpServer server(
    context,
    {},
    { .mOnRequest =
        [&](const netutil::ExchangeId& aExchange, RequestContent&&) {
          cutting->Abort(aExchange.mConnection);
        },
      .mOnAborted = [](const netutil::ExchangeId&) {} });
  cutting = &server;
  REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  const netutil::Endpoint open{ "127.0.0.1", server.Port() };
  netutil::Endpoint closed;
  {
    netutil::HttpServer unused(context, {}, {});
    REQUIRE(unused.Listen({ "127.0.0.1", 0 }));
    closed = { "127.0.0.1", unused.Port() };
  }
  const auto call = [&](std::vector<netutil::Endpoint> aAddresses,
                        const StoreCall& aCall) {
    DaemonMetrics metrics;
    StoreClient client(context, std::move(aAddresses), metrics, [](Event) {});
    std::optional<ResultCode> code;
    client.Call(aCall, [&code](const Result<StoreReply>& aReply) {
      code = aReply ? ResultCode::Ok : aReply.error().mCode;
    });
    REQUIRE(netutil::RunUntil(context, [&] { return code.has_value(); }));
    return *code;
  };
  CHECK(call({ closed }, PutIfUnchanged()) == ResultCode::StoreUnavailable);
  CHECK(call({ open }, PutIfUnchanged()) == ResultCode::OutcomeUnknown);
  CHECK(call({ open }, ReadOnly()) == ResultCode::StoreUnavailable);
  CHECK(call({ closed, open }, PutIfUnchanged()) == ResultCode::OutcomeUnknown);
}
