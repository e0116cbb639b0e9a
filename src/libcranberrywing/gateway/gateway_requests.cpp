#include <algorithm>
#include <cmath>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

/// Time constant of the moving average of arrivals.
constexpr double kArrivalSeconds = 2.0;
/// A server that gave no answer for this long may be gone.
constexpr Duration kShortestAttempt = std::chrono::milliseconds(500);
/// Less than this is not worth a repeat.
constexpr Duration kShortestRepeat = std::chrono::milliseconds(60);
/// Wait that callers are told when nothing better is known.
constexpr Duration kUsualRetry = std::chrono::milliseconds(250);
constexpr Duration kLongestRetry = std::chrono::seconds(2);
/// An answer that comes this much before the deadline still reaches the
/// caller in time.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(15);

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::string ToMs(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aDuration).count());
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Statuses that promise callers that the request has not run.
bool PromisesNotRun(std::uint32_t aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool Contains(const std::vector<RegionId>& aRegions, const RegionId& aRegion)
{
  return aRegions.empty() ||
         std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

std::optional<Refusal> Gateway::Identify(Request& aRequest)
{
  if (!mPolicy) {
    return Refusal{ .mCode = ResultCode::NoConfiguration,
                    .mDetail = "no configuration yet",
                    .mRetryAfter = SpreadRetry(kUsualRetry) };
  }
  const event::RequestArrived& arrival = aRequest.mArrival;
  aRequest.mPolicy = mPolicy;
  aRequest.mRoute =
    mPolicy->FindRoute(arrival.mHost, PathOf(arrival.mContent->mTarget));
  if (!aRequest.mRoute) {
    return Refusal{ .mCode = ResultCode::UnknownRoute,
                    .mDetail = "no route has the host and path" };
  }
  if (!aRequest.mRoute->mIsPublic && !mPolicy->Content().mAccounts.empty()) {
    aRequest.mAccount = mPolicy->FindAccountByKey(arrival.mKey);
    if (!aRequest.mAccount) {
      return Refusal{ .mCode = arrival.mKey.empty() ? ResultCode::KeyMissing
                                                    : ResultCode::KeyUnknown,
                      .mDetail = "the key is not valid" };
    }
  }
  return std::nullopt;
}

void Gateway::On(const event::RequestArrived& aEvent)
{
  ++mCounters.mRequests;
  Request& request = mRequests[aEvent.mRequest];
  request.mArrival = aEvent;
  request.mArrivedAt = mNow;
  if (const auto refusal = Identify(request)) {
    RefuseRequest(request, *refusal);
    return;
  }
  const RoutePolicy& route = *request.mRoute;
  Duration patience = route.mTimeout;
  if (aEvent.mPatience > Duration::zero()) {
    patience = std::min(patience, aEvent.mPatience);
  }
  request.mDeadline = mNow + patience;
  request.mPriority = route.mPriority;
  if (request.mAccount && request.mAccount->mPriority) {
    request.mPriority = *request.mAccount->mPriority;
  }
  if (mStoppingSince && mNow - *mStoppingSince >= mOptions.mStopAccepting) {
    RefuseRequest(request,
                  { .mCode = ResultCode::ShuttingDown,
                    .mDetail = "the VM is stopping",
                    .mRetryAfter = Milliseconds(1) });
    return;
  }
  request.mFingerprint = FingerprintRequest(
    request.mAccount
      ? RouteId(route.mRoute.mName + '\n' + request.mAccount->mAccount.mName)
      : route.mRoute,
    *aEvent.mContent);
  if (mCrashGuard.IsBlocked(request.mFingerprint, mNow) ||
      mCrashGuard.IsSuspect(request.mFingerprint, mNow)) {
    RefuseRequest(request,
                  { .mCode = ResultCode::NoBackend,
                    .mDetail = "the request ends the servers that run it" });
    return;
  }
  request.mService = mSplit.Next(route);
  if (!aEvent.mObject.empty() && route.mIsSticky) {
    request.mObject = HashObject(request.mService, aEvent.mObject);
    request.mPosition = PositionOf(request.mObject);
  } else {
    request.mPosition = std::uniform_real_distribution<double>()(mRandom);
  }
  Arrivals& arrivals = mArrivals[request.mService];
  arrivals.mPerSecond = ArrivalRate(request.mService) + 1 / kArrivalSeconds;
  arrivals.mAt = mNow;
  mRetries.OnRequest(request.mService, mNow);
  Proceed(request);
}

void Gateway::Proceed(Request& aRequest)
{
  if (!aRequest.mAccount || aRequest.mAccount->mRate <= 0) {
    Send(aRequest);
    return;
  }
  cranberrywing::EffectList effects;
  const RateDecision decision = mRates.Admit(aRequest.mArrival.mRequest,
                                             aRequest.mAccount->mAccount,
                                             aRequest.mDeadline,
                                             mNow,
                                             effects);
  TakeCoreEffects(effects);
  switch (decision) {
    case RateDecision::Admitted:
      Send(aRequest);
      break;
    case RateDecision::Waiting:
      aRequest.mWaitsForTokens = true;
      break;
    case RateDecision::Refused:
      RefuseRequest(aRequest,
                    { .mCode = ResultCode::RateExceeded,
                      .mDetail = "the account's rate is used up",
                      .mRetryAfter = SpreadRetry(std::chrono::seconds(1)) });
      break;
  }
}

bool Gateway::IsAllowed(const Request& aRequest, const RegionId& aRegion) const
{
  return Contains(aRequest.mRoute->mAllowedRegions, aRegion) &&
         (!aRequest.mAccount ||
          Contains(aRequest.mAccount->mAllowedRegions, aRegion));
}

std::vector<Backend*> Gateway::Candidates(const Request& aRequest,
                                          const RegionId& aRegion)
{
  std::vector<Backend*> candidates;
  const ServicePolicy* const service =
    aRequest.mPolicy->FindService(aRequest.mService);
  for (Backend* const backend : mPool.OfService(aRequest.mService)) {
    if (backend->mEntry.mRegion != aRegion || !mPool.IsUsable(*backend, mNow) ||
        std::find(aRequest.mTried.begin(),
                  aRequest.mTried.end(),
                  backend->mEntry.mBackend) != aRequest.mTried.end()) {
      continue;
    }
    if (mPool.IsCold(*backend, mNow)) {
      std::vector<VmId> vms = mFleet.VmsOfRegion(aRegion);
      if (!mColdStart.MaySend(*backend,
                              service ? service->mColdRate : 0,
                              vms,
                              mOptions.mSelf.mVm,
                              mNow) ||
          mOptions.mSelf.mRegion != aRegion) {
        continue;
      }
    }
    candidates.push_back(backend);
  }
  return candidates;
}

std::optional<Selection> Gateway::Select(const Request& aRequest)
{
  const ExpectedTimes times =
    mTimes.Expect(*aRequest.mRoute, aRequest.mService);
  for (const RegionId& region :
       mPlan.Rank(aRequest.mService, aRequest.mPosition)) {
    if (!IsAllowed(aRequest, region)) {
      continue;
    }
    const auto selection = mSelector.Choose(
      mPool, Candidates(aRequest, region), aRequest.mObject, times, mNow);
    if (selection) {
      return selection;
    }
  }
  return std::nullopt;
}

void Gateway::Send(Request& aRequest)
{
  const auto selection = Select(aRequest);
  if (aRequest.mMayHaveRun && !selection) {
    FailUnknown(aRequest, "no_further_server");
    return;
  }
  if (!selection) {
    RefuseRequest(aRequest,
                  { .mCode = ResultCode::NoBackend,
                    .mDetail = "no server of the service is usable",
                    .mRetryAfter = SpreadRetry(2 * kUsualRetry) });
    return;
  }
  const Duration timeLeft = aRequest.mDeadline - mNow;
  const AdmissionDecision decision = DecideAdmission({
    .mPriority = aRequest.mPriority,
    .mElapsed = mNow - aRequest.mArrivedAt,
    .mTimeLeft = timeLeft,
    .mTargetLatency = aRequest.mRoute->mTargetLatency,
    .mWait = selection->mWait,
    .mTotal = selection->mTotal,
  });
  if (!decision.mIsAdmitted && !aRequest.mMayHaveRun) {
    RefuseRequest(aRequest,
                  { .mCode = ResultCode::Overloaded,
                    .mDetail = "expected_ms=" + ToMs(selection->mTotal),
                    .mRetryAfter = SpreadRetry(decision.mRetryAfter) });
    return;
  }
  Backend& backend = *selection->mBackend;
  ++aRequest.mAttempt;
  aRequest.mBackend = backend.mEntry.mBackend;
  aRequest.mTried.push_back(backend.mEntry.mBackend);
  aRequest.mSentAt = mNow;
  aRequest.mExpected = selection->mTotal;
  aRequest.mExpectedWait = selection->mWait;
  aRequest.mRank = selection->mRank;
  aRequest.mWasWarm = mPool.IsWarm(backend, aRequest.mObject, mNow);
  mPool.OnSent(backend, aRequest.mObject, mNow);
  ++mCounters.mDispatched;
  mOut.push_back(effect::Dispatch{
    .mRequest = aRequest.mArrival.mRequest,
    .mAttempt = aRequest.mAttempt,
    .mBackend = backend.mEntry.mBackend,
    .mAddress = backend.mEntry.mAddress,
    .mPort = backend.mEntry.mPort,
    .mContent = aRequest.mArrival.mContent,
    .mAccount = aRequest.mAccount ? aRequest.mAccount->mAccount : AccountId(),
    .mPatience = timeLeft,
    .mTimeout = timeLeft + kAnswerMargin,
  });
}

Gateway::Request* Gateway::FindAttempt(RequestId aRequest,
                                       AttemptNumber aAttempt)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end() || it->second.mAttempt != aAttempt ||
      it->second.mBackend.IsEmpty()) {
    return nullptr;
  }
  return &it->second;
}

