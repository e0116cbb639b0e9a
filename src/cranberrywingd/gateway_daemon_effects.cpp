#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/gateway_daemon.h"
#include "netutil/connection_check.h"

namespace cranberrywing::daemon {

namespace {

constexpr Milliseconds kProbeTimeout{ 600 };
/// Interval at which an exiting process checks whether output is left to send.
constexpr Milliseconds kOutputCheckInterval{ 50 };

gateway::event::FailureKind KindOf(netutil::ExchangeFailureKind aKind)
{
  using netutil::ExchangeFailureKind;
  switch (aKind) {
    case ExchangeFailureKind::Connect:
      return gateway::event::FailureKind::Connect;
    case ExchangeFailureKind::Timeout:
      return gateway::event::FailureKind::Timeout;
    case ExchangeFailureKind::Reset:
      return gateway::event::FailureKind::Reset;
    case ExchangeFailureKind::TooLarge:
    case ExchangeFailureKind::Malformed:
      break;
  }
  return gateway::event::FailureKind::MalformedAnswer;
}

} // namespace

void GatewayDaemon::Execute(gateway::effect::Dispatch& aEffect)
{
  const auto it = mExchanges.find(aEffect.mRequest);
  if (it == mExchanges.end()) {
    return;
  }
  ++mMetrics.mBackendExchanges;
  const SentAttempt sent{ .mRequest = aEffect.mRequest,
                          .mAttempt = aEffect.mAttempt,
                          .mBackend = aEffect.mBackend,
                          .mContent = aEffect.mContent,
                          .mSentAt = ReadClock() };
  it->second.mAttempts[aEffect.mAttempt] = mBackends.Start(
    { aEffect.mAddress, aEffect.mPort },
    sent.mContent,
    mOptions.mDialect.mBackendFields(aEffect),
    aEffect.mTimeout,
    [this, sent](netutil::ExchangeResult aResult) {
      OnBackendResult(sent, std::move(aResult));
    },
    IdentityOf(sent.mContent));
}

netutil::ResponseIdentity GatewayDaemon::IdentityOf(
  const RequestContentPtr& aContent)
{
  return {
    .mId = mOptions.mDialect.mAnswerId(*aContent),
    .mFilter =
      [this, aContent](const AnswerContent& aAnswer,
                       netutil::ConnectionUse aUse) {
        const bool isAnswer =
          mOptions.mDialect.mIsAnswerTo(*aContent, aAnswer, aUse);
        if (!isAnswer) {
          ++mMetrics.mForeignAnswers;
          Record("foreign_answer_skipped",
                 { { "trace", mOptions.mDialect.mAnswerId(*aContent) },
                   { "target", aContent->mTarget },
                   { "status", std::to_string(aAnswer.mStatus) } });
        }
        return isAnswer;
      },
  };
}

netutil::HttpClientConnectionPtr GatewayDaemon::TakeConnection(
  const SentAttempt& aSent)
{
  const auto it = mExchanges.find(aSent.mRequest);
  if (it == mExchanges.end()) {
    return nullptr;
  }
  auto node = it->second.mAttempts.extract(aSent.mAttempt);
  return node ? std::move(node.mapped()) : nullptr;
}

void GatewayDaemon::OnBackendResult(const SentAttempt& aSent,
                                    netutil::ExchangeResult aResult)
{
  const netutil::HttpClientConnectionPtr connection = TakeConnection(aSent);
  if (aResult) {
    const TimePoint now = ReadClock();
    mMetrics.mBackendLatency.Add(now - aSent.mSentAt, now);
    gateway::event::BackendReplied replied = mOptions.mDialect.mReadAnswer(
      *aSent.mContent, aSent.mBackend, std::move(*aResult));
    replied.mRequest = aSent.mRequest;
    replied.mAttempt = aSent.mAttempt;
    replied.mLatency = now - aSent.mSentAt;
    if (connection) {
      replied.mConnection = { connection->LocalPort(),
                              connection->ExchangeNumber() };
    }
    if (connection && replied.mKind == gateway::event::ReplyKind::Unverified) {
      // The server may still be at work on the request.
      connection->Close();
    }
    Deliver(std::move(replied));
    return;
  }
  const netutil::ExchangeFailure& failure = aResult.error();
  Deliver(gateway::event::BackendFailed{
    .mRequest = aSent.mRequest,
    .mAttempt = aSent.mAttempt,
    .mStage = failure.mWasSent ? gateway::event::FailureStage::AfterFirstByte
                               : gateway::event::FailureStage::BeforeFirstByte,
    .mKind = KindOf(failure.mKind),
  });
}

void GatewayDaemon::Execute(gateway::effect::CancelDispatch& aEffect)
{
  const auto it = mExchanges.find(aEffect.mRequest);
  if (it == mExchanges.end()) {
    return;
  }
  auto& attempts = it->second.mAttempts;
  const auto attempt = attempts.find(aEffect.mAttempt);
  if (attempt != attempts.end()) {
    attempt->second->Close();
    attempts.erase(attempt);
  }
}

void GatewayDaemon::AnswerCaller(RequestId aRequest,
                                 const AnswerContentPtr& aAnswer,
                                 bool aCloseAfter)
{
  const auto it = mExchanges.find(aRequest);
  if (it == mExchanges.end()) {
    return;
  }
  const netutil::ExchangeId exchange = it->second.mId;
  mExchanges.erase(it);
  mRequestByExchange.erase(exchange);
  ++mMetrics.mAnswersByStatus[aAnswer->mStatus];
  mCallers.Answer(exchange, aAnswer, { .mCloseAfter = aCloseAfter });
}

void GatewayDaemon::Execute(gateway::effect::Respond& aEffect)
{
  AnswerCaller(aEffect.mRequest, aEffect.mAnswer, aEffect.mCloseAfter);
}

void GatewayDaemon::Execute(gateway::effect::Refuse& aEffect)
{
  AnswerCaller(aEffect.mRequest,
               mOptions.mDialect.mWriteRefusal(aEffect.mRefusal),
               aEffect.mCloseAfter);
}

void GatewayDaemon::Execute(gateway::effect::SendMessage& aEffect)
{
  mPeers.Send({ aEffect.mAddress, aEffect.mPort },
              EncodeEnvelope({ mSelf, std::move(aEffect.mMessage) }, mCodec));
}

void GatewayDaemon::Execute(gateway::effect::ProbeBackend& aEffect)
{
  const auto request = std::make_shared<RequestContent>();
  request->mMethod = "GET";
  request->mTarget = aEffect.mHealthPath;
  mBackends.Start(
    { aEffect.mAddress, aEffect.mPort },
    request,
    {},
    kProbeTimeout,
    [this, backend = aEffect.mBackend, lifetime = aEffect.mLifetime](
      netutil::ExchangeResult aResult) {
      auto probed = aResult
                      ? mOptions.mDialect.mReadProbe(backend, *aResult)
                      : gateway::event::BackendProbed{ .mBackend = backend };
      probed.mLifetime = lifetime;
      Deliver(std::move(probed));
    },
    IdentityOf(request));
}

void GatewayDaemon::Execute(gateway::effect::CheckServer& aEffect)
{
  netutil::CheckConnection(mContext,
                           { aEffect.mAddress, aEffect.mPort },
                           detail::kConnectTimeout,
                           [this, backend = aEffect.mBackend](bool aIsReached) {
                             Deliver(gateway::event::ServerChecked{
                               .mBackend = backend, .mIsReached = aIsReached });
                           });
}

void GatewayDaemon::Execute(gateway::effect::CloseBackendConnections& aEffect)
{
  mBackends.CloseIdle({ aEffect.mAddress, aEffect.mPort });
}

void GatewayDaemon::Execute(gateway::effect::AnnounceLeaving&)
{
  mRecord.mIsLeaving = true;
  mStore.SetOwnValue(mOptions.mDialect.mWriteVmRecord(mRecord), ReadClock());
}

void GatewayDaemon::Execute(gateway::effect::CloseCallerConnections&)
{
  mCallers.CloseAllAfterResponses();
}

void GatewayDaemon::Execute(gateway::effect::ApplyCallerLimits& aEffect)
{
  const gateway::CallerLimits& limits = aEffect.mLimits;
  mCallers.SetBodyLimit(limits.mBodyBytes);
  mCallers.SetLimits(
    limits.mHeaderBytes, limits.mHeaderTimeout, limits.mIdleTimeout);
}

void GatewayDaemon::Execute(gateway::effect::RecordTimeline& aEffect)
{
  mLog.Record(aEffect, ReadClock());
}

void GatewayDaemon::Execute(gateway::effect::Exit&)
{
  mStore.RevokeLease();
  mIsExiting = true;
  mCallers.StopAccepting();
  mCallers.CloseAllAfterResponses();
  mLog.Flush();
  AwaitOutput();
}

void GatewayDaemon::AwaitOutput()
{
  // The first interval also leaves time to end the lease.
  mExitTimer.expires_after(kOutputCheckInterval);
  mExitTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    if (mCallers.ConnectionCount() > 0 && ReadClock() < *mOutputLimit) {
      AwaitOutput();
      return;
    }
    mLog.Flush();
    mContext.stop();
  });
}

} // namespace cranberrywing::daemon
