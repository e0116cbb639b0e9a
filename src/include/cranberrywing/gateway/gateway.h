/// \file
/// The gateway's decisions: one deterministic reducer that admits callers'
/// requests, chooses a backend server for each, and decides what the caller
/// gets. It reads no clock, opens no socket and writes no log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberrywing/crash_guard.h"
#include "cranberrywing/gateway/account_shares.h"
#include "cranberrywing/gateway/admission.h"
#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/gateway/cold_start.h"
#include "cranberrywing/gateway/event.h"
#include "cranberrywing/gateway/fleet_view.h"
#include "cranberrywing/gateway/object_selector.h"
#include "cranberrywing/gateway/region_plan.h"
#include "cranberrywing/gateway/retry_budget.h"
#include "cranberrywing/gateway/service_split.h"
#include "cranberrywing/gateway/service_times.h"
#include "cranberrywing/rate_limiter.h"

namespace cranberrywing::gateway {

/// Counters since the start, for metrics.
struct GatewayCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mCancelled = 0;
  std::map<ResultCode, std::uint64_t> mRefused;
};

/// Not thread-safe: a driver calls it from one thread. Equal options, events
/// and times give equal effects.
class Gateway
{
public:
  struct Options
  {
    VmRecord mSelf;
    std::uint64_t mSeed = 1;
    RetryBudget::Options mRetries;
    ColdStartLimits mColdStart;
    /// Lifetime of the answers that name VMs to callers.
    Duration mLookupLifetime = std::chrono::milliseconds(1300);
    /// Time from the order to stop until the process is killed.
    Duration mStopLimit = std::chrono::seconds(6);
    /// Time in which a request is still taken after the order to stop: callers
    /// keep a lookup's answer for up to three lifetimes.
    Duration mStopAccepting = std::chrono::milliseconds(3900);
  };

  explicit Gateway(Options aOptions);

  /// Precondition: aNow never decreases.
  EffectList Reduce(const Event& aEvent, TimePoint aNow);

  /// Whether callers may be sent here.
  bool IsReady() const;
  bool IsStopping() const { return mStoppingSince.has_value(); }
  /// VMs that callers of a region should use.
  std::vector<VmRecord> CallerTargets(const RegionId& aRegion,
                                      TimePoint aNow) const;
  Duration LookupLifetime() const { return mOptions.mLookupLifetime; }

  const GatewayCounters& Counters() const { return mCounters; }
  const BackendPool& Pool() const { return mPool; }
  const FleetView& Fleet() const { return mFleet; }
  const PolicyPtr& CurrentPolicy() const { return mPolicy; }
  std::size_t InFlight() const { return mRequests.size(); }

private:
  /// A request that has no final answer yet.
  struct Request
  {
    event::RequestArrived mArrival;
    /// Keeps mRoute and mAccount alive.
    PolicyPtr mPolicy;
    const RoutePolicy* mRoute = nullptr;
    const AccountPolicy* mAccount = nullptr;
    ServiceId mService;
    ObjectHash mObject = 0;
    double mPosition = 0;
    int mPriority = 0;
    ContentDigest mFingerprint{};
    TimePoint mArrivedAt{};
    /// The final answer is due then.
    TimePoint mDeadline{};
    AttemptNumber mAttempt = 0;
    std::vector<BackendId> mTried;
    /// The present attempt's server; empty between attempts.
    BackendId mBackend;
    TimePoint mSentAt{};
    Duration mExpected{};
    Duration mExpectedWait{};
    std::size_t mRank = 0;
    bool mWasWarm = false;
    bool mWaitsForTokens = false;
    /// Whether some server may have run it.
    bool mMayHaveRun = false;
  };

  /// Arrivals of this VM's callers for a service.
  struct Arrivals
  {
    double mPerSecond = 0;
    TimePoint mAt{};
  };