Backend* Gateway::EndAttempt(Request& aRequest, bool aHasAnswered)
{
  Backend* const backend = mPool.Find(aRequest.mBackend);
  if (backend) {
    mPool.OnEnded(*backend, aHasAnswered, mNow);
  }
  aRequest.mBackend = BackendId();
  return backend;
}

bool Gateway::MayRetry(const Request& aRequest)
{
  return aRequest.mAttempt < aRequest.mRoute->mMaxAttempts &&
         aRequest.mDeadline - mNow >= kShortestRepeat &&
         !mCrashGuard.IsSuspect(aRequest.mFingerprint, mNow) &&
         Select(aRequest).has_value();
}

bool Gateway::Retry(Request& aRequest)
{
  if (!MayRetry(aRequest) ||
      !mRetries.TryRetry(aRequest.mService, mFleet.ShareCount(), mNow)) {
    return false;
  }
  ++mCounters.mRetries;
  Send(aRequest);
  return true;
}

void Gateway::NoteSuccess(Request& aRequest,
                          Backend& aBackend,
                          const event::BackendReplied& aEvent)
{
  const ExpectedTimes times =
    mTimes.Expect(*aRequest.mRoute, aRequest.mService);
  mPool.OnSuccess(aBackend,
                  ToSeconds(aEvent.mLatency) /
                    std::max(1e-3, ToSeconds(times.mWarm)),
                  mNow);
  const bool hasQueued = aRequest.mExpectedWait > Duration::zero() ||
                         (aEvent.mLoad && aEvent.mLoad->mWaiting > 0);
  if (!hasQueued && !mPool.IsCold(aBackend, mNow)) {
    mTimes.Learn(*aRequest.mRoute,
                 aRequest.mService,
                 aRequest.mObject == 0 || aRequest.mWasWarm,
                 aEvent.mLatency);
  }
  mCrashGuard.OnSuccess(aRequest.mFingerprint);
}

