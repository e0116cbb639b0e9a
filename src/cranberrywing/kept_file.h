/// \file
/// Local files with settings documents.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing::cli {

/// Writes a new file that only its owner can read, because a document being
/// edited may contain a new secret. Errors: InvalidArgument if the file exists
/// or cannot be written. Thread-safe.
Result<void> WriteNewFile(const std::string& aPath, std::string_view aText);

/// Writes the file to the directory or, if that fails, to the temporary
/// directory, and returns its path. Errors: InvalidArgument.
Result<std::string> SaveRecoveryFile(const std::string& aDirectory,
                                     const std::string& aName,
                                     std::string_view aText);

/// Prepends a comment line with the revision that the document was read at.
std::string AddRevisionMark(std::string_view aDocument, Revision aRevision);

/// A document and the revision from its mark.
struct MarkedDocument
{
  std::string mDocument;
  /// Nullopt if the text does not start with a revision mark.
  std::optional<Revision> mRevision;
};

/// Splits a text into the document and the revision added by AddRevisionMark.
MarkedDocument ParseRevisionMark(std::string_view aText);

} // namespace cranberrywing::cli
