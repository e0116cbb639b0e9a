/// \file
/// The store's records of accepted configurations: the root record, which
/// holds the newest, and the history records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/messages/configuration.h"
#include "cranberrywing/result_code.h"
#include "cranberrywing/settings_edit.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// Greatest size of a settings document in bytes. A change puts the document
/// into the root and into the history in one transaction, and both together
/// have to stay below etcd's usual limit of 1.5 MiB for a request.
inline constexpr std::size_t kMaxDocumentBytes = 700'000;

/// Longest operator name and summary that are kept; the rest is cut off.
inline constexpr std::size_t kMaxSummaryBytes = 200;

/// An accepted change, for the history and for settling lost answers.
struct AcceptedChange
{
  OperationId mOperation;
  Revision mRevision;
  std::string mOperator;
  std::string mSummary;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOperation, mRevision, mOperator, mSummary);
  }
};

struct ConfigurationRecord
{
  ConfigurationVersion mVersion;
  std::string mDocument;
  /// The newest changes, oldest first. History records hold their own only.
  std::vector<AcceptedChange> mChanges;

  /// The change with that operation id, or null.
  const AcceptedChange* FindChange(const OperationId& aOperation) const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mDocument, mChanges);
  }
};

/// Key of the root record below a deployment's prefix. Thread-safe.
std::string ConfigurationRootKey(std::string_view aPrefix);

/// Key of a revision's history record; keys sort by revision. Thread-safe.
std::string ConfigurationHistoryKey(std::string_view aPrefix,
                                    Revision aRevision);

/// The record of an accepted edit, made from the root record before it. The
/// revision is one above the greater of the two. Thread-safe.
ConfigurationRecord MakeRecord(const ConfigurationRecord& aBefore,
                               const SettingsEdit& aEdit,
                               Revision aInForce,
                               std::size_t aHistoryLength);

/// The history record of a root record's newest change. Thread-safe.
ConfigurationRecord MakeHistoryRecord(const ConfigurationRecord& aRoot);

/// Bytes of a record in the store. Thread-safe.
std::string EncodeRecord(const ConfigurationRecord& aRecord);

/// Reads what EncodeRecord made and checks the document's digest. Errors:
/// Malformed. Thread-safe, never throws.
Result<ConfigurationRecord> DecodeRecord(std::string_view aBytes);

} // namespace cranberrywing
