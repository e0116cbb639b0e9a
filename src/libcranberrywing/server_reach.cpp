#include "cranberrywing/server_reach.h"

#include <algorithm>
#include <set>

namespace cranberrywing {

namespace {

/// Number of servers to which connections are opened in one round of checks.
constexpr std::size_t kChecksPerRound = 4;
/// Number of times that a change is told, and the time between them.
constexpr int kStatementRepeats = 3;
constexpr Duration kRepeatInterval = std::chrono::milliseconds(150);
/// Interval at which a loss is told as long as it lasts.
constexpr Duration kCutOffTellInterval = std::chrono::milliseconds(1000);

} // namespace

std::vector<BackendId> SelectServersToCheck(
  std::vector<ReachCandidate> aCandidates)
{
  std::stable_sort(
    aCandidates.begin(),
    aCandidates.end(),
    [](const ReachCandidate& aLeft, const ReachCandidate& aRight) {
      return aLeft.mAnsweredAt > aRight.mAnsweredAt;
    });
  std::set<FailureDomainId> domains;
  // The first candidate of each failure domain comes before all others.
  std::stable_partition(
    aCandidates.begin(),
    aCandidates.end(),
    [&](const ReachCandidate& aCandidate) {
      return domains.insert(aCandidate.mFailureDomain).second;
    });
  std::vector<BackendId> selected;
  for (ReachCandidate& candidate : aCandidates) {
    if (selected.size() < kChecksPerRound) {
      selected.push_back(std::move(candidate.mBackend));
    }
  }
  return selected;
}

ServerReach::ServerReach(Options aOptions)
  : mOptions(aOptions)
  , mReturnTime(aOptions.mReturnTime)
{
}

void ServerReach::OnSuspicion(TimePoint aNow)
{
  if (!mSuspectSince) {
    mSuspectSince = aNow;
  }
}

bool ServerReach::IsRoundDue(TimePoint aNow) const
{
  return mSuspectSince && mPendingChecks == 0 && aNow >= mNextRound;
}

void ServerReach::StartRound(std::size_t aChecks, TimePoint aNow)
{
  mPendingChecks = aChecks;
  mHasSuccess = false;
  mNextRound =
    aNow + (mIsCutOff ? mOptions.mCutOffInterval : mOptions.mMinInterval);
  if (aChecks == 0 && !mIsCutOff) {
    mSuspectSince.reset();
  }
}

ServerReach::Change ServerReach::OnChecked(bool aIsReached, TimePoint aNow)
{
  if (mPendingChecks == 0) {
    return Change::None;
  }
  --mPendingChecks;
  if (aIsReached && !mHasSuccess) {
    mHasSuccess = true;
    return OnRoundSucceeded(aNow);
  }
  if (mPendingChecks == 0 && !mHasSuccess) {
    return OnRoundFailed(aNow);
  }
  return Change::None;
}

bool ServerReach::TakeStatementDue(TimePoint aNow)
{
  if (aNow < mNextStatement || (mStatementsLeft == 0 && !mIsCutOff)) {
    return false;
  }
  mNextStatement =
    aNow + (mStatementsLeft > 0 ? kRepeatInterval : kCutOffTellInterval);
  mStatementsLeft = std::max(0, mStatementsLeft - 1);
  return true;
}

ServerReach::Change ServerReach::OnRoundSucceeded(TimePoint aNow)
{
  if (!mIsCutOff) {
    mSuspectSince.reset();
    return Change::SuspicionCleared;
  }
  if (!mReachedSince) {
    mReachedSince = aNow;
  }
  if (aNow - *mReachedSince < mReturnTime) {
    return Change::None;
  }
  SetCutOff(false, aNow);
  mSuspectSince.reset();
  mReachedSince.reset();
  mRestoredAt = aNow;
  return Change::Restored;
}

ServerReach::Change ServerReach::OnRoundFailed(TimePoint aNow)
{
  mReachedSince.reset();
  if (mIsCutOff) {
    return Change::None;
  }
  const bool isFlapping =
    mRestoredAt && aNow - *mRestoredAt < mOptions.mStableTime;
  mReturnTime = isFlapping ? std::min(2 * mReturnTime, mOptions.mMaxReturnTime)
                           : mOptions.mReturnTime;
  SetCutOff(true, aNow);
  mNextRound = aNow + mOptions.mCutOffInterval;
  return Change::Lost;
}

void ServerReach::SetCutOff(bool aIsCutOff, TimePoint aNow)
{
  mIsCutOff = aIsCutOff;
  mStatementsLeft = kStatementRepeats;
  mNextStatement = aNow;
}

} // namespace cranberrywing
