#include "settings_text.h"

#include <algorithm>

namespace cranberrywing::detail {

namespace {

constexpr std::string_view kBlanks = " \t";

std::size_t Position(const YAML::Mark& aMark)
{
  return static_cast<std::size_t>(aMark.pos);
}

std::size_t Column(const YAML::Mark& aMark)
{
  return static_cast<std::size_t>(aMark.column);
}

bool IsFlow(const YAML::Node& aNode)
{
  return aNode.Style() == YAML::EmitterStyle::Flow;
}

bool IsCollection(const YAML::Node& aNode)
{
  return aNode.IsMap() || aNode.IsSequence();
}

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

/// One past the closing quote of a quoted scalar.
std::optional<std::size_t> EndOfQuoted(std::string_view aText, std::size_t aPos)
{
  const char quote = aText[aPos];
  for (std::size_t pos = aPos + 1; pos < aText.size(); ++pos) {
    if (quote == '"' && aText[pos] == '\\') {
      ++pos;
    } else if (aText[pos] == quote) {
      // A doubled single quote stands for one.
      if (quote == '"' || !aText.substr(pos + 1).starts_with('\'')) {
        return pos + 1;
      }
      ++pos;
    }
  }
  return std::nullopt;
}

/// One past the closing bracket of a flow collection.
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

/// End of the last line of a block collection that starts at a column.
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

/// A stretch of the text.
struct Extent
{
  std::size_t mBegin;
  std::size_t mEnd;
};

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

/// One past the colon after a key.
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

/// One entry of a map or sequence; a sequence's entries have no key.
struct Entry
{
  YAML::Node mKey{ YAML::NodeType::Undefined };
  YAML::Node mValue{ YAML::NodeType::Undefined };
};

Entry FindEntry(const YAML::Node& aNode, const std::string& aName)
{
  Entry entry;
  if (aNode.IsMap()) {
    for (const auto& pair : aNode) {
      if (pair.first.IsScalar() && pair.first.Scalar() == aName) {
        entry.mKey.reset(pair.first);
        entry.mValue.reset(pair.second);
        return entry;
      }
    }
  } else if (aNode.IsSequence()) {
    if (const auto index = FindElement(aNode, aName)) {
      entry.mValue.reset(aNode[*index]);
    }
  }
  return entry;
}

/// What the value of an entry takes up, from after the colon for values of a
/// key that are written as a block or not at all.
std::optional<Extent> ExtentOfValue(std::string_view aText, const Entry& aEntry)
{
  const bool isBlock = IsCollection(aEntry.mValue) && !IsFlow(aEntry.mValue);
  if (!aEntry.mKey.IsDefined()) {
    return isBlock ? std::nullopt : ExtentOf(aText, aEntry.mValue);
  }
  const auto colon = EndOfColon(aText, aEntry.mKey);
  if (!colon) {
    return std::nullopt;
  }
  if (aEntry.mValue.IsNull()) {
    const std::size_t first = SkipBlanks(aText, *colon);
    for (const std::string_view word : { "~", "null" }) {
      if (aText.substr(first).starts_with(word)) {
        return Extent{ *colon, first + word.size() };
      }
    }
    return Extent{ *colon, *colon };
  }
  const auto extent = ExtentOf(aText, aEntry.mValue);
  if (!extent) {
    return std::nullopt;
  }
  return Extent{ isBlock ? *colon : extent->mBegin, extent->mEnd };
}

std::string Replace(std::string_view aText, Extent aExtent, std::string aNew)
{
  std::string text(aText.substr(0, aExtent.mBegin));
  if (text.ends_with(':')) {
    text += ' ';
  }
  text += aNew;
  text += aText.substr(aExtent.mEnd);
  return text;
}

void UseFlow(YAML::Node aNode)
{
  if (!IsCollection(aNode)) {
    return;
  }
  aNode.SetStyle(YAML::EmitterStyle::Flow);
  for (auto it = aNode.begin(); it != aNode.end(); ++it) {
    UseFlow(aNode.IsMap() ? it->second : YAML::Node(*it));
  }
}

std::string EmitFlow(const YAML::Node& aNode)
{
  YAML::Node copy = YAML::Clone(aNode);
  UseFlow(copy);
  YAML::Emitter emitter;
  emitter << copy;
  return emitter.c_str();
}

/// A value wrapped in maps for the names that are missing above it.
YAML::Node Wrap(const std::vector<std::string>& aPath,
                std::size_t aFirst,
                const YAML::Node& aValue)
{
  YAML::Node value = YAML::Clone(aValue);
  for (std::size_t n = aPath.size(); n > aFirst; --n) {
    YAML::Node map(YAML::NodeType::Map);
    map[aPath[n - 1]] = value;
    value.reset(map);
  }
  return value;
}

/// "name: value" without the braces of a flow map.
std::string EmitEntry(const std::string& aName, const YAML::Node& aValue)
{
  const YAML::Node key(aName);
  return EmitFlow(key) + ": " + EmitFlow(aValue);
}

std::optional<std::string> AddEntry(std::string_view aText,
                                    const YAML::Node& aParent,
                                    const std::string& aName,
                                    const YAML::Node& aValue)
{
  const auto extent = ExtentOf(aText, aParent);
  if (!extent) {
    return std::nullopt;
  }
  const std::string entry =
    aParent.IsMap() ? EmitEntry(aName, aValue) : EmitFlow(aValue);
  if (IsFlow(aParent)) {
    const std::string comma = aParent.size() == 0 ? "" : ", ";
    std::size_t at = extent->mEnd - 1;
    while (at > 0 && std::string_view(" \t\n").find(aText[at - 1]) !=
                       std::string_view::npos) {
      --at;
    }
    return Replace(aText, { at, at }, comma + entry);
  }
  const std::string indent(Column(aParent.Mark()), ' ');
  const std::string dash = aParent.IsMap() ? "" : "- ";
  return Replace(
    aText, { extent->mEnd, extent->mEnd }, "\n" + indent + dash + entry);
}

std::string RemoveFlowEntry(std::string_view aText, Extent aExtent)
{
  std::size_t end = aText.find_first_not_of(" \t\n", aExtent.mEnd);
  if (end != std::string_view::npos && aText[end] == ',') {
    end = std::min(aText.find_first_not_of(" \t", end + 1), aText.size());
    return Replace(aText, { aExtent.mBegin, end }, "");
  }
  const std::size_t comma = aText.rfind(',', aExtent.mBegin);
  const std::size_t begin =
    comma == std::string_view::npos ? aExtent.mBegin : comma;
  return Replace(aText, { begin, aExtent.mEnd }, "");
}

std::optional<std::string> RemoveBlockEntry(std::string_view aText,
                                            Extent aExtent)
{
  const std::size_t line = StartOfLine(aText, aExtent.mBegin);
  const std::string_view lead = aText.substr(line, aExtent.mBegin - line);
  if (lead.find_first_not_of(" -") != std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t end = EndOfLine(aText, aExtent.mEnd);
  return Replace(aText, { line, std::min(end + 1, aText.size()) }, "");
}

} // namespace

std::string ElementName(const YAML::Node& aList, std::size_t aIndex)
{
  const YAML::Node element = aList[aIndex];
  if (element.IsMap()) {
    const YAML::Node name = FindChild(element, "name");
    if (name.IsDefined() && name.IsScalar()) {
      return name.Scalar();
    }
  }
  return std::to_string(aIndex);
}

std::optional<std::size_t> FindElement(const YAML::Node& aList,
                                       const std::string& aName)
{
  std::optional<std::size_t> byNumber;
  for (std::size_t n = 0; n < aList.size(); ++n) {
    if (ElementName(aList, n) == aName) {
      return n;
    }
    if (std::to_string(n) == aName) {
      byNumber = n;
    }
  }
  return byNumber;
}

bool IsNewElement(const YAML::Node& aList, const std::string& aName)
{
  return aName == "-" || aName == std::to_string(aList.size());
}

YAML::Node FindChild(const YAML::Node& aNode, const std::string& aName)
{
  return FindEntry(aNode, aName).mValue;
}

std::optional<std::string> SetInText(std::string_view aDocument,
                                     const std::vector<std::string>& aPath,
                                     const YAML::Node& aValue)
{
  YAML::Node parent = YAML::Load(std::string(aDocument));
  for (std::size_t n = 0; n < aPath.size(); ++n) {
    const Entry entry = FindEntry(parent, aPath[n]);
    if (!entry.mValue.IsDefined()) {
      if (parent.IsSequence() && !IsNewElement(parent, aPath[n])) {
        return std::nullopt;
      }
      return AddEntry(aDocument, parent, aPath[n], Wrap(aPath, n + 1, aValue));
    }
    if (n + 1 == aPath.size() || !IsCollection(entry.mValue)) {
      const auto extent = ExtentOfValue(aDocument, entry);
      if (!extent) {
        return std::nullopt;
      }
      return Replace(aDocument, *extent, EmitFlow(Wrap(aPath, n + 1, aValue)));
    }
    parent.reset(entry.mValue);
  }
  return std::nullopt;
}

std::optional<std::string> RemoveInText(std::string_view aDocument,
                                        const std::vector<std::string>& aPath)
{
  YAML::Node parent = YAML::Load(std::string(aDocument));
  Entry above;
  for (std::size_t n = 0; n + 1 < aPath.size(); ++n) {
    above = FindEntry(parent, aPath[n]);
    parent.reset(above.mValue);
  }
  const Entry entry = FindEntry(parent, aPath.back());
  if (parent.size() == 1) {
    // A collection without entries has to be written out.
    const auto extent = above.mValue.IsDefined()
                          ? ExtentOfValue(aDocument, above)
                          : ExtentOf(aDocument, parent);
    if (!extent) {
      return std::nullopt;
    }
    return Replace(aDocument, *extent, parent.IsMap() ? "{}" : "[]");
  }
  const auto value = entry.mKey.IsDefined() ? ExtentOfValue(aDocument, entry)
                                            : ExtentOf(aDocument, entry.mValue);
  if (!value) {
    return std::nullopt;
  }
  const std::size_t begin =
    entry.mKey.IsDefined() ? Position(entry.mKey.Mark()) : value->mBegin;
  const Extent extent{ begin, value->mEnd };
  return IsFlow(parent) ? RemoveFlowEntry(aDocument, extent)
                        : RemoveBlockEntry(aDocument, extent);
}

} // namespace cranberrywing::detail
