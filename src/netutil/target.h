/// \file
/// Request targets: path, query parameters and the check that a path means
/// the same to every server that reads it.
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

/// A target in origin form, decoded.
struct Target
{
  std::string mPath;
  std::vector<QueryParameter> mQuery;

  /// Value of the first parameter with the name, or null.
  const std::string* Find(std::string_view aName) const;
};

/// Decodes a target in origin form. Errors: InvalidArgument. Thread-safe.
Result<Target> ParseTarget(std::string_view aTarget);

/// Brings a target to origin form: "http://host/a" becomes "/a". Refuses
/// paths with "." or ".." segments, also encoded ones, because a backend
/// server could resolve them to a path of another route. Errors:
/// InvalidArgument. Thread-safe.
Result<std::string> NormalizeTarget(std::string_view aTarget);

} // namespace cranberrywing::netutil
