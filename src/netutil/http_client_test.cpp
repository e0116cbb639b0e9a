#include "netutil/http_pool.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using boost::asio::ip::tcp;

namespace {

/// Answers each connection's first bytes with a fixed text.
struct RawServer
{
  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<tcp::socket>> mSockets;
  std::string mAnswer;
  bool mClosesAfter = false;
  /// Whether closing discards what the other end has not read.
  bool mResetsAfter = false;

  RawServer(boost::asio::io_context& aContext,
            std::string aAnswer,
            bool aClosesAfter)
    : mContext(aContext)
    , mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mAnswer(std::move(aAnswer))
    , mClosesAfter(aClosesAfter)
  {
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        mSockets.push_back(std::make_shared<tcp::socket>(std::move(aSocket)));
        Serve(mSockets.back());
        Accept();
      });
  }

  void Serve(const std::shared_ptr<tcp::socket>& aSocket)
  {
    const auto buf = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
      boost::asio::buffer(*buf),
      [this, aSocket, buf](boost::system::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        boost::asio::write(*aSocket, boost::asio::buffer(mAnswer));
        if (mClosesAfter) {
          if (mResetsAfter) {
            aSocket->set_option(boost::asio::socket_base::linger(true, 0));
          }
          aSocket->close();
          return;
        }
        Serve(aSocket);
      });
  }
};

struct Outcome
{
  std::optional<ExchangeResult> mResult;
};

ExchangeResult Exchange(boost::asio::io_context& aContext,
                        HttpClientPool& aPool,
                        const Endpoint& aEndpoint,
                        const std::string& aMethod = "GET",
                        ResponseFilter aFilter = {})
{
  RequestContent request;
  request.mMethod = aMethod;
  request.mTarget = "/";
  const auto outcome = std::make_shared<Outcome>();
  aPool.Start(
    aEndpoint,
    std::make_shared<const RequestContent>(std::move(request)),
    {},
    std::chrono::seconds(20),
    [outcome](ExchangeResult aResult) {
      outcome->mResult = std::move(aResult);
    },
    std::move(aFilter));
  REQUIRE(RunUntil(aContext, [&] { return outcome->mResult.has_value(); }));
  return *outcome->mResult;
}

ExchangeFailure FailureOf(const std::string& aAnswer, bool aClosesAfter)
{
  boost::asio::io_context context(1);
  RawServer server(context, aAnswer, aClosesAfter);
  HttpClientPool pool(context, {});
  const ExchangeResult result = Exchange(context, pool, server.Address());
  REQUIRE_FALSE(result.has_value());
  return result.error();
}

} // namespace

// Guards against part of an answer given out as the whole.
TEST_CASE("answers without a checked end are failures after the first byte")
{
  const auto cut =
    FailureOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
  CHECK(cut.mKind == ExchangeFailureKind::Reset);
  CHECK(cut.mWasSent);
  const auto chunk = FailureOf(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
  CHECK(chunk.mKind == ExchangeFailureKind::Reset);
  const auto open = FailureOf("HTTP/1.1 200 OK\r\n\r\nto the end", true);
  CHECK(open.mKind == ExchangeFailureKind::Malformed);
  const auto noise = FailureOf("no HTTP at all\r\n\r\n", false);
  CHECK(noise.mKind == ExchangeFailureKind::Malformed);
}

// Guards against a refused connection counted as a request that may have
// run, which would forbid a safe repeat.
TEST_CASE("a refused connection sends no byte")
{
  boost::asio::io_context context(1);
  Endpoint endpoint;
  {
    const RawServer server(context, "", false);
    endpoint = server.Address();
  }
  HttpClientPool pool(context, {});
  const ExchangeResult result = Exchange(context, pool, endpoint);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mKind == ExchangeFailureKind::Connect);
  CHECK_FALSE(result.error().mWasSent);
}

// Guards against an answer's surplus bytes read as the next answer.
TEST_CASE("a connection with bytes after the answer is not used again")
{
  boost::asio::io_context context(1);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  RawServer irregular(context, answer + answer, false);
  RawServer regular(context, answer, false);
  HttpClientPool pool(context, {});
  CHECK(Exchange(context, pool, irregular.Address())->mBody == "ok");
  CHECK(pool.IdleCount(irregular.Address()) == 0);
  CHECK(Exchange(context, pool, regular.Address())->mBody == "ok");
  CHECK(Exchange(context, pool, regular.Address())->mBody == "ok");
  CHECK(regular.mSockets.size() == 1);
}

