/// \file
/// Request targets: decoding of path and query parameters, and normalization
/// that prevents a path from being interpreted differently by the route table
/// and a backend server.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

struct QueryParameter
{
  std::string mName;
  std::string mValue;
};

/// A request target in origin form, percent-decoded.
struct Target
{
  std::string mPath;
  std::vector<QueryParameter> mQuery;

  /// Returns the value of the first parameter with the name, or null.
  const std::string* Find(std::string_view aName) const;
};

/// Percent-decodes a target in origin form. Errors: InvalidArgument.
/// Thread-safe.
Result<Target> ParseTarget(std::string_view aTarget);

/// Converts a target to origin form: "http://host/a" becomes "/a". The path is
/// not decoded. Rejects paths with a null byte, or with "." or ".." segments,
/// percent-encoded or separated by backslashes included, because a backend
/// server could resolve them to a path of another route. Errors:
/// InvalidArgument. Thread-safe.
Result<std::string> NormalizeTarget(std::string_view aTarget);

} // namespace cranberrywing::netutil
