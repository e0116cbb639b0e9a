/// \file
/// Options shared by the lookup and explain commands.
#pragma once

#include <string>
#include <utility>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// Adds the options that describe a lookup.
void AddLookupOptions(cxxopts::OptionAdder& aAdd);

/// Returns an option as a query parameter with the same name; its value is
/// empty if the option was not given.
std::pair<std::string, std::string> QueryOption(const Invocation& aInvocation,
                                                const std::string& aName);

} // namespace cranberrywing::cli
