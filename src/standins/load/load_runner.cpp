#include "standins/load/load_runner.h"

namespace cranberrywing::standins {

LoadRunner::LoadRunner(boost::asio::io_context& aContext,
                       const LoadOptions& aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mPool(aContext, { .mMaxIdlePerServer = 4096 })
  , mLookups(aOptions, mPool)
  , mTimer(aContext)
{
}

void LoadRunner::Start()
{
  mStart = Clock::now();
  StartDue();
}

void LoadRunner::Stop()
{
  mIsStopped = true;
  if (mEnded == mStarted) {
    mContext.stop();
  }
}

LoadRunner::Clock::time_point LoadRunner::DueTime(std::uint64_t aNumber) const
{
  const std::chrono::duration<double> offset(static_cast<double>(aNumber) /
                                             mOptions.mRate);
  return mStart + std::chrono::duration_cast<Clock::duration>(offset);
}

bool LoadRunner::HasStartedAll() const
{
  const bool isTimeOver = mOptions.mTime > Duration::zero() &&
                          Clock::now() - mStart >= mOptions.mTime;
  return mIsStopped || mStarted >= mOptions.mCount || isTimeOver;
}

void LoadRunner::StartDue()
{
  const Clock::time_point now = Clock::now();
  while (!HasStartedAll() && DueTime(mStarted) <= now) {
    const std::string identity =
      mOptions.mRunName + "-" + std::to_string(mStarted);
    const auto caller = std::make_shared<Caller>(
      CallerContext{ mContext, mOptions, mPool, mLookups },
      identity,
      DueTime(mStarted),
      [this](CallRecord aRecord) { OnDone(std::move(aRecord)); });
    ++mStarted;
    caller->Start();
  }
  if (HasStartedAll()) {
    if (mEnded == mStarted) {
      mContext.stop();
    }
    return;
  }
  mTimer.expires_at(DueTime(mStarted));
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      StartDue();
    }
  });
}

void LoadRunner::OnDone(CallRecord aRecord)
{
  ++mEnded;
  mReport.Add(std::move(aRecord));
  if (HasStartedAll() && mEnded == mStarted) {
    mContext.stop();
  }
}

} // namespace cranberrywing::standins
