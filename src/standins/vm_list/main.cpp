#include <cxxopts.hpp>
#include <iostream>

#include "netutil/program.h"
#include "standins/vm_list/vm_list_server.h"

using namespace cranberrywing;

namespace {

constexpr std::string_view kProgram = "cw_standin_vm_list";

/// Parses "vm-1=127.0.0.1:7001".
Result<standins::VmChange> ParseVm(const std::string& aText)
{
  const std::size_t equals = aText.find('=');
  const auto target = netutil::ParseEndpoint(
    equals == std::string::npos ? "" : aText.substr(equals + 1));
  if (!target || equals == 0) {
    return MakeError(ResultCode::InvalidArgument,
                     "'" + aText + "' is not NAME=ADDRESS:PORT");
  }
  return standins::VmChange{
    .mVm = aText.substr(0, equals),
    .mListed = { netutil::ToString(*target), standins::VmState::Live },
  };
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options(
    std::string(kProgram),
    "Stand-in for the platform's list of VMs (http_sd JSON) on loopback.");
  auto add = options.add_options();
  add("port",
      "Port of the HTTP server",
      cxxopts::value<std::uint16_t>()->default_value("2381"));
  add("lag-ms",
      "Delay in milliseconds until a change appears in the list",
      cxxopts::value<int>()->default_value("0"));
  add("vm",
      "Live VM as NAME=ADDRESS:PORT; may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value({}));
  add("help", "Show this help");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  boost::asio::io_context context(1);
  standins::VmListServer server(context,
                                Milliseconds(parsed["lag-ms"].as<int>()));
  if (parsed.count("vm") > 0) {
    for (const auto& text : parsed["vm"].as<std::vector<std::string>>()) {
      const auto vm = ParseVm(text);
      if (!vm) {
        return netutil::ReportError(kProgram, vm.error());
      }
      server.State().Set(*vm, {});
    }
  }
  const auto started =
    server.Start({ "127.0.0.1", parsed["port"].as<std::uint16_t>() });
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
