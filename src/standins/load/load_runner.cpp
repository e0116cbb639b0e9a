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
  StartDueRequests();
}

void LoadRunner::Stop()
{
  mIsStopped = true;
  if (mFinished == mStarted) {
    mContext.stop();
  }
}

LoadRunner::Clock::time_point LoadRunner::ScheduledStart(
  std::uint64_t aNumber) const
{
  const std::chrono::duration<double> offset(static_cast<double>(aNumber) /
                                             mOptions.mRate);
  return mStart + std::chrono::duration_cast<Clock::duration>(offset);
}

bool LoadRunner::HasStartedAll() const
{
  const bool isTimeOver = mOptions.mStartPeriod > Duration::zero() &&
                          Clock::now() - mStart >= mOptions.mStartPeriod;
  return mIsStopped || mStarted >= mOptions.mCount || isTimeOver;
}

void LoadRunner::StartDueRequests()
{
  const Clock::time_point now = Clock::now();
  while (!HasStartedAll() && ScheduledStart(mStarted) <= now) {
    const std::string identity =
      mOptions.mIdentityPrefix + "-" + std::to_string(mStarted);
    const auto caller = std::make_shared<Caller>(
      CallerContext{ mContext, mOptions, mPool, mLookups },
      identity,
      ScheduledStart(mStarted),
      [this](CallRecord aRecord) { OnDone(std::move(aRecord)); });
    ++mStarted;
    caller->Start();
  }
  if (HasStartedAll()) {
    if (mFinished == mStarted) {
      mContext.stop();
    }
    return;
  }
  mTimer.expires_at(ScheduledStart(mStarted));
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      StartDueRequests();
    }
  });
}

void LoadRunner::OnDone(CallRecord aRecord)
{
  ++mFinished;
  mReport.Add(std::move(aRecord));
  if (HasStartedAll() && mFinished == mStarted) {
    mContext.stop();
  }
}

} // namespace cranberrywing::standins
