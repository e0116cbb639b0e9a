#include "netutil/http_pool.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "netutil/exchange_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using boost::asio::ip::tcp;

namespace {

/// Sends a fixed text after each read from a connection.
struct RawServer
{
  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<tcp::socket>> mSockets;
  std::string mResponse;
  bool mClosesAfter = false;
  /// Whether closing sends a reset, which discards data that the peer has not
  /// read yet.
  bool mResetsAfter = false;

  RawServer(boost::asio::io_context& aContext,
            std::string aResponse,
            bool aClosesAfter)
    : mContext(aContext)
    , mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mResponse(std::move(aResponse))
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
        boost::asio::write(*aSocket, boost::asio::buffer(mResponse));
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

ExchangeFailure ExchangeFailureFor(const std::string& aResponse,
                                   bool aClosesAfter)
{
  boost::asio::io_context context(1);
  RawServer server(context, aResponse, aClosesAfter);
  HttpClientPool pool(context, {});
  const ExchangeResult result = Exchange(context, pool, server.Address());
  REQUIRE_FALSE(result.has_value());
  return result.error();
}

} // namespace

// Guards against passing on part of a response as a complete one when the
// connection ends early.
TEST_CASE("truncated and unverifiable responses fail as possibly executed")
{
  const auto truncated = ExchangeFailureFor(
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
  CHECK(truncated.mKind == ExchangeFailureKind::Reset);
  CHECK(truncated.mWasSent);
  const auto truncatedChunk = ExchangeFailureFor(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
  CHECK(truncatedChunk.mKind == ExchangeFailureKind::Reset);
  const auto closeDelimited =
    ExchangeFailureFor("HTTP/1.1 200 OK\r\n\r\nto the end", true);
  CHECK(closeDelimited.mKind == ExchangeFailureKind::Malformed);
  const auto garbage = ExchangeFailureFor("no HTTP at all\r\n\r\n", false);
  CHECK(garbage.mKind == ExchangeFailureKind::Malformed);
}

// Guards against the failure TWICE: a request is sent again although a server
// has got the first of the parts in which it was written.
TEST_CASE("a request counts as sent once a part of it is written")
{
  boost::asio::io_context context(1);
  RawServer server(context, "", true);
  server.mResetsAfter = true;
  HttpClientPool pool(context, {});
  const auto request = std::make_shared<const RequestContent>(
    RequestContent{ .mMethod = "POST",
                    .mTarget = "/",
                    .mBody = std::string(32 * 1024 * 1024, 'b') });
  std::optional<ExchangeResult> result;
  pool.Start(server.Address(),
             request,
             {},
             std::chrono::seconds(20),
             [&](ExchangeResult aResult) { result = std::move(aResult); });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  REQUIRE_FALSE(result->has_value());
  CHECK(result->error().mWasSent);
}

// Guards against a request that is sent and given up at once: after a pause of
// the process the connection and its time limit are both due.
TEST_CASE("a time limit for connecting does not end an exchange that was sent")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  constexpr Milliseconds kConnectTimeout{ 20 };
  HttpClientPool pool(context,
                      { .mClient = { .mConnectTimeout = kConnectTimeout } });
  std::optional<ExchangeResult> result;
  pool.Start(server.Address(),
             std::make_shared<const RequestContent>(
               RequestContent{ .mMethod = "GET", .mTarget = "/" }),
             {},
             std::chrono::seconds(20),
             [&](ExchangeResult aResult) { result = std::move(aResult); });
  // The event loop does not run meanwhile, as in a paused process.
  std::this_thread::sleep_for(3 * kConnectTimeout);
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(result->has_value());
}

// Guards against a request that is sent after its time, for which a paused
// process had the connection opened.
TEST_CASE("a connection that opens after the exchange's time limit is not used")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  constexpr Milliseconds kTimeout{ 20 };
  HttpClientPool pool(context, { .mClient = { .mConnectTimeout = kTimeout } });
  std::optional<ExchangeResult> result;
  pool.Start(server.Address(),
             std::make_shared<const RequestContent>(
               RequestContent{ .mMethod = "GET", .mTarget = "/" }),
             {},
             kTimeout,
             [&](ExchangeResult aResult) { result = std::move(aResult); });
  std::this_thread::sleep_for(3 * kTimeout);
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  REQUIRE_FALSE(result->has_value());
  CHECK(result->error().mKind == ExchangeFailureKind::Connect);
  CHECK_FALSE(result->error().mWasSent);
}

// Guards against the failure MIXED: a server that stops in the middle of its
// answer's head and closes, whose answer was passed on with an empty or short
// body, framed as a whole one.
TEST_CASE("an answer that ends within its head is no answer")
{
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::vector<std::string> heads{
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\nSignature: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n",
  };
  for (const std::string& head : heads) {
    for (const std::string& before : { std::string(), interim }) {
      for (std::size_t length = 0; length < head.size(); ++length) {
        boost::asio::io_context context(1);
        RawServer server(context, before + head.substr(0, length), true);
        HttpClientPool::Options options;
        options.mClient.mAcceptsCloseDelimitedBody = true;
        HttpClientPool pool(context, options);
        const ExchangeResult result = Exchange(context, pool, server.Address());
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().mWasSent);
      }
    }
  }
}