  // gateway.cpp
  void On(const event::Tick& aEvent);
  void On(const event::PeerMessageReceived& aEvent);
  void On(const event::PolicyReceived& aEvent);
  void On(const event::BackendRegistered& aEvent);
  void On(const event::BackendRemoved& aEvent);
  void On(const event::EvacuationChanged& aEvent);
  void On(const event::VmRegistered& aEvent);
  void On(const event::RosterVmFound& aEvent);
  void On(const event::VmRemoved& aEvent);
  void On(const event::RegistrationsComplete& aEvent);
  void On(const event::StopRequested& aEvent);
  void On(const event::BackendProbed& aEvent);
  void TakeCoreEffects(cranberrywing::EffectList& aEffects);
  /// The server cannot be reached, says that it is unwell, or is gone.
  void NoteServerDown(const BackendId& aBackend);
  void Record(std::string aName,
              std::vector<cranberrywing::effect::Field> aFields);
  /// VMs that may lend tokens of the account, nearest first.
  std::vector<VmId> TokenPeers(const AccountId& aAccount);

  // gateway_upkeep.cpp
  void SendStatus();
  void UpdatePlan();
  RegionalLoad LoadOf(const ServiceId& aService) const;
  void RecordShares(const ServiceId& aService, const RegionalLoad& aLoad);
  void ProbeServers();
  void ContinueStop();
  void TellBlocks();
  double ArrivalRate(const ServiceId& aService) const;

  // gateway_requests.cpp
  void On(const event::RequestArrived& aEvent);
  void On(const event::RequestCancelled& aEvent);
  void On(const event::BackendReplied& aEvent);
  void On(const event::BackendFailed& aEvent);
  std::optional<Refusal> Identify(Request& aRequest);
  void Proceed(Request& aRequest);
  void RefuseForRate(Request& aRequest);
  /// Sends the request to the selected server, or refuses it.
  void Send(Request& aRequest, const std::optional<Selection>& aSelection);
  std::vector<Backend*> Candidates(const Request& aRequest,
                                   const RegionId& aRegion);
  /// Whether this VM's part of a cold server's rate in its region has room.
  bool MaySendCold(const Request& aRequest, Backend& aBackend) const;
  bool IsAllowed(const Request& aRequest, const RegionId& aRegion) const;
  std::optional<Selection> Select(const Request& aRequest);
  /// The server for a further attempt, whose budget is then spent; nothing if
  /// the rules allow none.
  std::optional<Selection> SelectRetry(const Request& aRequest);
  /// Sends the request to another server if the rules allow it. aReason says
  /// in the log how the last attempt ended.
  bool Retry(Request& aRequest, std::string_view aReason);
  void RecordRetry(const Request& aRequest, std::string_view aReason);
  Request* FindAttempt(RequestId aRequest, AttemptNumber aAttempt);

  // gateway_outcomes.cpp
  /// Ends the present attempt's accounting.
  Backend* EndAttempt(Request& aRequest, bool aHasAnswered);
  void NoteSuccess(Request& aRequest,
                   Backend& aBackend,
                   const event::BackendReplied& aEvent);
  void Answer(Request& aRequest, AnswerContentPtr aAnswer);
  void RefuseRequest(Request& aRequest, Refusal aRefusal);
  void FailUnknown(Request& aRequest, std::string aReason);
  void CheckDeadlines();
  /// Repeats idempotent requests at servers that give no answers at all.
  void LeaveSilentServers();
  Duration SpreadRetry(Duration aBase);

  Options mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{};
  EffectList mOut;

  PolicyPtr mPolicy;
  bool mHasRegistrations = false;
  std::optional<TimePoint> mStoppingSince;
  bool mHasClosedCallers = false;
  bool mHasExited = false;

  BackendPool mPool;
  FleetView mFleet;
  RegionPlan mPlan;
  ObjectSelector mSelector;
  ServiceSplit mSplit;
  ServiceTimes mTimes;
  ColdStart mColdStart;
  RetryBudget mRetries;
  AccountShares mShares;
  /// FleetView::Version that mShares was computed for.
  std::uint64_t mSharedVersion = 0;
  RateLimiter mRates;
  CrashGuard mCrashGuard;
  std::unordered_map<ServiceId, Arrivals> mArrivals;
  std::unordered_map<RequestId, Request> mRequests;
  GatewayCounters mCounters;

  /// Shares as they were last logged.
  std::map<ServiceId, RegionShares> mRecordedShares;
  TimePoint mNextPlan{};
  TimePoint mNextNearStatus{};
  TimePoint mNextFarStatus{};
};

} // namespace cranberrywing::gateway
