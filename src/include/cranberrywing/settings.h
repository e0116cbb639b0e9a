/// \file
/// The settings document: parsing, checking, inheritance and comparison.
/// docs/settings.md is the reference for operators.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Parses, checks and resolves a settings document. Errors: InvalidSettings
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

/// Settings that differ between two documents, in path order. Errors:
/// InvalidSettings if either is not YAML. Thread-safe.
Result<std::vector<SettingsChange>> CompareSettings(std::string_view aBefore,
                                                    std::string_view aAfter);

/// Whether an operator may make a change that CompareSettings lists.
/// Thread-safe.
bool MayChange(const OperatorSettings& aOperator,
               const SettingsChange& aChange);

/// Sets, or with an empty value removes, one setting in a document and keeps
/// the rest, as far as possible with its comments and layout. The value is
/// YAML. Nodes that are missing on the way are added. An element of a list
/// goes by its field "name", or else its index, and "-" adds one at the end.
/// Does not check the new document as ParseSettings does. Errors:
/// InvalidArgument, UnknownNode. Thread-safe.
Result<std::string> EditSetting(std::string_view aDocument,
                                std::string_view aPath,
                                std::string_view aValue);

/// The value at a path in YAML. Errors: UnknownNode. Thread-safe.
Result<std::string> ReadSetting(std::string_view aDocument,
                                std::string_view aPath);

/// Parses "250ms", "5s", "10m" or "24h". Errors: InvalidArgument.
/// Thread-safe.
Result<Duration> ParseDuration(std::string_view aText);

/// The shortest text that ParseDuration takes for a duration, rounded down to
/// milliseconds. Thread-safe.
std::string FormatDuration(Duration aDuration);

/// Whether a path names a secret, which the administration API must not show.
/// Thread-safe.
bool IsSecretSetting(std::string_view aPath);

/// A policy value and where it comes from, for explanations.
struct PolicySource
{
  std::string mField;
  std::string mValue;
  /// Path of the node that set it, or "default".
  std::string mNode;
};

/// Every policy field as resolved for one place in the tree. Errors:
/// InvalidSettings, UnknownNode. Thread-safe.
Result<std::vector<PolicySource>> ExplainPolicy(std::string_view aDocument,
                                                const RegionId& aRegion,
                                                const ServiceId& aService,
                                                const AccountId& aAccount,
                                                const RouteId& aRoute);

} // namespace cranberrywing