void Gateway::On(const event::BackendReplied& aEvent)
{
  Request* const request = FindAttempt(aEvent.mRequest, aEvent.mAttempt);
  if (!request) {
    return;
  }
  Backend* const backend = EndAttempt(*request, true);
  if (backend && aEvent.mLoad) {
    mPool.OnLoad(*backend, *aEvent.mLoad, mNow);
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
      if (backend && aEvent.mKind == event::ReplyKind::NotRun) {
        const bool isFull =
          !aEvent.mLoad || aEvent.mLoad->mRunning >= backend->mEntry.mSlots;
        if (!isFull) {
          mPool.OnFailure(*backend, mNow);
        }
      }
      if (!Retry(*request)) {
        if (request->mMayHaveRun) {
          FailUnknown(*request, "refused_after_a_run");
          return;
        }
        const Duration wait =
          mTimes.Expect(*request->mRoute, request->mService).mMean;
        RefuseRequest(*request,
                      { .mCode = ResultCode::Overloaded,
                        .mDetail = "the server refused the request",
                        .mRetryAfter = SpreadRetry(wait) });
      }
      return;
    case event::ReplyKind::Unproven:
      request->mMayHaveRun = true;
      if (backend) {
        mPool.OnFailure(*backend, mNow);
      }
      if (!request->mRoute->mIsIdempotent || !Retry(*request)) {
        FailUnknown(*request, "unproven_answer");
      }
      return;
  }
  request->mMayHaveRun = true;
  if (status < 500) {
    if (backend) {
      NoteSuccess(*request, *backend, aEvent);
    }
  } else {
    if (backend) {
      mPool.OnFailure(*backend, mNow);
    }
    if (request->mRoute->mIsIdempotent && Retry(*request)) {
      return;
    }
  }
  if (PromisesNotRun(status)) {
    // The server ran the request and says so by the lack of its mark; the
    // caller would read the status as a promise that it did not.
    FailUnknown(*request, "status_" + std::to_string(status));
    return;
  }
  Answer(*request, aEvent.mAnswer);
}

