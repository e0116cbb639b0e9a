/// \file
/// Edits a settings document as text, so that comments and layout stay.
/// Internal to the settings sources.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace cranberrywing::detail {

/// Name of a list's element in paths: its field "name", else its index.
std::string ElementName(const YAML::Node& aList, std::size_t aIndex);

/// Index of the element that a path names, by name or by number.
std::optional<std::size_t> FindElement(const YAML::Node& aList,
                                       const std::string& aName);

/// Whether a path's name stands for a new element at the end of a list.
bool IsNewElement(const YAML::Node& aList, const std::string& aName);

/// The part of that name or index, or an undefined node.
YAML::Node FindChild(const YAML::Node& aNode, const std::string& aName);

/// Sets the setting at a path, with the parts of the path that are missing.
/// Nullopt for layouts that it does not know; the caller then writes the
/// whole document anew. Callers check the result by parsing it. Throws
/// YAML::Exception only.
std::optional<std::string> SetInText(std::string_view aDocument,
                                     const std::vector<std::string>& aPath,
                                     const YAML::Node& aValue);

/// As SetInText, but removes the setting, which has to exist.
std::optional<std::string> RemoveInText(std::string_view aDocument,
                                        const std::vector<std::string>& aPath);

} // namespace cranberrywing::detail
