/// \file
/// Decision logic of the gateway, as a deterministic reducer: it authenticates
/// and admits callers' requests, selects a backend server for each, retries
/// failed attempts and decides on the caller's answer. It reads no clock and
/// performs no I/O; a driver delivers events and carries out effects.
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
#include "cranberrywing/gateway/caller_vms.h"
#include "cranberrywing/gateway/cold_start.h"
#include "cranberrywing/gateway/event.h"
#include "cranberrywing/gateway/fleet_view.h"
#include "cranberrywing/gateway/object_demand.h"
#include "cranberrywing/gateway/object_placement.h"
#include "cranberrywing/gateway/object_selector.h"
#include "cranberrywing/gateway/placement_exchange.h"
#include "cranberrywing/gateway/region_plan.h"
#include "cranberrywing/gateway/region_traffic.h"
#include "cranberrywing/gateway/retry_budget.h"
#include "cranberrywing/gateway/service_split.h"
#include "cranberrywing/gateway/service_times.h"
#include "cranberrywing/gateway/store_relay.h"
#include "cranberrywing/rate_limiter.h"
#include "cranberrywing/server_reach.h"

namespace cranberrywing::gateway {

/// Counters since the start of the process, for metrics.
struct GatewayCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mCancelled = 0;
  /// Parts of configurations that could not be read.
  std::uint64_t mPolicyProblems = 0;
  /// Attempts for which no connection to the server could be opened.
  std::uint64_t mConnectFailures = 0;
  /// Times that the links to all backend servers were lost.
  std::uint64_t mServerLinkLosses = 0;
  /// Placements of objects that this VM decided as the placing VM.
  std::uint64_t mObjectMoves = 0;
  std::map<ResultCode, std::uint64_t> mRefused;
};

/// VMs to which lookups direct the callers of this VM's region.
struct CallerVmCounts
{
  std::size_t mNamed = 0;
  /// Usable VMs that are left out because of their slow links.
  std::size_t mLeftOut = 0;
  /// Whether this VM is among those named.
  bool mNamesSelf = false;

  bool operator==(const CallerVmCounts&) const = default;
};

/// Why the last attempt at a request is known not to have run.
enum class NotRunReason : std::uint8_t
{
  NoAttempt,
  /// No byte was written to the server.
  NothingWritten,
  /// The server said so.
  Refusal,
  /// Another server at the address said so.
  WrongServer,
};

/// Not thread-safe: the driver has to call it from one thread. Equal options,
/// events and times give equal effects.
class Gateway
{
public:
  struct Options
  {
    VmRecord mSelf;
    std::uint64_t mSeed = 1;
    RetryBudget::Options mRetries;
    ColdStartLimits mColdStart;
    /// Time after an outage of the store within which servers have reported
    /// their state again.
    Duration mReportTime = std::chrono::milliseconds(2100);
    /// RegionPlan::Options::mMaxShift.
    double mMaxShift = 0.15;
    /// Whether objects are placed at other servers than the first one of their
    /// order (ObjectPlacement). Otherwise nothing of it is counted, sent or
    /// used.
    bool mPlacesObjects = true;
    /// Time for which callers may cache a lookup answer.
    Duration mLookupLifetime = std::chrono::milliseconds(1300);
    /// Time from the stop request until the process is killed.
    Duration mStopLimit = std::chrono::seconds(6);
    /// Time after the stop request in which new requests are still accepted:
    /// callers may use a lookup answer for up to three lifetimes.
    Duration mAcceptTimeAfterStop = std::chrono::milliseconds(3900);
  };

  explicit Gateway(Options aOptions);

  /// Processes one event and returns the effects to carry out, in order.
  /// Precondition: aNow never decreases.
  EffectList Reduce(const Event& aEvent, TimePoint aNow);

