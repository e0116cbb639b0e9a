/// \file
/// Output of tables and JSON.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/settings.h"

namespace cranberrywing::cli {

/// Printed in place of a secret.
inline constexpr std::string_view kRedactedValue = "(hidden)";

/// Replaces control characters by spaces, so that text from other operators or
/// callers cannot send escape sequences to the terminal. Thread-safe.
std::string ReplaceControlCharacters(std::string_view aText);

/// Returns the value of a setting, or kRedactedValue if it is a non-empty
/// secret. Thread-safe.
std::string RedactSecret(std::string_view aPath, const std::string& aValue);

/// A table of text cells with a heading.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeading);

  /// Adds a row; control characters are replaced. Precondition: aCells has as
  /// many cells as the heading.
  void Add(std::vector<std::string> aCells);
  bool IsEmpty() const { return mRows.size() == 1; }
  /// Prints the table with aligned columns; prints nothing if it has no rows.
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// Prints the value as one line of JSON.
void PrintJson(std::ostream& aOut, const boost::json::value& aValue);

/// Formats a scalar for display (Booleans as yes or no, null as an empty text),
/// and an object or array as JSON. Thread-safe.
std::string FormatValue(const boost::json::value& aValue);

/// Formats a member; empty if it is absent. Thread-safe.
std::string FormatValue(const boost::json::object& aObject,
                        std::string_view aName);

/// Prints the changed settings with secrets redacted.
void PrintChanges(std::ostream& aOut,
                  const std::vector<SettingsChange>& aChanges);
/// Encodes the changed settings as JSON with secrets redacted.
boost::json::array EncodeChanges(const std::vector<SettingsChange>& aChanges);

} // namespace cranberrywing::cli
