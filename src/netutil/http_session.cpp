#include "netutil/http_session.h"

#include <boost/beast/http/error.hpp>

#include "netutil/parse_some.h"
#include "netutil/problem.h"
#include "netutil/target.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;
/// Empty buffers with a larger capacity are freed.
constexpr std::size_t kMaxRetainedBytes = 64 * 1024;
/// No further request is read while more output than this is unsent.
constexpr std::size_t kReadPauseOutputBytes = 1024 * 1024;
/// Maximum time to wait for the peer to close after the last response.
constexpr std::chrono::seconds kDrainTimeout{ 2 };
/// Memory that a body of unknown length uses at most while its buffer grows, as
/// a multiple of its size.
constexpr std::size_t kGrowthFactor = 3;
/// Told to callers whose body found no memory.
constexpr Milliseconds kMemoryRetryDelay{ 250 };

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
  Close();
}

bool HttpSession::HasPartialRequest() const
{
  return mParser.has_value() || mBuffer.size() > 0;
}

bool HttpSession::IsPausedForOutput()
{
  return !mParser && !mServer->mHeld.TryRead(mId);
}

bool HttpSession::CanRead()
{
  if (mIsReading || mIsClosed || mAwaitsMemory) {
    return false;
  }
  if (mIsClosing) {
    return true;
  }
  return mPending.size() < mServer->mOptions.mMaxPipelinedRequests &&
         mOutput.size() < kReadPauseOutputBytes && !IsPausedForOutput();
}

void HttpSession::Read()
{
  if (!CanRead()) {
    return;
  }
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxRetainedBytes) {
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
  if (mIsClosed) {
    return;
  }
  if (aError) {
    Close();
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
  if (mIsCorked || mIsClosed) {
    return;
  }
  mIsCorked = true;
  ParseRequests();
  mIsCorked = false;
  if (mIsClosed) {
    return;
  }
  Write();
  StartDraining();
  Read();
}

void HttpSession::ParseRequests()
{
  while (!mIsClosed && !mIsClosing && ParseNextRequest()) {
  }
  if (mIsClosing) {
    mBuffer.clear();
  }
}

bool HttpSession::ParseNextRequest()
{
  if (mBuffer.size() == 0 || mAwaitsMemory ||
      mPending.size() >= mServer->mOptions.mMaxPipelinedRequests ||
      mOutput.size() >= kReadPauseOutputBytes || IsPausedForOutput()) {
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
  detail::ParseSome(*mParser, mBuffer, mServer->mOptions.mMaxHeaderBytes, ec);
  if (ec && ec != http::error::need_more) {
    RejectParseError(ec);
    return false;
  }
  if (mParser->is_done()) {
    DispatchRequest();
    return true;
  }
  if (!hadHeader && mParser->is_header_done()) {
    OnHeaderRead();
  }
  return ReserveBody() && ec != http::error::need_more;
}

std::size_t HttpSession::NeededBodyBytes() const
{
  if (!mParser->is_header_done()) {
    return 0;
  }
  const auto length = mParser->content_length();
  return length ? *length
                : kGrowthFactor *
                    std::max(kBodyReadBytes, mParser->get().body().size());
}

bool HttpSession::ReserveBody()
{
  const std::size_t needed = NeededBodyBytes();
  if (needed <= mReservedBytes) {
    return true;
  }
  if (!mServer->IsBodyPossible(needed)) {
    RejectForMemory();
    return false;
  }
  if (TryReserveAwaited()) {
    AppendContinue();
    return true;
  }
  mAwaitsMemory = true;
  mAwaitsSince = mServer->mNow;
  mServer->AwaitBodyMemory(mId, mReservedBytes > 0);
  return false;
}

bool HttpSession::TryReserveAwaited()
{
  const std::size_t needed = NeededBodyBytes();
  const bool isReserved =
    mServer->TryReserveBody(mId, needed - mReservedBytes, mReservedBytes > 0);
  if (isReserved) {
    mReservedBytes = needed;
  }
  return isReserved;
}

void HttpSession::ResumeBody()
{
  mAwaitsMemory = false;
  // The time limit for sending the request is the caller's.
  mRequestStart += mServer->mNow - mAwaitsSince;
  AppendContinue();
  Advance();
}

void HttpSession::ReleaseReserved()
{
  if (mAwaitsMemory) {
    mAwaitsMemory = false;
    mServer->StopAwaitingMemory(mId);
  }
  mServer->ReleaseBody(std::exchange(mReservedBytes, 0));
}

void HttpSession::RejectForMemory()
{
  ++mServer->mMemoryRejections;
  RejectRequest(ResultCode::Overloaded,
                "no memory for the request body",
                503,
                kMemoryRetryDelay);
}

void HttpSession::OnHeaderRead()
{
  const auto expect = mParser->get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue")) {
    mIsContinuePending = true;
  }
}

void HttpSession::AppendContinue()
{
  // An interim response must not be sent before the responses to earlier
  // requests.
  if (mIsContinuePending && mPending.empty()) {
    mIsContinuePending = false;
    mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
    UpdateHeld();
  }
}

void HttpSession::DispatchRequest()
{
  mIsContinuePending = false;
  auto& message = mParser->get();
  RequestContent request;
  request.mMethod = ToText(message.method_string());
  const auto target = NormalizeTarget(ToText(message.target()));
  if (!target) {
    RejectRequest(ResultCode::InvalidArgument, target.error().mMessage, 400);
    return;
  }
  const auto coding = message[http::field::transfer_encoding];
  if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
    RejectRequest(ResultCode::Malformed,
                  "unsupported transfer coding; only chunked is supported",
                  501);
    return;
  }
  if (message.method() == http::verb::connect ||
      message.method() == http::verb::trace) {
    RejectRequest(ResultCode::InvalidArgument,
                  "methods CONNECT and TRACE are not supported",
                  501);
    return;
  }
  request.mTarget = *target;
  for (const auto& field : message) {
    request.mHeaders.push_back(
      { ToText(field.name_string()), ToText(field.value()) });
  }
  request.mBody = std::move(message.body());
  if (request.mBody.size() > mReservedBytes) {
    mServer->ReserveBody(request.mBody.size() - mReservedBytes);
    mReservedBytes = request.mBody.size();
  }
  mIsClosing = mIsCloseRequested || !message.keep_alive();
  const ExchangeId exchange{ mId, mNextNumber++ };
  PendingExchange pending;
  pending.mNumber = exchange.mNumber;
  pending.mIsHead = message.method() == http::verb::head;
  pending.mBodyBytes = std::exchange(mReservedBytes, 0);
  mPending.push_back(std::move(pending));
  mParser.reset();
  mServer->mHooks.mOnRequest(exchange, std::move(request));
}

