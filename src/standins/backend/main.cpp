#include <cxxopts.hpp>
#include <iostream>

#include "netutil/program.h"
#include "standins/backend/backend_server.h"

using namespace cranberrywing;

namespace {

constexpr std::string_view kProgram = "cw_standin_backend";

void AddOptions(cxxopts::Options& aOptions)
{
  const auto integer = [](const char* aDefault) {
    return cxxopts::value<std::int64_t>()->default_value(aDefault);
  };
  const auto real = [](const char* aDefault) {
    return cxxopts::value<double>()->default_value(aDefault);
  };
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  auto add = aOptions.add_options();
  add("port",
      "Port of the HTTP server",
      cxxopts::value<std::uint16_t>()->default_value("9001"));
  add("name", "Name of the server in its answers", text("backend"));
  add(
    "latency-ms", "Service time of one request in milliseconds", integer("1"));
  add("concurrency", "Requests served concurrently", integer("16"));
  add("shed-above",
      "Queued and running requests from which new ones are shed; 0: never",
      integer("0"));
  add("cold-start-ms",
      "Time in milliseconds until the server is warm",
      integer("0"));
  add("cold-factor", "Factor of the latency right after the start", real("1"));
  add("capacity",
      "Requests per second reported as full utilization",
      real("100"));
  add("body-bytes", "Bytes of padding in answers to GET", integer("0"));
  add("executions-file", "File to append executions to", text(""));
  add("crash-marker",
      "End the process after executing a request whose body contains this",
      text(""));
  add("help", "Show this help");
}

standins::BackendServerOptions ReadOptions(const cxxopts::ParseResult& aParsed)
{
  standins::BackendServerOptions options;
  options.mName = aParsed["name"].as<std::string>();
  options.mListen = { "127.0.0.1", aParsed["port"].as<std::uint16_t>() };
  options.mExecutionFile = aParsed["executions-file"].as<std::string>();
  options.mCrashMarker = aParsed["crash-marker"].as<std::string>();
  standins::BackendBehaviour& behaviour = options.mBehaviour;
  behaviour.mLatencyMs = aParsed["latency-ms"].as<std::int64_t>();
  behaviour.mConcurrency = aParsed["concurrency"].as<std::int64_t>();
  behaviour.mShedThreshold = aParsed["shed-above"].as<std::int64_t>();
  behaviour.mColdStartMs = aParsed["cold-start-ms"].as<std::int64_t>();
  behaviour.mColdFactor = aParsed["cold-factor"].as<double>();
  behaviour.mCapacity = aParsed["capacity"].as<double>();
  behaviour.mBodyBytes = aParsed["body-bytes"].as<std::int64_t>();
  return options;
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options(std::string(kProgram),
                           "Stand-in for a backend server on loopback.");
  AddOptions(options);
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  boost::asio::io_context context(1);
  standins::BackendServer server(context, ReadOptions(parsed));
  const auto started = server.Start();
  if (!started) {
    return netutil::ReportError(kProgram, started.error());
  }
  std::cerr << "event=started port=" << server.Port() << '\n';
  netutil::RunUntilStopped(context, [&] {
    server.Stop();
    context.stop();
  });
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return netutil::RunMain(kProgram, Run, aCount, aArguments);
}
