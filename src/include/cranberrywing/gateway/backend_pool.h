/// \file
/// Registered backend servers, with this VM's view of each: load, relative
/// speed, failures, health checks and recently handled objects.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/backend_rate_limit.h"
#include "cranberrywing/gateway/policy.h"
#include "cranberrywing/gateway/server_notices.h"
#include "cranberrywing/messages/gateway.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Registration of a backend server in the store.
struct BackendEntry
{
  BackendId mBackend;
  ServiceId mService;
  std::string mAddress;
  std::uint16_t mPort = 0;
  FailureDomainId mFailureDomain;
  RegionId mRegion;
  /// Number of requests that the server processes concurrently.
  std::uint32_t mSlots = 1;
  bool mIsDraining = false;
  /// Remaining cold-start time, as of the registration's last change.
  Duration mColdTimeLeft{};
  /// Start time of the process, in Unix milliseconds. A later value means a
  /// restart, which empties the server's object cache.
  std::int64_t mStartedMs = 0;
};

/// Load that a server reports in an answer or in a health check.
struct LoadSample
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// Factor by which work takes longer on the server's machine at this moment;
  /// 1 is as usual. Nullopt if the server states none.
  std::optional<double> mTimeFactor;
};

/// The factor if it is within the range that servers can state, from 0.1 to 20;
/// otherwise nullopt, also for NaN. Thread-safe.
std::optional<double> ValidTimeFactor(std::optional<double> aFactor);

/// 64-bit hash of an object's name; zero if the request names no object.
using ObjectHash = std::uint64_t;

/// State of one backend server. Plain data, modified only through BackendPool
/// unless a member says otherwise.
struct Backend
{
  BackendEntry mEntry;
  /// Hash of the server's identifier, for rendezvous hashing.
  std::uint64_t mHash = 0;
  /// Hash of identifier and start time, which differs after a restart.
  std::uint64_t mLifetimeHash = 0;
  /// Requests that this VM has in flight at the server.
  std::uint32_t mInFlight = 0;
  /// Requests of other VMs at the server, from the last load sample.
  double mOtherVmLoad = 0;
  TimePoint mOtherVmLoadAt{};
  /// Requests of other VMs at the server, from their status messages.
  double mPeerInFlight = 0;
  TimePoint mPeerInFlightAt{};
  /// Requests of all VMs at the server, as a VM of its region told it; only for
  /// servers of other regions.
  double mToldLoad = 0;
  TimePoint mToldLoadAt{};
  /// Minimum of the last ratios of observed to expected service time; 1 is
  /// normal. The minimum is not affected by answers that were queued at the
  /// server or that missed its object cache, so that a server of normal speed
  /// is not taken for a slow one.
  double mSlowness = 1;
  std::deque<double> mServiceTimeRatios;
  TimePoint mSlownessAt{};
  /// LoadSample::mTimeFactor of the last sample that stated one.
  double mTimeFactor = 1;
  TimePoint mTimeFactorAt{};
  /// Moving average of the fraction of requests that failed or that the server
  /// refused although it had free slots.
  double mFailureRate = 0;
  TimePoint mFailureAt{};
  std::uint32_t mConsecutiveFailures = 0;
  /// No request is sent before this time; a health check is required then.
  TimePoint mEjectedUntil{};
  TimePoint mEjectedAt{};
  Duration mEjectionTime{};
  bool mNeedsProbe = false;
  bool mIsProbing = false;
  /// Time of the last answer, or of the first request sent to the idle server
  /// if that is later.
  TimePoint mAwaitingSince{};
  /// Time of the last answer to this VM.
  TimePoint mAnsweredAt{};
  TimePoint mColdUntil{};
  /// Time until which the server may be cold although it has not reported so,
  /// unless it reports anew or a health check succeeds.
  TimePoint mMayBeColdUntil{};
  BackendRateLimit mRateLimit;
  /// This VM's part of mRateLimit, while that binds.
  RateQuota mRateQuota;
  /// Fraction of the slots that mRateLimit lets the fleet use; 1 without a
  /// limit.
  double mUsableFraction = 1;
  /// Weight in the rendezvous order of objects; 1 without a limit.
  double mRateWeight = 1;
  /// Times of recent dispatches and health checks while mRateLimit was binding.
  std::deque<TimePoint> mLimitedSends;
  /// Time of the last statement that the VMs of the region were told, by this
  /// or another VM.
  TimePoint mRateLimitToldAt{};
  /// Whether the limit has changed since then.
  bool mIsRateLimitNews = false;
  /// Times of recent dispatches during the cold start. Appended by BackendPool;
  /// ColdStartLimiter removes old entries.
  std::deque<TimePoint> mColdSends;
  /// Time of this VM's last dispatch to the server, by object.
  std::unordered_map<ObjectHash, TimePoint> mObjects;
};

