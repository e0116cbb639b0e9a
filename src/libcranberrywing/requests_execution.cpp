// Non-idempotent requests: location of their slot's owner, forwarding to it,
// and application of the decisions of Executions.
#include <algorithm>

#include "cranberrywing/requests.h"

namespace cranberrywing {

namespace {

/// Retry interval while a slot has no known owner.
constexpr Duration kLocateInterval = std::chrono::milliseconds(50);

/// Digest of method, target and body. Requests with equal idempotency keys must
/// have equal digests.
ContentDigest DigestRequest(const RequestContent& aContent)
{
  const ContentDigest body = DigestContent(aContent.mBody);
  std::string buf = aContent.mMethod;
  buf += '\n';
  buf += aContent.mTarget;
  buf += '\n';
  buf += std::to_string(body.mHigh);
  buf += '\n';
  buf += std::to_string(body.mLow);
  return DigestContent(buf);
}

} // namespace

ExecutionRequest RequestPipeline::MakeExecutionRequest(
  const Request& aRequest) const
{
  return { .mRequest = aRequest.mId,
           .mAccount = aRequest.mIdentity.mAccount,
           .mRoute = aRequest.mRoute.mRoute,
           .mIdempotencyKey = aRequest.mIdempotencyKey,
           .mTicket = aRequest.mTicket,
           .mContent = DigestRequest(*aRequest.mContent),
           .mDeadline = aRequest.mDeadline };
}

void RequestPipeline::Locate(Request& aRequest,
                             TimePoint aNow,
                             EffectList& aOut)
{
  const ExecutionRequest execution = MakeExecutionRequest(aRequest);
  const auto location = mComponents.mExecutions.Locate(execution);
  if (!location) {
    Refuse(aRequest,
           Refusal{ .mCode = location.error().mCode,
                    .mDetail = location.error().mMessage },
           aOut);
    return;
  }
  aRequest.mSlot = location->mSlot;
  if (location->mIsOwnedLocally) {
    aRequest.mStage = Stage::Execution;
    mComponents.mExecutions.Begin(execution, aNow, aOut);
    return;
  }
  const bool isOwnerElsewhere =
    location->mOwner && location->mOwner->mProcess.mVm != mOptions.mSelf.mVm;
  if (aRequest.mForwardedBy) {
    // Forwarding again could loop while the VMs' views of owners differ.
    Refuse(aRequest,
           Refusal{ .mCode = ResultCode::NotOwner,
                    .mDetail = "this VM does not own the request's slot" },
           aOut);
    return;
  }
  if (isOwnerElsewhere && mHooks.mCanForward(location->mOwner->mProcess.mVm)) {
    Forward(aRequest, location->mOwner->mProcess.mVm, aNow, aOut);
    return;
  }
  ScheduleLocate(aRequest, aNow);
}

void RequestPipeline::ScheduleLocate(Request& aRequest, TimePoint aNow)
{
  aRequest.mStage = Stage::Locating;
  aRequest.mNextLocate = aNow + kLocateInterval;
}

void RequestPipeline::Forward(Request& aRequest,
                              const VmId& aOwner,
                              TimePoint aNow,
                              EffectList& aOut)
{
  ++mCounters.mForwarded;
  aRequest.mStage = Stage::Forwarded;
  aRequest.mOwner = aOwner;
  aRequest.mForwardNumber = mNextForwardNumber++;
  mForwardedRequests[aRequest.mForwardNumber] = aRequest.mId;
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aRequest.mDeadline - aNow);
  aOut.push_back(
    effect::SendMessage{ .mTo = aOwner,
                         .mTransport = effect::Transport::Stream,
                         .mMessage = message::ForwardedRequest{
                           .mNumber = aRequest.mForwardNumber,
                           .mAccount = aRequest.mIdentity.mAccount,
                           .mKeyName = aRequest.mIdentity.mKeyName,
                           .mIdempotencyKey = aRequest.mIdempotencyKey,
                           .mTicket = aRequest.mTicket,
                           .mContent = *aRequest.mContent,
                           .mTimeoutMs = static_cast<std::uint32_t>(
                             std::max<Milliseconds::rep>(left.count(), 0)) } });
}

