/// \file
/// Reading and writing the settings document through the API.
#pragma once

#include <functional>
#include <string>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// A document with secrets in placeholders, as the API shows it.
struct SettingsDocument
{
  std::string mText;
  Revision mRevision;
};

/// The document in force. Errors: those of the daemons.
Result<SettingsDocument> ReadSettings(const ApiClient& aClient);

/// The document of an earlier revision. Errors: UnknownNode.
Result<SettingsDocument> ReadRevision(const ApiClient& aClient,
                                      Revision aRevision);

/// A new document and the one that it was made from.
struct SettingsOrder
{
  SettingsDocument mBase;
  std::string mDocument;
  std::string mSummary;
  /// File that already holds the new document, if there is one.
  std::string mFile;
  /// Whether the new document is kept in a file if it is not accepted.
  bool mIsKept = true;
};

/// What became of an order.
struct SettingsOutcome
{
  /// Revision in force, or accepted.
  Revision mRevision;
  std::vector<SettingsChange> mChanges;
};

/// Writes the document if mBase is still the newest one. A lost answer is
/// settled by the operation id. On a conflict, the changes of the other
/// operator are shown; the new document is kept in a file whose path is
/// shown. Errors: InvalidSettings, RevisionConflict, OutcomeUnknown and those
/// of the daemons.
Result<SettingsOutcome> WriteSettings(Invocation& aInvocation,
                                      const SettingsOrder& aOrder);

/// Shows an outcome as the command line asks for.
void ShowOutcome(Invocation& aInvocation, const SettingsOutcome& aOutcome);

/// One setting to be set, or removed if the value is empty.
struct SettingValue
{
  std::string mPath;
  std::string mValue;
};

using SettingValues = std::vector<SettingValue>;

/// Reads the document, lets aMake derive the values to set from the parsed
/// settings, writes the changed document and shows the outcome. Errors: those
/// of aMake, EditSetting and WriteSettings.
Result<void> ChangeSettings(
  Invocation& aInvocation,
  const std::string& aSummary,
  const std::function<Result<SettingValues>(const SettingsSnapshot&)>& aMake);

/// Lower-case hex of bytes from the system's random device.
Result<std::string> RandomHex(std::size_t aBytes);

} // namespace cranberrywing::cli
