/// \file
/// TCP streams between daemons. Each VM sends on connections that it opened
/// itself and receives on those that it accepted.
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

/// One outgoing connection. Not thread-safe.
class PeerSender : public std::enable_shared_from_this<PeerSender>
{
public:
  /// aOnBroken is called once, when the connection could not be made or
  /// broke; messages that were not sent are lost then.
  PeerSender(boost::asio::io_context& aContext,
             netutil::Endpoint aEndpoint,
             std::function<void()> aOnBroken);

  void Start();
  /// False if too much waits already.
  bool Send(std::string aFrame);
  /// Calls nothing any more.
  void Close();
  bool HasUnsent() const { return !mQueue.empty(); }
  const netutil::Endpoint& Peer() const { return mEndpoint; }

private:
  void OnConnected(boost::system::error_code aError);
  void Write();
  void WatchForEnd();
  void Break();

  netutil::Endpoint mEndpoint;
  std::function<void()> mOnBroken;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mIsConnected = false;
  bool mIsWriting = false;
  bool mIsClosed = false;
  char mUnused = 0;
};

/// Not thread-safe; belongs to the event loop's thread.
class PeerStreams
{
public:
  /// aMetrics outlives the transport.
  PeerStreams(boost::asio::io_context& aContext,
              DaemonMetrics& aMetrics,
              EventSink aSink,
              MessageCodec aCodec);
  ~PeerStreams();
  PeerStreams(const PeerStreams&) = delete;
  PeerStreams& operator=(const PeerStreams&) = delete;

  /// Errors: InvalidArgument with the address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Sends on the open connection to the VM or on a new one. A connection
  /// that breaks gives PeerUnreachable.
  void Send(const VmId& aTo,
            const netutil::Endpoint& aEndpoint,
            std::string_view aEnvelope);
  bool HasUnsent() const;
  void Stop();

private:
  struct Receiver;

  void Accept();
  void Receive(const std::shared_ptr<Receiver>& aReceiver);
  /// False if the stream is unusable.
  bool Take(Receiver& aReceiver, std::size_t aBytes);
  void OnBroken(const VmId& aVm);

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
