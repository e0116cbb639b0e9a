/// \file
/// Edits a settings document as text, so that comments and layout are
/// preserved. Internal to the settings sources.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace cranberrywing::detail {

/// Returns the name of a list's element in paths: its field "name", else its
/// index.
std::string ElementName(const YAML::Node& aList, std::size_t aIndex);

/// Returns the index of the list element with a name or number.
std::optional<std::size_t> FindElement(const YAML::Node& aList,
                                       const std::string& aName);

/// Whether a name in a path stands for a new element at the end of the list:
/// "-" or the list's size.
bool IsNewElement(const YAML::Node& aList, const std::string& aName);

/// Returns the child with a name or index, or an undefined node.
YAML::Node FindChild(const YAML::Node& aNode, const std::string& aName);

/// Sets the setting at a path and adds missing parent nodes. Returns nullopt
/// for layouts that are not supported; the caller must then emit the full
/// document. Callers must verify the result by parsing it. Throws only
/// YAML::Exception.
std::optional<std::string> SetInText(std::string_view aDocument,
                                     const std::vector<std::string>& aPath,
                                     const YAML::Node& aValue);

/// Like SetInText, but removes the setting, which must exist.
std::optional<std::string> RemoveInText(std::string_view aDocument,
                                        const std::vector<std::string>& aPath);

} // namespace cranberrywing::detail
