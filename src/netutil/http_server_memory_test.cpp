// Memory of responses that clients do not receive as fast as they are given.
#include <catch2/catch.hpp>

#include "netutil/http_server.h"
#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
/// More than the system's buffers of one connection hold.
constexpr std::size_t kLargeResponse = 4 * kMegabyte;

AnswerContentPtr ResponseOf(std::size_t aBytes)
{
  return std::make_shared<const AnswerContent>(
    AnswerContent{ .mStatus = 200,
                   .mHeaders = {},
                   .mBody = std::string(aBytes - 1, 'b') + "\n" });
}

struct Fixture
{
  boost::asio::io_context mContext{ 1 };
  std::vector<ExchangeId> mExchanges;
  std::vector<std::string> mTargets;
  std::size_t mAborted = 0;
  std::vector<SlowClient> mSlowClients;
  /// If set, requests are answered at once: those for "/large" with this.
  AnswerContentPtr mLarge;
  std::size_t mMaxHeld = 0;
  HttpServer mServer;

  explicit Fixture(std::size_t aMaxHeldBytes)
    : mServer(
        mContext,
        { .mMaxHeldBytes = aMaxHeldBytes },
        { .mOnRequest =
            [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
              OnRequest(aExchange, aRequest.mTarget);
            },
          .mOnAborted = [this](const ExchangeId&) { ++mAborted; },
          .mOnSlowClientClosed =
            [this](const SlowClient& aClient) {
              mSlowClients.push_back(aClient);
            } })
  {
    REQUIRE(mServer.Listen({ "127.0.0.1", 0 }));
  }

  void OnRequest(const ExchangeId& aExchange, const std::string& aTarget)
  {
    mExchanges.push_back(aExchange);
    mTargets.push_back(aTarget);
    if (mLarge) {
      mServer.Answer(
        aExchange, aTarget == "/large" ? mLarge : ResponseOf(10), {});
      mMaxHeld = std::max(mMaxHeld, mServer.HeldBytes());
    }
  }

  bool WaitForRequests(std::size_t aRequests)
  {
    return RunUntil(mContext, [&] { return mExchanges.size() >= aRequests; });
  }

  void Answer(std::size_t aIndex, std::size_t aBytes, bool aClose = false)
  {
    mServer.Answer(mExchanges[aIndex],
                   ResponseOf(aBytes),
                   { .mCloseAfter = aClose, .mExtraHeaders = {} });
  }

  /// Processes what is ready.
  void Poll()
  {
    mContext.restart();
    mContext.poll();
  }
};

/// A client that receives only when it is told to.
class SlowReader
{
public:
  explicit SlowReader(Fixture& aFixture)
    : mFixture(aFixture)
    , mSocket(aFixture.mContext)
  {
    mSocket.open(boost::asio::ip::tcp::v4());
    mSocket.set_option(boost::asio::socket_base::receive_buffer_size(16384));
    mSocket.connect(
      { boost::asio::ip::address_v4::loopback(), aFixture.mServer.Port() });
    mSocket.non_blocking(true);
  }

