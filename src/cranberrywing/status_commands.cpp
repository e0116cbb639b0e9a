#include <boost/json/parse.hpp>

#include "cranberrywing/command.h"
#include "cranberrywing/parse_number.h"
#include "cranberrywing/timeline_merge.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

void AddStatus(cxxopts::OptionAdder& aAdd)
{
  aAdd("members", "Also list the cluster members known to the daemon");
}

void AddWatch(cxxopts::OptionAdder& aAdd)
{
  AddStatus(aAdd);
  aAdd("count",
       "Repetitions (default: until interrupted)",
       cxxopts::value<std::string>(),
       "NUMBER");
  aAdd("interval",
       "Time between repetitions",
       cxxopts::value<std::string>()->default_value("2s"),
       "DURATION");
}

void AddTimeline(cxxopts::OptionAdder& aAdd)
{
  aAdd("since",
       "First sequence number to read from each daemon",
       cxxopts::value<std::string>(),
       "NUMBER");
}

struct Column
{
  std::string_view mHeading;
  std::string_view mMember;
};

/// Prints a table with one row per element of an array of objects.
void PrintList(std::ostream& aOut,
               const json::object& aBody,
               std::string_view aName,
               const std::vector<Column>& aColumns)
{
  const json::array* const list = netutil::FindArray(aBody, aName);
  if (!list) {
    return;
  }
  std::vector<std::string> heading;
  for (const Column& column : aColumns) {
    heading.emplace_back(column.mHeading);
  }
  Table table(heading);
  for (const json::value& value : *list) {
    const json::object* const entry = value.if_object();
    if (!entry) {
      continue;
    }
    std::vector<std::string> cells;
    for (const Column& column : aColumns) {
      cells.push_back(FormatValue(*entry, column.mMember));
    }
    table.Add(std::move(cells));
  }
  if (!table.IsEmpty()) {
    aOut << '\n';
  }
  table.Print(aOut);
}

void PrintScalars(std::ostream& aOut, const json::object& aBody)
{
  for (const auto& member : aBody) {
    if (!member.value().is_array() && !member.value().is_object()) {
      aOut << ReplaceControlCharacters(member.key()) << ": "
           << ReplaceControlCharacters(FormatValue(member.value())) << '\n';
    }
  }
}

void PrintCounters(std::ostream& aOut, const json::object& aBody)
{
  const json::object* const requests = netutil::FindObject(aBody, "requests");
  if (!requests) {
    return;
  }
  Table table({ "REQUESTS", "COUNT" });
  for (const auto& member : *requests) {
    if (const json::object* refused = member.value().if_object()) {
      for (const auto& code : *refused) {
        table.Add(
          { "refused " + std::string(code.key()), FormatValue(code.value()) });
      }
      continue;
    }
    table.Add({ std::string(member.key()), FormatValue(member.value()) });
  }
  aOut << '\n';
  table.Print(aOut);
}

void PrintBackends(std::ostream& aOut, const json::object& aBody)
{
  const json::array* const services = netutil::FindArray(aBody, "services");
  if (!services) {
    return;
  }
  for (const json::value& value : *services) {
    const json::object* const service = value.if_object();
    if (!service) {
      continue;
    }
    aOut << "\nservice "
         << ReplaceControlCharacters(FormatValue(*service, "service")) << ": "
         << FormatValue(*service, "running") << " running, "
         << FormatValue(*service, "waiting") << " waiting";
    PrintList(aOut,
              *service,
              "backends",
              { { "BACKEND", "backend" },
                { "REGION", "region" },
                { "DOMAIN", "failure_domain" },
                { "USABLE", "usable" },
                { "DRAINING", "draining" },
                { "WARMTH", "warmth" },
                { "RUNNING", "in_flight" },
                { "LATENCY MS", "latency_ms" } });
  }
}

void PrintStatus(std::ostream& aOut, const json::object& aBody)
{
  PrintScalars(aOut, aBody);
  PrintCounters(aOut, aBody);
  PrintBackends(aOut, aBody);
  PrintList(aOut,
            aBody,
            "accounts",
            { { "ACCOUNT", "account" },
              { "RATE", "rate" },
              { "BURST", "burst" },
              { "TOKENS", "tokens" } });
  PrintList(aOut,
            aBody,
            "shifts",
            { { "SHIFT OF", "service" },
              { "TO", "to" },
              { "MOVED", "moved" },
              { "TARGET", "target" },
              { "HELD", "held" } });
  PrintList(aOut,
            aBody,
            "members",
            { { "VM", "vm" },
              { "STATE", "state" },
              { "REGION", "region" },
              { "DOMAIN", "failure_domain" },
              { "SITE", "site" },
              { "ADDRESS", "address" },
              { "PORT", "caller_port" } });
}

