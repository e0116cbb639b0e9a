/// \file
/// Settings commands and helpers that are implemented in a different source
/// file than the command list.
#pragma once

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// Parses a revision number. Errors: InvalidArgument. Thread-safe.
Result<Revision> ParseRevision(const std::string& aText);

/// Adds the option --summary, shared by all commands that write settings.
void AddSummary(cxxopts::OptionAdder& aAdd);

void AddDiff(cxxopts::OptionAdder& aAdd);
void AddCheck(cxxopts::OptionAdder& aAdd);
Result<void> RunDiff(Invocation& aInvocation);
Result<void> RunHistory(Invocation& aInvocation);
Result<void> RunRevert(Invocation& aInvocation);
Result<void> RunCheck(Invocation& aInvocation);

} // namespace cranberrywing::cli
