#include "cranberrywingd/caller_server.h"

#include "cranberrywingd/caller_request.h"
#include "cranberrywingd/lookup_api.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

using netutil::ExchangeId;

namespace {

const Header kReplayedHeader{ "Cranberrywing-Replayed", "true" };

Refusal InvalidRequestRefusal(const Error& aError)
{
  return Refusal{ .mCode = aError.mCode,
                  .mExecution = Execution::NotRun,
                  .mDetail = aError.mMessage,
                  .mRetryAfter = {} };
}

} // namespace

CallerServer::CallerServer(boost::asio::io_context& aContext,
                           netutil::HttpServerOptions aOptions,
                           DaemonMetrics& aMetrics,
                           EventSink aSink)
  : mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mServer(aContext,
            std::move(aOptions),
            { .mOnRequest =
                [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
                  OnRequest(aExchange, std::move(aRequest));
                },
              .mOnAborted =
                [this](const ExchangeId& aExchange) { OnAborted(aExchange); } })
{
}

Result<void> CallerServer::Listen(const netutil::Endpoint& aEndpoint)
{
  return mServer.Listen(aEndpoint);
}

RequestId CallerServer::Register(PendingCall aCall)
{
  const RequestId id{ mNextRequest++ };
  mRequestByExchange.emplace(aCall.mExchange, id);
  mCalls.emplace(id, std::move(aCall));
  return id;
}

void CallerServer::OnRequest(const ExchangeId& aExchange,
                             RequestContent&& aRequest)
{
  if (HasPath(aRequest.mTarget, kLookupPath)) {
    OnLookup(aExchange, std::move(aRequest));
  } else if (HasPath(aRequest.mTarget, kTicketPath)) {
    OnTicketRequest(aExchange, std::move(aRequest));
  } else {
    OnServiceRequest(aExchange, std::move(aRequest));
  }
}

void CallerServer::RefuseInvalidRequest(const ExchangeId& aExchange,
                                        const Error& aError)
{
  ++mMetrics.mAnswersByStatus[HttpStatus(aError.mCode)];
  mServer.Answer(
    aExchange, netutil::MakeProblemResponse(InvalidRequestRefusal(aError)), {});
}

void CallerServer::OnLookup(const ExchangeId& aExchange,
                            RequestContent&& aRequest)
{
  ++mMetrics.mLookups;
  if (aRequest.mMethod != "GET") {
    RefuseInvalidRequest(
      aExchange,
      { ResultCode::InvalidArgument, "lookups accept the method GET only" });
    return;
  }
  auto query =
    ReadLookup(aRequest.mTarget, mServer.RemoteAddress(aExchange.mConnection));
  if (!query) {
    RefuseInvalidRequest(aExchange, query.error());
    return;
  }
  PendingCall call;
  call.mExchange = aExchange;
  call.mIsLookup = true;
  call.mWantsTicket = query->mWantsTicket;
  const RequestId id = Register(std::move(call));
  if (query->mWantsTicket) {
    const auto caller = ReadCallerRequest(std::move(aRequest));
    mSink(event::TicketRequested{
      .mRequest = id,
      .mKey = caller ? caller->mKey : std::string(),
      .mRoute = query->mLookup.mRoute,
    });
  }
  query->mLookup.mLookup = id;
  mSink(std::move(query->mLookup));
}

void CallerServer::OnTicketRequest(const ExchangeId& aExchange,
                                   RequestContent&& aRequest)
{
  ++mMetrics.mTickets;
  if (aRequest.mMethod != "POST") {
    RefuseInvalidRequest(aExchange,
                         { ResultCode::InvalidArgument,
                           "ticket requests accept the method POST only" });
    return;
  }
  const auto route = ReadTicketRoute(aRequest);
  if (!route) {
    RefuseInvalidRequest(aExchange, route.error());
    return;
  }
  PendingCall call;
  call.mExchange = aExchange;
  call.mTarget = aRequest.mTarget;
  auto caller = ReadCallerRequest(std::move(aRequest));
  if (!caller) {
    RefuseInvalidRequest(aExchange, caller.error());
    return;
  }
  const RequestId id = Register(std::move(call));
  mSink(event::TicketRequested{
    .mRequest = id,
    .mKey = std::move(caller->mKey),
    .mRoute = *route,
  });
}

