#include "standins/load/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>

#include "netutil/http_fetch.h"
#include "netutil/json.h"

namespace cranberrywing::standins {

namespace json = boost::json;

namespace {

constexpr std::array kOutcomes{
  Outcome::Answered, Outcome::NotRun,   Outcome::Completed,
  Outcome::Unknown,  Outcome::NoAnswer,
};

struct NamedQuantile
{
  std::string_view mName;
  double mQuantile;
};

constexpr std::array kQuantiles{
  NamedQuantile{ "p50", 0.5 },  NamedQuantile{ "p90", 0.9 },
  NamedQuantile{ "p99", 0.99 }, NamedQuantile{ "p99.9", 0.999 },
  NamedQuantile{ "max", 1.0 },
};

constexpr std::chrono::seconds kFetchTimeout{ 5 };

void PrintRow(std::ostream& aOut, std::string_view aName, std::uint64_t aValue)
{
  aOut << std::left << std::setw(28) << aName << std::right << std::setw(12)
       << aValue << '\n';
}

} // namespace

std::string_view ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Completed:
      return "completed";
    case Outcome::Unknown:
      return "unknown";
    case Outcome::NoAnswer:
      break;
  }
  return "no_answer";
}

Result<void> AddExecutions(std::string_view aBody, ExecutionCounts& aCounts)
{
  const auto body = netutil::ParseObject(aBody);
  const json::array* list =
    body ? netutil::FindArray(*body, "executions") : nullptr;
  if (!list) {
    return MakeError(ResultCode::Malformed,
                     "answer of /_executions has no array \"executions\"");
  }
  for (const json::value& value : *list) {
    if (!value.is_object()) {
      return MakeError(ResultCode::Malformed,
                       "element of \"executions\" is not an object");
    }
    const json::object& one = value.get_object();
    aCounts[netutil::FindString(one, "id")] +=
      netutil::FindInteger(one, "count").value_or(0);
  }
  return {};
}

Result<void> FetchExecutions(const std::vector<netutil::Endpoint>& aBackends,
                             ExecutionCounts& aCounts)
{
  for (const netutil::Endpoint& backend : aBackends) {
    RequestContent request;
    request.mMethod = "GET";
    request.mTarget = "/_executions";
    const auto answer =
      netutil::Fetch(backend, std::move(request), kFetchTimeout);
    if (!answer) {
      return tl::unexpected(answer.error());
    }
    const auto added = AddExecutions(answer->mBody, aCounts);
    if (!added) {
      return added;
    }
  }
  return {};
}

Result<void> ReadExecutionFiles(const std::vector<std::string>& aFiles,
                                ExecutionCounts& aCounts)
{
  for (const std::string& path : aFiles) {
    std::ifstream file(path);
    if (!file) {
      return MakeError(ResultCode::InvalidArgument, "cannot read " + path);
    }
    std::string identity;
    while (std::getline(file, identity)) {
      ++aCounts[identity];
    }
  }
  return {};
}

Audit CompareExecutions(const std::vector<CallRecord>& aRecords,
                        const ExecutionCounts& aCounts)
{
  Audit audit;
  for (const auto& [identity, count] : aCounts) {
    ++(count > 1 ? audit.mExecutedRepeatedly : audit.mExecutedOnce);
  }
  for (const CallRecord& record : aRecords) {
    const bool wasExecuted = aCounts.contains(record.mIdentity);
    const bool isReportedDone = record.mOutcome == Outcome::Answered ||
                                record.mOutcome == Outcome::Completed;
    if (isReportedDone && !wasExecuted) {
      ++audit.mAnsweredNotExecuted;
    }
    if (record.mOutcome == Outcome::NotRun && wasExecuted) {
      ++audit.mFalseNotRun;
    }
  }
  return audit;
}

void LoadReport::Add(CallRecord aRecord)
{
  ++mCounts[aRecord.mOutcome];
  mRetried += aRecord.mAttempts > 1 ? 1 : 0;
  mReplayed += aRecord.mWasReplayed ? 1 : 0;
  mRecords.push_back(std::move(aRecord));
}

std::uint64_t LoadReport::Count(Outcome aOutcome) const
{
  const auto it = mCounts.find(aOutcome);
  return it == mCounts.end() ? 0 : it->second;
}

double LoadReport::LatencyMs(double aQuantile) const
{
  std::vector<double> latencies;
  for (const CallRecord& record : mRecords) {
    if (record.mOutcome == Outcome::Answered) {
      latencies.push_back(
        std::chrono::duration<double, std::milli>(record.mLatency).count());
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(latencies.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(std::ceil(aQuantile * last));
  std::nth_element(
    latencies.begin(), latencies.begin() + rank, latencies.end());
  return latencies[static_cast<std::size_t>(rank)];
}

void LoadReport::Print(std::ostream& aOut, const Audit* aAudit) const
{
  PrintRow(aOut, "requests", mRecords.size());
  for (const Outcome outcome : kOutcomes) {
    PrintRow(aOut, "  " + std::string(ToString(outcome)), Count(outcome));
  }
  PrintRow(aOut, "repeated by the caller", mRetried);
  PrintRow(aOut, "replayed answers", mReplayed);
  std::map<std::int64_t, std::uint64_t> codes;
  for (const CallRecord& record : mRecords) {
    if (record.mCode != 0 && record.mOutcome != Outcome::Answered) {
      ++codes[record.mCode];
    }
  }
  for (const auto& [code, count] : codes) {
    const auto known = static_cast<ResultCode>(code);
    PrintRow(aOut, "  code " + std::string(ToString(known)), count);
  }
  if (aAudit) {
    PrintRow(aOut, "executed exactly once", aAudit->mExecutedOnce);
    PrintRow(aOut, "executed more than once", aAudit->mExecutedRepeatedly);
    PrintRow(aOut, "answered, not executed", aAudit->mAnsweredNotExecuted);
    PrintRow(aOut, "\"not run\", yet executed", aAudit->mFalseNotRun);
  }
  for (const NamedQuantile& one : kQuantiles) {
    aOut << std::left << std::setw(28)
         << "latency " + std::string(one.mName) + " ms" << std::right
         << std::setw(12) << std::fixed << std::setprecision(3)
         << LatencyMs(one.mQuantile) << '\n';
  }
}

json::object LoadReport::Encode(const Audit* aAudit) const
{
  json::object outcomes;
  for (const Outcome outcome : kOutcomes) {
    outcomes[ToString(outcome)] = Count(outcome);
  }
  json::object latency;
  for (const NamedQuantile& one : kQuantiles) {
    latency[one.mName] = LatencyMs(one.mQuantile);
  }
  json::object body;
  body["requests"] = mRecords.size();
  body["outcomes"] = std::move(outcomes);
  body["repeated"] = mRetried;
  body["replayed"] = mReplayed;
  body["latency_ms"] = std::move(latency);
  if (aAudit) {
    json::object audit;
    audit["executed_once"] = aAudit->mExecutedOnce;
    audit["doubled"] = aAudit->mExecutedRepeatedly;
    audit["answered_not_executed"] = aAudit->mAnsweredNotExecuted;
    audit["false_not_run"] = aAudit->mFalseNotRun;
    body["audit"] = std::move(audit);
  }
  return body;
}

} // namespace cranberrywing::standins
