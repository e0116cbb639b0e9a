/// \file
/// A write of the settings that determines the outcome when a response is lost.
#pragma once

#include <optional>
#include <string>

#include "cranberrywing/api_client.h"

namespace cranberrywing::cli {

/// A document to write, its base revision and the operation id.
struct SettingsWrite
{
  std::string mOperation;
  Revision mBase;
  std::string mDocument;
  std::string mSummary;
};

/// Writes a document once, with a conditional PUT request and an operation id.
///
/// Not thread-safe.
class SettingsWriter
{
public:
  /// Attempts to determine the outcome before it is reported as unknown.
  static constexpr int kResolveAttempts = 5;

  /// Precondition: aClient outlives the writer.
  SettingsWriter(const ApiClient& aClient,
                 SettingsWrite aWrite,
                 std::function<void(Duration)> aSleep);

  /// Writes the document and returns the accepted revision. Errors:
  /// RevisionConflict, OutcomeUnknown, and those of the daemons, which mean
  /// that the write was not accepted.
  Result<Revision> Write();

private:
  /// State of the operation according to the settings history.
  enum class OperationState
  {
    Accepted,
    NotAccepted,
    Undecided,
  };

  struct OperationLookup
  {
    OperationState mState = OperationState::Undecided;
    Revision mRevision;
  };

  Result<Revision> Put() const;
  /// Put, repeated while no daemon has loaded the base revision yet.
  Result<Revision> PutWithRetry() const;
  OperationLookup FindOperation() const;
  /// Searches the history for the operation and repeats it while its outcome is
  /// undecided.
  Result<Revision> ResolveOutcome() const;

  const ApiClient& mClient;
  SettingsWrite mWrite;
  std::function<void(Duration)> mSleep;
};

} // namespace cranberrywing::cli
