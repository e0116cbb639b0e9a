/// \file
/// The gateway daemon: delivers socket and timer events to the gateway core and
/// executes its effects.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

#include "cranberrywing/gateway/gateway.h"
#include "cranberrywing/gateway/store_follower.h"
#include "cranberrywingd/decision_log.h"
#include "cranberrywingd/gateway_dialect.h"
#include "cranberrywingd/gateway_settings.h"
#include "cranberrywingd/metrics.h"
#include "cranberrywingd/peer_datagrams.h"
#include "netutil/http_pool.h"
#include "netutil/http_server.h"

namespace cranberrywing::daemon {

namespace detail {

/// Time limit for connecting to a backend server or another VM. A server with a
/// full listen queue drops the SYN, and TCP retransmits it only after 1 s.
inline constexpr Milliseconds kConnectTimeout{ 350 };

} // namespace detail

/// Not thread-safe; used only on the event loop's thread.
class GatewayDaemon
{
public:
  struct Options
  {
    GatewaySettings mSettings;
    GatewayDialect mDialect;
    Incarnation mIncarnation;
    std::uint64_t mSeed = 1;
  };

  GatewayDaemon(boost::asio::io_context& aContext, Options aOptions);
  ~GatewayDaemon();

  /// Opens all ports and starts to follow the store. Errors: InvalidArgument
  /// with the address that cannot be opened.
  Result<void> Start();
  /// Starts a graceful shutdown; the event loop is stopped when it is complete.
  void RequestStop();
  /// Applies those settings that may change at run time: the store's endpoint.
  void Reload(const GatewaySettings& aSettings);
  /// Adds a line to the decision log.
  void Record(std::string aName,
              std::vector<cranberrywing::effect::Field> aFields);

private:
  /// A caller's request that has not been answered yet.
  struct Exchange
  {
    netutil::ExchangeId mId;
    /// Connections of the attempts in progress.
    std::map<AttemptNumber, netutil::HttpClientConnectionPtr> mAttempts;
  };

  /// A request that was sent to a backend server.
  struct SentAttempt
  {
    RequestId mRequest{};
    AttemptNumber mAttempt = 0;
    BackendId mBackend;
    RequestContentPtr mContent;
    TimePoint mSentAt{};
  };

  static gateway::VmRecord MakeRecord(const Options& aOptions);
  static gateway::Gateway::Options GatewayOptions(
    const Options& aOptions,
    const gateway::VmRecord& aRecord);
  /// Queues the event, and processes the queue unless that is in progress.
  void Deliver(gateway::Event aEvent);
  void ProcessEvents();
  void Tick();

  // gateway_daemon_effects.cpp
  void Execute(gateway::effect::Dispatch& aEffect);
  void Execute(gateway::effect::CancelDispatch& aEffect);
  void Execute(gateway::effect::Respond& aEffect);
  void Execute(gateway::effect::Refuse& aEffect);
  void Execute(gateway::effect::SendMessage& aEffect);
  void Execute(gateway::effect::ProbeBackend& aEffect);
  void Execute(gateway::effect::CheckServer& aEffect);
  void Execute(gateway::effect::CloseBackendConnections& aEffect);
  void Execute(gateway::effect::AnnounceLeaving& aEffect);
  void Execute(gateway::effect::CloseCallerConnections& aEffect);
  void Execute(gateway::effect::ApplyCallerLimits& aEffect);
  void Execute(gateway::effect::RecordTimeline& aEffect);
  void Execute(gateway::effect::Exit& aEffect);
  /// Forgets the attempt's connection and returns it; null if the attempt was
  /// cancelled.
  netutil::HttpClientConnectionPtr TakeConnection(const SentAttempt& aSent);
  void OnBackendResult(const SentAttempt& aSent,
                       netutil::ExchangeResult aResult);
  /// How the answers to a request are told from others, which are skipped and
  /// logged.
  netutil::ResponseIdentity IdentityOf(const RequestContentPtr& aContent);
  void AnswerCaller(RequestId aRequest,
                    const AnswerContentPtr& aAnswer,
                    bool aCloseAfter);

  // gateway_daemon_store.cpp
  void Execute(gateway::effect::FollowStore& aEffect);
  void Execute(gateway::effect::ReadStore& aEffect);
  void Execute(gateway::effect::PullStoreChanges& aEffect);
  void CallStore(gateway::StoreChannel aChannel,
                 const gateway::StoreCall& aCall,
                 Duration aTimeout);
  /// Logs that the store was restored from a copy since the last answer.
  void RecordStoreEpoch(const gateway::StoreReply& aReply);
  /// Logs that the store carried out a write after a later one of its writer.
  void RecordOutdatedWrite(const StoreItem& aItem);
  /// Writer's version of an item in logs; "none" for null and without one.
  std::string DescribeVersion(const StoreItem* aItem) const;
  void OnStoreChange(const StoreChange& aChange);
  /// Tells the gateway the store follower's state if it has changed.
  void ReportStoreProgress();
  /// Answers another VM's request for changes of the store.
  AnswerContentPtr AnswerStorePull(const RequestContent& aRequest);
  /// Applies the answer of another VM to PullStoreChanges.
  gateway::PullResult OnStorePullEnded(const VmId& aFrom,
                                       const netutil::ExchangeResult& aResult);

  // gateway_daemon.cpp
  void OnCallerRequest(const netutil::ExchangeId& aExchange,
                       RequestContent&& aContent);
  void OnCallerDisconnected(const netutil::ExchangeId& aExchange);
  /// Stops the event loop once callers have closed their connections, or its
  /// time limit has passed: output may still be in socket buffers.
  /// Precondition: RequestStop was called.
  void AwaitOutput();
  void RecordSlowClient(const netutil::SlowClient& aClient);
  AnswerContentPtr WriteMetricsPage() const;
  netutil::HttpServerHooks PlatformQueryHooks(netutil::HttpServer& aServer);

  boost::asio::io_context& mContext;
  Options mOptions;
  VmIncarnation mSelf;
  gateway::VmRecord mRecord;
  DaemonMetrics mMetrics;
  MessageCodec mCodec;
  DecisionLog mLog;
  gateway::Gateway mGateway;
  gateway::StoreFollower mStore;
  netutil::HttpServer mCallers;
  netutil::HttpServer mReadiness;
  netutil::HttpServer mLookups;
  netutil::HttpServer mMetricsServer;
  /// Serves this VM's copy of the store to other VMs.
  netutil::HttpServer mRelayServer;
  netutil::HttpClientPool mBackends;
  netutil::HttpClientPool mStoreConnections;
  netutil::HttpClientPool mRelayConnections;
  /// Connection of the call in the Follow channel; null if none is in progress.
  netutil::HttpClientConnectionPtr mWatchConnection;
  PeerDatagrams mPeers;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mExitTimer;
  /// Latest time at which a stopping process sends output; set by RequestStop.
  std::optional<TimePoint> mOutputLimit;
  bool mIsExiting = false;

  /// State of mStore as last delivered to mGateway.
  gateway::StoreProgress mStoreProgress;
  /// Epoch of the store's last answer.
  std::optional<std::int64_t> mStoreEpoch;
  std::uint64_t mStorePulls = 0;
  std::uint64_t mNextRequest = 1;
  std::unordered_map<RequestId, Exchange> mExchanges;
  std::map<netutil::ExchangeId, RequestId> mRequestByExchange;
  std::deque<gateway::Event> mEvents;
  bool mIsProcessing = false;
};

} // namespace cranberrywing::daemon
