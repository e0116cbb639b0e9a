/// \file
/// TCP transport between daemons. Connections are unidirectional: each VM sends
/// on the connections that it opened and receives on those that it accepted.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "cranberrywing/message.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/frame_codec.h"
#include "cranberrywingd/metrics.h"
#include "netutil/endpoint.h"

namespace cranberrywing::daemon {

/// One outgoing connection. Not thread-safe; used only on the event loop's
/// thread.
class PeerSender : public std::enable_shared_from_this<PeerSender>
{
public:
  /// aOnFailure is called at most once, when the connection cannot be
  /// established or is lost; unsent messages are discarded.
  PeerSender(boost::asio::io_context& aContext,
             netutil::Endpoint aEndpoint,
             std::function<void()> aOnFailure);

  /// Starts to connect. Frames may be queued before the connection is
  /// established.
  void Start();
  /// Queues a frame. Returns false if the queue is full.
  bool Send(std::string aFrame);
  /// Closes the connection without calling the failure handler.
  void Close();
  bool HasUnsent() const { return !mQueue.empty(); }
  const netutil::Endpoint& Peer() const { return mEndpoint; }

private:
  void OnConnected(boost::system::error_code aError);
  void Write();
  /// Detects that the peer has closed the connection.
  void WatchForDisconnect();
  void HandleFailure();

  netutil::Endpoint mEndpoint;
  std::function<void()> mOnFailure;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mIsConnected = false;
  bool mIsWriting = false;
  bool mIsClosed = false;
  char mReadBuffer = 0;
};

/// Not thread-safe; used only on the event loop's thread.
class PeerStreams
{
public:
  /// Precondition: aMetrics outlives the transport.
  PeerStreams(boost::asio::io_context& aContext,
              DaemonMetrics& aMetrics,
              EventSink aSink,
              MessageCodec aCodec);
  ~PeerStreams();
  PeerStreams(const PeerStreams&) = delete;
  PeerStreams& operator=(const PeerStreams&) = delete;

  /// Starts to accept connections. Errors: InvalidArgument with the address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Sends on the open connection to the VM, or opens one. PeerUnreachable is
  /// delivered when the connection fails or its queue is full.
  void Send(const VmId& aTo,
            const netutil::Endpoint& aEndpoint,
            std::string_view aEnvelope);
  /// Whether any queued frame has not been sent yet.
  bool HasUnsent() const;
  /// Closes all connections and stops to accept new ones.
  void Stop();

private:
  struct Receiver;

  void Accept();
  void Receive(const std::shared_ptr<Receiver>& aReceiver);
  /// Decodes received bytes and delivers the messages. Returns false if the
  /// stream is malformed.
  bool ProcessReceived(Receiver& aReceiver, std::size_t aBytes);
  void OnSenderFailed(const VmId& aVm);

  boost::asio::io_context& mContext;
  DaemonMetrics& mMetrics;
  EventSink mSink;
  MessageCodec mCodec;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptTimer;
  std::unordered_map<VmId, std::shared_ptr<PeerSender>> mSenders;
  std::unordered_set<std::shared_ptr<Receiver>> mReceivers;
};

} // namespace cranberrywing::daemon
