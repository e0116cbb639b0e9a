/// \file
/// Options that lookups and explanations share.
#pragma once

#include <string>
#include <utility>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

void AddLookupOptions(cxxopts::OptionAdder& aAdd);

/// An option as a value of a query.
std::pair<std::string, std::string> OptionOf(const Invocation& aInvocation,
                                             const std::string& aName);

} // namespace cranberrywing::cli
