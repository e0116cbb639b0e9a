#include "netutil/http_server.h"

#include <catch2/catch.hpp>

#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

AnswerContentPtr TextResponse(const std::string& aBody)
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

  bool WaitForRequests(std::size_t aRequests)
  {
    return RunUntil(mContext, [&] { return mExchanges.size() >= aRequests; });
  }

  void Answer(std::size_t aIndex, const std::string& aBody, bool aClose = false)
  {
    mServer.Answer(mExchanges[aIndex],
                   TextResponse(aBody),
                   { .mCloseAfter = aClose, .mExtraHeaders = {} });
  }
};

std::string Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Sends the input to a server with small limits and returns what it receives
/// until the server closes the connection.
std::string ReceiveFromLimitedServer(const std::string& aInput)
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

// Guards against sending a response for the wrong pipelined request.
TEST_CASE("responses to pipelined requests are sent in order")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.WaitForRequests(3));
  fixture.Answer(2, "third");
  fixture.Answer(1, "second");
  fixture.Answer(0, "first");
  REQUIRE(caller.ReceiveUntil("third"));
  const std::string& text = caller.Received();
  CHECK(text.find("first") < text.find("second"));
  CHECK(text.find("second") < text.find("third"));
}

// Guards against a graceful shutdown that drops requests which were read before
// the closing response.
TEST_CASE("a closing response does not drop requests already read")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2"));
  REQUIRE(fixture.WaitForRequests(2));
  fixture.Answer(0, "first", true);
  fixture.Answer(1, "second", true);
  REQUIRE(caller.ReceiveUntilClosed());
  const std::string& text = caller.Received();
  CHECK(text.find("second") != std::string::npos);
  CHECK(text.find("Connection: close") > text.find("first"));
}

