#include "netutil/http_server.h"

#include <catch2/catch.hpp>

#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

AnswerContentPtr TextAnswer(const std::string& aBody)
{
  return std::make_shared<const AnswerContent>(
    AnswerContent{ .mStatus = 200, .mHeaders = {}, .mBody = aBody });
}

struct Fixture
{
  boost::asio::io_context mContext{ 1 };
  std::vector<ExchangeId> mExchanges;
  std::vector<RequestContent> mRequests;
  std::size_t mAborted = 0;
  HttpServer mServer;

  explicit Fixture(HttpServerOptions aOptions = {})
    : mServer(
        mContext,
        std::move(aOptions),
        { .mOnRequest =
            [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
              mExchanges.push_back(aExchange);
              mRequests.push_back(std::move(aRequest));
            },
          .mOnAborted = [this](const ExchangeId&) { ++mAborted; } })
  {
    REQUIRE(mServer.Listen({ "127.0.0.1", 0 }));
  }

  bool Await(std::size_t aRequests)
  {
    return RunUntil(mContext, [&] { return mExchanges.size() >= aRequests; });
  }

  void Answer(std::size_t aIndex, const std::string& aBody, bool aClose = false)
  {
    mServer.Answer(mExchanges[aIndex],
                   TextAnswer(aBody),
                   { .mCloseAfter = aClose, .mExtraHeaders = {} });
  }
};

std::string Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// What a server with small limits says to some input before it closes.
std::string TalkToSmallServer(const std::string& aInput)
{
  HttpServerOptions options;
  options.mMaxHeaderBytes = 256;
  options.mMaxBodyBytes = 16;
  Fixture fixture(options);
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(aInput);
  REQUIRE(caller.ReceiveUntilClosed());
  CHECK(fixture.mRequests.empty());
  return caller.Received();
}

} // namespace

// Guards against an answer given to the wrong request of a pipeline.
TEST_CASE("pipelined requests get their answers in order")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.Await(3));
  fixture.Answer(2, "third");
  fixture.Answer(1, "second");
  fixture.Answer(0, "first");
  REQUIRE(caller.ReceiveUntil("third"));
  const std::string& text = caller.Received();
  CHECK(text.find("first") < text.find("second"));
  CHECK(text.find("second") < text.find("third"));
}

// Guards against a graceful shutdown that cuts requests read before the
// closing answer.
TEST_CASE("a closing answer leaves no earlier request unanswered")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2"));
  REQUIRE(fixture.Await(2));
  fixture.Answer(0, "first", true);
  fixture.Answer(1, "second", true);
  REQUIRE(caller.ReceiveUntilClosed());
  const std::string& text = caller.Received();
  CHECK(text.find("second") != std::string::npos);
  CHECK(text.find("Connection: close") > text.find("first"));
}

// Guards against unbounded memory per connection and against two readings
// of one message's length.
TEST_CASE("input beyond the limits is refused and the connection closed")
{
  const std::string longHeader(300, 'h');
  CHECK(TalkToSmallServer("GET / HTTP/1.1\r\nX: " + longHeader + "\r\n\r\n")
          .starts_with("HTTP/1.1 431 "));
  CHECK(TalkToSmallServer("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n")
          .starts_with("HTTP/1.1 413 "));
  CHECK(TalkToSmallServer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n11\r\n12345678901234567\r\n0\r\n\r\n")
          .starts_with("HTTP/1.1 413 "));
  CHECK(TalkToSmallServer("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          .starts_with("HTTP/1.1 400 "));
  CHECK(TalkToSmallServer("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n")
          .starts_with("HTTP/1.1 501 "));
  CHECK(TalkToSmallServer("GET /open/../private HTTP/1.1\r\n\r\n")
          .starts_with("HTTP/1.1 400 "));
}

// Guards against a caller that waits for ever to send its body, and against
// an interim answer taken for the answer of an earlier request.
TEST_CASE("100 Continue comes after the answers before it")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + "POST /2 HTTP/1.1\r\nContent-Length: 4\r\n"
                          "Expect: 100-continue\r\n\r\n");
  REQUIRE(fixture.Await(1));
  CHECK(caller.Received().empty());
  fixture.Answer(0, "first");
  REQUIRE(caller.ReceiveUntil("100 Continue"));
  CHECK(caller.Received().find("first") < caller.Received().find("100 Cont"));
  caller.Send("body");
  REQUIRE(fixture.Await(2));
  CHECK(fixture.mRequests[1].mBody == "body");
}

// Guards against work for a caller that has gone, and against a second
// report of the same exchange.
TEST_CASE("a closed connection aborts its open exchanges once")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2"));
  REQUIRE(fixture.Await(2));
  caller.Close();
  REQUIRE(RunUntil(fixture.mContext, [&] { return fixture.mAborted > 0; }));
  CHECK(fixture.mAborted == 2);
  CHECK(fixture.mServer.ConnectionCount() == 0);
  fixture.Answer(0, "late");
}

// Guards against memory that grows with a caller that never reads.
TEST_CASE("reading pauses beyond the pipelining limit")
{
  HttpServerOptions options;
  options.mMaxPipelinedRequests = 2;
  Fixture fixture(options);
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.Await(2));
  fixture.mContext.restart();
  fixture.mContext.poll();
  CHECK(fixture.mRequests.size() == 2);
  fixture.Answer(0, "first");
  REQUIRE(fixture.Await(3));
}