// Guards against treating a refused connection as a request that may have run,
// which would prevent a safe retry.
TEST_CASE("a refused connection counts as not sent")
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

// Guards against reading surplus bytes after a response as the next response.
TEST_CASE("a connection with bytes after the response is not reused")
{
  boost::asio::io_context context(1);
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  RawServer withExtraBytes(context, response + response, false);
  RawServer withoutExtraBytes(context, response, false);
  HttpClientPool pool(context, {});
  CHECK(Exchange(context, pool, withExtraBytes.Address())->mBody == "ok");
  CHECK(pool.IdleCount(withExtraBytes.Address()) == 0);
  CHECK(Exchange(context, pool, withoutExtraBytes.Address())->mBody == "ok");
  CHECK(Exchange(context, pool, withoutExtraBytes.Address())->mBody == "ok");
  CHECK(withoutExtraBytes.mSockets.size() == 1);
}

// Guards against writing a request to a connection that its server has closed
// while it was idle.
TEST_CASE("a connection closed while idle is replaced by a new one")
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

// Guards against waiting for a body after a response to HEAD, which states a
// length but has no body.
TEST_CASE("a response to HEAD has no body")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", false);
  HttpClientPool pool(context, {});
  const auto result = Exchange(context, pool, server.Address(), "HEAD");
  REQUIRE(result.has_value());
  CHECK(result->mBody.empty());
}

// Guards against the failure MIXED: a late response to an earlier request on
// the connection is given to the caller of the current request.
TEST_CASE("a response to another request is discarded and reading continues")
{
  boost::asio::io_context context(1);
  RawServer server(context,
                   "HTTP/1.1 200 OK\r\nEcho: earlier\r\nContent-Length: "
                   "3\r\n\r\nold"
                   "HTTP/1.1 200 OK\r\nEcho: present\r\nContent-Length: "
                   "3\r\n\r\nnew",
                   false);
  HttpClientPool pool(context, {});
  const auto result =
    Exchange(context,
             pool,
             server.Address(),
             "GET",
             { .mFilter = [](const AnswerContent& aResponse, ConnectionUse) {
               return std::any_of(aResponse.mHeaders.begin(),
                                  aResponse.mHeaders.end(),
                                  [](const Header& aHeader) {
                                    return aHeader.mValue == "present";
                                  });
             } });
  REQUIRE(result.has_value());
  CHECK(result->mBody == "new");
}

// Guards against a request without any outcome: only the late response to
// another request arrives before the connection ends.
TEST_CASE("the exchange fails if the connection ends after another response")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", true);
  HttpClientPool pool(context, {});
  const auto result = Exchange(
    context,
    pool,
    server.Address(),
    "GET",
    { .mFilter = [](const AnswerContent&, ConnectionUse) { return false; } });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mKind == ExchangeFailureKind::Reset);
  CHECK(result.error().mWasSent);
}

