#include "netutil/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cranberrywing::netutil {

namespace {

/// Stops the loop at the next SIGINT.
void AwaitInterrupt(boost::asio::signal_set& aSignals,
                    boost::asio::io_context& aContext)
{
  aSignals.async_wait([&](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGINT) {
      aContext.stop();
      return;
    }
    AwaitInterrupt(aSignals, aContext);
  });
}

} // namespace

void RunUntilStopped(boost::asio::io_context& aContext,
                     const std::function<void()>& aOnStop)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    aOnStop();
    AwaitInterrupt(signals, aContext);
  });
  aContext.run();
}

int RunMain(std::string_view aProgram,
            const std::function<int(int, char**)>& aRun,
            int aCount,
            char** aArguments)
{
  try {
    return aRun(aCount, aArguments);
  } catch (const std::exception& e) {
    return ReportError(aProgram, { ResultCode::InvalidArgument, e.what() });
  }
}

int ReportError(std::string_view aProgram, const Error& aError)
{
  std::cerr << aProgram << ": " << aError.mMessage << '\n';
  return ExitStatus(aError.mCode);
}

Result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeError(ResultCode::InvalidArgument, "cannot read " + aPath);
  }
  return std::move(text).str();
}

} // namespace cranberrywing::netutil
