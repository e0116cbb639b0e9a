#include "standins/backend/backend_server.h"

#include <algorithm>
#include <charconv>
#include <unistd.h>

#include "netutil/headers.h"
#include "netutil/json.h"
#include "netutil/problem.h"

namespace cranberrywing::standins {

namespace json = boost::json;
using netutil::ExchangeId;

namespace {

/// Window over which the load endpoint averages the arrival rate.
constexpr std::chrono::seconds kLoadWindow{ 5 };

std::optional<Milliseconds> DeadlineOf(const RequestContent& aRequest)
{
  const std::string* text =
    netutil::FindHeader(aRequest.mHeaders, "X-Request-Deadline-Ms");
  std::int64_t number = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), number).ec !=
        std::errc()) {
    return std::nullopt;
  }
  return Milliseconds(number);
}

bool IsSafe(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

} // namespace

BackendServer::BackendServer(boost::asio::io_context& aContext,
                             BackendServerOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mBehaviour(mOptions.mBehaviour)
  , mServer(aContext,
            {},
            { .mOnRequest =
                [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
                  OnRequest(aExchange, std::move(aRequest));
                },
              .mOnAborted =
                [this](const ExchangeId& aExchange) { OnAborted(aExchange); } })
  , mStart(Clock::now())
{
}

Result<void> BackendServer::Start()
{
  const auto opened = mLog.Open(mOptions.mExecutionFile);
  return opened ? mServer.Listen(mOptions.mListen) : opened;
}

void BackendServer::Stop()
{
  mServer.StopAccepting();
  mServer.AbortAll();
}

void BackendServer::OnRequest(const ExchangeId& aExchange,
                              RequestContent&& aRequest)
{
  if (AnswerContentPtr answer = AnswerBuiltInEndpoint(aRequest)) {
    mServer.Answer(aExchange, std::move(answer), {});
    return;
  }
  Enqueue(aExchange, std::move(aRequest));
}

AnswerContentPtr BackendServer::AnswerBuiltInEndpoint(
  const RequestContent& aRequest)
{
  const std::string call = aRequest.mMethod + " " + aRequest.mTarget;
  if (call == "GET /healthz") {
    return Health();
  }
  if (call == "GET /load") {
    return Load();
  }
  if (call == "GET /_executions") {
    return netutil::MakeJsonResponse(200, mLog.Encode());
  }
  if (call == "GET /_counters") {
    return EncodeCounters();
  }
  if (call == "POST /_control") {
    return Control(aRequest.mBody);
  }
  return nullptr;
}

AnswerContentPtr BackendServer::Health() const
{
  const bool isHealthy = mBehaviour.mHealthOverride.value_or(true);
  json::object body;
  body["status"] = mBehaviour.mDraining ? "draining"
                   : isHealthy          ? "ok"
                                        : "failing";
  const bool isOk = isHealthy && !mBehaviour.mDraining;
  return netutil::MakeJsonResponse(isOk ? 200 : 503, body);
}

double BackendServer::ArrivalRate(Clock::time_point aNow)
{
  while (!mArrivals.empty() && mArrivals.front() < aNow - kLoadWindow) {
    mArrivals.pop_front();
  }
  return static_cast<double>(mArrivals.size()) /
         std::chrono::duration<double>(kLoadWindow).count();
}

AnswerContentPtr BackendServer::Load()
{
  const double rate = ArrivalRate(Clock::now());
  json::object metrics;
  metrics["in_flight"] =
    static_cast<double>(mRunning) + static_cast<double>(mQueue.size());
  json::object body;
  body["cpu_utilization"] =
    mBehaviour.mUtilizationOverride.value_or(rate / mBehaviour.mCapacity);
  body["rps_fractional"] = rate;
  body["named_metrics"] = std::move(metrics);
  return netutil::MakeJsonResponse(200, body);
}

AnswerContentPtr BackendServer::Control(const std::string& aBody)
{
  const auto body = netutil::ParseObject(aBody);
  if (!body) {
    return netutil::MakeProblemResponse(body.error());
  }
  const auto behaviour = ApplyBehaviour(mBehaviour, *body);
  if (!behaviour) {
    return netutil::MakeProblemResponse(behaviour.error());
  }
  mBehaviour = *behaviour;
  return netutil::MakeJsonResponse(200, json::object());
}

AnswerContentPtr BackendServer::EncodeCounters() const
{
  json::object body;
  body["arrived"] = mCounters.mArrived;
  body["answered"] = mCounters.mAnswered;
  body["shed"] = mCounters.mShed;
  body["late"] = mCounters.mExpired;
  body["cancelled"] = mCounters.mCancelled;
  return netutil::MakeJsonResponse(200, body);
}

AnswerContentPtr BackendServer::RejectNotRun(const RequestContent& aRequest,
                                             const std::string& aReason) const
{
  AnswerContent answer = *netutil::MakeProblemResponse(
    Error{ ResultCode::Overloaded, mOptions.mName + ": " + aReason });
  answer.mHeaders.push_back({ "Cranberrywing-Not-Run", "1" });
  if (const std::string* const attempt =
        netutil::FindHeader(aRequest.mHeaders, "Cranberrywing-Attempt")) {
    answer.mHeaders.push_back({ "Cranberrywing-Attempt", *attempt });
  }
  return std::make_shared<const AnswerContent>(std::move(answer));
}

void BackendServer::Enqueue(const ExchangeId& aExchange,
                            RequestContent&& aRequest)
{
  ++mCounters.mArrived;
  const Clock::time_point now = Clock::now();
  mArrivals.push_back(now);
  const auto inFlight = mRunning + static_cast<std::int64_t>(mQueue.size());
  const bool isOverThreshold =
    mBehaviour.mShedThreshold > 0 && inFlight >= mBehaviour.mShedThreshold;
  if (mBehaviour.mShedding || mBehaviour.mDraining || isOverThreshold) {
    ++mCounters.mShed;
    mServer.Answer(
      aExchange,
      RejectNotRun(aRequest, "overloaded or draining; request was shed"),
      {});
    return;
  }
  QueuedRequest queued{ .mExchange = aExchange,
                        .mRequest = std::move(aRequest),
                        .mDeadline = {} };
  if (const auto deadline = DeadlineOf(queued.mRequest)) {
    queued.mDeadline = now + *deadline;
  }
  mQueue.push_back(std::move(queued));
  RunNext();
}

void BackendServer::OnAborted(const ExchangeId& aExchange)
{
  ++mCounters.mCancelled;
  std::erase_if(mQueue, [&aExchange](const QueuedRequest& aQueued) {
    return aQueued.mExchange == aExchange;
  });
}

void BackendServer::RunNext()
{
  while (mRunning < mBehaviour.mConcurrency && !mQueue.empty()) {
    QueuedRequest queued = std::move(mQueue.front());
    mQueue.pop_front();
    if (queued.mDeadline && Clock::now() > *queued.mDeadline) {
      ++mCounters.mExpired;
      mServer.Answer(
        queued.mExchange,
        RejectNotRun(queued.mRequest,
                     "deadline passed while the request was queued"),
        {});
      continue;
    }
    Run(std::move(queued));
  }
}

Duration BackendServer::ServiceTime() const
{
  const Duration warmTime = Milliseconds(mBehaviour.mLatencyMs);
  const auto age = Clock::now() - mStart;
  const Duration coldStart = Milliseconds(mBehaviour.mColdStartMs);
  if (age >= coldStart) {
    return warmTime;
  }
  const double coldFraction = static_cast<double>((coldStart - age).count()) /
                              static_cast<double>(coldStart.count());
  const double factor = 1 + (mBehaviour.mColdFactor - 1) * coldFraction;
  return std::chrono::duration_cast<Duration>(warmTime * factor);
}

void BackendServer::Run(QueuedRequest aQueued)
{
  ++mRunning;
  // Execute first and answer after the service time, so that a connection that
  // is lost in between leaves an execution without an answer.
  AnswerContentPtr answer = Execute(aQueued.mRequest);
  const ExchangeId exchange = aQueued.mExchange;
  const Duration time = ServiceTime();
  if (time <= Duration::zero()) {
    Finish(exchange, std::move(answer));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
  timer->expires_after(time);
  timer->async_wait([this, timer, exchange, answer = std::move(answer)](
                      boost::system::error_code aError) {
    if (!aError) {
      Finish(exchange, answer);
      RunNext();
    }
  });
}

void BackendServer::Finish(const ExchangeId& aExchange,
                           AnswerContentPtr aAnswer)
{
  --mRunning;
  if (mBehaviour.mNeverAnswers) {
    return;
  }
  ++mCounters.mAnswered;
  mServer.Answer(aExchange, std::move(aAnswer), {});
}

AnswerContentPtr BackendServer::Execute(const RequestContent& aRequest)
{
  json::object body;
  body["backend"] = mOptions.mName;
  body["target"] = aRequest.mTarget;
  if (!IsSafe(aRequest.mMethod)) {
    const std::string identity = ExecutionLog::IdentityOf(aRequest);
    body["execution"] = identity;
    body["count"] = mLog.Record(identity);
  } else if (mBehaviour.mBodyBytes > 0) {
    body["filling"] =
      std::string(static_cast<std::size_t>(mBehaviour.mBodyBytes), 'x');
  }
  const std::string& marker = mOptions.mCrashMarker;
  if (!marker.empty() && aRequest.mBody.find(marker) != std::string::npos) {
    ::_exit(1);
  }
  return netutil::MakeJsonResponse(200, body);
}

} // namespace cranberrywing::standins