  /// Whether callers may be directed to this VM: it has a configuration and all
  /// registrations, is not stopping, and reaches backend servers unless no VM
  /// does.
  bool IsReady() const;
  /// Whether the links to all backend servers are lost.
  bool IsCutOff() const { return mServerReach.IsCutOff(); }
  bool IsStopping() const { return mStoppingSince.has_value(); }
  /// Earliest time at which the stop may have been requested; nullopt if it has
  /// not been.
  std::optional<TimePoint> StoppingSince() const { return mStoppingSince; }
  /// At most aMaxCount of the VMs that callers of a region should use. If there
  /// are more, the choice differs from VM to VM and changes with time, so that
  /// all of them get callers. If the configuration has routes with large
  /// answers, VMs with slow links are left out as caller_vms.h describes. If
  /// the answer has VMs of several regions, that rule holds for each of them.
  std::vector<VmRecord> CallerTargets(const RegionId& aRegion,
                                      std::size_t aMaxCount,
                                      TimePoint aNow) const;
  /// Numbers for the own region, without regard to a maximum count.
  CallerVmCounts CountCallerVms(TimePoint aNow) const;
  /// Time for which callers may use a lookup's answer with so many VMs.
  Duration LookupLifetime(std::size_t aTargets) const;

  const GatewayCounters& Counters() const { return mCounters; }
  const BackendPool& Pool() const { return mPool; }
  const FleetView& Fleet() const { return mFleet; }
  /// Age of the latest confirmation that this VM's copy of the store is
  /// current; nullopt before the first.
  std::optional<Duration> StoreAge(TimePoint aNow) const
  {
    return mStoreRelay.Age(aNow);
  }
  /// Number of different requests that are refused since they crashed servers.
  std::size_t BlockedRequests() const { return mCrashGuard.BlockCount(); }
  const PlacementExchange& Placements() const { return mPlacementExchange; }
  const PolicyPtr& CurrentPolicy() const { return mPolicy; }
  std::size_t InFlight() const { return mRequests.size(); }

private:
  /// One attempt at a backend server.
  struct Attempt
  {
    AttemptNumber mNumber = 0;
    /// Empty once the attempt has ended.
    BackendId mBackend;
    /// Backend::mLifetimeHash of the process to which it was sent.
    std::uint64_t mLifetime = 0;
    TimePoint mSentAt{};
    Duration mExpectedTotal{};
    Duration mExpectedWait{};
    /// Selection::mRank, for the log.
    std::size_t mRank = 0;
    bool mWasWarm = false;
    /// Region of the server, and why it is not the planned one.
    RegionId mRegion;
    PlanExit mPlanExit = PlanExit::None;
  };

  struct NotRunProof
  {
    NotRunReason mReason = NotRunReason::NoAttempt;
    /// Connection on which a server said so.
    event::ConnectionTrace mConnection;
  };

  /// A request that has no final answer yet.
  struct Request
  {
    event::RequestArrived mArrival;
    /// Owns what mRoute and mAccount point to.
    PolicyPtr mPolicy;
    const RoutePolicy* mRoute = nullptr;
    const AccountPolicy* mAccount = nullptr;
    ServiceId mService;
    ObjectHash mObject = 0;
    /// Position in [0, 1) for RegionPlan::Rank.
    double mPosition = 0;
    int mPriority = 0;
    ContentDigest mFingerprint{};
    TimePoint mArrivedAt{};
    /// Time at which the final answer is due.
    TimePoint mDeadline{};
    /// Servers of all attempts, in their order.
    std::vector<BackendId> mTriedBackends;
    Attempt mCurrent;
    /// A second attempt in progress. The first answer counts, so that a server
    /// that was only slow has not worked in vain.
    std::optional<Attempt> mOther;
    /// Connection of the last attempt, if it was answered.
    event::ConnectionTrace mAnsweredOn;
    bool mWaitsForTokens = false;
    /// Whether any server may have run the request.
    bool mMayHaveRun = false;
    /// Holds unless mMayHaveRun.
    NotRunProof mNotRunProof;
  };

  /// Decaying average of the rate at which requests for a service arrive at
  /// this VM.
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
  void On(const event::StoreProgressed& aEvent);
  void On(const event::StorePullEnded& aEvent);
  void On(const event::StopRequested& aEvent);
  void On(const event::BackendProbed& aEvent);
  void On(const event::ServerChecked& aEvent);
  void OnMessage(const message::BackendRateLimits& aMessage);
  void OnMessage(const message::BackendsLeaving& aMessage);
  /// Moves the effects of modules that are shared with the daemon's reducer to
  /// mEffects; adds the peers' addresses to messages.
  void ForwardCoreEffects(cranberrywing::EffectList& aEffects);
  /// Informs the crash guard that the server cannot be reached, failed a health
  /// check or was removed.
  void OnBackendDown(const BackendId& aBackend);
  /// Informs the crash guard which process runs under the server's identifier.
  void OnBackendRestarted(const Backend& aBackend);
  /// Appends an event to the log.
  void Record(std::string aName,
              std::vector<cranberrywing::effect::Field> aFields);
  /// VMs that may lend tokens of the account, those of the own region first.
  std::vector<VmId> TokenPeers(const AccountId& aAccount);

