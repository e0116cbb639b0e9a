#include "standins/store/store_server.h"

#include <algorithm>
#include <array>

#include "netutil/json.h"
#include "netutil/problem.h"

namespace cranberrywing::standins {

namespace json = boost::json;
using netutil::ExchangeId;

namespace {

/// Interval at which leases expire and watches are notified.
constexpr Milliseconds kTickInterval{ 20 };

std::string_view NameOf(CallKind aKind)
{
  constexpr std::array<std::string_view, 7> kNames{
    "range",        "txn",   "lease_grant", "lease_keepalive",
    "lease_revoke", "watch", "unknown",
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

} // namespace

StoreServer::StoreServer(boost::asio::io_context& aContext,
                         StoreServerOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mGateway(mState)
  , mServer(
      aContext,
      { .mMaxBodyBytes = 16 * 1024 * 1024 },
      { .mOnRequest =
          [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
            OnRequest(aExchange, std::move(aRequest));
          },
        .mOnAborted =
          [this](const ExchangeId& aExchange) { mWatches.erase(aExchange); } })
  , mControl(
      aContext,
      {},
      { .mOnRequest =
          [this](const ExchangeId& aExchange, RequestContent&& aRequest) {
            OnControl(aExchange, aRequest);
          },
        .mOnAborted = [](const ExchangeId&) {} })
  , mTick(aContext)
{
}

Result<void> StoreServer::Start()
{
  const auto listening = mServer.Listen(mOptions.mListen);
  if (!listening) {
    return listening;
  }
  const auto control = mControl.Listen(mOptions.mControl);
  if (!control) {
    return control;
  }
  mOptions.mListen.mPort = mServer.Port();
  mNextProgress = std::chrono::steady_clock::now();
  Tick();
  return {};
}

void StoreServer::Stop()
{
  mTick.cancel();
  mServer.StopAccepting();
  mServer.AbortAll();
  mControl.StopAccepting();
  mControl.AbortAll();
}

void StoreServer::RunAfter(std::int64_t aDelayMs, std::function<void()> aAction)
{
  if (aDelayMs <= 0) {
    aAction();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
  timer->expires_after(Milliseconds(aDelayMs));
  timer->async_wait(
    [timer, action = std::move(aAction)](boost::system::error_code aError) {
      if (!aError) {
        action();
      }
    });
}

void StoreServer::OnRequest(const ExchangeId& aExchange,
                            RequestContent&& aRequest)
{
  Count(Gateway::Classify(aRequest));
  if (mFaults.mOutage == Outage::Silent) {
    return;
  }
  if (mFaults.mOutage == Outage::Error) {
    Answer(aExchange,
           GatewayError(
             { ResultCode::StoreUnavailable, "etcdserver: server stopped" }));
    return;
  }
  const auto request =
    std::make_shared<const RequestContent>(std::move(aRequest));
  RunAfter(mFaults.mDelayMs,
           [this, aExchange, request] { Serve(aExchange, *request); });
}

void StoreServer::Serve(const ExchangeId& aExchange,
                        const RequestContent& aRequest)
{
  const CallClass callClass = Gateway::Classify(aRequest);
  if (callClass.mKind == CallKind::Watch) {
    StartWatch(aExchange, aRequest);
    return;
  }
  AnswerContentPtr answer =
    mGateway.Call(aRequest, std::chrono::steady_clock::now());
  NotifyWatches();
  if (callClass.mIsWrite && mFaults.mAnswersToDrop > 0) {
    --mFaults.mAnswersToDrop;
    mServer.Abort(aExchange.mConnection);
    return;
  }
  RunAfter(mFaults.mAnswerDelayMs,
           [this, aExchange, answer = std::move(answer)] {
             Answer(aExchange, answer);
           });
}

void StoreServer::Answer(const ExchangeId& aExchange, AnswerContentPtr aAnswer)
{
  mServer.Answer(aExchange, std::move(aAnswer), {});
}

void StoreServer::Count(const CallClass& aClass)
{
  ++mCounters.mByKind[std::string(NameOf(aClass.mKind))];
  ++(aClass.mIsWrite ? mCounters.mWrites : mCounters.mReads);
}

void StoreServer::StartWatch(const ExchangeId& aExchange,
                             const RequestContent& aRequest)
{
  const auto request = Gateway::ParseWatch(aRequest.mBody);
  if (!request) {
    Answer(aExchange, GatewayError(request.error()));
    return;
  }
  const AnswerContent head{
    .mStatus = 200,
    .mHeaders = { { "Content-Type", "application/json" } },
    .mBody = {},
  };
  mServer.StartStream(aExchange, head);
  mServer.WriteChunk(aExchange, mGateway.EncodeCreated());
  const std::int64_t start = request->mStartRevision;
  const std::int64_t next = start > 0 ? start : mState.Revision() + 1;
  Watch& watch = mWatches[aExchange];
  watch = { .mRequest = *request, .mNextRevision = next };
  Notify(aExchange, watch);
}

void StoreServer::NotifyWatches()
{
  if (mFaults.mStaleWatch) {
    return;
  }
  std::vector<ExchangeId> exchanges;
  for (const auto& [exchange, watch] : mWatches) {
    exchanges.push_back(exchange);
  }
  for (const ExchangeId& exchange : exchanges) {
    const auto it = mWatches.find(exchange);
    if (it != mWatches.end()) {
      Notify(exchange, it->second);
    }
  }
}

void StoreServer::Notify(const ExchangeId& aExchange, Watch& aWatch)
{
  if (mFaults.mStaleWatch || aWatch.mNextRevision > mState.Revision()) {
    return;
  }
  const auto changes = mState.ChangesFrom(aWatch.mNextRevision);
  if (!changes) {
    const std::string line = mGateway.EncodeCompacted();
    mWatches.erase(aExchange);
    mServer.WriteChunk(aExchange, line);
    mServer.EndStream(aExchange);
    return;
  }
  aWatch.mNextRevision = mState.Revision() + 1;
  std::vector<Change> matching;
  std::copy_if(changes->begin(),
               changes->end(),
               std::back_inserter(matching),
               [&aWatch](const Change& aChange) {
                 return aWatch.mRequest.mRange.Contains(aChange.mEntry.mKey);
               });
  if (!matching.empty()) {
    mServer.WriteChunk(aExchange, mGateway.EncodeChanges(matching));
  }
}

void StoreServer::Tick()
{
  const auto now = std::chrono::steady_clock::now();
  mState.Expire(now);
  NotifyWatches();
  if (now >= mNextProgress) {
    mNextProgress = now + mOptions.mProgressInterval;
    const std::string progress = mGateway.EncodeProgress();
    const auto watches = mWatches;
    for (const auto& [exchange, watch] : watches) {
      if (watch.mRequest.mProgressNotify && !mFaults.mStaleWatch &&
          mFaults.mOutage != Outage::Silent) {
        mServer.WriteChunk(exchange, progress);
      }
    }
  }
  mTick.expires_after(kTickInterval);
  mTick.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void StoreServer::OnControl(const ExchangeId& aExchange,
                            const RequestContent& aRequest)
{
  AnswerContentPtr answer = netutil::MakeProblemResponse(
    Error{ ResultCode::UnknownRoute,
           "unknown control endpoint; use /counters or /faults" });
  if (aRequest.mTarget == "/counters" && aRequest.mMethod == "GET") {
    answer = Counters();
  } else if (aRequest.mTarget == "/faults" && aRequest.mMethod == "GET") {
    answer = netutil::MakeJsonResponse(200, EncodeFaults(mFaults));
  } else if (aRequest.mTarget == "/faults" && aRequest.mMethod == "POST") {
    answer = SetFaults(aRequest.mBody);
  }
  mControl.Answer(aExchange, std::move(answer), {});
}

AnswerContentPtr StoreServer::SetFaults(const std::string& aBody)
{
  const auto body = netutil::ParseObject(aBody);
  if (!body) {
    return netutil::MakeProblemResponse(body.error());
  }
  const auto faults = ApplyFaults(mFaults, *body);
  if (!faults) {
    return netutil::MakeProblemResponse(faults.error());
  }
  const bool wasRefusing = mFaults.mOutage == Outage::Refuse;
  const bool isRefusing = faults->mOutage == Outage::Refuse;
  mFaults = *faults;
  if (isRefusing && !wasRefusing) {
    mServer.StopAccepting();
    mServer.AbortAll();
  }
  if (wasRefusing && !isRefusing) {
    const auto listening = mServer.Listen(mOptions.mListen);
    if (!listening) {
      return netutil::MakeProblemResponse(listening.error());
    }
  }
  return netutil::MakeJsonResponse(200, EncodeFaults(mFaults));
}

AnswerContentPtr StoreServer::Counters() const
{
  json::object body;
  json::object kinds;
  for (const auto& [name, count] : mCounters.mByKind) {
    kinds[name] = count;
  }
  body["calls"] = std::move(kinds);
  body["reads"] = mCounters.mReads;
  body["writes"] = mCounters.mWrites;
  body["open_watches"] = mWatches.size();
  body["leases"] = mState.LeaseCount();
  body["revision"] = mState.Revision();
  return netutil::MakeJsonResponse(200, body);
}

} // namespace cranberrywing::standins
