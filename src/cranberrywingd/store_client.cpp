#include "cranberrywingd/store_client.h"

#include "cranberrywingd/store_codec.h"

namespace cranberrywing::daemon {

namespace {

/// The store normally answers within milliseconds. The timeout is below the
/// core's own limits, so that the core receives the reason of the failure.
constexpr std::chrono::seconds kCallTimeout{ 2 };

} // namespace

StoreClient::StoreClient(boost::asio::io_context& aContext,
                         std::vector<netutil::Endpoint> aAddresses,
                         DaemonMetrics& aMetrics,
                         EventSink aSink)
  : mAddresses(std::move(aAddresses))
  , mMetrics(aMetrics)
  , mSink(std::move(aSink))
  , mPool(aContext, {})
{
}

void StoreClient::Execute(const effect::CallStore& aEffect)
{
  Call(
    aEffect.mRequest, [this, call = aEffect.mCall](Result<StoreReply> aReply) {
      mSink(event::StoreReplied{ .mCall = call, .mReply = std::move(aReply) });
    });
}

void StoreClient::Call(StoreCall aCall, ReplyHandler aHandler)
{
  ++mMetrics.mStoreCalls;
  const auto pending = std::make_shared<Pending>();
  pending->mRequest =
    std::make_shared<const RequestContent>(EncodeStoreCall(aCall));
  pending->mCall = std::move(aCall);
  pending->mHandler = std::move(aHandler);
  pending->mStarted = ReadClock();
  Send(pending);
}

void StoreClient::Send(std::shared_ptr<Pending> aPending)
{
  const netutil::Endpoint endpoint = Preferred();
  mPool.Start(endpoint,
              aPending->mRequest,
              {},
              kCallTimeout,
              [this, aPending, endpoint](netutil::ExchangeResult aResult) {
                OnResult(aPending, endpoint, std::move(aResult));
              });
}

void StoreClient::MarkFailed(const netutil::Endpoint& aEndpoint)
{
  if (mAddresses[mPreferred] == aEndpoint) {
    mPreferred = (mPreferred + 1) % mAddresses.size();
  }
}

void StoreClient::OnResult(const std::shared_ptr<Pending>& aPending,
                           const netutil::Endpoint& aEndpoint,
                           netutil::ExchangeResult aResult)
{
  if (!aResult) {
    OnFailure(aPending, aEndpoint, aResult.error());
    return;
  }
  const TimePoint now = ReadClock();
  mMetrics.mStoreLatency.Add(now - aPending->mStarted, now);
  auto reply = DecodeStoreAnswer(aPending->mCall, *aResult);
  if (!reply) {
    ++mMetrics.mStoreFailures;
    MarkFailed(aEndpoint);
  }
  aPending->mHandler(std::move(reply));
}

void StoreClient::OnFailure(const std::shared_ptr<Pending>& aPending,
                            const netutil::Endpoint& aEndpoint,
                            const netutil::ExchangeFailure& aFailure)
{
  MarkFailed(aEndpoint);
  const bool isConnectFailure =
    aFailure.mKind == netutil::ExchangeFailureKind::Connect;
  if (isConnectFailure && ++aPending->mRefusedConnections < mAddresses.size()) {
    Send(aPending);
    return;
  }
  ++mMetrics.mStoreFailures;
  const bool isOutcomeUnknown =
    aFailure.mWasSent && IsStoreWrite(aPending->mCall);
  aPending->mHandler(MakeError(isOutcomeUnknown ? ResultCode::OutcomeUnknown
                                                : ResultCode::StoreUnavailable,
                               "store " + netutil::ToString(aEndpoint) + ": " +
                                 aFailure.mDetail));
}

} // namespace cranberrywing::daemon