  void Send(const std::string& aTarget, std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      boost::asio::write(
        mSocket,
        boost::asio::buffer("GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    }
  }

  /// Receives what is there, up to 64 KB.
  void Receive()
  {
    std::array<char, 64 * 1024> buf{};
    boost::system::error_code ec;
    const std::size_t bytes = mSocket.read_some(boost::asio::buffer(buf), ec);
    mReceived.append(buf.data(), bytes);
    mIsEnded = ec && ec != boost::asio::error::would_block;
  }

  /// Receives whole responses of the size until there are as many.
  bool ReceiveResponses(std::size_t aCount, std::size_t aBodyBytes)
  {
    RunUntil(mFixture.mContext, [&] {
      Receive();
      return mIsEnded || mReceived.size() >= aCount * aBodyBytes;
    });
    return Responses(aBodyBytes) >= aCount;
  }

  /// Number of whole responses with bodies of the size.
  std::size_t Responses(std::size_t aBodyBytes) const
  {
    std::size_t count = 0;
    std::size_t at = 0;
    while ((at = mReceived.find("\r\n\r\n", at)) != std::string::npos) {
      at += 4 + aBodyBytes;
      if (at > mReceived.size() || mReceived[at - 1] != '\n') {
        break;
      }
      ++count;
    }
    return count;
  }

  void Close() { mSocket.close(); }
  bool IsEnded() const { return mIsEnded; }

private:
  Fixture& mFixture;
  boost::asio::ip::tcp::socket mSocket;
  std::string mReceived;
  bool mIsEnded = false;
};

using SlowReaders = std::vector<std::unique_ptr<SlowReader>>;

SlowReaders MakeReaders(Fixture& aFixture, std::size_t aCount)
{
  SlowReaders readers;
  for (std::size_t n = 0; n < aCount; ++n) {
    readers.push_back(std::make_unique<SlowReader>(aFixture));
  }
  return readers;
}

} // namespace

// Guards against memory that grows with the number of slow clients, against
// fast clients that are delayed by it, and against clients that read slowly and
// get only parts of their responses.
TEST_CASE("slow readers get whole responses while memory is bounded")
{
  constexpr std::size_t kReaders = 8;
  constexpr std::size_t kRequests = 6;
  constexpr std::size_t kLimit = 2 * kMegabyte;
  Fixture fixture(kLimit);
  fixture.mLarge = ResponseOf(kMegabyte);
  SlowReaders readers = MakeReaders(fixture, kReaders);
  for (const auto& reader : readers) {
    reader->Send("/large", kRequests);
  }
  for (int n = 0; n < 20; ++n) {
    LoopbackClient fast(fixture.mContext, fixture.mServer.Port());
    fast.Send("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fast.ReceiveUntil("bbb\n"));
  }
  REQUIRE(RunUntil(fixture.mContext, [&] {
    bool isDone = true;
    for (const auto& reader : readers) {
      reader->Receive();
      isDone = isDone && reader->Responses(kMegabyte) == kRequests;
    }
    return isDone;
  }));
  // Each reader below its share may add one response.
  CHECK(fixture.mMaxHeld > kLimit);
  CHECK(fixture.mMaxHeld < kLimit + kReaders * (kMegabyte + 1024));
  CHECK(fixture.mServer.ReadPauses() > 0);
  CHECK(fixture.mServer.SlowClientsClosed() == 0);
  CHECK(fixture.mServer.HeldBytes() == 0);
}

// Guards against clients that never read and hold the memory for good, and
// against closing more connections than necessary, or the wrong ones.
TEST_CASE("of clients that never read, those that hold the most are closed")
{
  Fixture fixture(10 * kMegabyte);
  SlowReaders readers = MakeReaders(fixture, 3);
  // They get 8, 16 and 4 MB, less what the system buffers for each.
  readers[0]->Send("/0", 2);
  REQUIRE(fixture.WaitForRequests(2));
  readers[1]->Send("/1", 5);
  REQUIRE(fixture.WaitForRequests(7));
  readers[2]->Send("/2", 1);
  REQUIRE(fixture.WaitForRequests(8));
  for (const std::size_t n : { 0, 1, 2, 3, 4, 5, 7 }) {
    fixture.Answer(n, kLargeResponse);
  }
  REQUIRE(RunUntil(fixture.mContext,
                   [&] { return fixture.mServer.SlowClientsClosed() > 0; }));
  CHECK(fixture.mServer.SlowClientsClosed() == 1);
  REQUIRE(fixture.mSlowClients.size() == 1);
  CHECK(fixture.mSlowClients[0].mAddress == "127.0.0.1");
  CHECK(fixture.mSlowClients[0].mBytes > 2 * kLargeResponse);
  CHECK(fixture.mSlowClients[0].mWithoutProgress > std::chrono::seconds(1));
  CHECK(fixture.mAborted == 1);
  CHECK(fixture.mServer.ConnectionCount() == 2);
  CHECK(fixture.mServer.HeldBytes() <= 12 * kMegabyte);
  CHECK(readers[0]->ReceiveResponses(2, kLargeResponse));
  CHECK(readers[2]->ReceiveResponses(1, kLargeResponse));
  CHECK(fixture.mServer.HeldBytes() == 0);
}

// Guards against responses behind a slow one that are not counted, or counted
// twice when they become output, and against a connection that stops reading
// for good once its client has received them.
TEST_CASE("responses behind a slow one count, and reading goes on after them")
{
  constexpr std::size_t kBytes = 500'000;
  Fixture fixture(kMegabyte);
  SlowReader reader(fixture);
  reader.Send("/", 5);
  REQUIRE(fixture.WaitForRequests(5));
  for (const std::size_t n : { 4, 2, 3, 1 }) {
    fixture.Answer(n, kBytes);
  }
  CHECK(fixture.mServer.HeldBytes() == 4 * kBytes);
  reader.Send("/late", 1);
  fixture.Poll();
  CHECK(fixture.mExchanges.size() == 5);
  CHECK(fixture.mServer.ReadPauses() == 1);
  LoopbackClient other(fixture.mContext, fixture.mServer.Port());
  other.Send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(fixture.WaitForRequests(6));
  CHECK(fixture.mTargets.back() == "/other");
  fixture.Answer(0, kBytes);
  CHECK(fixture.mServer.HeldBytes() > 5 * kBytes);
  CHECK(fixture.mServer.HeldBytes() < 5 * kBytes + 1024);
  CHECK(reader.ReceiveResponses(5, kBytes));
  REQUIRE(fixture.WaitForRequests(7));
  CHECK(fixture.mTargets.back() == "/late");
  CHECK(fixture.mServer.HeldBytes() == 0);
}

// Guards against memory that stays counted after a connection has ended, and
// against paused connections that are not resumed.
TEST_CASE("closed connections release memory, and paused ones read again")
{
  Fixture fixture(3 * kMegabyte);
  SlowReaders readers = MakeReaders(fixture, 2);
  readers[0]->Send("/0", 3);
  REQUIRE(fixture.WaitForRequests(3));
  readers[1]->Send("/1", 3);
  REQUIRE(fixture.WaitForRequests(6));
  for (const std::size_t n : { 1, 2, 4, 5 }) {
    fixture.Answer(n, kMegabyte);
  }
  CHECK(fixture.mServer.HeldBytes() == 4 * kMegabyte);
  readers[0]->Send("/late", 2);
  fixture.Poll();
  CHECK(fixture.mExchanges.size() == 6);
  // The server stops the second connection: it does not read either, and does
  // not notice by itself that its client has left.
  fixture.mServer.Abort(fixture.mExchanges[4].mConnection);
  CHECK(fixture.mServer.HeldBytes() == 2 * kMegabyte);
  REQUIRE(fixture.WaitForRequests(8));
  CHECK(fixture.mTargets.back() == "/late");
  CHECK(fixture.mAborted == 1);
  // A client that leaves with unsent output and waiting responses.
  fixture.Answer(0, kLargeResponse);
  fixture.Answer(7, kMegabyte);
  readers[0]->Close();
  REQUIRE(RunUntil(fixture.mContext,
                   [&] { return fixture.mServer.ConnectionCount() == 0; }));
  CHECK(fixture.mServer.HeldBytes() == 0);
  CHECK(fixture.mAborted == 2);
}

// Guards against running requests whose responses the client does not expect:
// it sends those behind a closing response again. Requests read before must
// get their responses, in order, and only the last one may close.
TEST_CASE("requests behind a closing response are not passed on")
{
  Fixture fixture(kMegabyte);
  LoopbackClient caller(fixture.mContext, fixture.mServer.Port());
  caller.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  REQUIRE(fixture.WaitForRequests(2));
  fixture.Answer(0, 10, true);
  caller.Send("GET /3 HTTP/1.1\r\n\r\n");
  REQUIRE(caller.ReceiveUntil("bbb\n"));
  fixture.Poll();
  fixture.Answer(1, 20);
  REQUIRE(caller.ReceiveUntilClosed());
  CHECK(fixture.mTargets == std::vector<std::string>{ "/1", "/2" });
  const std::string& text = caller.Received();
  CHECK(text.find("Content-Length: 20") > text.find("Content-Length: 10"));
  CHECK(text.find("Connection: close") > text.find("Content-Length: 20"));
  CHECK(text.ends_with("bbb\n"));
}