void CallerServer::OnServiceRequest(const ExchangeId& aExchange,
                                    RequestContent&& aRequest)
{
  ++mMetrics.mRequests;
  auto caller = ReadCallerRequest(std::move(aRequest));
  if (!caller) {
    RefuseInvalidRequest(aExchange, caller.error());
    return;
  }
  PendingCall call;
  call.mExchange = aExchange;
  call.mArrival = ReadClock();
  call.mIsRequest = true;
  const RequestId id = Register(std::move(call));
  mSink(event::RequestArrived{
    .mRequest = id,
    .mCaller = CallerId{ static_cast<std::uint64_t>(aExchange.mConnection) },
    .mKey = std::move(caller->mKey),
    .mContent =
      std::make_shared<const RequestContent>(std::move(caller->mContent)),
    .mIdempotencyKey = std::move(caller->mIdempotencyKey),
    .mTicket = std::move(caller->mTicket),
    .mTimeout = caller->mTimeout,
  });
}

void CallerServer::OnAborted(const ExchangeId& aExchange)
{
  const auto it = mRequestByExchange.find(aExchange);
  if (it == mRequestByExchange.end()) {
    return;
  }
  const RequestId id = it->second;
  mRequestByExchange.erase(it);
  const auto call = mCalls.find(id);
  const bool isRequest = call->second.mIsRequest;
  mCalls.erase(call);
  ++mMetrics.mCallersDisconnected;
  if (isRequest) {
    mSink(event::RequestCancelled{ .mRequest = id });
  }
}

void CallerServer::CompleteCall(RequestId aRequest,
                                AnswerContentPtr aAnswer,
                                netutil::ResponseOptions aOptions)
{
  const auto it = mCalls.find(aRequest);
  if (it == mCalls.end()) {
    return;
  }
  const PendingCall call = std::move(it->second);
  mCalls.erase(it);
  mRequestByExchange.erase(call.mExchange);
  ++mMetrics.mAnswersByStatus[aAnswer->mStatus];
  if (call.mIsRequest) {
    const TimePoint now = ReadClock();
    mMetrics.mRequestLatency.Add(now - call.mArrival, now);
  }
  mServer.Answer(call.mExchange, std::move(aAnswer), aOptions);
}

void CallerServer::Execute(const effect::Respond& aEffect)
{
  netutil::ResponseOptions options{ .mCloseAfter = aEffect.mCloseAfter,
                                    .mExtraHeaders = {} };
  if (aEffect.mReplayed) {
    options.mExtraHeaders.push_back(kReplayedHeader);
  }
  CompleteCall(aEffect.mRequest, aEffect.mAnswer, std::move(options));
}

void CallerServer::Execute(const effect::Refuse& aEffect)
{
  CompleteCall(aEffect.mRequest,
               netutil::MakeProblemResponse(aEffect.mRefusal),
               { .mCloseAfter = aEffect.mCloseAfter, .mExtraHeaders = {} });
}

void CallerServer::Execute(const effect::AnswerLookup& aEffect)
{
  const auto it = mCalls.find(aEffect.mLookup);
  if (it == mCalls.end()) {
    return;
  }
  if (!it->second.mWantsTicket) {
    CompleteCall(aEffect.mLookup, EncodeLookup(aEffect, nullptr), {});
    return;
  }
  it->second.mLookup = aEffect;
  AnswerLookupIfComplete(aEffect.mLookup);
}

void CallerServer::Execute(const effect::AnswerTicket& aEffect)
{
  const auto it = mCalls.find(aEffect.mRequest);
  if (it == mCalls.end()) {
    return;
  }
  if (!it->second.mIsLookup) {
    CompleteCall(
      aEffect.mRequest, EncodeTicket(aEffect, it->second.mTarget), {});
    return;
  }
  it->second.mTicket = aEffect;
  AnswerLookupIfComplete(aEffect.mRequest);
}

void CallerServer::AnswerLookupIfComplete(RequestId aRequest)
{
  const PendingCall& call = mCalls.at(aRequest);
  if (call.mLookup && call.mTicket) {
    CompleteCall(aRequest, EncodeLookup(*call.mLookup, &*call.mTicket), {});
  }
}

void CallerServer::Shutdown()
{
  mServer.StopAccepting();
  mServer.CloseAllAfterResponses();
}

} // namespace cranberrywing::daemon
