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
/// Time without acknowledgement after which the kernel gives a peer's
/// connection up. Far below it a slow link would look dead.
constexpr int kUnacknowledgedMs = 5000;
constexpr std::size_t kQueueBytes = 64 * 1024 * 1024;
constexpr Milliseconds kAcceptPause{ 100 };

using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

PeerSender::PeerSender(asio::io_context& aContext,
                       netutil::Endpoint aEndpoint,
                       std::function<void()> aOnBroken)
  : mEndpoint(std::move(aEndpoint))
  , mOnBroken(std::move(aOnBroken))
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
        self->Break();
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
    Break();
    return;
  }
  mIsConnected = true;
  mTimer.cancel();
  boost::system::error_code ec;
  mSocket.set_option(tcp::no_delay(true), ec);
  mSocket.set_option(UserTimeout(kUnacknowledgedMs), ec);
  WatchForEnd();
  Write();
}

void PeerSender::WatchForEnd()
{
  // The peer never sends on this connection, so a read ends only with it.
  mSocket.async_read_some(
    asio::buffer(&mUnused, 1),
    [self = shared_from_this()](boost::system::error_code, std::size_t) {
      if (!self->mIsClosed) {
        self->Break();
      }
    });
}

bool PeerSender::Send(std::string aFrame)
{
  if (mQueuedBytes + aFrame.size() > kQueueBytes) {
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
        self->Break();
        return;
      }
      self->mIsWriting = false;
      self->mQueuedBytes -= self->mQueue.front().size();
      self->mQueue.pop_front();
      self->Write();
    });
}

void PeerSender::Break()
{
  const auto onBroken = std::move(mOnBroken);
  Close();
  if (onBroken) {
    onBroken();
  }
}

void PeerSender::Close()
{
  mIsClosed = true;
  mOnBroken = nullptr;
  mTimer.cancel();
  boost::system::error_code ec;
  mSocket.close(ec);
}

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
        mAcceptTimer.expires_after(kAcceptPause);
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
      if (aError || !Take(*aReceiver, aBytes)) {
        mReceivers.erase(aReceiver);
        return;
      }
      Receive(aReceiver);
    });
}

bool PeerStreams::Take(Receiver& aReceiver, std::size_t aBytes)
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
    // A later process of the VM has another address.
    sender->Close();
    sender.reset();
  }
  if (!sender) {
    sender = std::make_shared<PeerSender>(
      mContext, aEndpoint, [this, vm = aTo] { OnBroken(vm); });
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
  asio::post(mContext, [this, vm = aTo] { OnBroken(vm); });
}

void PeerStreams::OnBroken(const VmId& aVm)
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