/// Set of all registered servers. Not thread-safe; owned by the gateway.
class BackendPool
{
public:
  struct Options
  {
    /// Duration of the first ejection. It doubles with each further ejection,
    /// up to mMaxEjectionTime.
    Duration mEjectionTime = std::chrono::milliseconds(500);
    Duration mMaxEjectionTime = std::chrono::seconds(8);
    /// Consecutive failures that eject a server.
    std::uint32_t mFailureLimit = 3;
    /// Number of service time ratios whose minimum is a server's slowness.
    std::size_t mRatioWindowSize = 3;
    /// Half-life of a server's slowness and failure rate without new samples.
    Duration mSlownessHalfLife = std::chrono::seconds(4);
    /// Half-life of the distance of a server's stated time factor from 1. The
    /// statements change every 0.6 s on average.
    Duration mTimeFactorHalfLife = std::chrono::milliseconds(250);
    /// Half-life of the load estimate for requests of other VMs.
    Duration mLoadHalfLife = std::chrono::milliseconds(600);
    /// Time for which Backend::mToldLoad is used; several times the interval at
    /// which VMs of another region are told.
    Duration mToldLoadValidity = std::chrono::milliseconds(1500);
    /// Time after its last request for which an object counts as cached at a
    /// server. With 60 s, an object that a burst had spread over several
    /// servers stayed spread, and the servers had to handle more objects than
    /// they can cache.
    Duration mObjectRetention = std::chrono::seconds(3);
    /// Maximum number of objects tracked per server.
    std::size_t mMaxObjects = 128;
    /// A server is silent if it has requests in flight and has sent no answer
    /// for this multiple of the tail latency, and for at least mMinSilence.
    double mSilenceFactor = 1.5;
    Duration mMinSilence = std::chrono::milliseconds(500);
  };

  explicit BackendPool(Options aOptions);

  /// Adds or updates a registration. Returns true if it is new or has changed.
  /// After a restart of the server its previous state is discarded.
  bool Upsert(const BackendEntry& aEntry, TimePoint aNow);
  /// Returns true if the server was registered.
  bool Remove(const BackendId& aBackend);
  void SetEvacuated(const FailureDomainId& aDomain, bool aIsEvacuated);
  /// Takes the domain's servers for cold until then, or until they report.
  void SuspectCold(const FailureDomainId& aDomain, TimePoint aUntil);
  bool IsEvacuated(const FailureDomainId& aDomain) const;

  /// Server with the given Backend::mLifetimeHash, or null.
  Backend* FindLifetime(std::uint64_t aLifetimeHash);
  Backend* Find(const BackendId& aBackend);
  const Backend* Find(const BackendId& aBackend) const;
  /// All servers of a service, ordered by identifier.
  const std::vector<Backend*>& BackendsOfService(
    const ServiceId& aService) const;
  const std::map<BackendId, std::unique_ptr<Backend>>& All() const
  {
    return mBackends;
  }
  std::vector<ServiceId> Services() const;

  /// What servers have told this VM.
  ServerNotices& Notices() { return mNotices; }
  const ServerNotices& Notices() const { return mNotices; }

