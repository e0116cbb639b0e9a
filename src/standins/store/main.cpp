#include <cxxopts.hpp>
#include <iostream>

#include "netutil/program.h"
#include "standins/store/store_server.h"

using namespace cranberrywing;

namespace {

constexpr std::string_view kProgram = "cw_standin_store";

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options(std::string(kProgram),
                           "Stand-in for the platform's key-value service "
                           "(etcd v3 JSON gateway) on loopback.");
  auto add = options.add_options();
  add("port",
      "Port of the etcd JSON gateway",
      cxxopts::value<std::uint16_t>()->default_value("2379"));
  add("control-port",
      "Port of the control endpoint (/counters, /faults)",
      cxxopts::value<std::uint16_t>()->default_value("2380"));
  add("progress-ms",
      "Interval of watch progress notifications in milliseconds",
      cxxopts::value<int>()->default_value("1000"));
  add("help", "Show this help");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  boost::asio::io_context context(1);
  standins::StoreServer server(
    context,
    { .mListen = { "127.0.0.1", parsed["port"].as<std::uint16_t>() },
      .mControl = { "127.0.0.1", parsed["control-port"].as<std::uint16_t>() },
      .mProgressInterval = Milliseconds(parsed["progress-ms"].as<int>()) });
  const auto started = server.Start();
  if (!started) {
    return netutil::ReportError(kProgram, started.error());
  }
  std::cerr << "event=started port=" << server.Port()
            << " control_port=" << server.ControlPort() << '\n';
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
