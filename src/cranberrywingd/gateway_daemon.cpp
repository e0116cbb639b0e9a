#include "cranberrywingd/gateway_daemon.h"

#include <boost/asio/post.hpp>

#include "cranberrywingd/event_sink.h"

namespace cranberrywing::daemon {

namespace {

/// Resolution of the gateway's timers. Each wake-up costs CPU time, and no
/// decision needs a finer resolution.
constexpr Milliseconds kTickInterval{ 25 };
/// Applies to servers that do not state how long they keep idle connections.
constexpr std::chrono::seconds kBackendIdleTime{ 7 };
/// Readiness checks, lookups and metrics requests are small.
constexpr std::size_t kMaxQueryBodyBytes = 8 * 1024;
/// File descriptors that the platform reserves for files.
constexpr std::size_t kReservedDescriptors = 200;
/// Fraction of the process's memory for answers of backend servers that are
/// being read: 1 / kAnswerMemoryDivisor.
constexpr std::size_t kAnswerMemoryDivisor = 4;
/// The same for the bodies of callers' requests that have no answer yet.
constexpr std::size_t kBodyMemoryDivisor = 2;
/// The same for responses that callers have not received yet.
constexpr std::size_t kHeldMemoryDivisor = 4;
/// A stopping process sends output until this fraction of the stop limit before
/// it would be killed. Half of the margin that the gateway leaves when it exits
/// is then usable for clients that read slowly.
constexpr int kOutputMarginDivisor = 16;
constexpr std::size_t kMaxStoreAnswerBytes = 8 * 1024 * 1024;
/// Time without a further part of an answer after which the store, or another
/// VM that passes changes on, counts as unresponsive.
constexpr Milliseconds kAnswerProgressTime{ 800 };

/// Half of the descriptors available for sockets; the rest is for connections
/// to backend servers, the store and other VMs.
std::size_t MaxCallerConnections(std::size_t aFileLimit)
{
  return std::max<std::size_t>(
    64, (aFileLimit - std::min(aFileLimit, kReservedDescriptors)) / 2);
}

netutil::HttpClientPool::Options BackendPoolOptions(std::size_t aMemoryLimit)
{
  netutil::HttpClientPool::Options options;
  const std::size_t maxBytes = aMemoryLimit / kAnswerMemoryDivisor;
  options.mClient.mBudget = std::make_shared<netutil::ResponseBudget>(maxBytes);
  options.mClient.mMaxBodyBytes = maxBytes;
  options.mClient.mConnectTimeout = detail::kConnectTimeout;
  options.mClient.mAcceptsCloseDelimitedBody = true;
  options.mIdleTimeout = kBackendIdleTime;
  return options;
}

/// Other VMs answer from memory within the region's round trip.
netutil::HttpClientPool::Options RelayPoolOptions()
{
  netutil::HttpClientPool::Options options;
  options.mClient.mConnectTimeout = detail::kConnectTimeout;
  options.mClient.mMaxBodyBytes = kMaxStoreAnswerBytes;
  options.mClient.mProgressTime = kAnswerProgressTime;
  options.mIdleTimeout = std::chrono::seconds(20);
  return options;
}

netutil::HttpClientPool::Options StorePoolOptions()
{
  netutil::HttpClientPool::Options options;
  options.mClient.mMaxBodyBytes = kMaxStoreAnswerBytes;
  options.mClient.mProgressTime = kAnswerProgressTime;
  options.mClient.mEnableTcpKeepAlive = true;
  options.mIdleTimeout = std::chrono::seconds(20);
  return options;
}

} // namespace

gateway::VmRecord GatewayDaemon::MakeRecord(const Options& aOptions)
{
  const GatewaySettings& settings = aOptions.mSettings;
  return { .mVm = settings.mVm,
           .mIncarnation = aOptions.mIncarnation,
           .mRegion = settings.mRegion,
           .mFailureDomain = settings.mFailureDomain,
           .mAddress = settings.mCallers.mAddress,
           .mCallerPort = settings.mCallers.mPort,
           .mPeerPort = settings.mPeers.mPort,
           .mLinkMbps = settings.mLinkMbps };
}

gateway::Gateway::Options GatewayDaemon::GatewayOptions(
  const Options& aOptions,
  const gateway::VmRecord& aRecord)
{
  const GatewaySettings& settings = aOptions.mSettings;
  gateway::Gateway::Options options;
  options.mSelf = aRecord;
  options.mSeed = aOptions.mSeed;
  options.mRetries.mRatio = settings.mRetryRatio;
  options.mRetries.mAllowance = settings.mRetryAllowance;
  options.mRetries.mWindow = settings.mRetryWindow;
  options.mColdStart.mOvershoot = settings.mColdOvershoot;
  options.mColdStart.mSlack = settings.mColdSlack;
  options.mMaxShift = settings.mMaxShift;
  options.mPlacesObjects = settings.mPlacesObjects;
  options.mLookupLifetime =
    std::min(options.mLookupLifetime, settings.mLookupLifetimeMax);
  options.mStopLimit = settings.mStopLimit;
  return options;
}

GatewayDaemon::GatewayDaemon(boost::asio::io_context& aContext,
                             Options aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mSelf{ mOptions.mSettings.mVm, mOptions.mIncarnation }
  , mRecord(MakeRecord(mOptions))
  , mLog(DecisionLog::Options{}, mSelf.mVm)
  , mGateway(GatewayOptions(mOptions, mRecord))
  , mStore(
      gateway::StoreFollower::Options{
        .mOwnKey = mOptions.mDialect.mVmKey(mSelf.mVm),
        .mOwnValue = mOptions.mDialect.mWriteVmRecord(mRecord),
        .mRosterKey = mOptions.mDialect.mRosterKey(mSelf.mVm),
        .mLeaseTtl =
          std::max(Milliseconds(4000), mOptions.mSettings.mLeaseTtlMin),
        .mSeed = mOptions.mSeed,
      },
      gateway::StoreFollowerHooks{
        .mCall =
          [this](gateway::StoreChannel aChannel,
                 const gateway::StoreCall& aCall,
                 Duration aTimeout) { CallStore(aChannel, aCall, aTimeout); },
        .mOnChange =
          [this](const StoreChange& aChange) { OnStoreChange(aChange); },
        .mOnListingComplete =
          [this] { Deliver(gateway::event::RegistrationsComplete{}); },
        .mOnReachabilityChange =
          [this](bool aIsReached) {
            Record(aIsReached ? "store_reached" : "store_lost",
                   { { "revision",
                       std::to_string(mStore.KnownPosition().mRevision) } });
          },
        .mOnRestored =
          [this](const gateway::StoreRestore& aRestore) {
            Record(
              "store_copy_read",
              { { "epoch", std::to_string(aRestore.mAfter.mEpoch) },
                { "revision", std::to_string(aRestore.mAfter.mRevision) },
                { "epoch_before", std::to_string(aRestore.mBefore.mEpoch) },
                { "revision_before",
                  std::to_string(aRestore.mBefore.mRevision) },
                { "carried", std::to_string(aRestore.mCarried) } });
          },
        .mOnOutdatedWrite =
          [this](const StoreItem& aItem) { RecordOutdatedWrite(aItem); },
        .mIsLeaseBound = mOptions.mDialect.mIsLeaseBound,
        .mIsKept = mOptions.mDialect.mIsKept,
        .mVersion = mOptions.mDialect.mReadWriterVersion,
      })
  , mCallers(
      aContext,
      { .mMaxBodyMemory = mOptions.mSettings.mMemoryLimit / kBodyMemoryDivisor,
        .mMaxConnections = MaxCallerConnections(mOptions.mSettings.mFileLimit),
        .mMaxHeldBytes = mOptions.mSettings.mMemoryLimit / kHeldMemoryDivisor },
      netutil::HttpServerHooks{
        .mOnRequest =
          [this](const netutil::ExchangeId& aExchange,
                 RequestContent&& aContent) {
            OnCallerRequest(aExchange, std::move(aContent));
          },
        .mOnAborted =
          [this](const netutil::ExchangeId& aExchange) {
            OnCallerDisconnected(aExchange);
          },
        .mOnSlowClientClosed =
          [this](const netutil::SlowClient& aClient) {
            RecordSlowClient(aClient);
          },
      })
  , mReadiness(aContext,
               { .mMaxBodyBytes = kMaxQueryBodyBytes },
               PlatformQueryHooks(mReadiness))
  , mLookups(aContext,
             { .mMaxBodyBytes = kMaxQueryBodyBytes },
             PlatformQueryHooks(mLookups))
  , mMetricsServer(
      aContext,
      { .mMaxBodyBytes = kMaxQueryBodyBytes },
      netutil::HttpServerHooks{
        .mOnRequest =
          [this](const netutil::ExchangeId& aExchange, RequestContent&&) {
            mMetricsServer.Answer(aExchange, WriteMetricsPage(), {});
          },
        .mOnAborted = [](const netutil::ExchangeId&) {},
      })
  , mRelayServer(aContext,
                 { .mMaxBodyBytes = kMaxQueryBodyBytes },
                 netutil::HttpServerHooks{
                   .mOnRequest =
                     [this](const netutil::ExchangeId& aExchange,
                            RequestContent&& aContent) {
                       mRelayServer.Answer(
                         aExchange, AnswerStorePull(aContent), {});
                     },
                   .mOnAborted = [](const netutil::ExchangeId&) {},
                 })
  , mBackends(aContext, BackendPoolOptions(mOptions.mSettings.mMemoryLimit))
  , mStoreConnections(aContext, StorePoolOptions())
  , mRelayConnections(aContext, RelayPoolOptions())
  , mPeers(
      aContext,
      mMetrics,
      [this](Event aEvent) {
        if (auto* const message =
              std::get_if<event::PeerMessageReceived>(&aEvent)) {
          Deliver(std::move(*message));
        }
      },
      mCodec)
  , mTimer(aContext)
  , mExitTimer(aContext)
{
}

GatewayDaemon::~GatewayDaemon() = default;

netutil::HttpServerHooks GatewayDaemon::PlatformQueryHooks(
  netutil::HttpServer& aServer)
{
  return {
    .mOnRequest =
      [this, &aServer](const netutil::ExchangeId& aExchange,
                       RequestContent&& aContent) {
        ++mMetrics.mLookups;
        aServer.Answer(aExchange,
                       mOptions.mDialect.mAnswerPlatformQuery(
                         aContent, mGateway, ReadClock()),
                       {});
      },
    .mOnAborted = [](const netutil::ExchangeId&) {},
  };
}

Result<void> GatewayDaemon::Start()
{
  const GatewaySettings& settings = mOptions.mSettings;
  const auto listen = [](netutil::HttpServer& aServer,
                         const netutil::Endpoint& aEndpoint) -> Result<void> {
    return aEndpoint.mPort == 0 ? Result<void>() : aServer.Listen(aEndpoint);
  };
  for (const auto& done : { listen(mCallers, settings.mCallers),
                            listen(mReadiness, settings.mReadiness),
                            listen(mLookups, settings.mLookups),
                            listen(mMetricsServer, settings.mMetrics),
                            listen(mRelayServer, settings.mPeers),
                            mPeers.Listen(settings.mPeers) }) {
    if (!done) {
      return done;
    }
  }
  Record("started",
         { { "incarnation", std::to_string(mSelf.mIncarnation.mNumber) },
           { "callers", netutil::ToString(settings.mCallers) },
           { "store", netutil::ToString(settings.mStore) } });
  mStore.Start(ReadClock());
  Tick();
  return {};
}

void GatewayDaemon::RequestStop()
{
  Deliver(gateway::event::StopRequested{});
  const Duration limit = mOptions.mSettings.mStopLimit;
  mOutputLimit = mGateway.StoppingSince().value_or(ReadClock()) + limit -
                 limit / kOutputMarginDivisor;
}

void GatewayDaemon::Reload(const GatewaySettings& aSettings)
{
  mOptions.mSettings.mStore = aSettings.mStore;
  Record("settings_reloaded",
         { { "store", netutil::ToString(aSettings.mStore) } });
}

void GatewayDaemon::Record(std::string aName,
                           std::vector<cranberrywing::effect::Field> aFields)
{
  mLog.Record({ std::move(aName), std::move(aFields) }, ReadClock());
}

void GatewayDaemon::Tick()
{
  if (mIsExiting) {
    return;
  }
  mStore.Tick(ReadClock());
  ReportStoreProgress();
  Deliver(gateway::event::Tick{});
  mLog.Flush();
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void GatewayDaemon::Deliver(gateway::Event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (!mIsProcessing) {
    ProcessEvents();
  }
}

void GatewayDaemon::ProcessEvents()
{
  mIsProcessing = true;
  while (!mEvents.empty()) {
    const gateway::Event event = std::move(mEvents.front());
    mEvents.pop_front();
    ++mMetrics.mEvents;
    gateway::EffectList effects = mGateway.Reduce(event, ReadClock());
    for (gateway::Effect& each : effects) {
      std::visit([this](auto& aEffect) { Execute(aEffect); }, each);
    }
  }
  mIsProcessing = false;
}

void GatewayDaemon::OnCallerRequest(const netutil::ExchangeId& aExchange,
                                    RequestContent&& aContent)
{
  const RequestId id{ mNextRequest++ };
  mExchanges[id] = { .mId = aExchange };
  mRequestByExchange[aExchange] = id;
  ++mMetrics.mRequests;
  gateway::event::RequestArrived arrived =
    mOptions.mDialect.mReadRequest(std::move(aContent));
  arrived.mRequest = id;
  Deliver(std::move(arrived));
}

void GatewayDaemon::RecordSlowClient(const netutil::SlowClient& aClient)
{
  const auto stalled =
    std::chrono::duration_cast<Milliseconds>(aClient.mWithoutProgress);
  Record("slow_client_closed",
         { { "address", aClient.mAddress },
           { "bytes", std::to_string(aClient.mBytes) },
           { "stalled_ms", std::to_string(stalled.count()) } });
}

void GatewayDaemon::OnCallerDisconnected(const netutil::ExchangeId& aExchange)
{
  const auto it = mRequestByExchange.find(aExchange);
  if (it == mRequestByExchange.end()) {
    return;
  }
  ++mMetrics.mCallersDisconnected;
  Deliver(gateway::event::RequestCancelled{ it->second });
  mExchanges.erase(it->second);
  mRequestByExchange.erase(it);
}

} // namespace cranberrywing::daemon