  // gateway_lookups.cpp
  /// IsReady without regard to the links to backend servers.
  bool HasStarted() const;
  OwnState OwnLookupState() const;
  /// Leaves VMs with slow links out if the configuration has routes with large
  /// answers.
  std::vector<VmRecord> ChooseCallerVms(std::vector<VmRecord> aUsable,
                                        TimePoint aNow) const;
  /// Updates mCallerVms, and logs if the choice for the own region changed.
  void UpdateCallerVms();
  void RecordCallerVms(const CallerVmCounts& aCounts);

  // gateway_reach.cpp
  /// Whether servers have answered lately, at least over connections that were
  /// open before.
  bool HasOpenServerConnections() const;
  /// Whether requests can be expected to reach servers.
  bool CanSendToServers() const;
  /// Whether the request's server should have answered it, or any server a
  /// request of this VM, by now.
  bool IsOverdue(const Request& aRequest) const;
  /// Suspects the links if requests at several servers are overdue.
  void SuspectOverdueServers();
  /// Starts a round of checks if one is due, and tells other VMs of a loss.
  void CheckServerReach();
  /// Handles a failure to connect to the server. Whether the server or this
  /// VM's links are to blame shows in the next round of checks.
  void OnUnreachable(const BackendId& aBackend);
  /// Whether callers are served better by other VMs, so that their connections
  /// are closed after an answer: this VM is stopping, or it reaches no backend
  /// server while others do.
  bool SendsCallersAway() const;
  /// While cut off, ends idempotent requests whose answers are not expected any
  /// more, so that their callers can still be served by another VM.
  void GiveUpOverdueRequests();
  /// Tells all VMs whether this VM reaches servers, if that is due.
  void TellServerReach();

  // gateway_notices.cpp
  /// Heeds what a server said of itself.
  void HeedNotices(const Backend& aBackend,
                   bool aIsLeaving,
                   std::optional<Duration> aWait,
                   NoticeSource aSource);
  /// Tells a VM that has just started which servers are leaving.
  void TellLeavingServers(const VmId& aVm);
  /// Returns false if it was known that the server is leaving.
  bool MarkLeaving(const Backend& aBackend, NoticeSource aSource);
  /// Time until the first server of the service that has asked to wait can be
  /// used; nullopt if none waits.
  std::optional<Duration> ShortestWait(const ServiceId& aService) const;

  // gateway_upkeep.cpp
  /// Sends the messages to the own region and to others that are due.
  void SendStatus();
  void SendSameRegionStatus();
  /// Rate limits that servers stated to this VM since the last call.
  message::BackendRateLimits TakeStatedRateLimits();
  /// All known rate limits of the own region's servers.
  message::BackendRateLimits RegionRateLimits() const;
  /// Tells these to some of the given VMs of other regions in turn.
  void SendRegionRateLimits(const std::vector<const Peer*>& aReceivers);
  /// Computes the server's quota and usable fraction from its rate limit.
  void UpdateRateQuota(Backend& aBackend);
  /// Does so for all servers, and ends limits that have lapsed.
  void UpdateRateQuotas();
  /// Computes the weights of the own region's servers of a service.
  void UpdateRateWeights(const ServiceId& aService);
  /// Whether status messages are sent to the peer.
  bool IsReceiver(const Peer& aPeer) const;
  /// Sends queries and beacons, starts pulls and sets how this VM follows the
  /// store.
  void RelayStoreChanges();
  void SendTo(const RelayEndpoint& aReceiver, Message aMessage);
  /// Sends a message that makes this VM count as usable, after the one that
  /// says that it reaches no backend server, if so: a VM that has just started
  /// must not learn the first without the second.
  void SendStatusTo(const RelayEndpoint& aReceiver, Message aMessage);
  void UpdatePlan();
  /// Logs the service's region shares if they changed noticeably.
  void RecordShares(const ServiceId& aService, const RegionalLoad& aLoad);
  void ProbeServers();
  /// Sends what is new in the crash guard to all peers.
  void BroadcastRequestBlocks();
  /// Repeats blocked requests to one peer after the other.
  void RepeatRequestBlocks();
  /// Tells a VM that has just started which requests are blocked.
  void TellRequestBlocks(const VmId& aVm);

