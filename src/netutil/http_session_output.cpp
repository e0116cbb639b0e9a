#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

#include "netutil/headers.h"
#include "netutil/http_session.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Empty buffers with a larger capacity are freed.
constexpr std::size_t kMaxRetainedBytes = 64 * 1024;
/// Unsent output of a streamed response above which the peer is considered
/// stalled and the connection is closed.
constexpr std::size_t kMaxStreamOutputBytes = 64 * 1024 * 1024;
/// Sent output is freed before the whole write is done from this size on.
constexpr std::size_t kMinTrimBytes = 256 * 1024;

bool HasBody(std::uint32_t aStatus)
{
  return aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

void AppendNumber(std::string& aOutput, std::size_t aNumber, int aBase)
{
  std::array<char, 24> digits{};
  const auto result =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, aBase);
  aOutput.append(digits.data(), result.ptr);
}

void AppendHeader(std::string& aOutput, const Header& aHeader)
{
  aOutput += aHeader.mName;
  aOutput += ": ";
  aOutput += aHeader.mValue;
  aOutput += "\r\n";
}

void AppendHead(std::string& aOutput, const AnswerContent& aResponse)
{
  aOutput += "HTTP/1.1 ";
  AppendNumber(aOutput, aResponse.mStatus, 10);
  aOutput += ' ';
  const auto reason =
    http::obsolete_reason(http::int_to_status(aResponse.mStatus));
  aOutput.append(reason.data(), reason.size());
  aOutput += "\r\n";
  for (const Header& header : aResponse.mHeaders) {
    AppendHeader(aOutput, header);
  }
}

} // namespace

HttpSession::PendingExchange* HttpSession::FindPending(std::uint64_t aNumber)
{
  if (mPending.empty() || aNumber < mPending.front().mNumber) {
    return nullptr;
  }
  const std::uint64_t index = aNumber - mPending.front().mNumber;
  return index < mPending.size() ? &mPending[index] : nullptr;
}

void HttpSession::Answer(std::uint64_t aNumber,
                         AnswerContentPtr aResponse,
                         const ResponseOptions& aOptions)
{
  PendingExchange* pending = mIsClosed ? nullptr : FindPending(aNumber);
  if (!pending || pending->mResponse || pending->mIsStreaming) {
    return;
  }
  pending->mResponse = std::move(aResponse);
  mWaitingBytes += pending->mResponse->mBody.size();
  pending->mExtraHeaders = aOptions.mExtraHeaders;
  mServer->ReleaseBody(std::exchange(pending->mBodyBytes, 0));
  if (aOptions.mCloseAfter) {
    mIsCloseRequested = true;
    mIsClosing = mIsClosing || !HasPartialRequest();
  }
  FlushResponses();
  Advance();
}

void HttpSession::FlushResponses()
{
  while (!mPending.empty() && mPending.front().mResponse) {
    AppendResponse(mPending.front(), mIsClosing && mPending.size() == 1);
    mWaitingBytes -= mPending.front().mResponse->mBody.size();
    mPending.pop_front();
  }
  AppendContinue();
  UpdateHeld();
}

void HttpSession::UpdateHeld()
{
  if (mIsClosed) {
    return;
  }
  mServer->SetHeld(mId,
                   { .mWaiting = mWaitingBytes,
                     .mUnsent = mOutput.size() + mWriting.size() - mWritten });
}

void HttpSession::AppendResponse(const PendingExchange& aPending, bool aIsLast)
{
  const AnswerContent& response = *aPending.mResponse;
  AppendHead(mOutput, response);
  for (const Header& header : aPending.mExtraHeaders) {
    AppendHeader(mOutput, header);
  }
  // The response to HEAD may state the length that GET would have.
  const bool hasOwnLength =
    aPending.mIsHead && FindHeader(response.mHeaders, "Content-Length");
  if (HasBody(response.mStatus) && !hasOwnLength) {
    mOutput += "Content-Length: ";
    AppendNumber(mOutput, response.mBody.size(), 10);
    mOutput += "\r\n";
  }
  if (aIsLast) {
    mOutput += "Connection: close\r\n";
  }
  mOutput += "\r\n";
  if (HasBody(response.mStatus) && !aPending.mIsHead) {
    mOutput += response.mBody;
  }
}

void HttpSession::StartStream(std::uint64_t aNumber, const AnswerContent& aHead)
{
  PendingExchange* pending = mIsClosed ? nullptr : FindPending(aNumber);
  if (!pending || pending != &mPending.front() || pending->mResponse) {
    return;
  }
  pending->mIsStreaming = true;
  AppendHead(mOutput, aHead);
  mOutput += "Transfer-Encoding: chunked\r\n\r\n";
  UpdateHeld();
  Write();
}

