/// \file
/// The settings document: parsing, validation, policy inheritance, comparison
/// and editing. docs/settings.md is the reference for operators.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Parses, validates and resolves a settings document. Errors: InvalidSettings
/// with the path, the line and what is wrong. Thread-safe, never throws.
Result<SettingsSnapshotPtr> ParseSettings(std::string_view aDocument,
                                          Revision aRevision);

/// One changed setting.
struct SettingsChange
{
  /// Path from the document's root, with '/' between names.
  std::string mPath;
  /// Empty if the setting was added.
  std::string mBefore;
  /// Empty if the setting was removed.
  std::string mAfter;

  bool operator==(const SettingsChange&) const = default;
};

/// Lists the settings that differ between two documents, ordered by path.
/// Errors: InvalidSettings if either is not YAML. Thread-safe.
Result<std::vector<SettingsChange>> CompareSettings(std::string_view aBefore,
                                                    std::string_view aAfter);

/// Whether an operator is permitted to make a change listed by CompareSettings.
/// Thread-safe.
bool MayChange(const OperatorSettings& aOperator,
               const SettingsChange& aChange);

/// Sets one setting in a document, or removes it if the value is empty. Keeps
/// the rest, including comments and layout where possible. The value is YAML.
/// Missing parent nodes are added. A list element is addressed by its field
/// "name" or by its index, and "-" appends one. Does not validate the new
/// document; use ParseSettings for that. Errors: InvalidArgument, UnknownNode.
/// Thread-safe.
Result<std::string> EditSetting(std::string_view aDocument,
                                std::string_view aPath,
                                std::string_view aValue);

/// Returns the value at a path, in YAML. Errors: UnknownNode. Thread-safe.
Result<std::string> ReadSetting(std::string_view aDocument,
                                std::string_view aPath);

/// Parses "250ms", "5s", "10m" or "24h". Errors: InvalidArgument.
/// Thread-safe.
Result<Duration> ParseDuration(std::string_view aText);

/// Formats a duration, rounded down to milliseconds, as the shortest text that
/// ParseDuration accepts. Thread-safe.
std::string FormatDuration(Duration aDuration);

/// Whether a path refers to a secret, which the administration API must not
/// reveal. Thread-safe.
bool IsSecretSetting(std::string_view aPath);

/// A policy value and the node that it comes from.
struct PolicySource
{
  std::string mField;
  std::string mValue;
  /// Path of the node that set it, or "default".
  std::string mNode;
};

/// Returns every policy field as resolved for one region, service, account and
/// route; empty names match any. Errors: InvalidSettings, UnknownNode.
/// Thread-safe.
Result<std::vector<PolicySource>> ExplainPolicy(std::string_view aDocument,
                                                const RegionId& aRegion,
                                                const ServiceId& aService,
                                                const AccountId& aAccount,
                                                const RouteId& aRoute);

} // namespace cranberrywing
