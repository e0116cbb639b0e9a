#include "cranberrywingd/peer_datagrams.h"

#include <boost/asio/ip/address.hpp>

namespace cranberrywing::daemon {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Sufficient for bursts of gossip and offers from several hundred peers.
constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;
/// Limits the datagrams handled in one go, so that other events are not
/// delayed.
constexpr int kMaxDatagramsPerWakeup = 32;

} // namespace

PeerDatagrams::PeerDatagrams(asio::io_context& aContext,
                             DaemonMetrics& aMetrics,
                             EventSink aSink,
                             MessageCodec aCodec)
  : mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mCodec(std::move(aCodec))
  , mSocket(aContext)
{
}

Result<void> PeerDatagrams::Listen(const netutil::Endpoint& aEndpoint)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
  const udp::endpoint endpoint(address, aEndpoint.mPort);
  if (!ec) {
    mSocket.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    mSocket.bind(endpoint, ec);
  }
  if (!ec) {
    mSocket.non_blocking(true, ec);
  }
  if (ec) {
    return MakeError(ResultCode::InvalidArgument,
                     "cannot receive datagrams on " +
                       netutil::ToString(aEndpoint) + ": " + ec.message());
  }
  // The kernel may grant a smaller buffer, which only makes datagram loss more
  // likely; errors are therefore ignored.
  mSocket.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  Receive();
  return {};
}

void PeerDatagrams::Send(const netutil::Endpoint& aTo,
                         const std::string& aEnvelope)
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(aTo.mAddress, ec);
  if (!ec) {
    mSocket.send_to(
      asio::buffer(aEnvelope), udp::endpoint(address, aTo.mPort), 0, ec);
  }
  if (ec) {
    ++mMetrics.mPeerMessagesDropped;
    return;
  }
  ++mMetrics.mDatagramsSent;
  mMetrics.mDatagramBytesSent += aEnvelope.size();
}

void PeerDatagrams::Receive()
{
  mSocket.async_wait(
    udp::socket::wait_read, [this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      for (int n = 0; n < kMaxDatagramsPerWakeup; ++n) {
        boost::system::error_code ec;
        const std::size_t bytes =
          mSocket.receive_from(asio::buffer(mBuffer), mSender, 0, ec);
        if (ec) {
          break;
        }
        OnReceived(bytes);
      }
      Receive();
    });
}

void PeerDatagrams::OnReceived(std::size_t aBytes)
{
  ++mMetrics.mDatagramsReceived;
  auto envelope = DecodeEnvelope({ mBuffer.data(), aBytes }, mCodec);
  if (!envelope) {
    ++mMetrics.mPeerMessagesMalformed;
    return;
  }
  mSink(event::PeerMessageReceived{
    .mFrom = std::move(envelope->mFrom),
    .mMessage = std::move(envelope->mMessage),
  });
}

void PeerDatagrams::Stop()
{
  boost::system::error_code ec;
  mSocket.close(ec);
}

} // namespace cranberrywing::daemon
