/// \file
/// Operators' identities and roles. A role covers subtrees of the settings
/// document.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/settings.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing::daemon {

struct OperatorIdentity
{
  std::string mName;
  /// Paths whose subtrees the operator may change; an empty path stands for
  /// the whole document.
  std::vector<std::string> mNodes;
};

/// Who presents a token. While the settings name no operator, everyone who
/// reaches the administration port counts as the operator "unnamed" of the
/// whole document, since a first operator must be entered somehow. Tokens are
/// compared in constant time. Errors: OperatorUnknown. Thread-safe.
Result<OperatorIdentity> IdentifyOperator(const SettingsSnapshot& aSettings,
                                          std::string_view aToken);

/// Whether the operator's role covers every change. Errors:
/// OperatorForbidden with the first path that it does not cover. Thread-safe.
Result<void> CheckRole(const OperatorIdentity& aOperator,
                       const std::vector<SettingsChange>& aChanges);

} // namespace cranberrywing::daemon