void Gateway::On(const event::BackendFailed& aEvent)
{
  Request* const request = FindAttempt(aEvent.mRequest, aEvent.mAttempt);
  if (!request) {
    return;
  }
  const BackendId server = request->mBackend;
  Backend* const backend = EndAttempt(*request, false);
  const bool isSent = aEvent.mStage == event::FailureStage::AfterFirstByte;
  request->mMayHaveRun = request->mMayHaveRun || isSent;
  if (aEvent.mKind == event::FailureKind::Connect) {
    cranberrywing::EffectList effects;
    mCrashGuard.OnServerDown(server, mNow, effects);
    TakeCoreEffects(effects);
    if (backend) {
      mPool.Eject(*backend, mNow);
    }
  } else if (backend) {
    const bool isEjected = mPool.OnFailure(*backend, mNow);
    if (aEvent.mKind == event::FailureKind::Reset && isSent && !isEjected) {
      // A probe tells at once whether the server or only the connection died.
      mPool.Suspect(*backend, mNow);
    }
  }
  if (aEvent.mKind == event::FailureKind::Reset && isSent) {
    mCrashGuard.OnReset(request->mFingerprint, server, mNow);
  }
  const bool mayRepeat = !isSent || request->mRoute->mIsIdempotent;
  if (mayRepeat && Retry(*request)) {
    return;
  }
  if (!request->mMayHaveRun || request->mRoute->mIsIdempotent) {
    const bool isNotRun = !request->mMayHaveRun;
    RefuseRequest(
      *request,
      { .mCode = isNotRun ? ResultCode::NoBackend : ResultCode::BackendFailed,
        .mExecution = isNotRun ? Execution::NotRun : Execution::Unknown,
        .mDetail = "the server failed",
        .mRetryAfter = isNotRun ? SpreadRetry(kUsualRetry) : Duration() });
    return;
  }
  FailUnknown(*request, "server_failed");
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
    mRates.Cancel(aEvent.mRequest);
  }
  if (!request.mBackend.IsEmpty()) {
    mOut.push_back(effect::CancelDispatch{ aEvent.mRequest, request.mAttempt });
    EndAttempt(request, true);
  }
  Record("request_cancelled",
         { { "trace", request.mArrival.mTrace },
           { "after_ms", ToMs(mNow - request.mArrivedAt) } });
  mRequests.erase(it);
}

void Gateway::Answer(Request& aRequest, AnswerContentPtr aAnswer)
{
  ++mCounters.mAnswered;
  Record(
    "request_answered",
    { { "trace", aRequest.mArrival.mTrace },
      { "route", aRequest.mRoute->mRoute.mName },
      { "backend", aRequest.mTried.back().mName },
      { "status", std::to_string(aAnswer->mStatus) },
      { "attempts", std::to_string(aRequest.mAttempt) },
      { "object", std::to_string(aRequest.mObject) },
      { "rank", std::to_string(aRequest.mRank) },
      { "expected_wait_ms", ToMs(aRequest.mExpectedWait) },
      { "expected_ms", ToMs(aRequest.mExpected) },
      { "took_ms", ToMs(mNow - aRequest.mArrivedAt) },
      { "policy", std::to_string(aRequest.mPolicy->GetRevision().mNumber) } });
  mOut.push_back(effect::Respond{ .mRequest = aRequest.mArrival.mRequest,
                                  .mAnswer = std::move(aAnswer),
                                  .mCloseAfter = mStoppingSince.has_value() });
  const RequestId id = aRequest.mArrival.mRequest;
  mRequests.erase(id);
}

