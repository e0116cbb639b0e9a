/// \file
/// The administration API: HTTP and JSON under /v1, and /metrics.
#pragma once

#include <map>
#include <unordered_map>

#include "cranberrywingd/admin_settings.h"
#include "cranberrywingd/admin_views.h"
#include "cranberrywingd/block_uploader.h"
#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/store_client.h"
#include "netutil/http_server.h"
#include "netutil/target.h"

namespace cranberrywing::daemon {

/// What the API reads. All must outlive the server.
struct AdminSources
{
  const Reducer& mReducer;
  const Timeline& mTimeline;
  const DaemonMetrics& mMetrics;
  StoreClient& mStore;
  std::string mStorePrefix;
};

/// Not thread-safe; belongs to the event loop's thread.
class AdminServer
{
public:
  /// Requests of lookups made here have numbers from this one on, so that
  /// their answers are told from those of callers.
  static constexpr std::uint64_t kFirstLookup = 1ull << 62;

  AdminServer(boost::asio::io_context& aContext,
              AdminSources aSources,
              EventSink aSink);

  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  void Carry(const effect::AnswerEdit& aEffect);
  void Carry(const effect::AnswerLookup& aEffect);
  void Finish();

private:
  using ExchangeId = netutil::ExchangeId;

  /// A request with its decoded target.
  struct Call
  {
    ExchangeId mExchange;
    RequestContent mRequest;
    netutil::Target mTarget;

    std::string Parameter(std::string_view aName) const;
  };

  struct PendingEdit
  {
    ExchangeId mExchange;
    std::string mDocument;
  };

  using Handler = void (AdminServer::*)(const Call&);

  struct Route
  {
    std::string_view mMethod;
    std::string_view mPath;
    Handler mHandler;
    /// Whether an operator's token is needed, as settings and time line may
    /// tell one tenant of another.
    bool mNeedsOperator = true;
  };

  static const std::vector<Route>& Routes();
  void OnRequest(const ExchangeId& aExchange, RequestContent&& aRequest);
  void Dispatch(const Call& aCall);
  void Answer(const Call& aCall, AnswerContentPtr aAnswer);
  void Fail(const Call& aCall, ResultCode aCode, std::string aMessage);
  DocumentInForce InForce() const;

  void GetStatus(const Call& aCall);
  void GetMembers(const Call& aCall);
  void GetTimeline(const Call& aCall);
  void GetMetrics(const Call& aCall);
  void GetLookup(const Call& aCall);

  // admin_server_settings.cpp
  void GetSettings(const Call& aCall);
  void PutSettings(const Call& aCall);
  void CheckSettings(const Call& aCall);
  void GetHistory(const Call& aCall);
  void GetRevision(const Call& aCall);
  void PostKey(const Call& aCall);
  void PostBlocks(const Call& aCall);
  void ReadRecord(const Call& aCall,
                  std::string aKey,
                  std::function<void(const ConfigurationRecord&)> aHandler);

  // admin_server_explain.cpp
  void GetExplainRequest(const Call& aCall);
  void GetExplainLookup(const Call& aCall);
  void GetExplainSetting(const Call& aCall);

  // admin_server_keys.cpp
  void PostAccountKey(const Call& aCall);

  AdminSources mSources;
  EventSink mSink;
  BlockUploader mUploader;
  netutil::HttpServer mServer;
  std::uint64_t mNextEdit = 1;
  std::uint64_t mNextLookup = kFirstLookup;
  std::map<AdminRequestId, PendingEdit> mEdits;
  std::map<RequestId, ExchangeId> mLookups;
};

/// Bytes from the system's random device, in lower-case hex.
std::string RandomHex(std::size_t aBytes);

} // namespace cranberrywing::daemon
