#include <boost/url/parse.hpp>

#include "cranberrywing/parse_number.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/gateway_daemon.h"

namespace cranberrywing::daemon {

namespace {

/// Target of requests for changes of the store, with the parameters epoch and
/// after (a position) and large (0 or 1). VMs that know no epochs use another
/// version of it.
constexpr std::string_view kStorePullPath = "/v2/store-changes";
constexpr std::string_view kEpochParameter = "epoch";
constexpr std::string_view kAfterParameter = "after";
constexpr std::string_view kLargeParameter = "large";
/// Changes above this size are read from the store, if possible. A VM's link
/// may be as slow as 10 Mbit/s, and it carries them to each VM of its group.
constexpr std::size_t kLargeAnswerBytes = 48 * 1024;
constexpr std::uint32_t kStatusTooLarge = 413;
constexpr Milliseconds kPullTimeout{ 600 };
constexpr Milliseconds kLargePullTimeout{ 3000 };

std::string WritePullTarget(const gateway::StorePull& aPull)
{
  return std::string(kStorePullPath) + '?' + std::string(kEpochParameter) +
         '=' + std::to_string(aPull.mAfter.mEpoch) + '&' +
         std::string(kAfterParameter) + '=' +
         std::to_string(aPull.mAfter.mRevision) + '&' +
         std::string(kLargeParameter) + '=' + (aPull.mMayBeLarge ? '1' : '0');
}

} // namespace

void GatewayDaemon::CallStore(gateway::StoreChannel aChannel,
                              const gateway::StoreCall& aCall,
                              Duration aTimeout)
{
  if (mIsExiting) {
    // The store reports the end of the lease as a lost entry, which a process
    // that goes on would register again.
    return;
  }
  ++mMetrics.mStoreCalls;
  const bool isLeaseEnd =
    std::holds_alternative<gateway::store_call::RevokeLease>(aCall);
  const TimePoint sentAt = ReadClock();
  if (aChannel == gateway::StoreChannel::Follow && mWatchConnection) {
    mWatchConnection->Close();
  }
  const auto connection = mStoreConnections.Start(
    mOptions.mSettings.mStore,
    std::make_shared<const RequestContent>(
      mOptions.mDialect.mWriteStoreCall(aCall)),
    {},
    aTimeout,
    [this, aChannel, aCall, isLeaseEnd, sentAt](
      netutil::ExchangeResult aResult) {
      const TimePoint now = ReadClock();
      gateway::StoreReply reply;
      if (aResult) {
        mMetrics.mStoreLatency.Add(now - sentAt, now);
        reply = mOptions.mDialect.mReadStoreReply(aCall, *aResult);
        RecordStoreEpoch(reply);
      } else if (aResult.error().mKind ==
                 netutil::ExchangeFailureKind::TooLarge) {
        reply.mStatus = gateway::StoreStatus::TooLarge;
      }
      if (reply.mStatus == gateway::StoreStatus::Refused ||
          reply.mStatus == gateway::StoreStatus::TooLarge ||
          reply.mStatus == gateway::StoreStatus::NoAnswer) {
        ++mMetrics.mStoreFailures;
        Record(
          "store_call_failed",
          { { "status", aResult ? std::to_string(aResult->mStatus) : "none" },
            { "detail", aResult ? std::string() : aResult.error().mDetail } });
      }
      if (aChannel == gateway::StoreChannel::Follow) {
        mWatchConnection.reset();
      }
      if (!isLeaseEnd) {
        mStore.OnReply(aChannel, reply, now);
      }
    });
  if (aChannel == gateway::StoreChannel::Follow) {
    mWatchConnection = connection;
  }
}

void GatewayDaemon::RecordStoreEpoch(const gateway::StoreReply& aReply)
{
  // Only the answers to reads state a revision.
  if (!aReply.mEpoch || aReply.mEpoch == mStoreEpoch || aReply.mRevision == 0) {
    return;
  }
  if (mStoreEpoch) {
    Record(
      "store_restored",
      { { "epoch", std::to_string(*aReply.mEpoch) },
        { "before", std::to_string(*mStoreEpoch) },
        { "store_revision", std::to_string(aReply.mRevision) },
        { "known_revision", std::to_string(mStore.KnownPosition().mRevision) },
        { "changes", std::to_string(aReply.mChanges.size()) },
        { "items", std::to_string(aReply.mItems.size()) } });
  }
  mStoreEpoch = aReply.mEpoch;
}

void GatewayDaemon::RecordOutdatedWrite(const StoreItem& aItem)
{
  const StoreItem* const inForce = mStore.Carried().Find(aItem.mKey);
  Record("store_entry_outdated",
         { { "key", aItem.mKey },
           { "revision", std::to_string(aItem.mRevision) },
           { "written", DescribeVersion(&aItem) },
           { "in_force", DescribeVersion(inForce) } });
}

std::string GatewayDaemon::DescribeVersion(const StoreItem* aItem) const
{
  const auto version =
    aItem ? mOptions.mDialect.mReadWriterVersion(*aItem) : std::nullopt;
  return version ? std::to_string(version->mMajor) + "." +
                     std::to_string(version->mMinor)
                 : "none";
}

void GatewayDaemon::OnStoreChange(const StoreChange& aChange)
{
  auto event = mOptions.mDialect.mReadStoreChange(aChange);
  if (!event) {
    Record("store_entry_ignored",
           { { "key", aChange.mItem.mKey },
             { "revision", std::to_string(aChange.mItem.mRevision) },
             { "reason", event.error().mMessage } });
    // What the key named before must not stay in use.
    event = mOptions.mDialect.mReadStoreChange(
      { .mItem = { .mKey = aChange.mItem.mKey }, .mIsRemoved = true });
  }
  if (event && *event) {
    Deliver(std::move(**event));
  }
}

void GatewayDaemon::ReportStoreProgress()
{
  const gateway::StoreProgress progress{ mStore.KnownPosition(),
                                         mStore.ConfirmedAt(),
                                         mStore.Carried().Digest() };
  if (progress != mStoreProgress) {
    mStoreProgress = progress;
    Deliver(gateway::event::StoreProgressed{ progress });
  }
}

AnswerContentPtr GatewayDaemon::AnswerStorePull(const RequestContent& aRequest)
{
  AnswerContent answer;
  const auto target = boost::urls::parse_origin_form(aRequest.mTarget);
  if (!target || target->encoded_path() != kStorePullPath) {
    answer.mStatus = 404;
    return std::make_shared<const AnswerContent>(std::move(answer));
  }
  const auto parameter = [&](std::string_view aName) -> std::string {
    const auto it = target->params().find(aName);
    return it == target->params().end() ? std::string() : (*it).value;
  };
  const StorePosition after{
    .mEpoch = ParseNumber<std::int64_t>(parameter(kEpochParameter)).value_or(0),
    .mRevision =
      ParseNumber<std::int64_t>(parameter(kAfterParameter)).value_or(0)
  };
  if (mStore.KnownPosition().mRevision == 0) {
    answer.mStatus = 503;
    return std::make_shared<const AnswerContent>(std::move(answer));
  }
  answer.mBody = EncodeEnvelope(
    { mSelf, message::StoreChanges{ mStore.ChangesAfter(after, ReadClock()) } },
    mCodec);
  answer.mStatus = 200;
  if (answer.mBody.size() > kLargeAnswerBytes &&
      parameter(kLargeParameter) != "1") {
    answer.mBody.clear();
    answer.mStatus = kStatusTooLarge;
  }
  return std::make_shared<const AnswerContent>(std::move(answer));
}

void GatewayDaemon::Execute(gateway::effect::FollowStore& aEffect)
{
  const TimePoint now = ReadClock();
  mStore.SetFollowing(aEffect.mFollowing, now);
  mStore.SetConfirming(aEffect.mIsConfirming, now);
}

void GatewayDaemon::Execute(gateway::effect::ReadStore&)
{
  mStore.ReadOnce(ReadClock());
}

void GatewayDaemon::Execute(gateway::effect::PullStoreChanges& aEffect)
{
  ++mStorePulls;
  const gateway::StorePull& pull = aEffect.mPull;
  RequestContent request;
  request.mMethod = "GET";
  request.mTarget = WritePullTarget(pull);
  mRelayConnections.Start(
    { pull.mFrom.mAddress, pull.mFrom.mPort },
    std::make_shared<const RequestContent>(std::move(request)),
    {},
    pull.mMayBeLarge ? kLargePullTimeout : kPullTimeout,
    [this, from = pull.mFrom.mVm](netutil::ExchangeResult aResult) {
      Deliver(
        gateway::event::StorePullEnded{ OnStorePullEnded(from, aResult) });
    });
}

gateway::PullResult GatewayDaemon::OnStorePullEnded(
  const VmId& aFrom,
  const netutil::ExchangeResult& aResult)
{
  if (aResult && aResult->mStatus == kStatusTooLarge) {
    return gateway::PullResult::TooLarge;
  }
  std::string reason = "no answer";
  if (aResult) {
    reason = "status " + std::to_string(aResult->mStatus);
    auto envelope = DecodeEnvelope(aResult->mBody, mCodec);
    if (aResult->mStatus == 200 && !envelope) {
      reason = envelope.error().mMessage;
    }
    const auto* const changes =
      aResult->mStatus == 200 && envelope
        ? std::get_if<message::StoreChanges>(&envelope->mMessage)
        : nullptr;
    if (changes) {
      mStore.OnDelta(changes->mDelta, ReadClock());
      ReportStoreProgress();
      return gateway::PullResult::Applied;
    }
  }
  Record("store_pull_failed",
         { { "from", aFrom.mName }, { "reason", std::move(reason) } });
  return gateway::PullResult::Failed;
}

} // namespace cranberrywing::daemon
