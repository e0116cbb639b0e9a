/// \file
/// An operator's change of the settings, as plain data.
#pragma once

#include <string>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Chosen by the writer, unique per change; settles a lost answer.
using OperationId = Id<struct OperationTag>;

/// A new settings document, written against a known revision.
struct SettingsEdit
{
  OperationId mOperation;
  /// Name of the operator, for the history.
  std::string mOperator;
  std::string mSummary;
  /// The change is accepted only if this is still the newest revision.
  Revision mBase;
  /// The whole new document in YAML, already validated.
  std::string mDocument;
  /// Accepts the change although the store holds an older configuration than
  /// the one in force, as after a restore from a backup. The new revision is
  /// above both, and mBase names the revision in force.
  bool mReplacesRestoredStore = false;
};

} // namespace cranberrywing
