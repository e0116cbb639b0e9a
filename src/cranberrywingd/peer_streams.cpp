#include "cranberrywingd/peer_streams.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

#include "netutil/acceptor.h"

namespace cranberrywing::daemon {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kConnectTimeout{ 1 };
/// Time without acknowledgement after which the kernel closes a connection.
/// With a much lower value, connections over slow links would be closed too.
constexpr int kTcpUserTimeoutMs = 5000;
constexpr std::size_t kMaxQueuedBytes = 64 * 1024 * 1024;
/// Delay after a failed accept, for example when descriptors are exhausted.
constexpr Milliseconds kAcceptRetryDelay{ 100 };

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

PeerSender::PeerSender(asio::io_context& aContext,
                       netutil::Endpoint aEndpoint,
                       std::function<void()> aOnFailure)
  : mEndpoint(std::move(aEndpoint))
  , mOnFailure(std::move(aOnFailure))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void PeerSender::Start()
{
  mTimer.expires_after(kConnectTimeout);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError && !self->mIsConnected) {
        self->HandleFailure();
      }
    });
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(mEndpoint.mAddress, ec);
  mSocket.async_connect(
    tcp::endpoint(address, mEndpoint.mPort),
    [self = shared_from_this()](boost::system::error_code aError) {
      self->OnConnected(aError);
    });
}

void PeerSender::OnConnected(boost::system::error_code aError)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    HandleFailure();
    return;
  }
  mIsConnected = true;
  mTimer.cancel();
  boost::system::error_code ec;
  mSocket.set_option(tcp::no_delay(true), ec);
  mSocket.set_option(UserTimeout(kTcpUserTimeoutMs), ec);
  WatchForDisconnect();
  Write();
}

void PeerSender::WatchForDisconnect()
{
  // The peer never sends on this connection, so a read completes only when the
  // connection ends.
  mSocket.async_read_some(
    asio::buffer(&mReadBuffer, 1),
    [self = shared_from_this()](boost::system::error_code, std::size_t) {
      if (!self->mIsClosed) {
        self->HandleFailure();
      }
    });
}

bool PeerSender::Send(std::string aFrame)
{
  if (mQueuedBytes + aFrame.size() > kMaxQueuedBytes) {
    return false;
  }
  mQueuedBytes += aFrame.size();
  mQueue.push_back(std::move(aFrame));
  Write();
  return true;
}

void PeerSender::Write()
{
  if (!mIsConnected || mIsWriting || mQueue.empty()) {
    return;
  }
  mIsWriting = true;
  asio::async_write(
    mSocket,
    asio::buffer(mQueue.front()),
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->HandleFailure();
        return;
      }
      self->mIsWriting = false;
      self->mQueuedBytes -= self->mQueue.front().size();
      self->mQueue.pop_front();
      self->Write();
    });
}

void PeerSender::HandleFailure()
{
  const auto onFailure = std::move(mOnFailure);
  Close();
  if (onFailure) {
    onFailure();
  }
}

void PeerSender::Close()
{
  mIsClosed = true;
  mOnFailure = nullptr;
  mTimer.cancel();
  boost::system::error_code ec;
  mSocket.close(ec);
}

/// One accepted connection.
struct PeerStreams::Receiver
{
  explicit Receiver(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  tcp::socket mSocket;
  FrameReader mFrames;
  std::array<char, 64 * 1024> mBuffer{};
};

PeerStreams::PeerStreams(asio::io_context& aContext,
                         DaemonMetrics& aMetrics,
                         EventSink aSink,
                         MessageCodec aCodec)
  : mContext(aContext)
  , mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mCodec(std::move(aCodec))
  , mAcceptor(aContext)
  , mAcceptTimer(aContext)
{
}

PeerStreams::~PeerStreams()
{
  Stop();
}

Result<void> PeerStreams::Listen(const netutil::Endpoint& aEndpoint)
{
  const auto listening = netutil::ListenOn(mAcceptor, aEndpoint);
  if (!listening) {
    return listening;
  }
  Accept();
  return {};
}

void PeerStreams::Accept()
{
  mAcceptor.async_accept(
    [this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        mAcceptTimer.expires_after(kAcceptRetryDelay);
        mAcceptTimer.async_wait([this](boost::system::error_code aWaitError) {
          if (!aWaitError) {
            Accept();
          }
        });
        return;
      }
      const auto receiver = std::make_shared<Receiver>(std::move(aSocket));
      mReceivers.insert(receiver);
      Receive(receiver);
      Accept();
    });
}

void PeerStreams::Receive(const std::shared_ptr<Receiver>& aReceiver)
{
  aReceiver->mSocket.async_read_some(
    asio::buffer(aReceiver->mBuffer),
    [this, aReceiver](boost::system::error_code aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError || !ProcessReceived(*aReceiver, aBytes)) {
        mReceivers.erase(aReceiver);
        return;
      }
      Receive(aReceiver);
    });
}

bool PeerStreams::ProcessReceived(Receiver& aReceiver, std::size_t aBytes)
{
  const auto frames =
    aReceiver.mFrames.Add({ aReceiver.mBuffer.data(), aBytes });
  if (!frames) {
    ++mMetrics.mPeerMessagesMalformed;
    return false;
  }
  for (const std::string& frame : *frames) {
    auto envelope = DecodeEnvelope(frame, mCodec);
    if (!envelope) {
      ++mMetrics.mPeerMessagesMalformed;
      return false;
    }
    mSink(event::PeerMessageReceived{
      .mFrom = std::move(envelope->mFrom),
      .mMessage = std::move(envelope->mMessage),
    });
  }
  return true;
}

void PeerStreams::Send(const VmId& aTo,
                       const netutil::Endpoint& aEndpoint,
                       std::string_view aEnvelope)
{
  std::shared_ptr<PeerSender>& sender = mSenders[aTo];
  if (sender && sender->Peer() != aEndpoint) {
    // A new process of the VM listens on another endpoint.
    sender->Close();
    sender.reset();
  }
  if (!sender) {
    sender = std::make_shared<PeerSender>(
      mContext, aEndpoint, [this, vm = aTo] { OnSenderFailed(vm); });
    sender->Start();
  }
  std::string frame = EncodeFrame(aEnvelope);
  const std::size_t size = frame.size();
  if (sender->Send(std::move(frame))) {
    mMetrics.mStreamBytesSent += size;
    return;
  }
  ++mMetrics.mPeerMessagesDropped;
  sender->Close();
  asio::post(mContext, [this, vm = aTo] { OnSenderFailed(vm); });
}

void PeerStreams::OnSenderFailed(const VmId& aVm)
{
  mSenders.erase(aVm);
  mSink(event::PeerUnreachable{ .mVm = aVm });
}

bool PeerStreams::HasUnsent() const
{
  for (const auto& [vm, sender] : mSenders) {
    if (sender->HasUnsent()) {
      return true;
    }
  }
  return false;
}

void PeerStreams::Stop()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  mAcceptTimer.cancel();
  for (auto& [vm, sender] : mSenders) {
    sender->Close();
  }
  mSenders.clear();
  for (const auto& receiver : mReceivers) {
    receiver->mSocket.close(ec);
  }
  mReceivers.clear();
}

} // namespace cranberrywing::daemon