  /// Whether new requests may be sent to the server: it is eligible, has not
  /// asked this VM to wait, is not ejected and needs no health check.
  bool IsUsable(const Backend& aBackend, TimePoint aNow) const;
  /// Whether the server is not draining or leaving and its failure domain is
  /// not evacuated, regardless of this VM's own failures with it.
  bool IsEligible(const Backend& aBackend) const;
  /// Whether the server has asked this VM to send nothing for the time being.
  bool IsWaiting(const Backend& aBackend, TimePoint aNow) const;
  bool IsCold(const Backend& aBackend, TimePoint aNow) const;
  /// Whether the server has stated a rate limit that still binds.
  bool IsRateLimited(const Backend& aBackend, TimePoint aNow) const;
  /// Whether this VM's part of a rate-limited server's rate permits another
  /// request. Removes old entries from aBackend.mLimitedSends.
  bool MaySendLimited(Backend& aBackend, TimePoint aNow) const;
  /// Estimated number of requests at the server: those of this VM in flight
  /// plus an estimate for the other VMs.
  double Load(const Backend& aBackend, TimePoint aNow) const;
  /// Estimated factor by which the server is slower than normal.
  double Slowness(const Backend& aBackend, TimePoint aNow) const;
  /// Factor by which work takes longer on the server's machine, as it stated
  /// last; returns to 1 with Options::mTimeFactorHalfLife.
  double TimeFactor(const Backend& aBackend, TimePoint aNow) const;
  /// Whether requests are in flight and no answer has arrived for too long
  /// (Options::mSilenceFactor). aTailLatency is that of the route.
  bool IsSilent(const Backend& aBackend,
                Duration aTailLatency,
                TimePoint aNow) const;
  /// Whether this VM sent a request for the object to the server recently.
  bool IsWarm(const Backend& aBackend,
              ObjectHash aObject,
              TimePoint aNow) const;

  /// Records a dispatch of this VM to the server.
  void OnSent(Backend& aBackend, ObjectHash aObject, TimePoint aNow);
  /// Records the end of a dispatch. aHasAnswered tells whether the server is to
  /// be taken as responsive.
  void OnAttemptEnded(Backend& aBackend, bool aHasAnswered, TimePoint aNow);
  /// Records the load that an answer or a health check stated. An invalid time
  /// factor is ignored.
  void OnLoadSample(Backend& aBackend, const LoadSample& aLoad, TimePoint aNow);
  /// Records what a VM of the region told about its servers: those that are not
  /// listed are not busy.
  void OnRegionLoads(const RegionId& aRegion,
                     const std::vector<BusyBackend>& aBusy,
                     TimePoint aNow);
  /// At most aMaxCount of the region's servers that have no free slot, the
  /// busiest first.
  std::vector<BusyBackend> BusiestOf(const RegionId& aRegion,
                                     std::size_t aMaxCount,
                                     TimePoint aNow) const;
  /// Records a rate limit that the server stated at aStatedAt, or nullopt if it
  /// stated none. Ignored if a later statement is known. Returns whether the
  /// limit has changed.
  bool OnRateLimitStated(Backend& aBackend,
                         std::optional<double> aPerSecond,
                         TimePoint aStatedAt);
  /// Records a successful answer. aRatio is observed over expected service
  /// time, without the effect of the time factor that the answer stated.
  void OnSuccess(Backend& aBackend, double aRatio, TimePoint aNow);
  /// Records a request that reached its deadline without an answer after aRatio
  /// times the expected service time. For a slow server these may be the only
  /// samples, since its answers miss the callers' deadlines.
  void OnTimeout(Backend& aBackend, double aRatio, TimePoint aNow);
  /// Records a failed answer or a lost connection. Returns true if the server
  /// is ejected by it.
  bool OnFailure(Backend& aBackend, TimePoint aNow);
  /// Ejects a server that cannot be reached, that failed a health check, or
  /// whose address is used by another server.
  void Eject(Backend& aBackend, TimePoint aNow);
  /// Undoes the effect of all failures since aSince, for which this VM's links
  /// are to blame. Returns the number of servers that it had ejected since.
  std::size_t ForgiveFailures(TimePoint aSince, TimePoint aNow);
  /// Withholds requests until a health check, which is due at once.
  void RequireProbe(Backend& aBackend, TimePoint aNow);
  void OnProbeResult(Backend& aBackend, bool aIsHealthy, TimePoint aNow);
  /// Returns eligible servers whose ejection has ended and that need a health
  /// check, and marks them as being probed. Servers that have asked this VM to
  /// wait, or whose rate limit does not permit a request, are left for later.
  std::vector<Backend*> TakeProbesDue(TimePoint aNow);

private:
  void Reindex();
  void AddServiceTimeRatio(Backend& aBackend, double aRatio, TimePoint aNow);

  Options mOptions;
  std::map<BackendId, std::unique_ptr<Backend>> mBackends;
  std::unordered_map<ServiceId, std::vector<Backend*>> mByService;
  std::unordered_map<std::uint64_t, Backend*> mByLifetime;
  std::set<FailureDomainId> mEvacuated;
  ServerNotices mNotices;
};

} // namespace cranberrywing::gateway
