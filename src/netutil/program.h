/// \file
/// What the programs' main functions share: running an event loop until the
/// process is told to stop, and reading the files that they are given.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Runs the loop until it is stopped. The first SIGTERM or SIGINT calls
/// aOnStop, which stops the loop now or later; a second one stops it at once.
void RunUntilStopped(boost::asio::io_context& aContext,
                     const std::function<void()>& aOnStop);

/// What main does: runs the program and reports an exception, such as that of
/// a wrong command line, as InvalidArgument.
int RunMain(std::string_view aProgram,
            const std::function<int(int, char**)>& aRun,
            int aCount,
            char** aArguments);

/// Prints "program: message" to standard error and returns the exit status
/// of the error's code.
int ReportError(std::string_view aProgram, const Error& aError);

/// The whole file. Errors: InvalidArgument. Thread-safe.
Result<std::string> ReadFile(const std::string& aPath);

} // namespace cranberrywing::netutil