Result<json::array> ReadMembers(const ApiClient& aClient)
{
  const auto response = aClient.Get("/v1/members");
  if (!response) {
    return tl::unexpected(response.error());
  }
  boost::system::error_code ec;
  json::value value = json::parse(response->mBody, ec);
  if (ec || !value.is_array()) {
    return MakeError(
      ResultCode::Malformed,
      "the response of the daemon is not a JSON list of members");
  }
  return std::move(value.get_array());
}

Result<void> RunStatus(Invocation& aInvocation)
{
  auto body = aInvocation.mClient.GetObject("/v1/status");
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (aInvocation.HasOption("members")) {
    auto members = ReadMembers(aInvocation.mClient);
    if (!members) {
      return tl::unexpected(members.error());
    }
    (*body)["members"] = std::move(*members);
  }
  if (aInvocation.mIsJson) {
    PrintJson(aInvocation.Out(), *body);
  } else {
    PrintStatus(aInvocation.Out(), *body);
  }
  aInvocation.Out().flush();
  return {};
}

Result<std::uint64_t> ReadNumber(const Invocation& aInvocation,
                                 const std::string& aOption)
{
  const std::string text = aInvocation.OptionValue(aOption);
  const auto number = ParseNumber<std::uint64_t>(text);
  if (!text.empty() && !number) {
    return MakeError(ResultCode::InvalidArgument,
                     "--" + aOption + " needs a non-negative integer");
  }
  return number.value_or(0);
}

Result<void> RunWatch(Invocation& aInvocation)
{
  const auto count = ReadNumber(aInvocation, "count");
  if (!count) {
    return tl::unexpected(count.error());
  }
  const auto interval =
    ParseDuration(aInvocation.mOptions["interval"].as<std::string>());
  if (!interval) {
    return MakeError(ResultCode::InvalidArgument,
                     "--interval needs a duration such as 2s");
  }
  Result<void> last;
  for (std::uint64_t n = 0; *count == 0 || n < *count; ++n) {
    if (n > 0) {
      aInvocation.mContext.mSleep(*interval);
      aInvocation.Out() << (aInvocation.mIsJson ? "" : "\n");
    }
    last = RunStatus(aInvocation);
    if (!last && last.error().mCode != ResultCode::PeerUnreachable) {
      return last;
    }
    // Continue, as a daemon that is being restarted becomes reachable again.
    if (!last) {
      aInvocation.ErrorOut()
        << ReplaceControlCharacters(last.error().mMessage) << '\n';
    }
  }
  return last;
}

Result<void> RunTimeline(Invocation& aInvocation)
{
  const auto since = ReadNumber(aInvocation, "since");
  if (!since) {
    return tl::unexpected(since.error());
  }
  std::vector<TimelineRow> rows;
  Result<void> failure;
  std::size_t respondedCount = 0;
  for (const netutil::Endpoint& daemon : aInvocation.mClient.Daemons()) {
    auto read = ReadTimeline(aInvocation.mClient, daemon, *since);
    if (!read) {
      aInvocation.ErrorOut()
        << ReplaceControlCharacters(PrefixDaemon(daemon, read.error())) << '\n';
      failure = tl::unexpected(read.error());
      continue;
    }
    ++respondedCount;
    rows.insert(rows.end(), read->begin(), read->end());
  }
  if (respondedCount == 0) {
    return failure;
  }
  MergeTimelines(rows);
  PrintTimeline(aInvocation, rows);
  return {};
}

} // namespace

const CommandList& StatusCommands()
{
  static const CommandList sCommands{
    { .mName = "status",
      .mHelp = "Shows the state, services, accounts and shifts of a daemon.",
      .mAddOptions = &AddStatus,
      .mRun = &RunStatus },
    { .mName = "watch",
      .mHelp = "Repeats the status until interrupted.",
      .mAddOptions = &AddWatch,
      .mRun = &RunWatch },
    { .mName = "timeline",
      .mHelp =
        "Shows the events of all given daemons in a merged order.\nEntries "
        "are ordered by wall time, VM and sequence number; clocks of "
        "VMs may differ.",
      .mAddOptions = &AddTimeline,
      .mRun = &RunTimeline },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
