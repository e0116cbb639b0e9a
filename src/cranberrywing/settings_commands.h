/// \file
/// Commands on the settings that are defined in another source than the list
/// of commands.
#pragma once

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// Errors: InvalidArgument. Thread-safe.
Result<Revision> ParseRevision(const std::string& aText);

/// Option --summary of all commands that write settings.
void AddSummary(cxxopts::OptionAdder& aAdd);

void AddDiff(cxxopts::OptionAdder& aAdd);
void AddCheck(cxxopts::OptionAdder& aAdd);
Result<void> RunDiff(Invocation& aInvocation);
Result<void> RunHistory(Invocation& aInvocation);
Result<void> RunRevert(Invocation& aInvocation);
Result<void> RunCheck(Invocation& aInvocation);

} // namespace cranberrywing::cli
