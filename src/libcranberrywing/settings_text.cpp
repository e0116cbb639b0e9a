#include "settings_text.h"

#include <algorithm>

#include "settings_scan.h"

namespace cranberrywing::detail {

namespace {

/// One entry of a map or sequence; entries of a sequence have no key.
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

/// Returns the extent of an entry's value. It starts right after the colon of
/// the key if the value is null or a block collection.
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

/// Wraps a value in maps for the parent names that are missing.
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

/// Formats "name: value" without the braces of a flow map.
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
    // Removing the last entry leaves an empty collection, which must be written
    // as such.
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
