/// \file
/// Options of the load stand-in: which requests it sends, where and how often.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::standins {

/// Kind of the requests.
enum class LoadMode : std::uint8_t
{
  /// Idempotent GET requests.
  Get,
  /// Non-idempotent POST requests, each with its own idempotency key.
  Order,
  /// Non-idempotent POST requests, each with its own execution ticket.
  Ticket,
  /// Lookups only, pipelined as fast as they are answered.
  Lookup,
};

/// Settings of one run.
struct LoadOptions
{
  LoadMode mMode = LoadMode::Get;
  /// Caller ports of the daemons that answer lookups and issue tickets.
  std::vector<netutil::Endpoint> mDaemons;
  /// Sends requests to mDaemons in turn, without lookups.
  bool mSkipLookups = false;
  /// Caller's key, sent as bearer token; empty for none.
  std::string mKey;
  AccountId mAccount;
  RouteId mRoute;
  std::string mPath = "/";
  /// Client address that lookups name.
  std::string mClient = "127.0.0.1";
  /// Requests per second.
  double mRate = 100;
  /// Number of requests to start.
  std::uint64_t mCount = 100;
  /// Period in which requests are started; zero for no limit other than mCount.
  /// In Lookup mode the length of the run.
  Duration mStartPeriod{};
  /// Time allowed for a request with all its retries, from its scheduled start.
  Duration mDeadline = std::chrono::seconds(10);
  /// Timeout of one attempt; shorter than the deadline, so that after a VM
  /// fails there is time left to retry on another one.
  Duration mAttemptTimeout = std::chrono::seconds(3);
  std::uint32_t mMaxAttempts = 10;
  /// Prefix of the request identities, unique per run.
  std::string mIdentityPrefix = "run";
  /// Lookups in flight per connection in Lookup mode.
  std::size_t mPipeline = 64;
  /// Number of connections in Lookup mode.
  std::size_t mConnections = 4;
  /// Backend servers whose executions are compared with the answers.
  std::vector<netutil::Endpoint> mBackends;
  /// Execution files of backend servers, also of those that have ended.
  std::vector<std::string> mExecutionFiles;
};

/// Parses the value of --mode. Errors: InvalidArgument. Thread-safe.
Result<LoadMode> ParseLoadMode(std::string_view aText);

} // namespace cranberrywing::standins
