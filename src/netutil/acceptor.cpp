#include "netutil/acceptor.h"

#include <boost/asio/ip/address.hpp>

namespace cranberrywing::netutil {

Result<void> ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
                      const Endpoint& aEndpoint)
{
  using boost::asio::ip::tcp;
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(aEndpoint.mAddress, ec);
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  if (!ec) {
    aAcceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    aAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return MakeError(ResultCode::InvalidArgument,
                     "cannot listen on " + ToString(aEndpoint) + ": " +
                       ec.message());
  }
  return {};
}

} // namespace cranberrywing::netutil
