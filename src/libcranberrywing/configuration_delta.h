/// \file
/// Line-based differences between settings documents. Internal to the
/// configuration sources.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/messages/configuration.h"
#include "cranberrywing/result_code.h"

namespace cranberrywing::detail {

using message::LineEdit;

/// Computes the edits that turn one document into another, in line order.
/// Minimal for small changes; large ones may be a single edit that replaces all
/// changed lines.
std::vector<LineEdit> MakeLineEdits(std::string_view aBefore,
                                    std::string_view aAfter);

/// Applies edits to a document. Errors: Malformed if they are out of order or
/// exceed the document.
Result<std::string> ApplyLineEdits(std::string_view aBefore,
                                   const std::vector<LineEdit>& aEdits);

/// Estimates the size of the edits in a message, in bytes.
std::size_t EstimatedSize(const std::vector<LineEdit>& aEdits);

} // namespace cranberrywing::detail
