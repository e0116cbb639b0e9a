/// \file
/// UDP transport between daemons, one envelope per datagram.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>

#include "cranberrywing/message.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/endpoint.h"

namespace cranberrywing::daemon {

/// Not thread-safe; used only on the event loop's thread.
class PeerDatagrams
{
public:
  /// Precondition: aMetrics outlives the transport.
  PeerDatagrams(boost::asio::io_context& aContext,
                DaemonMetrics& aMetrics,
                EventSink aSink,
                MessageCodec aCodec);

  /// Opens the socket and starts to receive. Errors: InvalidArgument with the
  /// address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Sends without blocking. If the kernel does not accept the datagram, it is
  /// dropped and counted, since datagrams may be lost anyway.
  void Send(const netutil::Endpoint& aTo, const std::string& aEnvelope);
  /// Closes the socket.
  void Stop();

private:
  void Receive();
  void OnReceived(std::size_t aBytes);

  DaemonMetrics& mMetrics;
  EventSink mSink;
  MessageCodec mCodec;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mBuffer{};
};

} // namespace cranberrywing::daemon
