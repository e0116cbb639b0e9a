#include "netutil/http_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>

#include "netutil/headers.h"
#include "netutil/http_head.h"
#include "netutil/tcp_keep_alive.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& aContext,
                                           Endpoint aEndpoint,
                                           HttpClientOptions aOptions)
  : mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void HttpClientConnection::Start(RequestContentPtr aRequest,
                                 std::vector<Header> aExtraHeaders,
                                 Duration aTimeout,
                                 ExchangeHandler aHandler,
                                 ResponseIdentity aIdentity)
{
  ++mExchangeNumber;
  mIsActive = true;
  mWasSent = false;
  mSendState = SendState::InProgress;
  mIsEndRead = false;
  mHead = SerializeHead(*aRequest, aExtraHeaders, mEndpoint);
  mRequest = std::move(aRequest);
  mHandler = std::move(aHandler);
  mIdentity = std::move(aIdentity);
  if (mIdentity.mId) {
    mCarried.Add(*mIdentity.mId);
  }
  mTimeout = aTimeout;
  mStartedAt = std::chrono::steady_clock::now();
  mSkippedResponses = 0;
  mUse = mIsConnected ? ConnectionUse::Repeated : ConnectionUse::First;
  if (mIsConnected) {
    StartTimer(aTimeout);
    Send();
    return;
  }
  const bool hasConnectTimeout = mOptions.mConnectTimeout > Duration::zero();
  StartTimer(hasConnectTimeout ? std::min(aTimeout, mOptions.mConnectTimeout)
                               : aTimeout);
  Connect();
}

void HttpClientConnection::StartTimer(Duration aTimeout)
{
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this(), exchange = mExchangeNumber](
                      boost::system::error_code aError) {
    // The limit may have been extended after it was reached but before this
    // handler runs, which is usual after a pause of the process.
    const bool isReached =
      std::chrono::steady_clock::now() >= self->mTimer.expiry();
    if (!aError && isReached && self->mExchangeNumber == exchange &&
        self->mIsActive) {
      self->Fail(self->mWasSent ? ExchangeFailureKind::Timeout
                                : ExchangeFailureKind::Connect,
                 "exchange timed out");
    }
  });
}

bool HttpClientConnection::ChargeBudget()
{
  if (!mOptions.mBudget || !mParser) {
    return true;
  }
  const std::uint64_t exchange = mExchangeNumber;
  mOptions.mBudget->Charge(
    *this, mBuffer.capacity() + mParser->get().body().capacity());
  return mIsActive && mExchangeNumber == exchange;
}

void HttpClientConnection::ExtendTimer()
{
  if (mOptions.mProgressTime <= Duration::zero()) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto expiry =
    std::min(now + mOptions.mProgressTime, mStartedAt + mOptions.mMaxDuration);
  if (expiry > mTimer.expiry()) {
    StartTimer(expiry - now);
  }
}

void HttpClientConnection::Connect()
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(mEndpoint.mAddress, ec);
  const asio::ip::tcp::endpoint endpoint(address, mEndpoint.mPort);
  mSocket.async_connect(
    endpoint,
    [self = shared_from_this(),
     exchange = mExchangeNumber](boost::system::error_code aError) {
      if (self->mExchangeNumber == exchange && self->mIsActive) {
        self->OnConnected(aError);
      }
    });
}

void HttpClientConnection::OnConnected(boost::system::error_code aError)
{
  if (aError) {
    Fail(ExchangeFailureKind::Connect, aError.message());
    return;
  }
  if (std::chrono::steady_clock::now() - mStartedAt >= mTimeout) {
    Fail(ExchangeFailureKind::Connect, "connected after the time limit");
    return;
  }
  mIsConnected = true;
  boost::system::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  mSocket.non_blocking(true, ec);
  mLocalPort = mSocket.local_endpoint(ec).port();
  if (mOptions.mEnableTcpKeepAlive) {
    EnableTcpKeepAlive(mSocket);
  }
  if (mOptions.mConnectTimeout > Duration::zero()) {
    StartTimer(mTimeout);
  }
  Send();
}

void HttpClientConnection::Send()
{
  // From here on, bytes may have been sent, unless the write completes with
  // none.
  mWasSent = true;
  PrepareParser();
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(mHead),
    asio::buffer(mRequest->mBody),
  };
  asio::async_write(mSocket,
                    buffers,
                    [self = shared_from_this(), exchange = mExchangeNumber](
                      boost::system::error_code aError, std::size_t aBytes) {
                      if (self->mExchangeNumber == exchange &&
                          self->mIsActive) {
                        self->OnSent(aError, aBytes);
                      }
                    });
  Read();
}

