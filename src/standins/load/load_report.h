/// \file
/// Outcomes of the load stand-in's requests, and their comparison with the
/// executions that the backend servers recorded.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::standins {

/// Final outcome of a request as its caller knows it.
enum class Outcome : std::uint8_t
{
  /// A backend server's answer arrived.
  Answered,
  /// The system reported "not run" and no attempt may have run, or nothing was
  /// sent because no ticket was issued.
  NotRun,
  /// The system reported that the request ran but that its answer is lost.
  Completed,
  /// Refused for good, and an attempt may have run.
  Unknown,
  /// No definite answer before the deadline.
  NoAnswer,
};

/// Name of the outcome in reports. Thread-safe.
std::string_view ToString(Outcome aOutcome);

/// What became of one request.
struct CallRecord
{
  std::string mIdentity;
  Outcome mOutcome = Outcome::NoAnswer;
  /// From the scheduled start to the outcome.
  Duration mLatency{};
  std::uint32_t mAttempts = 0;
  /// The answer was replayed from an earlier execution.
  bool mWasReplayed = false;
  /// HTTP status of the last answer; zero if there was none.
  std::uint32_t mStatus = 0;
  /// Result code of the last refusal; zero if there was none.
  std::int64_t mCode = 0;
};

/// Number of executions per request identity.
using ExecutionCounts = std::map<std::string, std::int64_t>;

/// Adds the executions in the body of GET /_executions to the counts. Errors:
/// Malformed.
Result<void> AddExecutions(std::string_view aBody, ExecutionCounts& aCounts);

/// Adds the executions of every server to the counts. Blocks. Errors: those of
/// netutil::Fetch, Malformed.
Result<void> FetchExecutions(const std::vector<netutil::Endpoint>& aBackends,
                             ExecutionCounts& aCounts);

/// Adds the executions in files with one identity per line to the counts.
/// Errors: InvalidArgument if a file cannot be read.
Result<void> ReadExecutionFiles(const std::vector<std::string>& aFiles,
                                ExecutionCounts& aCounts);

/// Comparison of the callers' outcomes with the executions.
struct Audit
{
  /// Identities executed exactly once.
  std::uint64_t mExecutedOnce = 0;
  /// Identities executed more than once.
  std::uint64_t mExecutedRepeatedly = 0;
  /// Requests answered or reported as completed, but never executed.
  std::uint64_t mAnsweredNotExecuted = 0;
  /// Requests reported as not run, but executed.
  std::uint64_t mFalseNotRun = 0;

  /// Whether no request violates at-most-once execution or was misreported.
  bool IsClean() const
  {
    return mExecutedRepeatedly == 0 && mAnsweredNotExecuted == 0 &&
           mFalseNotRun == 0;
  }
};

/// Thread-safe.
Audit CompareExecutions(const std::vector<CallRecord>& aRecords,
                        const ExecutionCounts& aCounts);

/// Collects the records of a run. Not thread-safe.
class LoadReport
{
public:
  void Add(CallRecord aRecord);
  const std::vector<CallRecord>& Records() const { return mRecords; }
  /// Quantile (0 to 1) of the latency of answered requests in milliseconds;
  /// zero if there are none.
  double LatencyMs(double aQuantile) const;
  std::uint64_t Count(Outcome aOutcome) const;

  /// Prints the report as a table; without the audit if aAudit is null.
  void Print(std::ostream& aOut, const Audit* aAudit) const;
  /// The report as JSON; without the audit if aAudit is null.
  boost::json::object Encode(const Audit* aAudit) const;

private:
  std::vector<CallRecord> mRecords;
  std::map<Outcome, std::uint64_t> mCounts;
  std::uint64_t mRetried = 0;
  std::uint64_t mReplayed = 0;
};

} // namespace cranberrywing::standins
