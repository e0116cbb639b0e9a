#include "netutil/http_session.h"

#include <boost/beast/http/error.hpp>

#include "netutil/problem.h"
#include "netutil/target.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;
/// Buffers above this size are given back when they are empty.
constexpr std::size_t kKeptBytes = 64 * 1024;
/// Unsent output above which no further request is read.
constexpr std::size_t kOutputPauseBytes = 1024 * 1024;
constexpr std::chrono::seconds kDrainLimit{ 2 };

std::string ToText(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

HttpSession::HttpSession(HttpServer& aServer,
                         asio::ip::tcp::socket aSocket,
                         ConnectionId aId)
  : mServer(&aServer)
  , mSocket(std::move(aSocket))
  , mId(aId)
  , mLastActivity(aServer.mNow)
{
}

void HttpSession::Start()
{
  boost::system::error_code ec;
  const auto endpoint = mSocket.remote_endpoint(ec);
  if (!ec) {
    mRemoteAddress = endpoint.address().to_string();
  }
  Read();
}

void HttpSession::Detach()
{
  mServer = nullptr;
  End();
}

bool HttpSession::IsInRequest() const
{
  return mParser.has_value() || mBuffer.size() > 0;
}

bool HttpSession::MayRead() const
{
  if (mIsReading || mIsEnded) {
    return false;
  }
  if (mIsClosing) {
    return true;
  }
  return mPending.size() < mServer->mOptions.mMaxPipelinedRequests &&
         mOutput.size() < kOutputPauseBytes;
}

void HttpSession::Read()
{
  if (!MayRead()) {
    return;
  }
  if (mBuffer.size() == 0 && mBuffer.capacity() > kKeptBytes) {
    mBuffer = boost::beast::flat_buffer();
  }
  const bool isInBody = mParser && mParser->is_header_done();
  mIsReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(isInBody ? kBodyReadBytes : kReadBytes),
    [self = shared_from_this()](boost::system::error_code aError,
                                std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void HttpSession::OnRead(boost::system::error_code aError, std::size_t aBytes)
{
  mIsReading = false;
  if (mIsEnded) {
    return;
  }
  if (aError) {
    End();
    return;
  }
  mBuffer.commit(aBytes);
  if (!mIsDraining) {
    mLastActivity = mServer->mNow;
  }
  Advance();
}

void HttpSession::Advance()
{
  if (mIsCorked || mIsEnded) {
    return;
  }
  mIsCorked = true;
  ParseRequests();
  mIsCorked = false;
  if (mIsEnded) {
    return;
  }
  Write();
  FinishSending();
  Read();
}

void HttpSession::ParseRequests()
{
  while (!mIsEnded && !mIsClosing && ParseOne()) {
  }
  if (mIsClosing) {
    mBuffer.clear();
  }
}

bool HttpSession::ParseOne()
{
  if (mBuffer.size() == 0 ||
      mPending.size() >= mServer->mOptions.mMaxPipelinedRequests ||
      mOutput.size() >= kOutputPauseBytes) {
    return false;
  }
  if (!mParser) {
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(
      static_cast<std::uint32_t>(mServer->mOptions.mMaxHeaderBytes));
    mParser->body_limit(mServer->mOptions.mMaxBodyBytes);
    mRequestStart = mServer->mNow;
  }
  const bool hadHeader = mParser->is_header_done();
  boost::system::error_code ec;
  mBuffer.consume(mParser->put(mBuffer.data(), ec));
  if (ec && ec != http::error::need_more) {
    RefuseInput(ec);
    return false;
  }
  if (mParser->is_done()) {
    TakeRequest();
    return true;
  }
  if (!hadHeader && mParser->is_header_done()) {
    OnHeaderRead();
  }
  return ec != http::error::need_more;
}

void HttpSession::OnHeaderRead()
{
  const auto expect = mParser->get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue")) {
    mIsContinueDue = true;
    AppendContinue();
  }
}

void HttpSession::AppendContinue()
{
  // An interim answer must not overtake answers of earlier requests.
  if (mIsContinueDue && mPending.empty()) {
    mIsContinueDue = false;
    mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
  }
}

void HttpSession::TakeRequest()
{
  mIsContinueDue = false;
  auto& message = mParser->get();
  RequestContent request;
  request.mMethod = ToText(message.method_string());
  const auto target = NormalizeTarget(ToText(message.target()));
  if (!target) {
    RefuseWith(ResultCode::InvalidArgument, target.error().mMessage, 400);
    return;
  }
  const auto coding = message[http::field::transfer_encoding];
  if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
    RefuseWith(ResultCode::Malformed, "transfer coding is not supported", 501);
    return;
  }
  if (message.method() == http::verb::connect ||
      message.method() == http::verb::trace) {
    RefuseWith(ResultCode::InvalidArgument, "method is not supported", 501);
    return;
  }
  request.mTarget = *target;
  for (const auto& field : message) {
    request.mHeaders.push_back(
      { ToText(field.name_string()), ToText(field.value()) });
  }
  request.mBody = std::move(message.body());
  mIsClosing = mCloseWanted || !message.keep_alive();
  const ExchangeId exchange{ mId, mNextNumber++ };
  Pending pending;
  pending.mNumber = exchange.mNumber;
  pending.mIsHead = message.method() == http::verb::head;
  mPending.push_back(std::move(pending));
  mParser.reset();
  mServer->mHooks.mOnRequest(exchange, std::move(request));
}

void HttpSession::RefuseInput(boost::system::error_code aError)
{
  if (aError == http::error::header_limit) {
    RefuseWith(ResultCode::RequestTooLarge, "header is too long", 431);
  } else if (aError == http::error::body_limit) {
    RefuseWith(ResultCode::RequestTooLarge, "body is too long", 413);
  } else {
    RefuseWith(ResultCode::Malformed, "not HTTP/1.1: " + aError.message(), 400);
  }
}

void HttpSession::RefuseWith(ResultCode aCode,
                             std::string aDetail,
                             unsigned aStatus)
{
  AnswerContent answer = *MakeProblemResponse(Refusal{
    .mCode = aCode,
    .mExecution = Execution::NotRun,
    .mDetail = std::move(aDetail),
    .mRetryAfter = {},
  });
  answer.mStatus = aStatus;
  Pending pending;
  pending.mNumber = mNextNumber++;
  pending.mAnswer = std::make_shared<const AnswerContent>(std::move(answer));
  mPending.push_back(std::move(pending));
  mIsClosing = true;
  mIsContinueDue = false;
  mParser.reset();
  FlushAnswers();
}

void HttpSession::CheckLimits()
{
  const HttpServerOptions& limits = mServer->mOptions;
  const auto now = mServer->mNow;
  if (mIsDraining) {
    if (now - mLastActivity > kDrainLimit) {
      End();
    }
    return;
  }
  if (mIsWriting) {
    if (now - mLastActivity > limits.mWriteTimeout) {
      End();
    }
    return;
  }
  if (mIsClosing || !mPending.empty()) {
    return;
  }
  if (IsInRequest() && now - mRequestStart > limits.mReadTimeout) {
    RefuseWith(ResultCode::DeadlineExceeded, "request came too slowly", 408);
    Advance();
  } else if (!IsInRequest() && now - mLastActivity > limits.mIdleTimeout) {
    CloseAfterAnswers();
  }
}

} // namespace cranberrywing::netutil
