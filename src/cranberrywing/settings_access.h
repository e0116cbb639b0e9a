/// \file
/// Reading and writing of the settings document through the API.
#pragma once

#include <functional>
#include <string>

#include "cranberrywing/command.h"

namespace cranberrywing::cli {

/// A settings document as returned by the API, with placeholders for secrets.
struct SettingsDocument
{
  std::string mText;
  Revision mRevision;
};

/// Reads the current document. Errors: those of the daemons.
Result<SettingsDocument> ReadSettings(const ApiClient& aClient);

/// Reads the document of an earlier revision. Errors: UnknownNode and those of
/// the daemons.
Result<SettingsDocument> ReadRevision(const ApiClient& aClient,
                                      Revision aRevision);

/// A new document to be written, and the one that it was derived from.
struct SettingsUpdate
{
  SettingsDocument mBase;
  std::string mDocument;
  std::string mSummary;
  /// File that already contains the new document; empty if there is none.
  std::string mFile;
  /// Whether to save the new document to a file if the write fails.
  bool mSaveOnFailure = true;
};

/// Result of a write.
struct SettingsOutcome
{
  /// Accepted revision, or the current one if nothing changed.
  Revision mRevision;
  std::vector<SettingsChange> mChanges;
};

/// Writes the document if mBase is still the current revision. If the response
/// is lost, the history is searched for the operation id to determine the
/// outcome. On a conflict, the changes of the other operator are printed. If
/// the write fails, the new document is saved to a file whose path is printed.
/// Errors: InvalidSettings, RevisionConflict, OutcomeUnknown and those of the
/// daemons.
Result<SettingsOutcome> WriteSettings(Invocation& aInvocation,
                                      const SettingsUpdate& aUpdate);

/// Prints the result as text or JSON.
void ShowOutcome(Invocation& aInvocation, const SettingsOutcome& aOutcome);

/// A setting to be set, or removed if the value is empty.
struct SettingValue
{
  std::string mPath;
  std::string mValue;
};

using SettingValues = std::vector<SettingValue>;

/// Reads the document, calls aMake with the parsed settings to get the values
/// to set, writes the changed document and prints the result. Errors: those of
/// aMake, EditSetting and WriteSettings.
Result<void> ChangeSettings(
  Invocation& aInvocation,
  const std::string& aSummary,
  const std::function<Result<SettingValues>(const SettingsSnapshot&)>& aMake);

/// Returns random bytes as lower-case hexadecimal digits, from a
/// cryptographically secure generator. Errors: Internal.
Result<std::string> RandomHex(std::size_t aBytes);

} // namespace cranberrywing::cli