void HttpSession::WriteChunk(std::uint64_t aNumber, std::string_view aBytes)
{
  const PendingExchange* pending = mIsClosed ? nullptr : FindPending(aNumber);
  if (!pending || !pending->mIsStreaming || aBytes.empty()) {
    return;
  }
  AppendNumber(mOutput, aBytes.size(), 16);
  mOutput += "\r\n";
  mOutput += aBytes;
  mOutput += "\r\n";
  UpdateHeld();
  if (mOutput.size() > kMaxStreamOutputBytes) {
    Close();
    return;
  }
  Write();
}

void HttpSession::EndStream(std::uint64_t aNumber)
{
  const PendingExchange* pending = mIsClosed ? nullptr : FindPending(aNumber);
  if (!pending || !pending->mIsStreaming) {
    return;
  }
  mOutput += "0\r\n\r\n";
  mServer->ReleaseBody(mPending.front().mBodyBytes);
  mPending.pop_front();
  FlushResponses();
  Advance();
}

void HttpSession::Write()
{
  if (mIsWriting || mIsCorked || mIsClosed || mOutput.empty()) {
    return;
  }
  mIsWriting = true;
  mWriting.swap(mOutput);
  mWritten = 0;
  mLastActivity = mServer->mNow;
  OnWritten({}, 0);
}

void HttpSession::OnWritten(boost::system::error_code aError,
                            std::size_t aBytes)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mWritten += aBytes;
  mAcceptedBytes += aBytes;
  if (aBytes > 0) {
    UpdateHeld();
    mServer->mHeld.NoteProgress(mId, mServer->mRunningTime);
  }
  if (mWritten < mWriting.size()) {
    if (aBytes > 0) {
      mLastActivity = mServer->mNow;
      TrimWriting();
    }
    mSocket.async_write_some(
      asio::buffer(mWriting.data() + mWritten, mWriting.size() - mWritten),
      [self = shared_from_this()](boost::system::error_code aWriteError,
                                  std::size_t aWriteBytes) {
        self->OnWritten(aWriteError, aWriteBytes);
      });
    return;
  }
  mIsWriting = false;
  if (mWriting.capacity() > kMaxRetainedBytes) {
    mWriting = std::string();
  }
  mWriting.clear();
  mWritten = 0;
  Advance();
}

void HttpSession::TrimWriting()
{
  if (mWritten >= kMinTrimBytes && mWritten >= mWriting.size() / 2) {
    mWriting = mWriting.substr(mWritten);
    mWritten = 0;
  }
}

void HttpSession::NoteProgress()
{
  if (!mIsWriting || !mServer->mHeld.HasLimit()) {
    return;
  }
  // The system reports that a socket is writable only once a large part of its
  // buffer is free. With a slow client that takes seconds.
  int queued = 0;
  if (::ioctl(mSocket.native_handle(), SIOCOUTQ, &queued) != 0) {
    return;
  }
  const auto unacknowledged = static_cast<std::uint64_t>(queued);
  if (unacknowledged > mAcceptedBytes) {
    // The completion of a write has not been processed yet.
    return;
  }
  const std::uint64_t taken = mAcceptedBytes - unacknowledged;
  if (taken > mTakenBytes) {
    mTakenBytes = taken;
    mLastActivity = mServer->mNow;
    mServer->mHeld.NoteProgress(mId, mServer->mRunningTime);
  }
}

void HttpSession::StartDraining()
{
  const bool isDone =
    mIsClosing && !mIsWriting && mPending.empty() && mOutput.empty();
  if (!isDone || mIsDraining || mIsClosed) {
    return;
  }
  mIsDraining = true;
  mLastActivity = mServer->mNow;
  boost::system::error_code ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void HttpSession::CloseAfterResponses()
{
  mIsCloseRequested = true;
  mIsClosing = mIsClosing || !HasPartialRequest();
  Advance();
}

void HttpSession::Abort()
{
  Close();
}

void HttpSession::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  boost::system::error_code ec;
  mSocket.close(ec);
  if (!mServer) {
    return;
  }
  const auto self = shared_from_this();
  HttpServer& server = *mServer;
  ReleaseReserved();
  for (const PendingExchange& pending : mPending) {
    if (!pending.mResponse) {
      server.mHooks.mOnAborted(ExchangeId{ mId, pending.mNumber });
    }
    server.ReleaseBody(pending.mBodyBytes);
  }
  server.OnSessionClosed(mId);
}

} // namespace cranberrywing::netutil
