/// \file
/// Behaviour of the backend stand-in, set by options and by its control
/// endpoint, and the executions that it counts.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cranberrywing/http_types.h"

namespace cranberrywing::standins {

struct BackendBehaviour
{
  /// Time that one request takes when warm.
  std::int64_t mLatencyMs = 1;
  /// Requests served at one time; more wait.
  std::int64_t mConcurrency = 16;
  /// Requests at hand above which new ones are shed; zero for none.
  std::int64_t mShedAbove = 0;
  /// Time from the start over which mColdFactor falls to 1.
  std::int64_t mColdStartMs = 0;
  /// Factor of the latency of a cold server.
  double mColdFactor = 1;
  /// Requests per second that count as full utilization.
  double mCapacity = 100;
  bool mDraining = false;
  /// Refuses all work without running it.
  bool mShedding = false;
  /// What the health endpoint claims in place of the truth.
  std::optional<bool> mClaimedHealth;
  /// What the load endpoint claims in place of the truth.
  std::optional<double> mClaimedUtilization;
  /// Whether requests are answered at all.
  bool mHangs = false;
  /// Bytes that fill up the body of answers to GET.
  std::int64_t mBodyBytes = 0;
};

/// Changes the behaviour that the object names; null takes a claim back.
/// Errors: InvalidArgument; nothing is changed then.
Result<BackendBehaviour> ApplyBehaviour(const BackendBehaviour& aBehaviour,
                                        const boost::json::object& aBody);

/// Counts executions of non-idempotent requests by identity: the idempotency
/// key, or without one the body. Not thread-safe.
class ExecutionLog
{
public:
  /// Appends each execution as a line to the file, if one is named, so that
  /// the count outlives a crash. Errors: InvalidArgument.
  Result<void> Open(const std::string& aPath);
  /// Number of executions of the identity, this one included.
  std::int64_t Record(const std::string& aIdentity);
  boost::json::object Encode() const;
  /// Identity of a request.
  static std::string IdentityOf(const RequestContent& aRequest);

private:
  std::map<std::string, std::int64_t> mCounts;
  std::int64_t mTotal = 0;
  /// Kept open for the process's life.
  int mFile = -1;
};

} // namespace cranberrywing::standins
