/// \file
/// Outcomes of the load stand-in's requests, and their comparison with what
/// backend servers executed.
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

enum class Outcome : std::uint8_t
{
  /// A backend server's answer arrived.
  Answered,
  /// The system said "not run" and no attempt contradicts it.
  NotRun,
  /// The system said that the request ran but has no answer.
  Completed,
  /// The system said that the outcome is unknown.
  Unknown,
  /// No definite answer before the deadline.
  NoAnswer,
};

std::string_view ToString(Outcome aOutcome);

struct CallRecord
{
  std::string mIdentity;
  Outcome mOutcome = Outcome::NoAnswer;
  Duration mLatency{};
  std::uint32_t mAttempts = 0;
  bool mWasReplayed = false;
  std::uint32_t mStatus = 0;
  /// Result code of the last refusal; zero if there was none.
  std::int64_t mCode = 0;
};

/// Executions by identity.
using ExecutionCounts = std::map<std::string, std::int64_t>;

/// Reads the body of GET /_executions into the counts. Errors: Malformed.
Result<void> AddExecutions(std::string_view aBody, ExecutionCounts& aCounts);

/// Asks every server for its executions. Errors: as of Fetch.
Result<void> FetchExecutions(const std::vector<netutil::Endpoint>& aBackends,
                             ExecutionCounts& aCounts);

/// Reads files with one identity a line. Errors: InvalidArgument.
Result<void> ReadExecutionFiles(const std::vector<std::string>& aFiles,
                                ExecutionCounts& aCounts);

/// How answers and executions fit together.
struct Audit
{
  std::uint64_t mExecutedOnce = 0;
  std::uint64_t mDoubled = 0;
  /// Answered or said to be completed, and not executed.
  std::uint64_t mAnsweredNotExecuted = 0;
  /// Said to be not run, and executed.
  std::uint64_t mFalseNotRun = 0;

  bool IsClean() const
  {
    return mDoubled == 0 && mAnsweredNotExecuted == 0 && mFalseNotRun == 0;
  }
};

Audit CompareExecutions(const std::vector<CallRecord>& aRecords,
                        const ExecutionCounts& aCounts);

/// Not thread-safe.
class LoadReport
{
public:
  void Add(CallRecord aRecord);
  const std::vector<CallRecord>& Records() const { return mRecords; }
  /// Latency in milliseconds at a quantile of the answered requests.
  double LatencyMs(double aQuantile) const;
  std::uint64_t Count(Outcome aOutcome) const;

  void Print(std::ostream& aOut, const Audit* aAudit) const;
  boost::json::object Encode(const Audit* aAudit) const;

private:
  std::vector<CallRecord> mRecords;
  std::map<Outcome, std::uint64_t> mCounts;
  std::uint64_t mRepeated = 0;
  std::uint64_t mReplayed = 0;
};

} // namespace cranberrywing::standins
