/// \file
/// Whether this VM can open connections to backend servers at all. A VM whose
/// links to all of them are lost should get no callers as long as other VMs
/// reach the servers.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// A server to which a connection can be opened as a check.
struct ReachCandidate
{
  BackendId mBackend;
  FailureDomainId mFailureDomain;
  /// Time of the server's last answer to this VM.
  TimePoint mAnsweredAt{};
};

/// Some of the servers, of as many failure domains as possible; in each domain,
/// those that answered last, since they are most likely to run still.
std::vector<BackendId> SelectServersToCheck(
  std::vector<ReachCandidate> aCandidates);

/// State machine that is fed with the outcomes of connections. On a suspicion
/// it asks for a round of checks, in each of which a connection to one of
/// several servers is opened. If all checks of a round fail, the VM is cut off,
/// and further rounds follow until checks have succeeded for some time.
///
/// Requests are no evidence by themselves: a server may be slow or down, and
/// open connections may live on while no new one can be opened.
///
/// Not thread-safe; owned by the gateway or the reducer.
class ServerReach
{
public:
  struct Options
  {
    /// Minimum time between two rounds while servers are reached.
    Duration mMinInterval = std::chrono::milliseconds(1000);
    /// Time between two rounds while cut off.
    Duration mCutOffInterval = std::chrono::milliseconds(500);
    /// Time for which all rounds have to succeed before the VM counts as
    /// connected again. It doubles if the links are lost again within
    /// mStableTime after a return, up to mMaxReturnTime.
    Duration mReturnTime = std::chrono::milliseconds(500);
    Duration mMaxReturnTime = std::chrono::seconds(8);
    Duration mStableTime = std::chrono::seconds(10);
  };

  enum class Change
  {
    None,
    /// A round has shown that servers are reached after all.
    SuspicionCleared,
    Lost,
    Restored,
  };

  /// Time for which a VM counts as cut off after it has last said so. Several
  /// times the interval at which a loss is told.
  static constexpr Duration kStatementValidity =
    std::chrono::milliseconds(2500);

  explicit ServerReach(Options aOptions);

  /// A connection to a server could not be opened, or no server has answered
  /// for a suspicious time. Starts a round unless the last one is too recent.
  void OnSuspicion(TimePoint aNow);
  /// Whether a round of checks is due. Precondition: aNow never decreases.
  bool IsRoundDue(TimePoint aNow) const;
  /// Starts a round. Without checks, which means that there are no servers, the
  /// suspicion ends. Precondition: IsRoundDue.
  void StartRound(std::size_t aChecks, TimePoint aNow);
  /// Records the result of one check of the current round.
  Change OnChecked(bool aIsReached, TimePoint aNow);
  /// Whether other VMs are to be told now what IsCutOff returns: several times
  /// after a change, since messages may get lost, and from time to time while
  /// cut off. Returns true once for each time.
  bool TakeStatementDue(TimePoint aNow);

  bool IsCutOff() const { return mIsCutOff; }
  /// Whether the last round of checks has succeeded, although the VM still
  /// counts as cut off.
  bool IsReturning() const { return mIsCutOff && mReachedSince.has_value(); }
  /// Time of the first evidence for the current suspicion or loss; nullopt if
  /// there is none.
  std::optional<TimePoint> SuspectSince() const { return mSuspectSince; }

private:
  Change OnRoundSucceeded(TimePoint aNow);
  Change OnRoundFailed(TimePoint aNow);
  void SetCutOff(bool aIsCutOff, TimePoint aNow);

  Options mOptions;
  bool mIsCutOff = false;
  std::optional<TimePoint> mSuspectSince;
  /// Checks of the current round that have no result yet.
  std::size_t mPendingChecks = 0;
  bool mHasSuccess = false;
  TimePoint mNextRound{};
  /// Start of the current row of successful rounds while cut off.
  std::optional<TimePoint> mReachedSince;
  std::optional<TimePoint> mRestoredAt;
  Duration mReturnTime{};
  /// Statements of the last change that are still to be repeated.
  int mStatementsLeft = 0;
  TimePoint mNextStatement{};
};

} // namespace cranberrywing
