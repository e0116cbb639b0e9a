#include "cranberrywing/settings.h"

#include <map>
#include <yaml-cpp/yaml.h>

#include "settings_reader.h"

namespace cranberrywing {

namespace {

using Leaves = std::map<std::string, std::string>;

std::string Emit(const YAML::Node& aNode)
{
  YAML::Emitter emitter;
  emitter << aNode;
  return emitter.c_str();
}

/// Every value without parts, by its path.
void Flatten(const YAML::Node& aNode, const std::string& aPath, Leaves& aOut)
{
  if (aNode.IsMap() && aNode.size() > 0) {
    for (const auto& pair : aNode) {
      const std::string name = Emit(pair.first);
      Flatten(pair.second, detail::JoinPath(aPath, name), aOut);
    }
  } else if (aNode.IsSequence() && aNode.size() > 0) {
    for (std::size_t n = 0; n < aNode.size(); ++n) {
      Flatten(aNode[n], detail::JoinPath(aPath, std::to_string(n)), aOut);
    }
  } else {
    aOut[aPath] = Emit(aNode);
  }
}

Result<Leaves> FlattenDocument(std::string_view aDocument)
{
  const Result<YAML::Node> node = detail::LoadDocument(aDocument);
  if (!node) {
    return tl::unexpected<Error>(node.error());
  }
  Leaves leaves;
  try {
    Flatten(*node, "", leaves);
  } catch (const YAML::Exception& e) {
    return MakeError(ResultCode::InvalidSettings, e.what());
  }
  return leaves;
}

std::vector<std::string> SplitPath(std::string_view aPath)
{
  std::vector<std::string> names;
  while (!aPath.empty()) {
    const std::size_t end = std::min(aPath.find('/'), aPath.size());
    names.emplace_back(aPath.substr(0, end));
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  return names;
}

/// The part of that name, or an undefined node.
YAML::Node Child(const YAML::Node& aNode, const std::string& aName)
{
  if (aNode.IsMap()) {
    for (const auto& pair : aNode) {
      if (pair.first.IsScalar() && pair.first.Scalar() == aName) {
        return pair.second;
      }
    }
  } else if (aNode.IsSequence()) {
    for (std::size_t n = 0; n < aNode.size(); ++n) {
      if (std::to_string(n) == aName) {
        return aNode[n];
      }
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

} // namespace

Result<std::vector<SettingsChange>> CompareSettings(std::string_view aBefore,
                                                    std::string_view aAfter)
{
  const Result<Leaves> before = FlattenDocument(aBefore);
  if (!before) {
    return tl::unexpected<Error>(before.error());
  }
  const Result<Leaves> after = FlattenDocument(aAfter);
  if (!after) {
    return tl::unexpected<Error>(after.error());
  }
  std::map<std::string, SettingsChange> changes;
  for (const auto& [path, value] : *before) {
    const auto it = after->find(path);
    if (it == after->end() || it->second != value) {
      changes[path] = { path, value, it == after->end() ? "" : it->second };
    }
  }
  for (const auto& [path, value] : *after) {
    if (!before->contains(path)) {
      changes[path] = { path, "", value };
    }
  }
  std::vector<SettingsChange> list;
  for (auto& [path, change] : changes) {
    list.push_back(std::move(change));
  }
  return list;
}

Result<std::string> ReadSetting(std::string_view aDocument,
                                std::string_view aPath)
{
  const Result<YAML::Node> document = detail::LoadDocument(aDocument);
  if (!document) {
    return tl::unexpected<Error>(document.error());
  }
  try {
    YAML::Node node = *document;
    for (const std::string& name : SplitPath(aPath)) {
      node.reset(Child(node, name));
      if (!node.IsDefined()) {
        return MakeError(ResultCode::UnknownNode,
                         "there is no setting '" + std::string(aPath) + "'");
      }
    }
    return Emit(node);
  } catch (const YAML::Exception& e) {
    return MakeError(ResultCode::InvalidSettings, e.what());
  }
}

Result<std::string> EditSetting(std::string_view aDocument,
                                std::string_view aPath,
                                std::string_view aValue)
{
  const std::vector<std::string> names = SplitPath(aPath);
  if (names.empty()) {
    return MakeError(ResultCode::InvalidArgument, "the path is empty");
  }
  const Result<YAML::Node> document = detail::LoadDocument(aDocument);
  const Result<YAML::Node> value = detail::LoadDocument(aValue);
  if (!document || !value) {
    return MakeError(ResultCode::InvalidArgument,
                     (document ? value : document).error().mMessage);
  }
  try {
    YAML::Node parent = *document;
    for (std::size_t n = 0; n + 1 < names.size(); ++n) {
      YAML::Node child = Child(parent, names[n]);
      if (!child.IsDefined() || child.IsNull()) {
        if (aValue.empty()) {
          return MakeError(ResultCode::UnknownNode,
                           "there is no setting '" + std::string(aPath) + "'");
        }
        child = YAML::Node(YAML::NodeType::Map);
        parent[names[n]] = child;
      }
      parent.reset(child);
    }
    if (aValue.empty() && !Child(parent, names.back()).IsDefined()) {
      return MakeError(ResultCode::UnknownNode,
                       "there is no setting '" + std::string(aPath) + "'");
    }
    if (aValue.empty()) {
      parent.remove(names.back());
    } else {
      parent[names.back()] = *value;
    }
    return Emit(*document) + "\n";
  } catch (const YAML::Exception& e) {
    return MakeError(ResultCode::InvalidArgument, e.what());
  }
}

} // namespace cranberrywing