// Guards against one endless response that ends the small ones beside it.
TEST_CASE("a small response is read although the common memory is exhausted")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  HttpClientPool::Options options;
  options.mClient.mBudget = std::make_shared<ResponseBudget>(0);
  HttpClientPool pool(context, options);
  CHECK(Exchange(context, pool, server.Address())->mBody == "ok");
}

// Guards against idle connections that keep the bodies of the requests that
// they have carried, through the filter that compares answers with the request.
TEST_CASE("an idle connection does not keep the request")
{
  boost::asio::io_context context(1);
  RawServer server(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  HttpClientPool pool(context, {});
  auto request = std::make_shared<const RequestContent>(
    RequestContent{ .mMethod = "GET", .mTarget = "/" });
  const std::weak_ptr<const RequestContent> kept = request;
  bool isDone = false;
  pool.Start(server.Address(),
             request,
             {},
             std::chrono::seconds(20),
             [&](const ExchangeResult&) { isDone = true; },
             { .mFilter = [request](const AnswerContent&, ConnectionUse) {
               return request != nullptr;
             } });
  request.reset();
  REQUIRE(RunUntil(context, [&] { return isDone; }));
  CHECK(pool.IdleCount(server.Address()) == 1);
  CHECK(kept.expired());
}

// Guards against rejecting complete close-delimited responses when they are
// allowed, and against accepting one that was truncated by a reset.
TEST_CASE("a close-delimited response is accepted if allowed")
{
  boost::asio::io_context context(1);
  const HttpClientPool::Options options{
    .mClient = { .mAcceptsCloseDelimitedBody = true }
  };
  RawServer complete(context, "HTTP/1.1 200 OK\r\n\r\nto the end", true);
  RawServer truncated(context, "HTTP/1.1 200 OK\r\n\r\nto the", true);
  truncated.mResetsAfter = true;
  HttpClientPool pool(context, options);
  const auto result = Exchange(context, pool, complete.Address());
  REQUIRE(result.has_value());
  CHECK(result->mBody == "to the end");
  CHECK(pool.IdleCount(complete.Address()) == 0);
  const auto failure = Exchange(context, pool, truncated.Address());
  REQUIRE_FALSE(failure.has_value());
  CHECK(failure.error().mWasSent);
}

// Guards against waiting for the timeout after the connection has ended: its
// last bytes were a close-delimited response to another request.
TEST_CASE("a close-delimited response to another request fails the exchange")
{
  boost::asio::io_context context(1);
  const HttpClientPool::Options options{
    .mClient = { .mAcceptsCloseDelimitedBody = true }
  };
  RawServer server(context, "HTTP/1.1 200 OK\r\n\r\nold", true);
  HttpClientPool pool(context, options);
  const auto result = Exchange(
    context,
    pool,
    server.Address(),
    "GET",
    { .mFilter = [](const AnswerContent&, ConnectionUse) { return false; } });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mKind == ExchangeFailureKind::Reset);
}

// Guards against the failure LOST: a request that must not be retried is
// written to a connection that the server is about to close, as announced in
// its Keep-Alive header.
TEST_CASE("a connection past the server's idle timeout is not reused")
{
  boost::asio::io_context context(1);
  const std::string response = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                               "Content-Length: 2\r\n\r\nok";
  RawServer server(context, response, false);
  // With a fraction of zero, any idle time exceeds the limit.
  HttpClientPool expiring(context, { .mClient = { .mKeepAliveFraction = 0 } });
  HttpClientPool reusing(context,
                         { .mClient = { .mKeepAliveFraction = 1000 } });
  for (int n = 0; n < 2; ++n) {
    CHECK(Exchange(context, expiring, server.Address()).has_value());
    CHECK(Exchange(context, reusing, server.Address()).has_value());
  }
  CHECK(expiring.OpenedCount() == 2);
  CHECK(reusing.OpenedCount() == 1);
}
