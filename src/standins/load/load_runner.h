/// \file
/// Open-loop load generator: starts requests at a fixed rate whether or not
/// earlier ones have finished, so that slow answers do not lower the load and
/// hide their own latency.
#pragma once

#include "standins/load/caller.h"

namespace cranberrywing::standins {

/// Runs the load of every mode but Lookup. Not thread-safe.
class LoadRunner
{
public:
  /// aContext and aOptions must outlive the runner.
  LoadRunner(boost::asio::io_context& aContext, const LoadOptions& aOptions);

  /// Starts the load; stops the event loop after every request has ended.
  void Start();
  /// Starts no further requests; those in flight run to their end.
  void Stop();
  const LoadReport& Report() const { return mReport; }
  /// Number of lookups sent so far.
  std::uint64_t Lookups() const { return mLookups.Lookups(); }

private:
  using Clock = Caller::Clock;

  /// Starts the requests that are due and schedules the next one.
  void StartDueRequests();
  Clock::time_point ScheduledStart(std::uint64_t aNumber) const;
  bool HasStartedAll() const;
  void OnDone(CallRecord aRecord);

  boost::asio::io_context& mContext;
  const LoadOptions& mOptions;
  netutil::HttpClientPool mPool;
  LookupCache mLookups;
  boost::asio::steady_timer mTimer;
  Clock::time_point mStart;
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;
  bool mIsStopped = false;
  LoadReport mReport;
};

} // namespace cranberrywing::standins