void RequestPipeline::OnMessage(const VmIncarnation& aFrom,
                                const message::ForwardedRequest& aMessage,
                                TimePoint aNow,
                                EffectList& aOut)
{
  const auto id = static_cast<RequestId>(mNextForwardedId++);
  Request& request = mRequests[id];
  request.mId = id;
  request.mForwardedBy = aFrom.mVm;
  request.mForwarderNumber = aMessage.mNumber;
  request.mIdentity = { aMessage.mAccount, aMessage.mKeyName };
  request.mIdempotencyKey = aMessage.mIdempotencyKey;
  request.mTicket = aMessage.mTicket;
  request.mContent = std::make_shared<RequestContent>(aMessage.mContent);
  request.mDeadline = BoundDeadline(aNow + Milliseconds(aMessage.mTimeoutMs));
  const RouteSettings* route =
    mSettings ? mSettings->FindRoute(aMessage.mContent.mMethod,
                                     aMessage.mContent.mTarget)
              : nullptr;
  // VMs may have different settings for some seconds after a change, so the
  // owner repeats the checks of the forwarding VM.
  if (!route || route->mIdempotent) {
    Refuse(request,
           Refusal{ .mCode = ResultCode::UnknownRoute,
                    .mDetail = "no non-idempotent route matches this request" },
           aOut);
    return;
  }
  if (!route->mOpenToAll && !mComponents.mKeys.IsValid(request.mIdentity)) {
    Refuse(request,
           Refusal{ .mCode = ResultCode::KeyWithdrawn,
                    .mDetail = "the key was withdrawn" },
           aOut);
    return;
  }
  request.mRoute =
    mSettings->Resolve(*route, mOptions.mRegion, request.mIdentity.mAccount);
  if (auto refusal = Check(request, aNow)) {
    Refuse(request, std::move(*refusal), aOut);
    return;
  }
  Locate(request, aNow, aOut);
  ApplyExecutionDecisions(aNow, aOut);
}

RequestPipeline::Request* RequestPipeline::TakeForwardedRequest(
  const VmId& aOwner,
  std::uint64_t aNumber)
{
  const auto it = mForwardedRequests.find(aNumber);
  if (it == mForwardedRequests.end()) {
    return nullptr;
  }
  Request* request = Find(it->second);
  const bool isCurrent = request && request->mStage == Stage::Forwarded &&
                         request->mForwardNumber == aNumber &&
                         request->mOwner == aOwner;
  mForwardedRequests.erase(it);
  return isCurrent ? request : nullptr;
}

void RequestPipeline::OnMessage(const VmIncarnation& aFrom,
                                const message::ForwardedAnswer& aMessage,
                                TimePoint,
                                EffectList& aOut)
{
  if (Request* request = TakeForwardedRequest(aFrom.mVm, aMessage.mNumber)) {
    Answer(*request,
           std::make_shared<AnswerContent>(aMessage.mAnswer),
           aMessage.mReplayed,
           aOut);
  }
}

void RequestPipeline::OnMessage(const VmIncarnation& aFrom,
                                const message::ForwardedRefusal& aMessage,
                                TimePoint aNow,
                                EffectList& aOut)
{
  Request* request = TakeForwardedRequest(aFrom.mVm, aMessage.mNumber);
  if (!request) {
    return;
  }
  if (aMessage.mRefusal.mCode == ResultCode::NotOwner) {
    mComponents.mExecutions.OnNotOwner();
    ScheduleLocate(*request, aNow);
    return;
  }
  request->mIsLookupConclusive = true;
  Refuse(*request, aMessage.mRefusal, aOut);
}

void RequestPipeline::OnPeerUnreachable(const VmId& aVm,
                                        TimePoint aNow,
                                        EffectList&)
{
  for (auto& [id, request] : mRequests) {
    if (request.mStage != Stage::Forwarded || request.mOwner != aVm) {
      continue;
    }
    // The owner may have received the request. Forwarding it again is safe,
    // because an identity runs at most once wherever it arrives, but the
    // request can no longer be reported as not run.
    mForwardedRequests.erase(request.mForwardNumber);
    request.mMayHaveRun = true;
    ScheduleLocate(request, aNow);
  }
}

void RequestPipeline::RetryLocate(TimePoint aNow, EffectList& aOut)
{
  std::vector<RequestId> due;
  for (const auto& [id, request] : mRequests) {
    const bool isWaiting =
      request.mStage == Stage::Locating || request.mStage == Stage::Forwarded;
    const bool isLate = isWaiting && aNow >= request.mDeadline;
    const bool isDue =
      request.mStage == Stage::Locating && aNow >= request.mNextLocate;
    if (isLate || isDue) {
      due.push_back(id);
    }
  }
  std::sort(due.begin(), due.end());
  for (const RequestId id : due) {
    Request& request = mRequests.at(id);
    if (aNow < request.mDeadline) {
      Locate(request, aNow, aOut);
      continue;
    }
    const bool isForwarded = request.mStage == Stage::Forwarded;
    request.mMayHaveRun = request.mMayHaveRun || isForwarded;
    Refuse(
      request,
      Refusal{
        .mCode = isForwarded ? ResultCode::DeadlineExceeded
                             : ResultCode::StoreUnavailable,
        .mDetail =
          isForwarded
            ? "the slot's owner did not answer before the deadline"
            : "no owner of the request's slot was found before the deadline" },
      aOut);
  }
}

