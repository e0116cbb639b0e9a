/// \file
/// One write of the settings, with the settling of lost answers.
#pragma once

#include <optional>
#include <string>

#include "cranberrywing/api_client.h"

namespace cranberrywing::cli {

struct SettingsWrite
{
  std::string mOperation;
  Revision mBase;
  std::string mDocument;
  std::string mSummary;
};

/// Not thread-safe.
class SettingsWriter
{
public:
  /// Attempts to settle an outcome before it is reported as unknown.
  static constexpr int kSettleRounds = 5;

  /// The client and the write's parts must outlive the writer.
  SettingsWriter(const ApiClient& aClient,
                 SettingsWrite aWrite,
                 std::function<void(Duration)> aSleep);

  /// The accepted revision. Errors: RevisionConflict, OutcomeUnknown and
  /// those of the daemons, which mean that the write was not accepted.
  Result<Revision> Write();

private:
  /// What the newest changes in the store tell of the operation.
  enum class Finding
  {
    Accepted,
    NotAccepted,
    Undecided,
  };

  struct Lookup
  {
    Finding mFinding = Finding::Undecided;
    Revision mRevision;
  };

  Result<Revision> Put() const;
  Result<Revision> PutWhenTaken() const;
  Lookup FindOperation() const;
  Result<Revision> Settle() const;

  const ApiClient& mClient;
  SettingsWrite mWrite;
  std::function<void(Duration)> mSleep;
};

} // namespace cranberrywing::cli
