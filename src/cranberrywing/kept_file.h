/// \file
/// Files with settings documents on the operator's machine.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing::cli {

/// Writes a new file that only its owner may read, since a document that is
/// being edited may hold a new secret. Errors: InvalidArgument if it exists or
/// cannot be written. Thread-safe.
Result<void> WriteNewFile(const std::string& aPath, std::string_view aText);

/// Writes the file into the directory, else into the one for temporary files,
/// and returns its path. Errors: InvalidArgument.
Result<std::string> KeepFile(const std::string& aDirectory,
                             const std::string& aName,
                             std::string_view aText);

/// A document below a comment with the revision that it was read as.
std::string WithRevisionMark(std::string_view aDocument, Revision aRevision);

struct MarkedDocument
{
  std::string mDocument;
  /// Nullopt if the text begins with no mark.
  std::optional<Revision> mRevision;
};

/// Separates what WithRevisionMark put together.
MarkedDocument ReadRevisionMark(std::string_view aText);

} // namespace cranberrywing::cli
