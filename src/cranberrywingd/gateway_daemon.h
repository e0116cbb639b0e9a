/// \file
/// A gateway's process: sockets and timers around the gateway's decisions.
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

/// Not thread-safe; belongs to the event loop's thread.
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

  /// Listens and starts to follow the store. Errors: InvalidArgument.
  Result<void> Start();
  /// Starts the planned stop; the event loop ends when it is complete.
  void RequestStop();
  /// Takes settings that may change while the process runs.
  void Reload(const GatewaySettings& aSettings);
  void Record(std::string aName,
              std::vector<cranberrywing::effect::Field> aFields);

private:
  /// A caller's request that waits for its answer.
  struct Exchange
  {
    netutil::ExchangeId mId;
    netutil::HttpClientConnectionPtr mBackend;
    AttemptNumber mAttempt = 0;
  };

  static gateway::VmRecord MakeRecord(const Options& aOptions);
  static gateway::Gateway::Options GatewayOptions(
    const Options& aOptions,
    const gateway::VmRecord& aRecord);
  void Deliver(gateway::Event aEvent);
  void Drain();
  void Tick();

  // gateway_daemon_effects.cpp
  void CarryOut(gateway::effect::Dispatch& aEffect);
  void CarryOut(gateway::effect::CancelDispatch& aEffect);
  void CarryOut(gateway::effect::Respond& aEffect);
  void CarryOut(gateway::effect::Refuse& aEffect);
  void CarryOut(gateway::effect::SendMessage& aEffect);
  void CarryOut(gateway::effect::ProbeBackend& aEffect);
  void CarryOut(gateway::effect::CloseBackendConnections& aEffect);
  void CarryOut(gateway::effect::AnnounceLeaving& aEffect);
  void CarryOut(gateway::effect::CloseCallerConnections& aEffect);
  void CarryOut(gateway::effect::ApplyCallerLimits& aEffect);
  void CarryOut(gateway::effect::RecordTimeline& aEffect);
  void CarryOut(gateway::effect::Exit& aEffect);
  void OnBackendResult(RequestId aRequest,
                       AttemptNumber aAttempt,
                       const RequestContentPtr& aContent,
                       TimePoint aSentAt,
                       netutil::ExchangeResult aResult);
  void AnswerCaller(RequestId aRequest,
                    const AnswerContentPtr& aAnswer,
                    bool aCloseAfter);

  // gateway_daemon.cpp
  void OnCallerRequest(const netutil::ExchangeId& aExchange,
                       RequestContent&& aContent);
  void OnCallerGone(const netutil::ExchangeId& aExchange);
  void CallStore(gateway::StoreChannel aLane,
                 const gateway::StoreCall& aCall,
                 Duration aTimeout);
  void OnStoreChange(const gateway::StoreChange& aChange);
  AnswerContentPtr WriteMetricsPage() const;
  netutil::HttpServerHooks QuestionHooks(netutil::HttpServer& aServer);

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
  netutil::HttpClientPool mBackends;
  netutil::HttpClientPool mStoreConnections;
  /// Carries the call of the Follow lane, if one is in progress.
  netutil::HttpClientConnectionPtr mWatch;
  PeerDatagrams mPeers;
  boost::asio::steady_timer mTimer;

  std::uint64_t mNextRequest = 1;
  std::unordered_map<RequestId, Exchange> mExchanges;
  std::map<netutil::ExchangeId, RequestId> mRequestOf;
  std::deque<gateway::Event> mEvents;
  bool mIsDraining = false;
};

} // namespace cranberrywing::daemon
