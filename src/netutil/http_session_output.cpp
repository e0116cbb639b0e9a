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

/// Buffers above this size are given back when they are empty.
constexpr std::size_t kKeptBytes = 64 * 1024;
/// Unsent output above which a streamed answer's reader counts as stuck.
constexpr std::size_t kOutputLimitBytes = 64 * 1024 * 1024;

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

void AppendHead(std::string& aOutput, const AnswerContent& aAnswer)
{
  aOutput += "HTTP/1.1 ";
  AppendNumber(aOutput, aAnswer.mStatus, 10);
  aOutput += ' ';
  const auto reason =
    http::obsolete_reason(http::int_to_status(aAnswer.mStatus));
  aOutput.append(reason.data(), reason.size());
  aOutput += "\r\n";
  for (const Header& header : aAnswer.mHeaders) {
    AppendHeader(aOutput, header);
  }
}

} // namespace

HttpSession::Pending* HttpSession::FindPending(std::uint64_t aNumber)
{
  if (mPending.empty() || aNumber < mPending.front().mNumber) {
    return nullptr;
  }
  const std::uint64_t index = aNumber - mPending.front().mNumber;
  return index < mPending.size() ? &mPending[index] : nullptr;
}

void HttpSession::Answer(std::uint64_t aNumber,
                         AnswerContentPtr aAnswer,
                         const ResponseOptions& aOptions)
{
  Pending* pending = mIsEnded ? nullptr : FindPending(aNumber);
  if (!pending || pending->mAnswer || pending->mIsStreaming) {
    return;
  }
  pending->mAnswer = std::move(aAnswer);
  pending->mExtraHeaders = aOptions.mExtraHeaders;
  if (aOptions.mCloseAfter) {
    mCloseWanted = true;
    mIsClosing = mIsClosing || !IsInRequest();
  }
  FlushAnswers();
  Advance();
}

void HttpSession::FlushAnswers()
{
  while (!mPending.empty() && mPending.front().mAnswer) {
    AppendAnswer(mPending.front(), mIsClosing && mPending.size() == 1);
    mPending.pop_front();
  }
  AppendContinue();
}

void HttpSession::AppendAnswer(const Pending& aPending, bool aIsLast)
{
  const AnswerContent& answer = *aPending.mAnswer;
  AppendHead(mOutput, answer);
  for (const Header& header : aPending.mExtraHeaders) {
    AppendHeader(mOutput, header);
  }
  // The answer to HEAD tells the length that GET would have had.
  const bool hasOwnLength =
    aPending.mIsHead && FindHeader(answer.mHeaders, "Content-Length");
  if (HasBody(answer.mStatus) && !hasOwnLength) {
    mOutput += "Content-Length: ";
    AppendNumber(mOutput, answer.mBody.size(), 10);
    mOutput += "\r\n";
  }
  if (aIsLast) {
    mOutput += "Connection: close\r\n";
  }
  mOutput += "\r\n";
  if (HasBody(answer.mStatus) && !aPending.mIsHead) {
    mOutput += answer.mBody;
  }
}

void HttpSession::StartStream(std::uint64_t aNumber, const AnswerContent& aHead)
{
  Pending* pending = mIsEnded ? nullptr : FindPending(aNumber);
  if (!pending || pending != &mPending.front() || pending->mAnswer) {
    return;
  }
  pending->mIsStreaming = true;
  AppendHead(mOutput, aHead);
  mOutput += "Transfer-Encoding: chunked\r\n\r\n";
  Write();
}

void HttpSession::WriteChunk(std::uint64_t aNumber, std::string_view aBytes)
{
  const Pending* pending = mIsEnded ? nullptr : FindPending(aNumber);
  if (!pending || !pending->mIsStreaming || aBytes.empty()) {
    return;
  }
  AppendNumber(mOutput, aBytes.size(), 16);
  mOutput += "\r\n";
  mOutput += aBytes;
  mOutput += "\r\n";
  if (mOutput.size() > kOutputLimitBytes) {
    End();
    return;
  }
  Write();
}

void HttpSession::EndStream(std::uint64_t aNumber)
{
  const Pending* pending = mIsEnded ? nullptr : FindPending(aNumber);
  if (!pending || !pending->mIsStreaming) {
    return;
  }
  mOutput += "0\r\n\r\n";
  mPending.pop_front();
  FlushAnswers();
  Advance();
}

void HttpSession::Write()
{
  if (mIsWriting || mIsCorked || mIsEnded || mOutput.empty()) {
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
  if (mIsEnded) {
    return;
  }
  if (aError) {
    End();
    return;
  }
  mWritten += aBytes;
  if (mWritten < mWriting.size()) {
    if (aBytes > 0) {
      mLastActivity = mServer->mNow;
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
  if (mWriting.capacity() > kKeptBytes) {
    mWriting = std::string();
  }
  mWriting.clear();
  Advance();
}

void HttpSession::FinishSending()
{
  const bool isDone =
    mIsClosing && !mIsWriting && mPending.empty() && mOutput.empty();
  if (!isDone || mIsDraining || mIsEnded) {
    return;
  }
  mIsDraining = true;
  mLastActivity = mServer->mNow;
  boost::system::error_code ec;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void HttpSession::CloseAfterAnswers()
{
  mCloseWanted = true;
  mIsClosing = mIsClosing || !IsInRequest();
  Advance();
}

void HttpSession::Abort()
{
  End();
}

void HttpSession::End()
{
  if (mIsEnded) {
    return;
  }
  mIsEnded = true;
  boost::system::error_code ec;
  mSocket.close(ec);
  if (!mServer) {
    return;
  }
  const auto self = shared_from_this();
  HttpServer& server = *mServer;
  for (const Pending& pending : mPending) {
    if (!pending.mAnswer) {
      server.mHooks.mOnAborted(ExchangeId{ mId, pending.mNumber });
    }
  }
  server.OnEnded(mId);
}

} // namespace cranberrywing::netutil
