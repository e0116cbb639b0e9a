#include "cranberrywing/settings.h"

#include <algorithm>
#include <map>
#include <yaml-cpp/yaml.h>

#include "settings_reader.h"
#include "settings_text.h"

namespace cranberrywing {

namespace {

using detail::FindChild;
using Leaves = std::map<std::string, std::string>;

std::string Emit(const YAML::Node& aNode)
{
  YAML::Emitter emitter;
  emitter << aNode;
  return emitter.c_str();
}

/// Collects all scalars and empty collections by path.
void Flatten(const YAML::Node& aNode, const std::string& aPath, Leaves& aOut)
{
  if (aNode.IsMap() && aNode.size() > 0) {
    for (const auto& pair : aNode) {
      const std::string name =
        pair.first.IsScalar() ? pair.first.Scalar() : Emit(pair.first);
      Flatten(pair.second, detail::JoinPath(aPath, name), aOut);
    }
  } else if (aNode.IsSequence() && aNode.size() > 0) {
    for (std::size_t n = 0; n < aNode.size(); ++n) {
      const std::string name = detail::ElementName(aNode, n);
      Flatten(aNode[n], detail::JoinPath(aPath, name), aOut);
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

tl::unexpected<Error> UnknownSettingError(std::string_view aPath)
{
  return MakeError(ResultCode::UnknownNode,
                   "there is no setting '" + std::string(aPath) + "'");
}

/// Sets or appends a child. Throws YAML::Exception if the parent cannot have
/// such a child.
void PutChild(YAML::Node& aParent,
              const std::string& aName,
              const YAML::Node& aChild)
{
  if (!aParent.IsSequence()) {
    aParent[aName] = aChild;
  } else if (const auto index = detail::FindElement(aParent, aName)) {
    aParent[*index] = aChild;
  } else if (detail::IsNewElement(aParent, aName)) {
    aParent.push_back(aChild);
  } else {
    throw YAML::Exception(aParent.Mark(),
                          "a new list element can only be appended, as '-'");
  }
}

/// Returns a copy of the document's tree with one setting set. Throws
/// YAML::Exception if the path leads through a scalar.
YAML::Node SetInTree(const YAML::Node& aDocument,
                     const std::vector<std::string>& aPath,
                     const YAML::Node& aValue)
{
  YAML::Node root = YAML::Clone(aDocument);
  YAML::Node parent = root;
  for (std::size_t n = 0; n < aPath.size(); ++n) {
    const bool isLast = n + 1 == aPath.size();
    YAML::Node child = FindChild(parent, aPath[n]);
    if (isLast || !child.IsDefined() || child.IsNull()) {
      child.reset(isLast ? YAML::Clone(aValue)
                         : YAML::Node(YAML::NodeType::Map));
      PutChild(parent, aPath[n], child);
    }
    parent.reset(child);
  }
  return root;
}

YAML::Node RemoveInTree(const YAML::Node& aDocument,
                        const std::vector<std::string>& aPath)
{
  YAML::Node root = YAML::Clone(aDocument);
  YAML::Node parent = root;
  for (std::size_t n = 0; n + 1 < aPath.size(); ++n) {
    parent.reset(FindChild(parent, aPath[n]));
  }
  if (parent.IsSequence()) {
    parent.remove(*detail::FindElement(parent, aPath.back()));
  } else {
    parent.remove(aPath.back());
  }
  return root;
}

/// Whether a text parses to the same settings as a tree.
bool MatchesTree(const std::string& aText, const YAML::Node& aTree)
{
  const Result<Leaves> found = FlattenDocument(aText);
  Leaves wanted;
  Flatten(aTree, "", wanted);
  return found && *found == wanted;
}

/// Returns the edited text if it parses to the expected tree, else the tree
/// emitted without the original layout.
std::string ChooseText(const std::optional<std::string>& aText,
                       const YAML::Node& aTree)
{
  if (aText && MatchesTree(*aText, aTree)) {
    return *aText;
  }
  return Emit(aTree) + "\n";
}

bool HasSetting(const YAML::Node& aDocument,
                const std::vector<std::string>& aPath)
{
  YAML::Node node = aDocument;
  for (const std::string& name : aPath) {
    node.reset(FindChild(node, name));
    if (!node.IsDefined()) {
      return false;
    }
  }
  return true;
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

bool MayChange(const OperatorSettings& aOperator, const SettingsChange& aChange)
{
  const auto isBelow = [](std::string_view aPath, std::string_view aNode) {
    return aNode.empty() || aPath == aNode ||
           (aPath.starts_with(aNode) && aPath[aNode.size()] == '/');
  };
  // Adding the first child of a node or removing its last one appears as a
  // change of the parent between empty and absent.
  const auto isEmpty = [](std::string_view aValue) {
    return aValue.empty() || aValue == "{}" || aValue == "[]" || aValue == "~";
  };
  const bool isContainerChange =
    isEmpty(aChange.mBefore) && isEmpty(aChange.mAfter);
  return std::any_of(aOperator.mNodes.begin(),
                     aOperator.mNodes.end(),
                     [&](const std::string& aNode) {
                       return isBelow(aChange.mPath, aNode) ||
                              (isContainerChange &&
                               isBelow(aNode, aChange.mPath));
                     });
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
      node.reset(FindChild(node, name));
      if (!node.IsDefined()) {
        return UnknownSettingError(aPath);
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
  const std::vector<std::string> path = SplitPath(aPath);
  if (path.empty()) {
    return MakeError(ResultCode::InvalidArgument, "the path is empty");
  }
  const Result<YAML::Node> document = detail::LoadDocument(aDocument);
  const Result<YAML::Node> value = detail::LoadDocument(aValue);
  if (!document || !value) {
    return MakeError(ResultCode::InvalidArgument,
                     (document ? value : document).error().mMessage);
  }
  try {
    if (!aValue.empty()) {
      return ChooseText(detail::SetInText(aDocument, path, *value),
                        SetInTree(*document, path, *value));
    }
    if (!HasSetting(*document, path)) {
      return UnknownSettingError(aPath);
    }
    return ChooseText(detail::RemoveInText(aDocument, path),
                      RemoveInTree(*document, path));
  } catch (const YAML::Exception& e) {
    return MakeError(ResultCode::InvalidArgument,
                     std::string(aPath) + ": " + e.msg);
  }
}

} // namespace cranberrywing
