/// \file
/// Starts callers at a fixed rate whether or not earlier ones have ended
/// (open loop), so that slow answers do not hide behind fewer requests.
#pragma once

#include "standins/load/caller.h"

namespace cranberrywing::standins {

/// Not thread-safe.
class LoadRunner
{
public:
  /// aOptions outlives the runner.
  LoadRunner(boost::asio::io_context& aContext, const LoadOptions& aOptions);

  /// Runs until every request has ended, then stops the loop.
  void Start();
  /// Starts no further request.
  void Stop();
  const LoadReport& Report() const { return mReport; }
  std::uint64_t Lookups() const { return mLookups.Lookups(); }

private:
  using Clock = Caller::Clock;

  void StartDue();
  Clock::time_point DueTime(std::uint64_t aNumber) const;
  bool HasStartedAll() const;
  void OnDone(CallRecord aRecord);

  boost::asio::io_context& mContext;
  const LoadOptions& mOptions;
  netutil::HttpClientPool mPool;
  LookupCache mLookups;
  boost::asio::steady_timer mTimer;
  Clock::time_point mStart;
  std::uint64_t mStarted = 0;
  std::uint64_t mEnded = 0;
  bool mIsStopped = false;
  LoadReport mReport;
};

} // namespace cranberrywing::standins