  // gateway_shutdown.cpp
  /// Whether a request that arrives after the stop request is accepted: it will
  /// have its answer before the process exits. Precondition: IsStopping.
  bool MayFinishBeforeExit(const Request& aRequest) const;
  /// Latest time at which a stopping process exits. Precondition: IsStopping.
  TimePoint ExitTime() const;
  /// Closes caller connections and exits once the stop's deadlines are reached.
  void AdvanceShutdown();
  /// Refuses all requests in flight, so that finished answers behind them on
  /// their connections can be sent.
  void GiveUpAllRequests();

  // gateway_requests.cpp
  void On(const event::RequestArrived& aEvent);
  void On(const event::RequestCancelled& aEvent);
  void On(const event::BackendReplied& aEvent);
  void On(const event::BackendFailed& aEvent);
  /// Sets the request's policy, route and account, or returns why not.
  std::optional<Refusal> ResolveRouteAndAccount(Request& aRequest);
  /// Applies the account's rate limit: the request is dispatched, refused, or
  /// held until tokens arrive.
  void AdmitByRate(Request& aRequest);
  void RefuseRateExceeded(Request& aRequest);
  /// Dispatches the request to the selected server if admission control
  /// permits, or else refuses it.
  void DispatchOrRefuse(Request& aRequest,
                        const std::optional<Selection>& aSelection);
  /// Usable servers of the region that the request has not tried yet.
  std::vector<Backend*> Candidates(const Request& aRequest,
                                   const RegionId& aRegion);
  /// Whether the server's cold start or stated rate limit, if any, permits
  /// another request of this VM.
  bool IsWithinQuotas(const Request& aRequest, Backend& aBackend) const;
  /// Whether this VM's quota for a cold server of its own region permits
  /// another request.
  bool MaySendCold(const Request& aRequest, Backend& aBackend) const;
  /// Whether both route and account may be served by the region.
  bool IsAllowed(const Request& aRequest, const RegionId& aRegion) const;
  /// Selects a server from the first region, in order of preference, that has
  /// one; nullopt if no region has.
  std::optional<Selection> Select(const Request& aRequest);
  /// Selects a rate-limited server of the own region whose limit still permits
  /// requests, for a request that the servers of its object are too busy for.
  std::optional<Selection> SelectSpareLimited(const Request& aRequest);
  AdmissionDecision Admit(const Request& aRequest,
                          const Selection& aSelection) const;

  // gateway_attempts.cpp
  /// Returns the request and makes the attempt its current one; null if it is
  /// not in progress.
  Request* FindAttempt(RequestId aRequest, AttemptNumber aAttempt);
  /// Marks the current attempt as ended; aHasAnswered as in
  /// BackendPool::OnAttemptEnded. Returns the attempt's server, or null if it
  /// is no longer registered or another process runs under its identifier.
  Backend* EndAttempt(Request& aRequest, bool aHasAnswered);
  /// Cancels the current attempt, if it is in progress.
  void CancelAttempt(Request& aRequest, bool aHasAnswered);
  /// Cancels the other attempt, if any. If it is the earlier one, its server
  /// was silent for longer than another one took for the whole request.
  void CancelOtherAttempt(Request& aRequest);
  /// After the current attempt has ended without an answer for the caller,
  /// waits for the other one; false if there is none.
  bool AwaitOtherAttempt(Request& aRequest);
  /// Sends idempotent requests whose servers have stopped answering to a second
  /// server as well.
  void RetryFromSilentServers();
  void Dispatch(Request& aRequest, const Selection& aSelection);
  /// Selects the server for another attempt and charges the retry budget.
  /// Returns nullopt if no retry is permitted.
  std::optional<Selection> SelectRetry(const Request& aRequest);
  /// Retries the request at another server if permitted; returns false if not.
  /// aReason is the outcome of the last attempt, for the log.
  bool Retry(Request& aRequest, std::string_view aReason);
  void RecordRetry(const Request& aRequest, std::string_view aReason);