// Guards against unbounded memory use per connection, and against request
// smuggling by two interpretations of a message's length.
TEST_CASE("oversized or ambiguous input is rejected and the connection closed")
{
  const std::string longHeader(300, 'h');
  CHECK(
    ReceiveFromLimitedServer("GET / HTTP/1.1\r\nX: " + longHeader + "\r\n\r\n")
      .starts_with("HTTP/1.1 431 "));
  CHECK(
    ReceiveFromLimitedServer("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n")
      .starts_with("HTTP/1.1 413 "));
  CHECK(
    ReceiveFromLimitedServer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n11\r\n12345678901234567\r\n0\r\n\r\n")
      .starts_with("HTTP/1.1 413 "));
  CHECK(ReceiveFromLimitedServer("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          .starts_with("HTTP/1.1 400 "));
  CHECK(ReceiveFromLimitedServer(
          "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n")
          .starts_with("HTTP/1.1 501 "));
  CHECK(ReceiveFromLimitedServer("GET /open/../private HTTP/1.1\r\n\r\n")
          .starts_with("HTTP/1.1 400 "));
}

// Guards against a process that a single caller ends: the parser throws for a
// field value of more than 64 KB, which trailers may have. Guards as well
// against bytes that it keeps until a line ends.
TEST_CASE("a chunk line or trailer without end is rejected")
{
  const std::string head =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string endless(200'000, 'x');
  CHECK(ReceiveFromLimitedServer(head + "0\r\nField: " + endless + "\r\n\r\n")
          .starts_with("HTTP/1.1 431 "));
  CHECK(ReceiveFromLimitedServer(head + "4;name=" + endless)
          .starts_with("HTTP/1.1 431 "));
  CHECK(ReceiveFromLimitedServer(head + "0\r\nField: " + endless)
          .starts_with("HTTP/1.1 431 "));
}

// Guards against a client that waits indefinitely to send its body, and against
// an interim response that is taken for the response to an earlier request.
TEST_CASE("100 Continue is sent after the responses to earlier requests")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + "POST /2 HTTP/1.1\r\nContent-Length: 4\r\n"
                          "Expect: 100-continue\r\n\r\n");
  REQUIRE(fixture.WaitForRequests(1));
  CHECK(caller.Received().empty());
  fixture.Answer(0, "first");
  REQUIRE(caller.ReceiveUntil("100 Continue"));
  CHECK(caller.Received().find("first") < caller.Received().find("100 Cont"));
  caller.Send("body");
  REQUIRE(fixture.WaitForRequests(2));
  CHECK(fixture.mRequests[1].mBody == "body");
}

// Guards against working for a client that has disconnected, and against
// reporting the same exchange as aborted twice.
TEST_CASE("a closed connection aborts its open exchanges once")
{
  Fixture fixture;
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2"));
  REQUIRE(fixture.WaitForRequests(2));
  caller.Close();
  REQUIRE(RunUntil(fixture.mContext, [&] { return fixture.mAborted > 0; }));
  CHECK(fixture.mAborted == 2);
  CHECK(fixture.mServer.ConnectionCount() == 0);
  fixture.Answer(0, "late");
}

namespace {

constexpr std::size_t kBodyMemory = 1024 * 1024;
constexpr std::size_t kLargeBody = 400'000;

std::string Post(std::size_t aBytes)
{
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(aBytes) +
         "\r\n\r\n" + std::string(aBytes, 'b');
}

HttpServerOptions BodyMemoryOptions(Duration aMaxWait)
{
  return { .mMaxBodyMemory = kBodyMemory, .mMaxMemoryWait = aMaxWait };
}

} // namespace

// Guards against a process that long bodies end for its memory, and that ends
// the requests of other callers with it (review case 3).
TEST_CASE("A body waits until there is memory, and small ones go on")
{
  Fixture fixture(BodyMemoryOptions(std::chrono::seconds(100)));
  std::vector<std::unique_ptr<LoopbackClient>> callers;
  for (int n = 0; n < 3; ++n) {
    callers.push_back(std::make_unique<LoopbackClient>(fixture.mContext,
                                                       fixture.mServer.Port()));
    callers.back()->Send(Post(kLargeBody));
  }
  REQUIRE(fixture.WaitForRequests(2));
  LoopbackClient small(fixture.mContext, fixture.mServer.Port());
  small.Send(Post(100));
  REQUIRE(fixture.WaitForRequests(3));
  CHECK(fixture.mRequests[2].mBody.size() == 100);
  fixture.Answer(2, "small");
  REQUIRE(small.ReceiveUntil("small"));
  CHECK(fixture.mExchanges.size() == 3);
  fixture.Answer(0, "done");
  REQUIRE(fixture.WaitForRequests(4));
  CHECK(fixture.mRequests[3].mBody == std::string(kLargeBody, 'b'));
  // Memory is released by callers that leave as well.
  callers[0]->Send(Post(kLargeBody));
  callers[1]->Close();
  REQUIRE(fixture.WaitForRequests(5));
}

TEST_CASE("A body for which there is no memory is refused")
{
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'b') + "\r\n";
  std::string chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int n = 0; n < 30; ++n) {
    chunks += chunk;
  }
  for (const std::string& request :
       { Post(kBodyMemory), chunks, Post(kLargeBody) }) {
    Fixture fixture(BodyMemoryOptions(Duration::zero()));
    std::vector<std::unique_ptr<LoopbackClient>> holders;
    for (int n = 0; n < 2; ++n) {
      holders.push_back(std::make_unique<LoopbackClient>(
        fixture.mContext, fixture.mServer.Port()));
      holders.back()->Send(Post(kLargeBody));
    }
    REQUIRE(fixture.WaitForRequests(2));
    LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
    caller.Send(request);
    REQUIRE(caller.ReceiveUntilClosed());
    CHECK(caller.Received().starts_with("HTTP/1.1 503 "));
    CHECK(caller.Received().find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(fixture.mRequests.size() == 2);
  }
}

// Guards against memory that is counted as in use for good.
TEST_CASE("The memory of bodies is released however their requests end")
{
  Fixture fixture(BodyMemoryOptions(std::chrono::seconds(100)));
  for (std::size_t n = 0; n < 20; ++n) {
    LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
    const bool isCut = n % 2 == 0;
    caller.Send(isCut ? Post(kLargeBody).substr(0, kLargeBody / 2)
                      : Post(kLargeBody));
    if (!isCut) {
      REQUIRE(fixture.WaitForRequests(n / 2 + 1));
      if (n % 4 == 1) {
        fixture.Answer(n / 2, "done");
      }
    }
  }
  LoopbackClient last(fixture.mContext, fixture.mServer.Port());
  last.Send(Post(kBodyMemory - kBodyMemory / 16));
  REQUIRE(fixture.WaitForRequests(11));
}

// Guards against unbounded memory use for a client that sends requests without
// reading responses.
TEST_CASE("reading pauses beyond the pipelining limit")
{
  HttpServerOptions options;
  options.mMaxPipelinedRequests = 2;
  Fixture fixture(options);
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.WaitForRequests(2));
  fixture.mContext.restart();
  fixture.mContext.poll();
  CHECK(fixture.mRequests.size() == 2);
  fixture.Answer(0, "first");
  REQUIRE(fixture.WaitForRequests(3));
}
