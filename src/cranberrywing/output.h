/// \file
/// Tables and JSON on standard output.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/settings.h"

namespace cranberrywing::cli {

/// Shown in the place of a secret.
inline constexpr std::string_view kHiddenValue = "(hidden)";

/// A text with control characters replaced, since texts of other operators
/// and of callers must not steer the terminal. Thread-safe.
std::string Printable(std::string_view aText);

/// A value of a setting, or kHiddenValue for a secret. Thread-safe.
std::string ShownValue(std::string_view aPath, const std::string& aValue);

/// Rows of texts under a heading.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeading);

  /// Precondition: as many cells as the heading has.
  void Add(std::vector<std::string> aCells);
  bool IsEmpty() const { return mRows.size() == 1; }
  /// Writes columns of equal width, nothing if there is no row.
  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// One line of JSON.
void PrintJson(std::ostream& aOut, const boost::json::value& aValue);

/// A scalar as a reader expects it; an object or array as JSON. Thread-safe.
std::string TextOf(const boost::json::value& aValue);

/// A member's text; empty if it is absent. Thread-safe.
std::string TextOf(const boost::json::object& aObject, std::string_view aName);

/// Changes without the values of secrets.
void PrintChanges(std::ostream& aOut,
                  const std::vector<SettingsChange>& aChanges);
boost::json::array EncodeChanges(const std::vector<SettingsChange>& aChanges);

} // namespace cranberrywing::cli
