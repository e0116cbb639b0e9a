#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "netutil/http_fetch.h"
#include "netutil/program.h"
#include "netutil/target.h"
#include "standins/load/load_runner.h"
#include "standins/load/lookup_flood.h"

using namespace cranberrywing;
using namespace cranberrywing::standins;

namespace {

constexpr std::string_view kProgram = "cw_standin_load";

using Strings = std::vector<std::string>;

void AddOptions(cxxopts::Options& aOptions)
{
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  const auto number = [](const char* aDefault) {
    return cxxopts::value<std::uint64_t>()->default_value(aDefault);
  };
  auto add = aOptions.add_options();
  add("mode", "get, order, ticket or lookup", text("get"));
  add("daemons",
      "Caller ports of the daemons as IP:PORT, comma-separated",
      text(""));
  add("no-lookup", "Send requests to the daemons in turn, without lookups");
  add("key", "Caller's key, sent as bearer token", text(""));
  add("account", "Client account, for lookups", text(""));
  add("route", "Route, for lookups and tickets", text(""));
  add("path", "Path of the requests", text("/"));
  add("client", "Client address in lookups", text("127.0.0.1"));
  add("rate",
      "Requests per second",
      cxxopts::value<double>()->default_value("100"));
  add("count", "Total number of requests", number("100"));
  add("seconds",
      "Period in which requests are started; 0: until --count is reached",
      cxxopts::value<double>()->default_value("0"));
  add("deadline-ms",
      "Time allowed for one request with its retries",
      number("10000"));
  add("attempt-ms", "Time-out of one attempt", number("3000"));
  add("attempts", "Maximum number of attempts per request", number("10"));
  add("run", "Prefix of the request identities, unique per run", text("run"));
  add("pipeline", "Lookups in flight per connection", number("64"));
  add("connections", "Connections in lookup mode", number("4"));
  add(
    "backends",
    "Backend servers whose executions are audited, as IP:PORT, comma-separated",
    text(""));
  add("execution-file",
      "Execution file of a backend server; may be repeated",
      cxxopts::value<Strings>());
  add("json", "File to write the report to as JSON", text(""));
  add("fetch",
      "METHOD URL [HEADER...]: send one request and print the answer's body",
      cxxopts::value<Strings>());
  add("body",
      "Body of the --fetch request; @FILE reads it from a file",
      text(""));
  add("help", "Show this help");
}

Result<LoadOptions> ReadOptions(const cxxopts::ParseResult& aParsed)
{
  LoadOptions options;
  const auto text = [&aParsed](const char* aName) {
    return aParsed[aName].as<std::string>();
  };
  const auto number = [&aParsed](const char* aName) {
    return aParsed[aName].as<std::uint64_t>();
  };
  const auto mode = ParseLoadMode(text("mode"));
  const auto daemons = netutil::ParseEndpoints(text("daemons"));
  const auto backends = netutil::ParseEndpoints(text("backends"));
  if (!mode) {
    return tl::unexpected(mode.error());
  }
  if (!daemons || !backends) {
    return tl::unexpected(daemons ? backends.error() : daemons.error());
  }
  options.mMode = *mode;
  options.mDaemons = *daemons;
  options.mBackends = *backends;
  options.mSkipLookups = aParsed.count("no-lookup") > 0;
  options.mKey = text("key");
  options.mAccount = AccountId(text("account"));
  options.mRoute = RouteId(text("route"));
  options.mPath = text("path");
  options.mClient = text("client");
  options.mRate = aParsed["rate"].as<double>();
  options.mCount = number("count");
  options.mStartPeriod = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aParsed["seconds"].as<double>()));
  options.mDeadline = Milliseconds(number("deadline-ms"));
  options.mAttemptTimeout = Milliseconds(number("attempt-ms"));
  options.mMaxAttempts = static_cast<std::uint32_t>(number("attempts"));
  options.mIdentityPrefix = text("run");
  options.mPipeline = number("pipeline");
  options.mConnections = number("connections");
  if (aParsed.count("execution-file") > 0) {
    options.mExecutionFiles = aParsed["execution-file"].as<Strings>();
  }
  if (options.mDaemons.empty() || options.mRate <= 0) {
    return MakeError(ResultCode::InvalidArgument,
                     "--daemons and a --rate above 0 are required");
  }
  return options;
}

