#include "netutil/connection_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace cranberrywing::netutil {

namespace asio = boost::asio;

namespace {

struct Check
{
  explicit Check(asio::io_context& aContext)
    : mSocket(aContext)
    , mTimer(aContext)
  {
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
};

} // namespace

void CheckConnection(asio::io_context& aContext,
                     const Endpoint& aEndpoint,
                     Duration aTimeout,
                     std::function<void(bool)> aHandler)
{
  const auto check = std::make_shared<Check>(aContext);
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
  check->mTimer.expires_after(aTimeout);
  check->mTimer.async_wait([check](boost::system::error_code aError) {
    if (!aError) {
      // Ends the connection attempt, whose handler reports the failure.
      boost::system::error_code ignored;
      check->mSocket.close(ignored);
    }
  });
  check->mSocket.async_connect(
    asio::ip::tcp::endpoint(address, aEndpoint.mPort),
    [check, handler = std::move(aHandler)](boost::system::error_code aError) {
      check->mTimer.cancel();
      boost::system::error_code ignored;
      check->mSocket.close(ignored);
      handler(!aError);
    });
}

} // namespace cranberrywing::netutil
