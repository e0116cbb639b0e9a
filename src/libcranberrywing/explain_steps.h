/// \file
/// What explanations of requests and of lookups share.
#pragma once

#include "cranberrywing/explain.h"

namespace cranberrywing::detail {

/// A setting of a registry, such as accounts or fleet, with the node that set
/// it, or "default" if the document leaves it out.
PolicySource RegistrySource(std::string_view aDocument,
                            const std::string& aNode,
                            const std::string& aField,
                            std::string aValue);

/// A number without trailing zeros.
std::string NumberText(double aNumber);

std::string MillisecondsText(Duration aTime);

std::string YesOrNo(bool aIsTrue);

} // namespace cranberrywing::detail
