/// \file
/// Helpers shared by the explanations of requests and of lookups.
#pragma once

#include "cranberrywing/explain.h"

namespace cranberrywing::detail {

/// A setting outside the policy tree, such as one of accounts or fleet, with
/// the node that set it, or "default" if the document omits it.
PolicySource RegistrySource(std::string_view aDocument,
                            const std::string& aNode,
                            const std::string& aField,
                            std::string aValue);

/// Formats a number without trailing zeros.
std::string NumberText(double aNumber);

std::string MillisecondsText(Duration aTime);

std::string YesOrNo(bool aIsTrue);

} // namespace cranberrywing::detail
