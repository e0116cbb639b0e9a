#include "settings_scan.h"

#include <algorithm>

namespace cranberrywing::detail {

namespace {

constexpr std::string_view kBlanks = " \t";

/// Returns the position one past the closing quote of a quoted scalar.
std::optional<std::size_t> EndOfQuoted(std::string_view aText, std::size_t aPos)
{
  const char quote = aText[aPos];
  for (std::size_t pos = aPos + 1; pos < aText.size(); ++pos) {
    if (quote == '"' && aText[pos] == '\\') {
      ++pos;
    } else if (aText[pos] == quote) {
      // Two single quotes are an escaped one.
      if (quote == '"' || !aText.substr(pos + 1).starts_with('\'')) {
        return pos + 1;
      }
      ++pos;
    }
  }
  return std::nullopt;
}

/// Returns the position one past the closing bracket of a flow collection.
std::optional<std::size_t> EndOfFlow(std::string_view aText, std::size_t aPos)
{
  int depth = 0;
  for (std::size_t pos = aPos; pos < aText.size(); ++pos) {
    const char current = aText[pos];
    const char before = pos == 0 ? '\n' : aText[pos - 1];
    const bool startsToken =
      std::string_view(" \t\n{[,:").find(before) != std::string_view::npos;
    if ((current == '"' || current == '\'') && startsToken) {
      const auto end = EndOfQuoted(aText, pos);
      if (!end) {
        return std::nullopt;
      }
      pos = *end - 1;
    } else if (current == '#' && startsToken) {
      pos = EndOfLine(aText, pos);
    } else if (current == '{' || current == '[') {
      ++depth;
    } else if ((current == '}' || current == ']') && --depth == 0) {
      return pos + 1;
    }
  }
  return std::nullopt;
}

/// Returns the end of the last line of a block collection, found by its
/// indentation.
std::size_t EndOfBlock(std::string_view aText, const YAML::Node& aNode)
{
  const std::size_t column = Column(aNode.Mark());
  std::size_t end = EndOfLine(aText, Position(aNode.Mark()));
  std::size_t pos = end;
  while (pos < aText.size()) {
    const std::size_t first = SkipBlanks(aText, pos + 1);
    const std::size_t indent = first - (pos + 1);
    const std::string_view rest = aText.substr(first);
    pos = EndOfLine(aText, first);
    if (rest.empty() || rest.starts_with('\n') || rest.starts_with('#')) {
      continue;
    }
    const bool isSibling =
      indent == column && !(aNode.IsSequence() && !rest.starts_with('-'));
    if (indent <= column && !isSibling) {
      break;
    }
    end = pos;
  }
  return end;
}

std::optional<std::size_t> EndOfScalar(std::string_view aText,
                                       const YAML::Node& aNode)
{
  const std::size_t pos = Position(aNode.Mark());
  if (pos >= aText.size()) {
    return std::nullopt;
  }
  if (aText[pos] == '"' || aText[pos] == '\'') {
    return EndOfQuoted(aText, pos);
  }
  const std::string& scalar = aNode.Scalar();
  if (scalar.empty() || !aText.substr(pos).starts_with(scalar)) {
    return std::nullopt;
  }
  return pos + scalar.size();
}

} // namespace

std::size_t EndOfLine(std::string_view aText, std::size_t aPos)
{
  return std::min(aText.find('\n', aPos), aText.size());
}

std::size_t StartOfLine(std::string_view aText, std::size_t aPos)
{
  const std::size_t before =
    aPos == 0 ? std::string_view::npos : aText.rfind('\n', aPos - 1);
  return before == std::string_view::npos ? 0 : before + 1;
}

std::size_t SkipBlanks(std::string_view aText, std::size_t aPos)
{
  return std::min(aText.find_first_not_of(kBlanks, aPos), aText.size());
}

std::optional<Extent> ExtentOf(std::string_view aText, const YAML::Node& aNode)
{
  const std::size_t begin = Position(aNode.Mark());
  if (begin >= aText.size()) {
    return std::nullopt;
  }
  std::optional<std::size_t> end;
  if (!IsCollection(aNode)) {
    end = EndOfScalar(aText, aNode);
  } else if (IsFlow(aNode)) {
    end = EndOfFlow(aText, begin);
  } else {
    end = EndOfBlock(aText, aNode);
  }
  return end ? std::optional(Extent{ begin, *end }) : std::nullopt;
}

std::optional<std::size_t> EndOfColon(std::string_view aText,
                                      const YAML::Node& aKey)
{
  const auto end = EndOfScalar(aText, aKey);
  if (!end) {
    return std::nullopt;
  }
  const std::size_t colon = SkipBlanks(aText, *end);
  return aText.substr(colon).starts_with(':') ? std::optional(colon + 1)
                                              : std::nullopt;
}

} // namespace cranberrywing::detail
