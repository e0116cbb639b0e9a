#include "cranberrywingd/backend_client.h"

#include "cranberrywing/parse_number.h"
#include "cranberrywingd/caller_request.h"
#include "netutil/headers.h"

namespace cranberrywing::daemon {

namespace {

constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::string_view kNotRunHeader = "Cranberrywing-Not-Run";
constexpr std::int64_t kMaxRetryAfterSeconds = 3600;

Duration ReadRetryAfter(const AnswerContent& aAnswer)
{
  const std::string* text =
    netutil::FindHeader(aAnswer.mHeaders, "Retry-After");
  if (!text) {
    return {};
  }
  const auto seconds = ParseNumber<std::int64_t>(*text);
  // The HTTP-date form is ignored, since it depends on the sender's clock.
  if (!seconds || *seconds < 0) {
    return {};
  }
  return std::chrono::seconds(std::min(*seconds, kMaxRetryAfterSeconds));
}

std::string_view NameOf(event::FailureKind aKind)
{
  switch (aKind) {
    case event::FailureKind::Connect:
      return "connect";
    case event::FailureKind::Timeout:
      return "timeout";
    case event::FailureKind::Reset:
      return "reset";
    case event::FailureKind::MalformedAnswer:
      return "malformed_answer";
    case event::FailureKind::Shed:
      return "shed";
    case event::FailureKind::ServerError:
      break;
  }
  return "server_error";
}

} // namespace

ShedStatus ReadShedStatus(const AnswerContent& aAnswer)
{
  const std::string* notRun =
    netutil::FindHeader(aAnswer.mHeaders, kNotRunHeader);
  const bool isShed =
    aAnswer.mStatus == kServiceUnavailable && notRun && *notRun == "1";
  if (!isShed) {
    return {};
  }
  return { .mIsShed = true, .mRetryAfter = ReadRetryAfter(aAnswer) };
}

bool IsAnswerToAttempt(const AnswerContent& aAnswer,
                       const std::string& aAttemptId,
                       netutil::ConnectionUse aUse)
{
  if (const std::string* const id =
        netutil::FindHeader(aAnswer.mHeaders, kAttemptHeader)) {
    return *id == aAttemptId;
  }
  return aUse == netutil::ConnectionUse::First ||
         !ReadShedStatus(aAnswer).mIsShed;
}

std::optional<event::BackendFailed> DescribeRefusal(
  const AnswerContent& aAnswer)
{
  const ShedStatus shed = ReadShedStatus(aAnswer);
  if (!shed.mIsShed) {
    return std::nullopt;
  }
  if (!netutil::FindHeader(aAnswer.mHeaders, kAttemptHeader)) {
    return event::BackendFailed{
      .mStage = event::FailureStage::AfterFirstByte,
      .mKind = event::FailureKind::MalformedAnswer,
    };
  }
  return event::BackendFailed{ .mKind = event::FailureKind::Shed,
                               .mRetryAfter = shed.mRetryAfter };
}

event::BackendFailed DescribeFailure(const netutil::ExchangeFailure& aFailure)
{
  using netutil::ExchangeFailureKind;
  event::BackendFailed failed;
  failed.mStage = aFailure.mWasSent ? event::FailureStage::AfterFirstByte
                                    : event::FailureStage::BeforeFirstByte;
  switch (aFailure.mKind) {
    case ExchangeFailureKind::Connect:
      failed.mKind = event::FailureKind::Connect;
      break;
    case ExchangeFailureKind::Timeout:
      failed.mKind = event::FailureKind::Timeout;
      break;
    case ExchangeFailureKind::Reset:
      failed.mKind = event::FailureKind::Reset;
      break;
    case ExchangeFailureKind::TooLarge:
    case ExchangeFailureKind::Malformed:
      failed.mKind = event::FailureKind::MalformedAnswer;
      break;
  }
  return failed;
}

BackendClient::BackendClient(boost::asio::io_context& aContext,
                             DaemonMetrics& aMetrics,
                             EventSink aSink)
  : mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mPool(aContext, {})
{
}

void BackendClient::Execute(const effect::Dispatch& aEffect)
{
  ++mMetrics.mBackendExchanges;
  const AttemptId id{ aEffect.mRequest, aEffect.mAttempt };
  const netutil::Endpoint endpoint{ aEffect.mAddress, aEffect.mPort };
  mEndpoints[aEffect.mBackend] = endpoint;
  // Some servers interpret zero as no deadline.
  const auto remaining = std::max(
    std::chrono::floor<Milliseconds>(aEffect.mTimeout), Milliseconds(1));
  std::vector<Header> headers{ { "X-Request-Deadline-Ms",
                                 std::to_string(remaining.count()) } };
  const std::string attemptId =
    std::to_string(static_cast<std::uint64_t>(aEffect.mRequest)) + "-" +
    std::to_string(aEffect.mAttempt);
  headers.push_back({ std::string(kAttemptHeader), attemptId });
  const bool isHead = aEffect.mContent->mMethod == "HEAD";
  mAttempts[id] =
    mPool.Start(endpoint,
                aEffect.mContent,
                std::move(headers),
                aEffect.mTimeout,
                [this, id, isHead, dispatched = ReadClock()](
                  netutil::ExchangeResult aResult) {
                  OnResult(id, dispatched, isHead, std::move(aResult));
                },
                { .mId = attemptId,
                  .mFilter = [this, attemptId](const AnswerContent& aAnswer,
                                               netutil::ConnectionUse aUse) {
                    const bool isAnswer =
                      IsAnswerToAttempt(aAnswer, attemptId, aUse);
                    mMetrics.mForeignAnswers += isAnswer ? 0 : 1;
                    return isAnswer;
                  } });
}

void BackendClient::OnResult(const AttemptId& aId,
                             TimePoint aDispatched,
                             bool aIsHead,
                             netutil::ExchangeResult aResult)
{
  const auto node = mAttempts.extract(aId);
  const TimePoint now = ReadClock();
  event::BackendFailed failed;
  if (aResult) {
    const auto refusal = DescribeRefusal(*aResult);
    if (!refusal) {
      mMetrics.mBackendLatency.Add(now - aDispatched, now);
      SanitizeAnswer(*aResult, aIsHead);
      mSink(event::BackendResponded{
        .mRequest = aId.mRequest,
        .mAttempt = aId.mAttempt,
        .mAnswer = std::make_shared<const AnswerContent>(std::move(*aResult)),
        .mLatency = now - aDispatched,
      });
      return;
    }
    failed = *refusal;
    if (node && failed.mKind == event::FailureKind::MalformedAnswer) {
      // The server may still be at work on the request.
      node.mapped()->Close();
    }
  } else {
    failed = DescribeFailure(aResult.error());
  }
  ++mMetrics.mBackendFailures[std::string(NameOf(failed.mKind))];
  failed.mRequest = aId.mRequest;
  failed.mAttempt = aId.mAttempt;
  mSink(std::move(failed));
}

void BackendClient::Execute(const effect::CancelDispatch& aEffect)
{
  const auto it = mAttempts.find({ aEffect.mRequest, aEffect.mAttempt });
  if (it == mAttempts.end()) {
    return;
  }
  it->second->Close();
  mAttempts.erase(it);
}

void BackendClient::Execute(const effect::CloseBackendConnections& aEffect)
{
  const auto it = mEndpoints.find(aEffect.mBackend);
  if (it == mEndpoints.end()) {
    return;
  }
  mPool.CloseIdle(it->second);
  mEndpoints.erase(it);
}

} // namespace cranberrywing::daemon
