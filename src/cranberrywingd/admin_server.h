/// \file
/// The administration API: an HTTP server with JSON resources under /v1 and
/// Prometheus metrics under /metrics.
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

/// State that the API reads. All referenced objects must outlive the server.
struct AdminSources
{
  const Reducer& mReducer;
  const Timeline& mTimeline;
  const DaemonMetrics& mMetrics;
  StoreClient& mStore;
  std::string mStorePrefix;
};

/// Serves the administration API. Not thread-safe; used only on the event
/// loop's thread.
class AdminServer
{
public:
  /// Lookups received by this server are numbered from here on, so that their
  /// answers can be distinguished from those of the caller port.
  static constexpr std::uint64_t kFirstLookupId = 1ull << 62;

  AdminServer(boost::asio::io_context& aContext,
              AdminSources aSources,
              EventSink aSink);

  /// Starts to accept connections. Errors: InvalidArgument with the address.
  Result<void> Listen(const netutil::Endpoint& aEndpoint);
  /// Answers the PUT /v1/settings request that the effect belongs to, if its
  /// connection is still open.
  void Execute(const effect::AnswerEdit& aEffect);
  /// Answers a lookup made through this server.
  void Execute(const effect::AnswerLookup& aEffect);
  /// Accepts no new connections and closes the others once their answers are
  /// sent.
  void Shutdown();

private:
  using ExchangeId = netutil::ExchangeId;

  /// An API request with its decoded target.
  struct Call
  {
    ExchangeId mExchange;
    RequestContent mRequest;
    netutil::Target mTarget;

    /// Value of a query parameter; empty if it is absent.
    std::string Parameter(std::string_view aName) const;
  };

  /// A settings edit that waits for the core's answer.
  struct PendingEdit
  {
    ExchangeId mExchange;
    std::string mDocument;
  };

  using Handler = void (AdminServer::*)(const Call&);

  struct Route
  {
    std::string_view mMethod;
    /// "*" stands for one name.
    std::string_view mPath;
    Handler mHandler;
    /// Whether an operator's token is required. Settings and timeline can
    /// reveal one tenant's data to another.
    bool mNeedsOperator = true;
  };

  static const std::vector<Route>& Routes();
  void OnRequest(const ExchangeId& aExchange, RequestContent&& aRequest);
  void Dispatch(const Call& aCall);
  void Answer(const Call& aCall, AnswerContentPtr aAnswer);
  void AnswerError(const Call& aCall, ResultCode aCode, std::string aMessage);
  /// The active settings document and snapshot.
  ActiveDocument GetActiveDocument() const;

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
  /// Reads a configuration record from the store and passes it to aHandler, or
  /// answers the call with the error.
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
  std::uint64_t mNextLookup = kFirstLookupId;
  std::map<AdminRequestId, PendingEdit> mEdits;
  std::map<RequestId, ExchangeId> mLookups;
};

/// aBytes bytes from a cryptographic random generator, in lower-case hex.
/// Aborts the process if the generator fails. Thread-safe.
std::string RandomHex(std::size_t aBytes);

} // namespace cranberrywing::daemon
