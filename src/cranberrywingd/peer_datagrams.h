/// \file
/// Datagrams between daemons, one envelope each.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>

#include "cranberrywing/message.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/metrics.h"
#include "netutil/endpoint.h"

namespace cranberrywing::daemon {

/// Not thread-safe; belongs to the event loop's thread.
class PeerDatagrams
{
public:
  /// aMetrics outlives the transport.
  PeerDatagrams(boost::asio::io_context& aContext,
                DaemonMetrics& aMetrics,
                EventSink aSink,
                MessageCodec aCodec);

  /// Errors: InvalidArgument with the address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Sends without waiting. A datagram that the kernel does not take is
  /// dropped, as one lost on the way would be.
  void Send(const netutil::Endpoint& aTo, const std::string& aEnvelope);
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
