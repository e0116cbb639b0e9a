#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>

#include "netutil/exchange_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using boost::asio::ip::tcp;

namespace {

/// Sends a head and then one part again and again until the peer closes.
class EndlessServer
{
public:
  EndlessServer(boost::asio::io_context& aContext,
                std::string aHead,
                std::string aPart)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mHead(std::move(aHead))
    , mPart(std::move(aPart))
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          mSocket.emplace(std::move(aSocket));
          Write(mHead);
        }
      });
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  std::size_t mSentBytes = 0;

private:
  void Write(const std::string& aBytes)
  {
    boost::asio::async_write(
      *mSocket,
      boost::asio::buffer(aBytes),
      [this](boost::system::error_code aError, std::size_t aBytes) {
        mSentBytes += aBytes;
        if (!aError) {
          Write(mPart);
        }
      });
  }

  tcp::acceptor mAcceptor;
  std::optional<tcp::socket> mSocket;
  std::string mHead;
  std::string mPart;
};

/// Fails the exchange with the endless server and returns its error.
ExchangeFailure FailEndless(const std::string& aHead,
                            const std::string& aPart,
                            HttpClientOptions aOptions,
                            ResponseIdentity aIdentity = {})
{
  boost::asio::io_context context(1);
  EndlessServer server(context, aHead, aPart);
  HttpClientPool pool(context, { .mClient = std::move(aOptions) });
  const auto result =
    Exchange(context, pool, server.Address(), "GET", std::move(aIdentity));
  REQUIRE_FALSE(result.has_value());
  // The kernel's socket buffers hold what the client has not read.
  CHECK(server.mSentBytes < 16 * 1024 * 1024);
  CHECK(pool.IdleCount(server.Address()) == 0);
  return result.error();
}

const std::string kPart(16 * 1024, 'x');

} // namespace

// Guards against servers in trouble that send bytes without end until the
// caller closes the connection.
TEST_CASE("an endless head fails the exchange")
{
  const auto failure =
    FailEndless("HTTP/1.1 200 OK\r\n", "Field: " + kPart + "\r\n", {});
  CHECK(failure.mKind == ExchangeFailureKind::Malformed);
  CHECK(failure.mWasSent);
}

TEST_CASE("bytes without end that are no answer fail the exchange")
{
  CHECK(FailEndless(kPart, kPart, {}).mKind == ExchangeFailureKind::Malformed);
}

TEST_CASE("an endless body fails the exchange at the size limit")
{
  HttpClientOptions options;
  options.mMaxBodyBytes = 256 * 1024;
  options.mAcceptsCloseDelimitedBody = true;
  const std::string chunk = "4000\r\n" + kPart + "\r\n";
  CHECK(FailEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    chunk,
                    options)
          .mKind == ExchangeFailureKind::TooLarge);
  CHECK(FailEndless("HTTP/1.1 200 OK\r\n\r\n", kPart, options).mKind ==
        ExchangeFailureKind::TooLarge);
}

// Guards against a process that a single server ends: the parser throws for a
// field value of more than 64 KB, which trailers may have.
TEST_CASE("a long trailer fails the exchange")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nField: ";
  const std::string trailer = head + std::string(200'000, 'x') + "\r\n\r\n";
  CHECK(FailEndless(trailer, kPart, {}).mKind ==
        ExchangeFailureKind::Malformed);
}

// Guards against bytes that the parser keeps until a line ends.
TEST_CASE("a chunk line or trailer without end fails the exchange")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* const start : { "4;name=", "0\r\nField: ", "0000000" }) {
    CHECK(FailEndless(head + start, kPart, {}).mKind ==
          ExchangeFailureKind::Malformed);
  }
}

TEST_CASE("endless bodies fail when their common memory is exhausted")
{
  HttpClientOptions options;
  options.mAcceptsCloseDelimitedBody = true;
  options.mBudget = std::make_shared<ResponseBudget>(128 * 1024);
  CHECK(FailEndless("HTTP/1.1 200 OK\r\n\r\n", kPart, options).mKind ==
        ExchangeFailureKind::Malformed);
  CHECK(options.mBudget->UsedBytes() == 0);
}

// Guards against a process that runs out of memory because many servers send
// bytes without end, and against good answers that are given up for theirs.
TEST_CASE("many endless bodies fail and others beside them are read")
{
  constexpr std::size_t kMaxBytes = 8 * 1024 * 1024;
  constexpr std::size_t kServers = 60;
  const std::string good(300'000, 'g');
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<EndlessServer>> servers;
  for (std::size_t n = 0; n < kServers; ++n) {
    servers.push_back(std::make_unique<EndlessServer>(
      context,
      n % 2 == 0 ? "HTTP/1.1 200 OK\r\n\r\n"
                 : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      n % 2 == 0 ? kPart : "4000\r\n" + kPart + "\r\n"));
  }
  EndlessServer complete(
    context, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + good, "");
  HttpClientOptions options;
  options.mAcceptsCloseDelimitedBody = true;
  options.mBudget = std::make_shared<ResponseBudget>(kMaxBytes);
  HttpClientPool pool(context, { .mClient = options });
  std::size_t failed = 0;
  std::optional<ExchangeResult> answer;
  const auto send = [&](const Endpoint& aServer, ExchangeHandler aHandler) {
    pool.Start(aServer,
               std::make_shared<const RequestContent>(
                 RequestContent{ .mMethod = "GET", .mTarget = "/" }),
               {},
               std::chrono::seconds(30),
               std::move(aHandler));
  };
  for (const auto& server : servers) {
    send(server->Address(),
         [&](const ExchangeResult& aResult) { failed += aResult ? 0 : 1; });
  }
  send(complete.Address(), [&](ExchangeResult aResult) { answer = aResult; });
  std::size_t mostBytes = 0;
  REQUIRE(RunUntil(context, [&] {
    mostBytes = std::max(mostBytes, options.mBudget->UsedBytes());
    return failed == kServers && answer.has_value();
  }));
  CHECK(mostBytes <= kMaxBytes);
  REQUIRE(answer->has_value());
  CHECK((*answer)->mBody == good);
}

TEST_CASE("responses without end to other requests fail the exchange")
{
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  CHECK(FailEndless(response,
                    response,
                    {},
                    { .mFilter = [](const AnswerContent&,
                                    ConnectionUse) { return false; } })
          .mKind == ExchangeFailureKind::Malformed);
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  CHECK(FailEndless(interim, interim, {}).mKind ==
        ExchangeFailureKind::Malformed);
}
