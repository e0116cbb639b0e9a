#include "netutil/tcp_keep_alive.h"

#include <netinet/tcp.h>

namespace cranberrywing::netutil {

namespace asio = boost::asio;

namespace {

/// TCP_KEEPIDLE and TCP_KEEPINTVL are in whole seconds; one second is the
/// minimum.
constexpr int kKeepAliveIntervalSeconds = 1;
/// Also the time after which unanswered keep-alive probes close a connection,
/// whatever their number (tcp(7)).
constexpr int kTcpUserTimeoutMs = 2500;

} // namespace

void EnableTcpKeepAlive(asio::ip::tcp::socket& aSocket)
{
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ec;
  aSocket.set_option(asio::socket_base::keep_alive(true), ec);
  aSocket.set_option(Idle(kKeepAliveIntervalSeconds), ec);
  aSocket.set_option(Interval(kKeepAliveIntervalSeconds), ec);
  aSocket.set_option(UserTimeout(kTcpUserTimeoutMs), ec);
}

} // namespace cranberrywing::netutil
