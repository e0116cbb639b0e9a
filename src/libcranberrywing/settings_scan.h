/// \file
/// Locates YAML nodes in the text of a settings document. Internal to the
/// settings sources.
#pragma once

#include <optional>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace cranberrywing::detail {

/// A half-open range of positions in the text.
struct Extent
{
  std::size_t mBegin;
  std::size_t mEnd;
};

inline std::size_t Position(const YAML::Mark& aMark)
{
  return static_cast<std::size_t>(aMark.pos);
}

inline std::size_t Column(const YAML::Mark& aMark)
{
  return static_cast<std::size_t>(aMark.column);
}

inline bool IsFlow(const YAML::Node& aNode)
{
  return aNode.Style() == YAML::EmitterStyle::Flow;
}

inline bool IsCollection(const YAML::Node& aNode)
{
  return aNode.IsMap() || aNode.IsSequence();
}

std::size_t EndOfLine(std::string_view aText, std::size_t aPos);
std::size_t StartOfLine(std::string_view aText, std::size_t aPos);
std::size_t SkipBlanks(std::string_view aText, std::size_t aPos);

/// Returns the extent of a node in the text. Nullopt for layouts that are not
/// supported, such as scalars over several lines.
std::optional<Extent> ExtentOf(std::string_view aText, const YAML::Node& aNode);

/// Returns the position one past the colon after a key.
std::optional<std::size_t> EndOfColon(std::string_view aText,
                                      const YAML::Node& aKey);

} // namespace cranberrywing::detail
