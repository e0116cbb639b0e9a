#include "cranberrywing/output.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ostream>

namespace cranberrywing::cli {

namespace json = boost::json;

std::string ReplaceControlCharacters(std::string_view aText)
{
  std::string text(aText);
  std::replace_if(
    text.begin(),
    text.end(),
    [](unsigned char aByte) { return aByte < ' ' || aByte == 0x7f; },
    ' ');
  return text;
}

std::string RedactSecret(std::string_view aPath, const std::string& aValue)
{
  const bool isHidden = IsSecretSetting(aPath) && !aValue.empty();
  return isHidden ? std::string(kRedactedValue) : aValue;
}

Table::Table(std::vector<std::string> aHeading)
{
  mRows.push_back(std::move(aHeading));
}

void Table::Add(std::vector<std::string> aCells)
{
  for (std::string& cell : aCells) {
    cell = ReplaceControlCharacters(cell);
  }
  mRows.push_back(std::move(aCells));
}

void Table::Print(std::ostream& aOut) const
{
  if (IsEmpty()) {
    return;
  }
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n];
      line.append(widths[n] + 2 - row[n].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  }
}

void PrintJson(std::ostream& aOut, const json::value& aValue)
{
  aOut << json::serialize(aValue) << '\n';
}

std::string FormatValue(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  if (aValue.is_bool()) {
    return aValue.get_bool() ? "yes" : "no";
  }
  if (aValue.is_double()) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", aValue.get_double());
    return text;
  }
  return aValue.is_null() ? std::string() : json::serialize(aValue);
}

std::string FormatValue(const json::object& aObject, std::string_view aName)
{
  const json::value* const value = aObject.if_contains(aName);
  return value ? FormatValue(*value) : std::string();
}

void PrintChanges(std::ostream& aOut,
                  const std::vector<SettingsChange>& aChanges)
{
  Table table({ "SETTING", "BEFORE", "AFTER" });
  for (const SettingsChange& change : aChanges) {
    table.Add({ change.mPath,
                RedactSecret(change.mPath, change.mBefore),
                RedactSecret(change.mPath, change.mAfter) });
  }
  table.Print(aOut);
}

json::array EncodeChanges(const std::vector<SettingsChange>& aChanges)
{
  json::array list;
  for (const SettingsChange& change : aChanges) {
    json::object entry;
    entry["path"] = change.mPath;
    entry["before"] = RedactSecret(change.mPath, change.mBefore);
    entry["after"] = RedactSecret(change.mPath, change.mAfter);
    list.push_back(std::move(entry));
  }
  return list;
}

} // namespace cranberrywing::cli
