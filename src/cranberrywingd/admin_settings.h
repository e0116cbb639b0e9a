/// \file
/// Reading and writing the settings document through the administration API:
/// redaction of secrets, entity tags, and checks of edits.
#pragma once

#include <boost/json/array.hpp>
#include <string>

#include "cranberrywing/http_types.h"
#include "cranberrywing/settings.h"
#include "cranberrywing/settings_edit.h"
#include "cranberrywingd/operators.h"

namespace cranberrywing::daemon {

/// The active configuration, against which requests are checked.
struct ActiveDocument
{
  SettingsSnapshotPtr mSnapshot;
  std::string_view mDocument;
};

/// Returns the document with each secret replaced by a placeholder.
/// Thread-safe.
std::string RedactSecrets(std::string_view aDocument);

/// Replaces placeholders by the current secrets, so that a document read
/// through the API can be written back. Thread-safe.
std::string RestoreSecrets(std::string_view aDocument,
                           std::string_view aActive);

/// Encodes changes as [{"path":..,"before":..,"after":..}], with the values of
/// secrets redacted. Thread-safe.
boost::json::array EncodeChanges(const std::vector<SettingsChange>& aChanges);

/// A valid document and the changes that it would make.
struct CheckedDocument
{
  std::string mDocument;
  std::vector<SettingsChange> mChanges;
};

/// Validates a document that is to replace the active one and compares the two.
/// Errors: InvalidSettings. Thread-safe.
Result<CheckedDocument> CheckDocument(std::string_view aDocument,
                                      const ActiveDocument& aActive);

/// Parses the revision from an If-Match header field, which must hold exactly
/// one strong entity tag. Errors: InvalidArgument. Thread-safe.
Result<Revision> ReadEntityTag(std::string_view aText);

/// Strong entity tag of a revision, such as "17" with the quotes. Thread-safe.
std::string EntityTag(Revision aRevision);

/// Result of the checks of a write: either an edit for the decision core, or
/// the answer that refuses it.
struct PreparedEdit
{
  SettingsEdit mEdit;
  /// Null if the edit passed the checks.
  AnswerContentPtr mRefusal;
};

/// Checks the operator, base revision, document and role of a PUT /v1/settings
/// request. The operation identifier is the Idempotency-Key field, or
/// aGeneratedOperationId if there is none. Thread-safe.
PreparedEdit PrepareEdit(const RequestContent& aRequest,
                         const ActiveDocument& aActive,
                         const std::string& aGeneratedOperationId);

/// The 412 answer to an edit of an outdated revision: contains the newest known
/// revision and the changes that the document would make to it. Thread-safe.
AnswerContentPtr ConflictAnswer(const std::string& aDocument,
                                const ActiveDocument& aActive,
                                const std::string& aDetail);

/// Bearer token of a request's Authorization field; empty if there is none.
/// Thread-safe.
std::string BearerToken(const RequestContent& aRequest);

} // namespace cranberrywing::daemon