void HttpClientConnection::OnSent(boost::system::error_code aError,
                                  std::size_t aBytes)
{
  if (aError && aBytes == 0) {
    mWasSent = false;
    Fail(ExchangeFailureKind::Reset, aError.message());
    return;
  }
  // After a partial write, the server may still send a response with the
  // reason, so the read operation ends the exchange.
  mSendState = aError ? SendState::Failed : SendState::Complete;
  if (mIsEndRead) {
    FinishCloseDelimited();
  }
}

void HttpClientConnection::PrepareParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->header_limit(mOptions.mMaxHeaderBytes);
  mParser->body_limit(mOptions.mMaxBodyBytes);
  mParser->skip(mRequest->mMethod == "HEAD");
}

void HttpClientConnection::Read()
{
  const bool isInBody = mParser->is_header_done();
  mSocket.async_read_some(
    mBuffer.prepare(isInBody ? kBodyReadBytes : kReadBytes),
    [self = shared_from_this(), exchange = mExchangeNumber](
      boost::system::error_code aError, std::size_t aBytes) {
      if (self->mExchangeNumber == exchange && self->mIsActive) {
        self->OnRead(aError, aBytes);
      }
    });
}

void HttpClientConnection::OnRead(boost::system::error_code aError,
                                  std::size_t aBytes)
{
  if (aError == asio::error::eof && mOptions.mAcceptsCloseDelimitedBody &&
      IsCloseDelimited()) {
    mIsEndRead = true;
    FinishCloseDelimited();
    return;
  }
  if (aError) {
    Fail(IsCloseDelimited() ? ExchangeFailureKind::Malformed
                            : ExchangeFailureKind::Reset,
         aError.message());
    return;
  }
  mBuffer.commit(aBytes);
  ExtendTimer();
  if (Parse() && ChargeBudget()) {
    Read();
  }
}

bool HttpClientConnection::IsCloseDelimited() const
{
  return mParser->is_header_done() && mParser->need_eof();
}

void HttpClientConnection::FinishCloseDelimited()
{
  // The system reports a reset once only. If the write operation received it,
  // the end that was read may be that of a truncated response.
  if (mSendState == SendState::InProgress) {
    return;
  }
  if (mSendState == SendState::Failed) {
    Fail(ExchangeFailureKind::Malformed,
         "connection failed before the end of a response without a length");
    return;
  }
  boost::system::error_code ec;
  mParser->put_eof(ec);
  if (ec) {
    Fail(ExchangeFailureKind::Malformed, ec.message());
  } else if (!OnResponseRead()) {
    Fail(ExchangeFailureKind::Reset,
         "connection closed before the response to this request");
  }
}

bool HttpClientConnection::Parse()
{
  while (mBuffer.size() > 0) {
    boost::system::error_code ec;
    mParser->ParseSome(mBuffer, mOptions.mMaxHeaderBytes, ec);
    // The parser accepts any three digits. It reports 200 until it has read the
    // status line. Checked before its errors, since those about the body of
    // such a response mean nothing.
    const unsigned status = mParser->get().result_int();
    if (status < kMinStatus || status > kMaxStatus) {
      Fail(ExchangeFailureKind::Malformed,
           "invalid status " + std::to_string(status));
      return false;
    }
    if (ec == http::error::need_more) {
      return true;
    }
    if (ec) {
      Fail(ec == http::error::body_limit ? ExchangeFailureKind::TooLarge
                                         : ExchangeFailureKind::Malformed,
           ec.message());
      return false;
    }
    if (!mParser->is_done()) {
      continue;
    }
    const auto coding = mParser->get()[http::field::transfer_encoding];
    if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
      Fail(ExchangeFailureKind::Malformed,
           "unsupported transfer coding in response");
      return false;
    }
    if (status == 101) {
      Fail(ExchangeFailureKind::Malformed,
           "unexpected 101 Switching Protocols");
      return false;
    }
    if (status >= 200 && OnResponseRead()) {
      return false;
    }
    if (++mSkippedResponses > mOptions.mMaxSkippedResponses) {
      Fail(ExchangeFailureKind::Malformed,
           "too many responses that do not belong to the request");
      return false;
    }
    PrepareParser();
  }
  // A close-delimited body is rejected: the connection also ends when the
  // server fails, so truncation could not be detected.
  if (IsCloseDelimited() && !mOptions.mAcceptsCloseDelimitedBody) {
    Fail(ExchangeFailureKind::Malformed,
         "response has neither Content-Length nor chunked coding");
    return false;
  }
  return true;
}