  // gateway_demand.cpp
  void OnMessage(const VmIncarnation& aFrom,
                 const message::RegionServerLoads& aMessage);
  void SendRegionDemand();
  /// Tells some of the given VMs of other regions, in turn, which servers of
  /// the own region are busy.
  void SendServerLoads(const std::vector<const Peer*>& aReceivers);
  /// Demand of this VM's callers, by service, without what is bound to regions.
  std::vector<ServiceDemand> OwnDemand() const;
  /// Demand of this VM's callers that is bound to regions, or of all callers of
  /// the own region.
  std::vector<BoundDemand> OwnBoundDemand() const;
  std::vector<BoundDemand> RegionBoundDemand() const;
  /// Mean time that a server takes for a request of the service, in seconds;
  /// zero if unknown.
  double MeanSeconds(const ServiceId& aService) const;
  /// Server slots that requests of this VM's callers keep busy which may run in
  /// any region.
  double UnboundSlots(const ServiceId& aService) const;
  /// Arrivals per second, decayed to the present.
  double RateOf(const Arrivals& aArrivals) const;
  void CountArrival(Arrivals& aArrivals);
  /// Requests per second for the service from this VM's callers.
  double ArrivalRate(const ServiceId& aService) const;
  RegionalLoad ComputeRegionalLoad(const ServiceId& aService) const;
  /// Logs where requests of the last window were planned and sent.
  void RecordRegionTraffic();
  /// Counts a new request in mArrivals and mBoundArrivals.
  void CountDemand(const Request& aRequest);
  /// Regions that may serve the request, in order of preference.
  std::vector<RegionId> RankRegions(const Request& aRequest) const;
  /// Counts where the request is sent and sets Attempt::mRegion and mPlanExit.
  void CountRegion(Request& aRequest, const RegionId& aRegion);