void RequestPipeline::ApplyExecutionDecisions(TimePoint aNow, EffectList& aOut)
{
  // Applying a decision can cause further ones, for instance when a full queue
  // refuses a request and so ends an execution that others wait for.
  for (;;) {
    const std::vector<ExecutionDecision> decisions =
      mComponents.mExecutions.TakeDecisions();
    if (decisions.empty()) {
      return;
    }
    for (const ExecutionDecision& decision : decisions) {
      ApplyExecutionDecision(decision, aNow, aOut);
    }
  }
}

void RequestPipeline::ApplyExecutionDecision(const ExecutionDecision& aDecision,
                                             TimePoint aNow,
                                             EffectList& aOut)
{
  Request* request = Find(aDecision.mRequest);
  if (!request) {
    if (aDecision.mRun) {
      mComponents.mExecutions.OnNotRun(
        aDecision.mRequest,
        Refusal{ .mCode = ResultCode::DeadlineExceeded,
                 .mDetail = "the caller has disconnected" },
        aNow,
        aOut);
    }
    return;
  }
  // A decision to run implies a fenced commit or a ticket of this owner's own
  // epoch. A refusal before that proves nothing if another VM may have taken
  // over the slot, for instance while this process was paused.
  request->mIsLookupConclusive = aDecision.mRun || !request->mTicket.empty() ||
                                 mHooks.mIsConfirmedOwner(request->mSlot, aNow);
  if (aDecision.mRun) {
    Enqueue(*request, aNow, aOut);
    return;
  }
  if (aDecision.mAnswer) {
    const bool isReplayed = request->mStage != Stage::Finishing;
    Answer(*request, aDecision.mAnswer, isReplayed, aOut);
    return;
  }
  // The slot moved while the request was waiting. The forwarding VM relocates
  // a forwarded request.
  if (aDecision.mRefusal.mCode == ResultCode::NotOwner &&
      !request->mForwardedBy) {
    request->mIsLookupConclusive = false;
    ScheduleLocate(*request, aNow);
    return;
  }
  Refuse(*request, aDecision.mRefusal, aOut);
}

void RequestPipeline::OnTicketRequested(const event::TicketRequested& aEvent,
                                        TimePoint aNow,
                                        EffectList& aOut)
{
  const auto refuse = [&](ResultCode aCode, std::string aDetail) {
    ++mCounters.mRefusedByCode[static_cast<std::uint16_t>(aCode)];
    aOut.push_back(effect::Refuse{
      .mRequest = aEvent.mRequest,
      .mRefusal = { .mCode = aCode, .mDetail = std::move(aDetail) } });
  };
  if (!mSettings) {
    refuse(ResultCode::NoConfiguration, "this VM has no settings yet");
    return;
  }
  const auto it = std::find_if(mSettings->mRoutes.begin(),
                               mSettings->mRoutes.end(),
                               [&](const RouteSettings& aRoute) {
                                 return aRoute.mRoute == aEvent.mRoute;
                               });
  if (it == mSettings->mRoutes.end() || it->mIdempotent) {
    refuse(ResultCode::UnknownRoute, "no non-idempotent route has this name");
    return;
  }
  const auto identity = mComponents.mKeys.Identify(aEvent.mKey);
  if (!identity && !it->mOpenToAll) {
    refuse(identity.error().mCode, identity.error().mMessage);
    return;
  }
  if (!it->mOpenToAll && !mHooks.mIsKeyViewCurrent(aNow)) {
    refuse(ResultCode::Isolated,
           "this VM is isolated and may have missed key withdrawals");
    return;
  }
  const AccountId account = identity ? identity->mAccount : AccountId();
  const auto ticket =
    mComponents.mExecutions.IssueTicket(account, aEvent.mRoute, aNow);
  effect::AnswerTicket answer{ .mRequest = aEvent.mRequest };
  if (ticket) {
    answer.mTicket = *ticket;
    answer.mLifetime = mSettings->mFleet.mTicketLifetime;
    aOut.push_back(std::move(answer));
    return;
  }
  const auto owner = mHooks.mFindAnyOwner();
  const auto vm = owner ? mHooks.mFindVm(*owner) : std::nullopt;
  if (!vm) {
    refuse(ResultCode::NotOwner,
           "no usable VM that can issue tickets is known");
    return;
  }
  answer.mOwner = *vm;
  aOut.push_back(std::move(answer));
}

} // namespace cranberrywing
