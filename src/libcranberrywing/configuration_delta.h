/// \file
/// Differences between settings documents by lines. Internal to the
/// configuration sources.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/messages/configuration.h"
#include "cranberrywing/result_code.h"

namespace cranberrywing::detail {

using message::LineEdit;

/// Edits that turn one document into another, in line order. They are short
/// for small changes; for great ones they may replace all lines.
std::vector<LineEdit> MakeLineEdits(std::string_view aBefore,
                                    std::string_view aAfter);

/// Applies edits. Errors: Malformed if they do not fit the document.
Result<std::string> ApplyLineEdits(std::string_view aBefore,
                                   const std::vector<LineEdit>& aEdits);

/// Bytes that the edits take in a message, approximately.
std::size_t SizeOf(const std::vector<LineEdit>& aEdits);

} // namespace cranberrywing::detail