  // gateway_placement.cpp
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ObjectDemands& aMessage);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ObjectPlacements& aMessage);
  /// Counts a new request in mObjectDemand.
  void CountObjectDemand(const Request& aRequest, const RegionId& aRegion);
  /// Elects the placing VM, recomputes placements if this VM places, and sends
  /// reports and placements that are due.
  void ExchangePlacements();
  /// VMs of the own region that may place its objects.
  std::vector<PlacementCandidate> PlacementCandidates() const;
  /// VMs that receive placements, in ascending order.
  std::vector<VmId> PlacementReceivers() const;
  /// Servers of the own region at which objects of the service may be placed.
  std::vector<PlacementServer> PlacementServers(
    const ServiceId& aService) const;
  /// Recomputes the placements of the own region's servers and publishes them.
  void UpdatePlacements(const std::vector<VmId>& aReceivers);
  /// Takes over what another VM has placed.
  void AdoptPlacements();
  void ReportObjectDemand();
  void RecordPlacement(const PlacedObject& aPlaced);
  /// Servers of the region at which the object of the request is placed.
  std::span<const std::uint64_t> PlacedServers(const Request& aRequest,
                                               const RegionId& aRegion) const;

  // gateway_outcomes.cpp
  /// Logs a change of the server's rate limit.
  void RecordRateLimit(const Backend& aBackend,
                       std::optional<double> aBefore,
                       std::string_view aSource);
  /// Heeds what a server says of itself in a proven answer.
  void HeedAnswer(Backend& aBackend, const event::BackendReplied& aEvent);
  /// Learns the rate limit that a request's answer states. Precondition: the
  /// answer is proven.
  void LearnRateLimit(Backend& aBackend, const event::BackendReplied& aEvent);
  /// Learns a server's rate limit from a statement at aStatedAt, and logs a
  /// change. aSource says where the statement was read.
  void LearnRateLimit(Backend& aBackend,
                      std::optional<double> aPerSecond,
                      TimePoint aStatedAt,
                      std::string_view aSource);
  /// Informs the crash guard that the server reset the attempt's connection,
  /// unless the server is leaving.
  void RecordReset(const Request& aRequest, const Attempt& aAttempt);
  /// Updates service times, server health and crash guard. The latency counts
  /// as it would be without the time factor that the answer states.
  void LearnFromSuccess(Request& aRequest,
                        Backend& aBackend,
                        const event::BackendReplied& aEvent);
  void Answer(Request& aRequest, const event::BackendReplied& aEvent);
  void RefuseRequest(Request& aRequest, Refusal aRefusal);
  /// Refuses a request that may have been executed.
  void RefuseOutcomeUnknown(Request& aRequest, std::string aReason);
  /// Refuses requests whose deadline is reached.
  void ExpireRequests();
  /// Ends what is still done for a request that is given up: a wait for tokens,
  /// or the current attempt. Returns the attempt's server as EndAttempt does.
  Backend* EndWithoutAnswer(Request& aRequest);
  /// Refuses a request that has been given up. The code applies if the request
  /// has not run; otherwise its outcome is unknown.
  void RefuseUnanswered(Request& aRequest,
                        ResultCode aNotRunCode,
                        std::string aDetail);
  /// Applies random jitter and bounds to a retry delay.
  Duration JitterRetryDelay(Duration aBase);

  Options mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{};
  EffectList mEffects;

  PolicyPtr mPolicy;
  bool mHasRegistrations = false;
  TimePoint mRegistrationsAt{};
  std::optional<TimePoint> mStoppingSince;
  /// Times of the last two Ticks.
  TimePoint mLastTick{};
  std::optional<TimePoint> mTickBefore;
  bool mHasClosedCallerConnections = false;
  bool mHasExited = false;

  BackendPool mPool;
  ServerReach mServerReach;
  FleetView mFleet;
  CallerVms mCallerVms;
  TimePoint mNextCallerVms{};
  /// As last logged; nullopt if the configuration had no routes with large
  /// answers then.
  std::optional<CallerVmCounts> mRecordedCallerVms;
  StoreRelay mStoreRelay;
  /// As last told to the driver.
  effect::FollowStore mFollowStore;
  RegionPlan mRegionPlan;
  RegionTraffic mRegionTraffic;
  ObjectSelector mSelector;
  ServiceSplit mServiceSplit;
  ServiceTimes mServiceTimes;
  ColdStartLimiter mColdStart;
  RetryBudget mRetries;
  AccountShares mAccountShares;
  /// FleetView::Version that mAccountShares was computed for.
  std::uint64_t mSharedFleetVersion = 0;
  RateLimiter mRateLimiter;
  CrashGuard mCrashGuard;
  std::unordered_map<ServiceId, Arrivals> mArrivals;
  /// Arrivals of requests that may run in some regions only, by the region to
  /// which they are directed. mArrivals counts them as well.
  std::map<ServiceId, std::map<RegionId, Arrivals>> mBoundArrivals;
  ObjectDemandCounter mObjectDemand;
  PlacementExchange mPlacementExchange;
  /// Placements that this VM decides while it is the placing VM.
  struct ServicePlacement
  {
    ObjectPlacement mPlacement;
    /// As last set in mPlacement.
    PlacementExchange::Demand mDemand;
  };
  std::map<ServiceId, ServicePlacement> mServicePlacements;
  std::unordered_map<RequestId, Request> mRequests;
  GatewayCounters mCounters;

  /// Shares as last logged.
  std::map<ServiceId, RegionShares> mRecordedShares;
  /// Servers that could not be reached, while it is not known yet whether this
  /// VM reaches any.
  std::vector<BackendId> mSuspectedServers;
  /// Time of the last answer from any server.
  TimePoint mLastAnswerAt{};
  TimePoint mNextPlan{};
  TimePoint mNextSameRegionStatus{};
  TimePoint mNextCrossRegionStatus{};
  /// Positions in the list of VMs of other regions. They start at a different
  /// one on each VM, so that a receiver does not hear from all VMs of a region
  /// at one time and then from none.
  std::size_t mNextDemandReceiver;
  std::size_t mNextLimitReceiver;
  std::size_t mNextLoadReceiver;
  /// The same for the list of all VMs.
  std::size_t mNextBlockReceiver;
};

} // namespace cranberrywing::gateway