void HttpSession::RejectParseError(boost::system::error_code aError)
{
  if (aError == http::error::header_limit) {
    RejectRequest(ResultCode::RequestTooLarge,
                  "request header exceeds the size limit",
                  431);
  } else if (aError == http::error::body_limit) {
    RejectRequest(
      ResultCode::RequestTooLarge, "request body exceeds the size limit", 413);
  } else {
    RejectRequest(ResultCode::Malformed,
                  "malformed HTTP/1.1 request: " + aError.message(),
                  400);
  }
}

void HttpSession::RejectRequest(ResultCode aCode,
                                std::string aDetail,
                                unsigned aStatus,
                                Duration aRetryAfter)
{
  AnswerContent response = *MakeProblemResponse(Refusal{
    .mCode = aCode,
    .mExecution = Execution::NotRun,
    .mDetail = std::move(aDetail),
    .mRetryAfter = aRetryAfter,
  });
  response.mStatus = aStatus;
  PendingExchange pending;
  pending.mNumber = mNextNumber++;
  pending.mResponse =
    std::make_shared<const AnswerContent>(std::move(response));
  mWaitingBytes += pending.mResponse->mBody.size();
  mPending.push_back(std::move(pending));
  mIsClosing = true;
  mIsContinuePending = false;
  mParser.reset();
  ReleaseReserved();
  FlushResponses();
}

void HttpSession::CheckTimeouts()
{
  const HttpServerOptions& limits = mServer->mOptions;
  const auto now = mServer->mNow;
  if (mIsDraining) {
    if (now - mLastActivity > kDrainTimeout) {
      Close();
    }
    return;
  }
  if (mIsWriting) {
    if (now - mLastActivity > limits.mWriteTimeout) {
      Close();
    }
    return;
  }
  if (mAwaitsMemory) {
    if (now - mAwaitsSince > limits.mMaxMemoryWait) {
      RejectForMemory();
      Advance();
    }
    return;
  }
  if (mIsClosing || !mPending.empty()) {
    return;
  }
  if (HasPartialRequest() && now - mRequestStart > limits.mReadTimeout) {
    RejectRequest(ResultCode::DeadlineExceeded,
                  "request was not received within the read timeout",
                  408);
    Advance();
  } else if (!HasPartialRequest() &&
             now - mLastActivity > limits.mIdleTimeout) {
    CloseAfterResponses();
  }
}

} // namespace cranberrywing::netutil