// Guards against a request written to a connection that its server closed
// while it was idle.
TEST_CASE("a connection closed while idle is replaced")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  HttpClientPool pool(context, {});
  CHECK(Exchange(context, pool, server.Address()).has_value());
  server.mSockets.front()->close();
  CHECK(Exchange(context, pool, server.Address()).has_value());
  CHECK(server.mSockets.size() == 2);
}

// Guards against a HEAD answer that waits for a body.
TEST_CASE("the answer to HEAD has no body")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", false);
  HttpClientPool pool(context, {});
  const auto result = Exchange(context, pool, server.Address(), "HEAD");
  REQUIRE(result.has_value());
  CHECK(result->mBody.empty());
}

// Guards against MIXED: an answer to an earlier request of the connection that
// arrives late is given to the caller of the present one.
TEST_CASE("an answer to another request is dropped and reading goes on")
{
  boost::asio::io_context context(1);
  RawServer server(context,
                   "HTTP/1.1 200 OK\r\nEcho: earlier\r\nContent-Length: "
                   "3\r\n\r\nold"
                   "HTTP/1.1 200 OK\r\nEcho: present\r\nContent-Length: "
                   "3\r\n\r\nnew",
                   false);
  HttpClientPool pool(context, {});
  const auto result = Exchange(
    context, pool, server.Address(), "GET", [](const AnswerContent& aAnswer) {
      return std::any_of(
        aAnswer.mHeaders.begin(),
        aAnswer.mHeaders.end(),
        [](const Header& aHeader) { return aHeader.mValue == "present"; });
    });
  REQUIRE(result.has_value());
  CHECK(result->mBody == "new");
}

// Guards against a request that gets no answer at all, since only the late
// one came before the connection ended.
TEST_CASE("a connection that ends after an answer to another request fails")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", true);
  HttpClientPool pool(context, {});
  const auto result =
    Exchange(context, pool, server.Address(), "GET", [](const AnswerContent&) {
      return false;
    });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mKind == ExchangeFailureKind::Reset);
  CHECK(result.error().mWasSent);
}

// Guards against whole answers refused where the server marks their end by
// closing, and against one that a reset cut taken as whole.
TEST_CASE("an answer without a length ends with its connection if allowed")
{
  boost::asio::io_context context(1);
  const HttpClientPool::Options options{
    .mClient = { .mAcceptsCloseDelimitedBody = true }
  };
  RawServer whole(context, "HTTP/1.1 200 OK\r\n\r\nto the end", true);
  RawServer cut(context, "HTTP/1.1 200 OK\r\n\r\nto the", true);
  cut.mResetsAfter = true;
  HttpClientPool pool(context, options);
  const auto result = Exchange(context, pool, whole.Address());
  REQUIRE(result.has_value());
  CHECK(result->mBody == "to the end");
  CHECK(pool.IdleCount(whole.Address()) == 0);
  const auto failure = Exchange(context, pool, cut.Address());
  REQUIRE_FALSE(failure.has_value());
  CHECK(failure.error().mWasSent);
}

// Guards against a request that waits for its time-out on a connection that
// has ended: the last bytes were an answer to another request.
TEST_CASE("an answer without a length to another request ends the exchange")
{
  boost::asio::io_context context(1);
  const HttpClientPool::Options options{
    .mClient = { .mAcceptsCloseDelimitedBody = true }
  };
  RawServer server(context, "HTTP/1.1 200 OK\r\n\r\nold", true);
  HttpClientPool pool(context, options);
  const auto result =
    Exchange(context, pool, server.Address(), "GET", [](const AnswerContent&) {
      return false;
    });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mKind == ExchangeFailureKind::Reset);
}

// Guards against LOST: a request that may not be repeated is written to a
// connection that the server is about to close, as its Keep-Alive has told.
TEST_CASE("a connection whose stated idle time is used up is not used again")
{
  boost::asio::io_context context(1);
  const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                             "Content-Length: 2\r\n\r\nok";
  RawServer server(context, answer, false);
  // Any idle time is more than none of the second.
  HttpClientPool brief(context, { .mClient = { .mKeepAliveFraction = 0 } });
  HttpClientPool lasting(context,
                         { .mClient = { .mKeepAliveFraction = 1000 } });
  for (int n = 0; n < 2; ++n) {
    CHECK(Exchange(context, brief, server.Address()).has_value());
    CHECK(Exchange(context, lasting, server.Address()).has_value());
  }
  CHECK(brief.OpenedCount() == 2);
  CHECK(lasting.OpenedCount() == 1);
}
