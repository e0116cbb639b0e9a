/// \file
/// The settings document as the administration API shows and takes it.
#pragma once

#include <boost/json/array.hpp>
#include <string>

#include "cranberrywing/http_types.h"
#include "cranberrywing/settings.h"
#include "cranberrywing/settings_edit.h"
#include "cranberrywingd/operators.h"

namespace cranberrywing::daemon {

/// The configuration against which a request is judged.
struct DocumentInForce
{
  SettingsSnapshotPtr mSnapshot;
  std::string_view mDocument;
};

/// The document with each secret replaced by a placeholder. Thread-safe.
std::string HideSecrets(std::string_view aDocument);

/// Puts the secrets in force in the place of their placeholders, so that a
/// document that was read through the API can be written back. Thread-safe.
std::string RestoreSecrets(std::string_view aDocument,
                           std::string_view aInForce);

/// [{"path":..,"before":..,"after":..}], without the values of secrets.
/// Thread-safe.
boost::json::array EncodeChanges(const std::vector<SettingsChange>& aChanges);

/// A checked document, with what it would change.
struct CheckedDocument
{
  std::string mDocument;
  std::vector<SettingsChange> mChanges;
};

/// Checks a document that was sent to replace the one in force. Errors:
/// InvalidSettings. Thread-safe.
Result<CheckedDocument> CheckDocument(std::string_view aDocument,
                                      const DocumentInForce& aInForce);

/// Revision of an If-Match field, which must be one strong entity tag.
/// Errors: InvalidArgument. Thread-safe.
Result<Revision> ReadEntityTag(std::string_view aText);

/// Entity tag of a revision. Thread-safe.
std::string EntityTag(Revision aRevision);

/// What became of a write before it reaches the decision core: an edit to be
/// delivered, or the answer that refuses it.
struct PreparedEdit
{
  SettingsEdit mEdit;
  /// Null if the edit is to be delivered.
  AnswerContentPtr mRefusal;
};

/// Checks identity, base revision, document and role of PUT /v1/settings. The
/// operation id is the Idempotency-Key, or aOperation without one.
/// Thread-safe.
PreparedEdit PrepareEdit(const RequestContent& aRequest,
                         const DocumentInForce& aInForce,
                         const std::string& aOperation);

/// 412 with the newest known revision and the changes that the document would
/// make to it. Thread-safe.
AnswerContentPtr ConflictAnswer(const std::string& aDocument,
                                const DocumentInForce& aInForce,
                                const std::string& aDetail);

/// Token of a request's Authorization field; empty if none came. Thread-safe.
std::string TokenOf(const RequestContent& aRequest);

} // namespace cranberrywing::daemon