bool HttpClientConnection::OnResponseRead()
{
  auto& message = mParser->get();
  AnswerContent response;
  response.mStatus = message.result_int();
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    response.mHeaders.push_back(
      { { name.data(), name.size() }, { value.data(), value.size() } });
  }
  response.mBody = std::move(message.body());
  if (mIdentity.mFilter && !mIdentity.mFilter(response, mUse)) {
    // Further responses may be repeated ones as well.
    mUse = ConnectionUse::Repeated;
    return false;
  }
  mIsKeepAlive = message.keep_alive() && mSendState == SendState::Complete &&
                 mBuffer.size() == 0 && !mCarried.IsFull();
  UpdateKeepAlive(response);
  Finish(std::move(response));
  return true;
}

void HttpClientConnection::UpdateKeepAlive(const AnswerContent& aResponse)
{
  mIdleSince = std::chrono::steady_clock::now();
  mKeepAliveTimeout = Duration::zero();
  const std::string* const text = FindHeader(aResponse.mHeaders, "Keep-Alive");
  if (!text) {
    return;
  }
  const std::size_t digits = text->find_first_of("0123456789");
  std::uint32_t seconds = 0;
  if (digits != std::string::npos) {
    std::from_chars(
      text->data() + digits, text->data() + text->size(), seconds);
  }
  mKeepAliveTimeout = std::chrono::seconds(seconds);
}

void HttpClientConnection::Fail(ExchangeFailureKind aKind, std::string aDetail)
{
  mIsKeepAlive = false;
  DiscardUnsent();
  Finish(tl::unexpected(ExchangeFailure{
    .mKind = aKind,
    .mWasSent = mWasSent,
    .mDetail = std::move(aDetail),
  }));
}

void HttpClientConnection::Finish(ExchangeResult aResult)
{
  mIsActive = false;
  mTimer.cancel();
  if (mOptions.mBudget) {
    mOptions.mBudget->Release(*this);
  }
  mParser.reset();
  mRequest.reset();
  // May refer to the request, which an idle connection must not keep.
  mIdentity = {};
  const ExchangeHandler handler = std::move(mHandler);
  mHandler = nullptr;
  if (!mIsKeepAlive) {
    Close();
  }
  if (handler) {
    handler(std::move(aResult));
  }
}

void HttpClientConnection::DiscardUnsent()
{
  // Closing in the ordinary way leaves what the peer has not acknowledged to
  // the system, which goes on sending it, if need be for minutes.
  boost::system::error_code ec;
  mSocket.set_option(asio::socket_base::linger(true, 0), ec);
}

void HttpClientConnection::Close()
{
  if (mIsActive) {
    DiscardUnsent();
  }
  mIsActive = false;
  mIsConnected = false;
  mIsKeepAlive = false;
  mHandler = nullptr;
  mIdentity = {};
  mRequest.reset();
  mTimer.cancel();
  if (mOptions.mBudget) {
    mOptions.mBudget->Release(*this);
  }
  boost::system::error_code ec;
  mSocket.close(ec);
}

bool HttpClientConnection::MayCarry(const RequestContent& aRequest,
                                    const ResponseIdentity& aIdentity) const
{
  if (!aIdentity.mId) {
    return true;
  }
  // While the response to HEAD is due, all responses are read without a body.
  const bool hasToBeFirst =
    aIdentity.mId->empty() || aRequest.mMethod == "HEAD";
  return hasToBeFirst ? mExchangeNumber == 0
                      : !mCarried.Contains(*aIdentity.mId);
}

bool HttpClientConnection::IsReusable()
{
  if (!mIsConnected || mIsActive || !mIsKeepAlive) {
    return false;
  }
  if (mKeepAliveTimeout > Duration::zero() &&
      std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                    mIdleSince) >
        mOptions.mKeepAliveFraction *
          std::chrono::duration<double>(mKeepAliveTimeout)) {
    return false;
  }
  // An idle connection must have nothing to read. If it is readable, the server
  // has closed it or has sent bytes that no request asked for.
  char byte = 0;
  boost::system::error_code ec;
  mSocket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, ec);
  return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace cranberrywing::netutil
