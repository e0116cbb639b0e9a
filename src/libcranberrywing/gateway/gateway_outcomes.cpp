#include <algorithm>

#include "cranberrywing/gateway/gateway.h"
#include "duration_math.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::kAnswerMargin;
using detail::kDefaultRetryDelay;
using detail::Scale;
using detail::ToMs;

namespace {

constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

std::string_view ToString(NotRunReason aReason)
{
  switch (aReason) {
    case NotRunReason::NoAttempt:
      return "no_attempt";
    case NotRunReason::NothingWritten:
      return "nothing_written";
    case NotRunReason::Refusal:
      return "refusal";
    case NotRunReason::WrongServer:
      break;
  }
  return "wrong_server";
}

/// Whether the answer is known to be the server's to this attempt.
bool IsProven(event::ReplyKind aKind)
{
  return aKind == event::ReplyKind::Answer || aKind == event::ReplyKind::NotRun;
}

std::optional<double> StatedTimeFactor(const event::BackendReplied& aEvent)
{
  return aEvent.mLoad ? ValidTimeFactor(aEvent.mLoad->mTimeFactor)
                      : std::nullopt;
}

/// Whether callers take the status as a guarantee that the request has not run.
bool ImpliesNotRun(std::uint32_t aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

void Gateway::LearnFromSuccess(Request& aRequest,
                               Backend& aBackend,
                               const event::BackendReplied& aEvent)
{
  const ExpectedTimes times =
    mServiceTimes.Estimate(*aRequest.mRoute, aRequest.mService);
  // Otherwise a slow moment of a machine would be taken for a slow service.
  const Duration latency =
    Scale(aEvent.mLatency, 1 / StatedTimeFactor(aEvent).value_or(1));
  mPool.OnSuccess(aBackend,
                  ToSeconds(latency) / std::max(1e-3, ToSeconds(times.mWarm)),
                  mNow);
  const bool hasQueued = aRequest.mCurrent.mExpectedWait > Duration::zero() ||
                         (aEvent.mLoad && aEvent.mLoad->mWaiting > 0);
  if (!hasQueued && !mPool.IsCold(aBackend, mNow)) {
    mServiceTimes.AddSample(*aRequest.mRoute,
                            aRequest.mService,
                            aRequest.mObject == 0 || aRequest.mCurrent.mWasWarm,
                            latency);
  }
  mCrashGuard.OnSuccess(aRequest.mFingerprint, mNow);
}

void Gateway::HeedAnswer(Backend& aBackend, const event::BackendReplied& aEvent)
{
  aBackend.mAnsweredAt = mNow;
  if (aEvent.mLoad) {
    mPool.OnLoadSample(aBackend, *aEvent.mLoad, mNow);
  }
  LearnRateLimit(aBackend, aEvent);
  HeedNotices(aBackend, aEvent.mIsLeaving, aEvent.mWait, NoticeSource::Answer);
}

void Gateway::On(const event::BackendReplied& aEvent)
{
  Request* const request = FindAttempt(aEvent.mRequest, aEvent.mAttempt);
  if (!request) {
    return;
  }
  Backend* const backend = EndAttempt(*request, true);
  request->mAnsweredOn = aEvent.mConnection;
  mLastAnswerAt = mNow;
  if (backend && IsProven(aEvent.mKind)) {
    HeedAnswer(*backend, aEvent);
  }
  const std::uint32_t status = aEvent.mAnswer ? aEvent.mAnswer->mStatus : 0;
  switch (aEvent.mKind) {
    case event::ReplyKind::Answer:
      break;
    case event::ReplyKind::WrongServer:
      if (backend) {
        mPool.Eject(*backend, mNow);
      }
      [[fallthrough]];
    case event::ReplyKind::NotRun:
      request->mNotRunProof = { aEvent.mKind == event::ReplyKind::NotRun
                                  ? NotRunReason::Refusal
                                  : NotRunReason::WrongServer,
                                aEvent.mConnection };
      if (backend && aEvent.mKind == event::ReplyKind::NotRun) {
        const bool isFull =
          !aEvent.mLoad || aEvent.mLoad->mRunning >= backend->mEntry.mSlots;
        if (!isFull && !aEvent.mWait) {
          mPool.OnFailure(*backend, mNow);
        }
      }
      if (AwaitOtherAttempt(*request)) {
        return;
      }
      if (!Retry(*request,
                 aEvent.mKind == event::ReplyKind::NotRun ? "refused"
                                                          : "wrong_server")) {
        if (request->mMayHaveRun) {
          RefuseOutcomeUnknown(*request, "refused_after_a_run");
          return;
        }
        const Duration wait =
          mServiceTimes.Estimate(*request->mRoute, request->mService).mMean;
        RefuseRequest(
          *request,
          { .mCode = ResultCode::Overloaded,
            .mDetail =
              "the backend server refused the request before running it",
            .mRetryAfter = JitterRetryDelay(wait) });
      }
      return;
    case event::ReplyKind::Unverified:
      request->mMayHaveRun = true;
      if (backend) {
        mPool.OnFailure(*backend, mNow);
      }
      if (AwaitOtherAttempt(*request)) {
        return;
      }
      if (!request->mRoute->mIsIdempotent ||
          !Retry(*request, "unproven_answer")) {
        RefuseOutcomeUnknown(*request, "unproven_answer");
      }
      return;
  }
  request->mMayHaveRun = true;
  if (status < 500) {
    if (backend) {
      LearnFromSuccess(*request, *backend, aEvent);
    }
  } else {
    if (backend) {
      mPool.OnFailure(*backend, mNow);
    }
    if (AwaitOtherAttempt(*request) ||
        (request->mRoute->mIsIdempotent && Retry(*request, "failed_answer"))) {
      return;
    }
  }
  if (ImpliesNotRun(status)) {
    // The answer lacks the server's mark for requests that were not run, so the
    // request has run. The caller would take the status for the opposite.
    RefuseOutcomeUnknown(*request, "status_" + std::to_string(status));
    return;
  }
  Answer(*request, aEvent);
}

void Gateway::On(const event::BackendFailed& aEvent)
{
  Request* const request = FindAttempt(aEvent.mRequest, aEvent.mAttempt);
  if (!request) {
    return;
  }
  const Attempt attempt = request->mCurrent;
  const BackendId& server = attempt.mBackend;
  Backend* const backend = EndAttempt(*request, false);
  const bool isSent = aEvent.mStage == event::FailureStage::AfterFirstByte;
  request->mMayHaveRun = request->mMayHaveRun || isSent;
  request->mNotRunProof = { NotRunReason::NothingWritten, {} };
  request->mAnsweredOn = {};
  if (aEvent.mKind == event::FailureKind::Connect) {
    ++mCounters.mConnectFailures;
    OnUnreachable(server);
  } else if (backend && !mServerReach.IsCutOff()) {
    const bool isEjected = mPool.OnFailure(*backend, mNow);
    if (aEvent.mKind == event::FailureKind::Reset && isSent && !isEjected) {
      // A health check shows whether the server or only the connection failed.
      mPool.RequireProbe(*backend, mNow);
    }
  }
  if (aEvent.mKind == event::FailureKind::Reset && isSent &&
      !mServerReach.IsCutOff()) {
    RecordReset(*request, attempt);
  }
  if (AwaitOtherAttempt(*request)) {
    return;
  }
  const bool mayRepeat = !isSent || request->mRoute->mIsIdempotent;
  if (mayRepeat && Retry(*request, isSent ? "connection_lost" : "not_sent")) {
    return;
  }
  if (!request->mMayHaveRun || request->mRoute->mIsIdempotent) {
    const bool isNotRun = !request->mMayHaveRun;
    RefuseRequest(
      *request,
      { .mCode = isNotRun ? ResultCode::NoBackend : ResultCode::BackendFailed,
        .mExecution = isNotRun ? Execution::NotRun : Execution::Unknown,
        .mDetail = "the backend server failed or the connection to it was lost",
        .mRetryAfter =
          isNotRun ? JitterRetryDelay(kDefaultRetryDelay) : Duration() });
    return;
  }
  RefuseOutcomeUnknown(*request, "server_failed");
}

void Gateway::RecordReset(const Request& aRequest, const Attempt& aAttempt)
{
  const Backend* const backend = mPool.Find(aAttempt.mBackend);
  if (!backend) {
    // Its entry is removed before a planned stop, but not before a crash.
    return;
  }
  const bool isSameProcess = backend->mLifetimeHash == aAttempt.mLifetime;
  if (isSameProcess && (backend->mEntry.mIsDraining ||
                        mPool.Notices().IsLeaving(aAttempt.mLifetime))) {
    return;
  }
  Record("server_reset",
         { { "trace", aRequest.mArrival.mTrace },
           { "backend", aAttempt.mBackend.mName },
           { "lifetime", std::to_string(aAttempt.mLifetime) },
           { "fingerprint", ToHex(aRequest.mFingerprint) } });
  mCrashGuard.OnReset(aRequest.mFingerprint,
                      { .mBackend = aAttempt.mBackend,
                        .mLifetime = aAttempt.mLifetime,
                        .mSentAt = aAttempt.mSentAt,
                        .mLostAt = mNow });
  if (!isSameProcess) {
    OnBackendRestarted(*backend);
  }
}

void Gateway::On(const event::RequestCancelled& aEvent)
{
  const auto it = mRequests.find(aEvent.mRequest);
  if (it == mRequests.end()) {
    return;
  }
  Request& request = it->second;
  ++mCounters.mCancelled;
  if (request.mWaitsForTokens) {
    mRateLimiter.Cancel(aEvent.mRequest);
  }
  CancelAttempt(request, true);
  CancelOtherAttempt(request);
  Record("request_cancelled",
         { { "trace", request.mArrival.mTrace },
           { "after_ms", ToMs(mNow - request.mArrivedAt) } });
  mRequests.erase(it);
}

void Gateway::Answer(Request& aRequest, const event::BackendReplied& aEvent)
{
  ++mCounters.mAnswered;
  CancelOtherAttempt(aRequest);
  std::vector<cranberrywing::effect::Field> fields{
    { "trace", aRequest.mArrival.mTrace },
    { "route", aRequest.mRoute->mRoute.mName },
    { "account",
      aRequest.mAccount ? aRequest.mAccount->mAccount.mName : std::string() },
    { "backend", aRequest.mTriedBackends[aRequest.mCurrent.mNumber - 1].mName },
    { "region", aRequest.mCurrent.mRegion.mName },
    { "plan_exit", std::string(ToString(aRequest.mCurrent.mPlanExit)) },
    { "status", std::to_string(aEvent.mAnswer->mStatus) },
    { "attempts", std::to_string(aRequest.mTriedBackends.size()) },
    { "object", std::to_string(aRequest.mObject) },
    { "rank", std::to_string(aRequest.mCurrent.mRank) },
    { "warm", aRequest.mCurrent.mWasWarm ? "1" : "0" },
    { "expected_wait_ms", ToMs(aRequest.mCurrent.mExpectedWait) },
    { "expected_ms", ToMs(aRequest.mCurrent.mExpectedTotal) },
    { "took_ms", ToMs(mNow - aRequest.mArrivedAt) },
    { "policy", std::to_string(aRequest.mPolicy->GetRevision().mNumber) }
  };
  if (const auto factor = StatedTimeFactor(aEvent)) {
    fields.push_back({ "time_factor", std::to_string(*factor) });
  }
  Record("request_answered", std::move(fields));
  mEffects.push_back(effect::Respond{ .mRequest = aRequest.mArrival.mRequest,
                                      .mAnswer = aEvent.mAnswer,
                                      .mCloseAfter = SendsCallersAway() });
  const RequestId id = aRequest.mArrival.mRequest;
  mRequests.erase(id);
}

void Gateway::RefuseRequest(Request& aRequest, Refusal aRefusal)
{
  ++mCounters.mRefused[aRefusal.mCode];
  CancelOtherAttempt(aRequest);
  Record(
    "request_refused",
    { { "trace", aRequest.mArrival.mTrace },
      { "route",
        aRequest.mRoute ? aRequest.mRoute->mRoute.mName : std::string() },
      { "account",
        aRequest.mAccount ? aRequest.mAccount->mAccount.mName : std::string() },
      { "code", std::string(ToString(aRefusal.mCode)) },
      { "execution", std::string(ToString(aRefusal.mExecution)) },
      { "proof",
        std::string(aRefusal.mExecution == Execution::NotRun
                      ? ToString(aRequest.mNotRunProof.mReason)
                      : "none") },
      { "connection",
        std::to_string(aRequest.mNotRunProof.mConnection.mLocalPort) },
      { "use", std::to_string(aRequest.mNotRunProof.mConnection.mUse) },
      { "reason", aRefusal.mDetail },
      { "attempts", std::to_string(aRequest.mTriedBackends.size()) },
      { "backend",
        aRequest.mTriedBackends.empty()
          ? std::string()
          : aRequest.mTriedBackends.back().mName },
      { "region", aRequest.mCurrent.mRegion.mName },
      { "plan_exit", std::string(ToString(aRequest.mCurrent.mPlanExit)) },
      { "expected_wait_ms", ToMs(aRequest.mCurrent.mExpectedWait) },
      { "expected_ms", ToMs(aRequest.mCurrent.mExpectedTotal) },
      { "after_ms", ToMs(mNow - aRequest.mArrivedAt) },
      { "retry_after_ms", ToMs(aRefusal.mRetryAfter) },
      { "policy",
        mPolicy ? std::to_string(mPolicy->GetRevision().mNumber) : "" } });
  mEffects.push_back(effect::Refuse{ .mRequest = aRequest.mArrival.mRequest,
                                     .mRefusal = std::move(aRefusal),
                                     .mCloseAfter = SendsCallersAway() });
  const RequestId id = aRequest.mArrival.mRequest;
  mRequests.erase(id);
}

void Gateway::RefuseOutcomeUnknown(Request& aRequest, std::string aReason)
{
  RefuseRequest(aRequest,
                { .mCode = ResultCode::BackendFailed,
                  .mExecution = Execution::Unknown,
                  .mDetail = std::move(aReason) });
}

void Gateway::ExpireRequests()
{
  std::vector<RequestId> due;
  for (const auto& [id, request] : mRequests) {
    if (mNow >= request.mDeadline - kAnswerMargin) {
      due.push_back(id);
    }
  }
  for (const RequestId id : due) {
    Request& request = mRequests.at(id);
    const Attempt last = request.mCurrent;
    Backend* const backend = EndWithoutAnswer(request);
    if (backend && !mServerReach.IsCutOff()) {
      const Duration usual =
        mServiceTimes.Estimate(*request.mRoute, request.mService).mWarm;
      mPool.OnTimeout(*backend,
                      ToSeconds(mNow - last.mSentAt) /
                        std::max(1e-3, ToSeconds(usual)),
                      mNow);
    }
    RefuseUnanswered(request,
                     ResultCode::Overloaded,
                     "no answer from a backend server before the deadline");
  }
}

Backend* Gateway::EndWithoutAnswer(Request& aRequest)
{
  const RequestId id = aRequest.mArrival.mRequest;
  if (aRequest.mWaitsForTokens) {
    mRateLimiter.Cancel(id);
  }
  if (aRequest.mCurrent.mBackend.IsEmpty()) {
    return nullptr;
  }
  aRequest.mMayHaveRun = true;
  mEffects.push_back(effect::CancelDispatch{ id, aRequest.mCurrent.mNumber });
  return EndAttempt(aRequest, false);
}

void Gateway::RefuseUnanswered(Request& aRequest,
                               ResultCode aNotRunCode,
                               std::string aDetail)
{
  const bool isNotRun = !aRequest.mMayHaveRun;
  RefuseRequest(
    aRequest,
    { .mCode = isNotRun ? aNotRunCode : ResultCode::DeadlineExceeded,
      .mExecution = isNotRun ? Execution::NotRun : Execution::Unknown,
      .mDetail = std::move(aDetail) });
}

Duration Gateway::JitterRetryDelay(Duration aBase)
{
  // Jitter prevents callers that were refused together from retrying together.
  const double factor =
    std::uniform_real_distribution<double>(0.75, 1.5)(mRandom);
  const auto spread = Duration(static_cast<Duration::rep>(
    static_cast<double>(std::max(aBase, Duration(Milliseconds(50))).count()) *
    factor));
  return std::min(spread, kMaxRetryDelay);
}

} // namespace cranberrywing::gateway
