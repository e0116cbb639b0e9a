/// \file
/// Helpers for the main functions of the programs: running an event loop until
/// a termination signal arrives, error reporting and file reading.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Runs the event loop until it is stopped. The first SIGTERM or SIGINT calls
/// aOnStop, which must stop the loop immediately or later. A SIGINT after that
/// stops it immediately; a further SIGTERM is ignored, since whoever repeats it
/// does not ask for answers to be cut.
void RunUntilStopped(boost::asio::io_context& aContext,
                     const std::function<void()>& aOnStop);

/// Runs the program and returns its exit status. An exception, such as one
/// caused by an invalid command line, is reported to standard error as
/// InvalidArgument.
int RunMain(std::string_view aProgram,
            const std::function<int(int, char**)>& aRun,
            int aCount,
            char** aArguments);

/// Prints "program: message" to standard error and returns the exit status for
/// the error code.
int ReportError(std::string_view aProgram, const Error& aError);

/// Reads a whole file. Errors: InvalidArgument. Thread-safe.
Result<std::string> ReadFile(const std::string& aPath);

} // namespace cranberrywing::netutil
