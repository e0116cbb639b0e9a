/// \file
/// What a server receives of a request whose client has given it up.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include "netutil/exchange_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using boost::asio::ip::tcp;

namespace {

/// More than the system's buffers take.
constexpr std::size_t kBodyBytes = 16UL * 1024 * 1024;

/// A server that reads nothing until it is told to.
class LateReader
{
public:
  explicit LateReader(boost::asio::io_context& aContext)
    : mContext(aContext)
    , mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mSocket(aContext)
  {
    mAcceptor.async_accept(mSocket, [this](boost::system::error_code aError) {
      mIsAccepted = !aError;
    });
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  bool IsAccepted() const { return mIsAccepted; }

  /// Reads to the end of the connection and returns how it ended.
  boost::system::error_code ReadAll()
  {
    std::optional<boost::system::error_code> end;
    std::vector<char> buf(kBodyBytes + 64UL * 1024);
    boost::asio::async_read(
      mSocket,
      boost::asio::buffer(buf),
      [&end](boost::system::error_code aError, std::size_t) { end = aError; });
    REQUIRE(RunUntil(mContext, [&] { return end.has_value(); }));
    return *end;
  }

private:
  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  bool mIsAccepted = false;
};

RequestContentPtr LongRequest()
{
  return std::make_shared<const RequestContent>(RequestContent{
    .mMethod = "POST", .mTarget = "/", .mBody = std::string(kBodyBytes, 'b') });
}

} // namespace

// Guards against the failures EVAC and GONE: the system goes on sending a
// request that was given up, and a server runs it when a partition heals.
TEST_CASE("what is left of a request that was given up is not sent")
{
  boost::asio::io_context context(1);
  HttpClientPool pool(context, {});
  LateReader server(context);
  bool isFailed = false;
  const auto connection =
    pool.Start(server.Address(),
               LongRequest(),
               {},
               std::chrono::milliseconds(300),
               [&isFailed](const ExchangeResult& aResult) {
                 isFailed = !aResult.has_value();
               });
  REQUIRE(RunUntil(context, [&] { return server.IsAccepted(); }));
  SECTION("because its client cancelled it")
  {
    // Lets the system's buffers fill.
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    connection->Close();
  }
  SECTION("because its time was over")
  {
    REQUIRE(RunUntil(context, [&] { return isFailed; }));
  }
  CHECK(server.ReadAll() == boost::asio::error::connection_reset);
}