Result<std::string> ReadBody(const std::string& aText)
{
  if (!aText.starts_with('@')) {
    return aText;
  }
  std::ifstream file(aText.substr(1), std::ios::binary);
  if (!file) {
    return MakeError(ResultCode::InvalidArgument,
                     "cannot read " + aText.substr(1));
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Sends one request and prints the answer's body. The exit status is 0 for a
/// status of 2xx and 1 otherwise.
int Fetch(const cxxopts::ParseResult& aParsed)
{
  Strings words = aParsed["fetch"].as<Strings>();
  words.insert(
    words.end(), aParsed.unmatched().begin(), aParsed.unmatched().end());
  const std::string_view scheme = "http://";
  if (words.size() < 2 || !words[1].starts_with(scheme)) {
    return netutil::ReportError(
      kProgram,
      { ResultCode::InvalidArgument,
        "--fetch requires METHOD http://IP:PORT/[PATH]" });
  }
  const std::string rest = words[1].substr(scheme.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const auto endpoint = netutil::ParseEndpoint(rest.substr(0, slash));
  const auto body = ReadBody(aParsed["body"].as<std::string>());
  if (!endpoint || !body) {
    return netutil::ReportError(kProgram,
                                endpoint ? body.error() : endpoint.error());
  }
  RequestContent request;
  request.mMethod = words[0];
  request.mTarget = slash < rest.size() ? rest.substr(slash) : "/";
  request.mBody = *body;
  for (std::size_t n = 2; n < words.size(); ++n) {
    const std::size_t colon = std::min(words[n].find(": "), words[n].size());
    request.mHeaders.push_back(
      { words[n].substr(0, colon),
        words[n].substr(std::min(colon + 2, words[n].size())) });
  }
  const auto answer =
    netutil::Fetch(*endpoint, std::move(request), std::chrono::seconds(15));
  if (!answer) {
    return netutil::ReportError(kProgram, answer.error());
  }
  std::cout << answer->mBody << '\n';
  return answer->mStatus / 100 == 2 ? 0 : 1;
}

int RunLookups(const LoadOptions& aOptions)
{
  const auto result = RunLookupFlood(aOptions);
  if (!result) {
    return netutil::ReportError(kProgram, result.error());
  }
  const double rate = static_cast<double>(result->mAnswers) / result->mSeconds;
  std::cout << "lookups answered  " << result->mAnswers
            << "\nlookups failed    " << result->mFailures
            << "\nseconds           " << std::fixed << std::setprecision(3)
            << result->mSeconds << "\nlookups a second  "
            << std::setprecision(0) << rate << '\n';
  return result->mFailures == 0 ? 0 : 1;
}

void WriteJson(const std::string& aPath, const boost::json::object& aReport)
{
  if (!aPath.empty()) {
    std::ofstream(aPath) << boost::json::serialize(aReport) << '\n';
  }
}

int RunLoad(const LoadOptions& aOptions, const std::string& aJsonPath)
{
  boost::asio::io_context context(1);
  LoadRunner runner(context, aOptions);
  runner.Start();
  netutil::RunUntilStopped(context, [&runner] { runner.Stop(); });
  const LoadReport& report = runner.Report();
  if (aOptions.mBackends.empty() && aOptions.mExecutionFiles.empty()) {
    report.Print(std::cout, nullptr);
    WriteJson(aJsonPath, report.Encode(nullptr));
    return 0;
  }
  ExecutionCounts counts;
  const auto fetched = FetchExecutions(aOptions.mBackends, counts);
  const auto read = ReadExecutionFiles(aOptions.mExecutionFiles, counts);
  if (!fetched || !read) {
    return netutil::ReportError(kProgram,
                                fetched ? read.error() : fetched.error());
  }
  const Audit audit = CompareExecutions(report.Records(), counts);
  report.Print(std::cout, &audit);
  WriteJson(aJsonPath, report.Encode(&audit));
  return audit.IsClean() ? 0 : 1;
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options(
    std::string(kProgram),
    "Open-loop load generator for cranberrywing daemons.");
  AddOptions(options);
  options.allow_unrecognised_options();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("fetch") > 0) {
    return Fetch(parsed);
  }
  if (!parsed.unmatched().empty()) {
    return netutil::ReportError(
      kProgram,
      { ResultCode::InvalidArgument,
        "unexpected argument " + parsed.unmatched().front() });
  }
  const auto load = ReadOptions(parsed);
  if (!load) {
    return netutil::ReportError(kProgram, load.error());
  }
  if (load->mMode == LoadMode::Lookup) {
    return RunLookups(*load);
  }
  return RunLoad(*load, parsed["json"].as<std::string>());
}

} // namespace

int main(int aCount, char** aArguments)
{
  return netutil::RunMain(kProgram, Run, aCount, aArguments);
}
