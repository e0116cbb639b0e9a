/// \file
/// Authentication and authorization of operators. A role covers subtrees of the
/// settings document.
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

/// Identifies the operator by a token. While the settings define no operator,
/// any request to the administration port counts as from the operator
/// "unnamed", whose role covers the whole document, so that the first operator
/// can be added. Tokens are compared in constant time. Errors: OperatorUnknown.
/// Thread-safe.
Result<OperatorIdentity> IdentifyOperator(const SettingsSnapshot& aSettings,
                                          std::string_view aToken);

/// Checks that the operator's role covers all changes. Errors:
/// OperatorForbidden with the first path that it does not cover. Thread-safe.
Result<void> CheckRole(const OperatorIdentity& aOperator,
                       const std::vector<SettingsChange>& aChanges);

} // namespace cranberrywing::daemon
