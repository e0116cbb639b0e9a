/// \file
/// One request of the load stand-in, with its lookups and retries.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "standins/load/load_report.h"
#include "standins/load/lookup_cache.h"

namespace cranberrywing::standins {

/// Objects that all callers share; they must outlive the callers.
struct CallerContext
{
  boost::asio::io_context& mContext;
  const LoadOptions& mOptions;
  netutil::HttpClientPool& mPool;
  LookupCache& mLookups;
};

/// Sends one request and retries it under the same identity until it gets a
/// final answer, its deadline passes or its attempts are used up. Not
/// thread-safe; must be owned by a shared_ptr.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
  using Clock = std::chrono::steady_clock;
  using DoneHandler = std::function<void(CallRecord)>;

  /// Deadline and latency are measured from aScheduledStart on. aDone is called
  /// once, with the outcome.
  Caller(CallerContext aContext,
         std::string aIdentity,
         Clock::time_point aScheduledStart,
         DoneHandler aDone);

  void Start();

private:
  void RequestTicket();
  void SendTicketRequest(const netutil::Endpoint& aVm, bool aIsLookup);
  void OnTicket(const netutil::ExchangeResult& aResult);
  void Attempt();
  void SendTo(const netutil::Endpoint& aVm);
  void OnResult(netutil::ExchangeResult aResult);
  void OnRefusal(const AnswerContent& aAnswer);
  void ScheduleRetry();
  void Finish(Outcome aOutcome);
  Duration TimeLeft() const;
  RequestContent MakeRequest() const;

  CallerContext mContext;
  Clock::time_point mScheduledStart;
  DoneHandler mDone;
  CallRecord mRecord;
  boost::asio::steady_timer mTimer;
  std::string mTicket;
  std::size_t mTicketAttempts = 0;
  std::size_t mNextVm = 0;
  /// Whether an earlier attempt may have been executed; a later attempt's
  /// "not run" then does not prove that the request did not run.
  bool mMayHaveRun = false;
};

} // namespace cranberrywing::standins
