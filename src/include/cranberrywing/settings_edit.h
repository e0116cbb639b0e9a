/// \file
/// An operator's change of the settings document.
#pragma once

#include <string>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Unique id of a change, chosen by the writer. Tells whether a write whose
/// reply was lost took effect.
using OperationId = Id<struct OperationTag>;

/// A new settings document, based on a known revision.
struct SettingsEdit
{
  OperationId mOperation;
  /// Name of the operator, for the history.
  std::string mOperator;
  std::string mSummary;
  /// The change is accepted only if this is still the newest revision.
  Revision mBase;
  /// The full new document in YAML, already validated.
  std::string mDocument;
  /// Accepts the change although the store holds an older configuration than
  /// the active one, as after a restore from a backup. The new revision is
  /// above both, and mBase must be the active revision.
  bool mReplacesRestoredStore = false;
};

} // namespace cranberrywing
