#include "cranberrywing/timeline_merge.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>

#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

/// Sorts by VM and sequence number, removes duplicates and sets mOrderMs, which
/// never decreases within a VM. This keeps the entries of a VM in order when
/// its wall clock is set back.
void AssignOrderTimes(std::vector<TimelineRow>& aRows)
{
  std::sort(aRows.begin(),
            aRows.end(),
            [](const TimelineRow& aLeft, const TimelineRow& aRight) {
              return std::tie(aLeft.mVm, aLeft.mNumber) <
                     std::tie(aRight.mVm, aRight.mNumber);
            });
  const auto isSame = [](const TimelineRow& aLeft, const TimelineRow& aRight) {
    return aLeft.mVm == aRight.mVm && aLeft.mNumber == aRight.mNumber;
  };
  aRows.erase(std::unique(aRows.begin(), aRows.end(), isSame), aRows.end());
  for (std::size_t n = 0; n < aRows.size(); ++n) {
    aRows[n].mOrderMs = aRows[n].mWallMs;
    if (n > 0 && aRows[n].mVm == aRows[n - 1].mVm) {
      aRows[n].mOrderMs = std::max(aRows[n].mWallMs, aRows[n - 1].mOrderMs);
    }
  }
}

std::string FormatFields(const json::object& aFields)
{
  std::string text;
  for (const auto& field : aFields) {
    text += (text.empty() ? "" : " ") + std::string(field.key()) + "=" +
            FormatValue(field.value());
  }
  return text;
}

} // namespace

Result<std::vector<TimelineRow>> ReadTimeline(const ApiClient& aClient,
                                              const netutil::Endpoint& aDaemon,
                                              std::uint64_t aSince)
{
  const auto status = aClient.GetObjectFrom(aDaemon, "/v1/status");
  if (!status) {
    return tl::unexpected(status.error());
  }
  const auto body = aClient.GetObjectFrom(
    aDaemon,
    MakeTarget("/v1/timeline", { { "since", std::to_string(aSince) } }));
  if (!body) {
    return tl::unexpected(body.error());
  }
  const json::array* const entries = netutil::FindArray(*body, "entries");
  if (!entries) {
    return MakeError(ResultCode::Malformed,
                     "the response of the daemon contains no timeline entries");
  }
  std::vector<TimelineRow> rows;
  for (const json::value& value : *entries) {
    const json::object* const entry = value.if_object();
    if (!entry) {
      continue;
    }
    const json::object* const fields = netutil::FindObject(*entry, "fields");
    rows.push_back(
      { .mWallMs = netutil::FindInteger(*entry, "time_ms").value_or(0),
        .mVm = netutil::FindString(*status, "vm"),
        .mNumber = static_cast<std::uint64_t>(
          netutil::FindInteger(*entry, "number").value_or(0)),
        .mEvent = netutil::FindString(*entry, "event"),
        .mFields = fields ? *fields : json::object() });
  }
  return rows;
}

void MergeTimelines(std::vector<TimelineRow>& aRows)
{
  AssignOrderTimes(aRows);
  std::stable_sort(aRows.begin(),
                   aRows.end(),
                   [](const TimelineRow& aLeft, const TimelineRow& aRight) {
                     return std::tie(aLeft.mOrderMs, aLeft.mVm, aLeft.mNumber) <
                            std::tie(
                              aRight.mOrderMs, aRight.mVm, aRight.mNumber);
                   });
}

std::string FormatWallTime(std::int64_t aWallMs)
{
  const std::time_t seconds = aWallMs / 1000;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string milliseconds = std::to_string(1000 + aWallMs % 1000);
  milliseconds[0] = '.';
  return text.data() + milliseconds + "Z";
}

void PrintTimeline(Invocation& aInvocation,
                   const std::vector<TimelineRow>& aRows)
{
  json::array list;
  Table table({ "TIME", "VM", "NUMBER", "EVENT", "FIELDS" });
  for (const TimelineRow& row : aRows) {
    if (!aInvocation.mIsJson) {
      table.Add({ FormatWallTime(row.mWallMs),
                  row.mVm,
                  std::to_string(row.mNumber),
                  row.mEvent,
                  FormatFields(row.mFields) });
      continue;
    }
    json::object entry;
    entry["time_ms"] = row.mWallMs;
    entry["vm"] = row.mVm;
    entry["number"] = row.mNumber;
    entry["event"] = row.mEvent;
    entry["fields"] = row.mFields;
    list.push_back(std::move(entry));
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["entries"] = std::move(list);
    PrintJson(aInvocation.Out(), body);
    return;
  }
  table.Print(aInvocation.Out());
}

} // namespace cranberrywing::cli
