#include "cranberrywing/gateway/server_reach.h"

#include <algorithm>

namespace cranberrywing::gateway {

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
  mIsCutOff = false;
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
  mIsCutOff = true;
  mNextRound = aNow + mOptions.mCutOffInterval;
  return Change::Lost;
}

} // namespace cranberrywing::gateway
