/// \file
/// Records of accepted configurations in the store: the root record, which
/// holds the newest configuration, and one history record per revision.
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

/// Maximum size of a settings document in bytes. A change writes the document
/// to the root and to the history record in one transaction, and both together
/// must stay below etcd's default request limit of 1.5 MiB.
inline constexpr std::size_t kMaxDocumentBytes = 700'000;

/// Maximum size in bytes of a stored operator name or summary; longer texts are
/// truncated.
inline constexpr std::size_t kMaxSummaryBytes = 200;

/// An accepted change. Shown in the history, and used to find out whether a
/// write whose reply was lost took effect.
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
  /// The most recent changes, oldest first. A history record holds only its own
  /// change.
  std::vector<AcceptedChange> mChanges;

  /// Returns the change with the given operation id, or null.
  const AcceptedChange* FindChange(const OperationId& aOperation) const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mDocument, mChanges);
  }
};

/// Store key of the root record under a deployment's prefix. Thread-safe.
std::string ConfigurationRootKey(std::string_view aPrefix);

/// Store key of a revision's history record; the keys sort by revision.
/// Thread-safe.
std::string ConfigurationHistoryKey(std::string_view aPrefix,
                                    Revision aRevision);

/// Builds the root record of an accepted edit from the root record that it
/// replaces. The new revision is one above the greater of the stored and the
/// active revision. At most aHistoryLength changes are kept. Thread-safe.
ConfigurationRecord MakeRecord(const ConfigurationRecord& aBefore,
                               const SettingsEdit& aEdit,
                               Revision aInForce,
                               std::size_t aHistoryLength);

/// Builds the history record of a root record's newest change. Thread-safe.
ConfigurationRecord MakeHistoryRecord(const ConfigurationRecord& aRoot);

/// Serializes a record for the store. Thread-safe.
std::string EncodeRecord(const ConfigurationRecord& aRecord);

/// Parses the output of EncodeRecord and verifies its digests. Errors:
/// Malformed. Thread-safe, never throws.
Result<ConfigurationRecord> DecodeRecord(std::string_view aBytes);

} // namespace cranberrywing