void Gateway::RefuseRequest(Request& aRequest, Refusal aRefusal)
{
  ++mCounters.mRefused[aRefusal.mCode];
  Record(
    "request_refused",
    { { "trace", aRequest.mArrival.mTrace },
      { "route",
        aRequest.mRoute ? aRequest.mRoute->mRoute.mName : std::string() },
      { "account",
        aRequest.mAccount ? aRequest.mAccount->mAccount.mName : std::string() },
      { "code", std::string(ToString(aRefusal.mCode)) },
      { "execution", std::string(ToString(aRefusal.mExecution)) },
      { "reason", aRefusal.mDetail },
      { "attempts", std::to_string(aRequest.mAttempt) },
      { "backend",
        aRequest.mTried.empty() ? std::string()
                                : aRequest.mTried.back().mName },
      { "after_ms", ToMs(mNow - aRequest.mArrivedAt) },
      { "retry_after_ms", ToMs(aRefusal.mRetryAfter) },
      { "policy",
        mPolicy ? std::to_string(mPolicy->GetRevision().mNumber) : "" } });
  mOut.push_back(effect::Refuse{ .mRequest = aRequest.mArrival.mRequest,
                                 .mRefusal = std::move(aRefusal),
                                 .mCloseAfter = mStoppingSince.has_value() });
  const RequestId id = aRequest.mArrival.mRequest;
  mRequests.erase(id);
}

void Gateway::FailUnknown(Request& aRequest, std::string aReason)
{
  RefuseRequest(aRequest,
                { .mCode = ResultCode::BackendFailed,
                  .mExecution = Execution::Unknown,
                  .mDetail = std::move(aReason) });
}

void Gateway::LeaveSilentServers()
{
  if (mStoppingSince) {
    return;
  }
  std::vector<RequestId> stuck;
  for (const auto& [id, request] : mRequests) {
    const Backend* const backend =
      request.mBackend.IsEmpty() ? nullptr : mPool.Find(request.mBackend);
    if (!backend || !request.mRoute->mIsIdempotent ||
        mNow - request.mSentAt < kShortestAttempt) {
      continue;
    }
    const Duration longest =
      mTimes.Expect(*request.mRoute, request.mService).mUnknown;
    if (mPool.IsSilent(*backend, longest, mNow)) {
      stuck.push_back(id);
    }
  }
  for (const RequestId id : stuck) {
    Request& request = mRequests.at(id);
    // The attempt goes on unless another one is sure to follow: its server may
    // still be at work.
    if (!MayRetry(request) ||
        !mRetries.TryRetry(request.mService, mFleet.ShareCount(), mNow)) {
      continue;
    }
    ++mCounters.mRetries;
    mOut.push_back(effect::CancelDispatch{ id, request.mAttempt });
    request.mMayHaveRun = true;
    if (Backend* const backend = EndAttempt(request, false)) {
      mPool.OnFailure(*backend, mNow);
    }
    Send(request);
  }
}

void Gateway::CheckDeadlines()
{
  std::vector<RequestId> due;
  for (const auto& [id, request] : mRequests) {
    if (mNow >= request.mDeadline - kAnswerMargin) {
      due.push_back(id);
    }
  }
  for (const RequestId id : due) {
    Request& request = mRequests.at(id);
    if (request.mWaitsForTokens) {
      mRates.Cancel(id);
    }
    if (!request.mBackend.IsEmpty()) {
      request.mMayHaveRun = true;
      mOut.push_back(effect::CancelDispatch{ id, request.mAttempt });
      if (Backend* const backend = EndAttempt(request, false)) {
        const Duration usual =
          mTimes.Expect(*request.mRoute, request.mService).mWarm;
        mPool.OnTimeout(*backend,
                        ToSeconds(mNow - request.mSentAt) /
                          std::max(1e-3, ToSeconds(usual)),
                        mNow);
      }
    }
    const bool isNotRun = !request.mMayHaveRun;
    RefuseRequest(
      request,
      { .mCode =
          isNotRun ? ResultCode::Overloaded : ResultCode::DeadlineExceeded,
        .mExecution = isNotRun ? Execution::NotRun : Execution::Unknown,
        .mDetail = "no answer in time" });
  }
}

Duration Gateway::SpreadRetry(Duration aBase)
{
  // Callers that are refused together must not come back together.
  const double factor =
    std::uniform_real_distribution<double>(0.75, 1.5)(mRandom);
  const auto spread = Duration(static_cast<Duration::rep>(
    static_cast<double>(std::max(aBase, Duration(Milliseconds(50))).count()) *
    factor));
  return std::min(spread, kLongestRetry);
}

} // namespace cranberrywing::gateway
