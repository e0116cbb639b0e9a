/// \file
/// Behaviour of the backend stand-in, set by options and through its control
/// endpoint, and the log of executions.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cranberrywing/http_types.h"

namespace cranberrywing::standins {

/// Timing, limits and faults of the server.
struct BackendBehaviour
{
  /// Service time of one request on a warm server, in milliseconds.
  std::int64_t mLatencyMs = 1;
  /// Requests served concurrently; further ones are queued.
  std::int64_t mConcurrency = 16;
  /// Number of queued and running requests from which on new ones are shed;
  /// zero for no limit.
  std::int64_t mShedThreshold = 0;
  /// Time from the start over which the factor of the latency falls linearly
  /// from mColdFactor to 1, in milliseconds.
  std::int64_t mColdStartMs = 0;
  /// Factor of the latency right after the start.
  double mColdFactor = 1;
  /// Requests per second reported as full utilization.
  double mCapacity = 100;
  /// Reports draining on the health endpoint and sheds all requests.
  bool mDraining = false;
  /// Sheds all requests without running them.
  bool mShedding = false;
  /// Health that the health endpoint reports instead of the actual one.
  std::optional<bool> mHealthOverride;
  /// Utilization that the load endpoint reports instead of the actual one.
  std::optional<double> mUtilizationOverride;
  /// Runs requests but never answers them.
  bool mNeverAnswers = false;
  /// Size of the padding in the body of answers to GET.
  std::int64_t mBodyBytes = 0;
};

/// Returns aBehaviour with the members of aBody applied; null removes an
/// override. Errors: InvalidArgument if any member is unknown or has an invalid
/// value. Thread-safe.
Result<BackendBehaviour> ApplyBehaviour(const BackendBehaviour& aBehaviour,
                                        const boost::json::object& aBody);

/// Counts executions of non-idempotent requests by identity, which is the
/// idempotency key or, without one, the body. Not thread-safe.
class ExecutionLog
{
public:
  /// Opens the file to which each execution is appended as a line, so that the
  /// count survives a crash; an empty path means no file. Errors:
  /// InvalidArgument.
  Result<void> Open(const std::string& aPath);
  /// Records an execution. Returns the number of executions of the identity,
  /// this one included. Aborts the process if the file cannot be written.
  std::int64_t Record(const std::string& aIdentity);
  /// The total and the count of each identity, as GET /_executions returns
  /// them.
  boost::json::object Encode() const;
  static std::string IdentityOf(const RequestContent& aRequest);

private:
  std::map<std::string, std::int64_t> mCounts;
  std::int64_t mTotal = 0;
  /// File descriptor, or -1 without a file. Never closed: it is in use until
  /// the process ends.
  int mFile = -1;
};

} // namespace cranberrywing::standins
