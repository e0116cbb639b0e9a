/// \file
/// What the load stand-in sends.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::standins {

enum class LoadMode : std::uint8_t
{
  /// Idempotent requests by GET.
  Get,
  /// Non-idempotent requests by POST, each with its own idempotency key.
  Order,
  /// As Order, each with its own execution ticket.
  Ticket,
  /// Lookups alone, pipelined as fast as they are answered.
  Lookup,
};

struct LoadOptions
{
  LoadMode mMode = LoadMode::Get;
  /// Caller ports of the daemons to ask first.
  std::vector<netutil::Endpoint> mDaemons;
  /// Send to mDaemons in turn without any lookup.
  bool mSkipsLookups = false;
  std::string mKey;
  AccountId mAccount;
  RouteId mRoute;
  std::string mPath = "/";
  std::string mClient = "127.0.0.1";
  /// Requests per second.
  double mRate = 100;
  std::uint64_t mCount = 100;
  /// Time in which requests are started; zero for no limit but mCount.
  Duration mTime{};
  /// Time from a request's start to its last attempt's answer.
  Duration mDeadline = std::chrono::seconds(10);
  /// Time of one attempt; shorter than the deadline, so that a caller of a
  /// VM that died has time left for another one.
  Duration mAttemptTimeout = std::chrono::seconds(3);
  std::uint32_t mMaxAttempts = 10;
  /// Distinguishes the identities of several runs.
  std::string mRunName = "run";
  /// Lookups in flight per connection, and connections, in Lookup mode.
  std::size_t mPipeline = 64;
  std::size_t mConnections = 4;
  /// Servers whose executions are compared with the answers.
  std::vector<netutil::Endpoint> mBackends;
  /// Files of executions written by servers that may have ended.
  std::vector<std::string> mExecutionFiles;
};

/// Errors: InvalidArgument. Thread-safe.
Result<LoadMode> ParseLoadMode(std::string_view aText);

} // namespace cranberrywing::standins
