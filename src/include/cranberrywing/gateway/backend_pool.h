/// \file
/// The backend servers that have registered, with what this VM knows of each:
/// load, speed, failures and the objects that it handled recently.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/gateway/policy.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// A backend server's registration.
struct BackendEntry
{
  BackendId mBackend;
  ServiceId mService;
  std::string mAddress;
  std::uint16_t mPort = 0;
  FailureDomainId mFailureDomain;
  RegionId mRegion;
  /// Requests that it works on at one time.
  std::uint32_t mSlots = 1;
  bool mIsDraining = false;
  /// How much longer it is cold, as of the registration's last change.
  Duration mColdTimeLeft{};
  /// Start of the process, in Unix milliseconds; a later start knows nothing
  /// of what the earlier one handled.
  std::int64_t mStartedMs = 0;
};

/// Load as the server itself reports it in an answer.
struct LoadSample
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

/// 64-bit hash of an object's name; zero if a request names none.
using ObjectHash = std::uint64_t;

/// One backend server. Plain data, changed by BackendPool only.
struct Backend
{
  BackendEntry mEntry;
  /// Hash of the identifier, for rendezvous weights.
  std::uint64_t mHash = 0;
  /// Requests of this VM at the server.
  std::uint32_t mInFlight = 0;
  /// Requests of other VMs there, from the last load sample.
  double mOthers = 0;
  TimePoint mOthersAt{};
  /// Requests of other VMs there, as those VMs last told.
  double mPeerInFlight = 0;
  TimePoint mPeerInFlightAt{};
  /// Least of the last ratios of observed to expected service time; 1 is
  /// usual. A server of usual speed is soon seen to be fast, however many of
  /// its answers waited or were about objects that it had forgotten.
  double mSlowness = 1;
  std::deque<double> mRatios;
  TimePoint mSlownessAt{};
  /// Part of recent requests that failed or were shed without need.
  double mFailureRate = 0;
  TimePoint mFailureAt{};
  std::uint32_t mConsecutiveFailures = 0;
  /// No request goes there before; a health check decides afterwards.
  TimePoint mEjectedUntil{};
  Duration mEjection{};
  bool mNeedsProbe = false;
  bool mIsProbing = false;
  /// Earliest time since which a request of this VM awaits an answer and
  /// none has come from the server.
  TimePoint mAwaitingSince{};
  TimePoint mColdUntil{};
  /// Sends of the last second while cold.
  std::deque<TimePoint> mColdSends;
  /// When this VM last sent a request of the object there.
  std::unordered_map<ObjectHash, TimePoint> mObjects;
};

/// Not thread-safe; owned by the gateway.
class BackendPool
{
public:
  struct Options
  {
    /// First ejection; doubles up to the longest.
    Duration mEjection = std::chrono::milliseconds(500);
    Duration mLongestEjection = std::chrono::seconds(8);
    /// Failures in a row that eject a server.
    std::uint32_t mFailureLimit = 3;
    /// Ratios of which the least tells how slow a server is.
    std::size_t mRatioCount = 3;
    /// Time in which knowledge of a server's slowness halves without news.
    Duration mSlownessHalfLife = std::chrono::seconds(4);
    /// Time in which a load sample's count of others' requests halves.
    Duration mLoadHalfLife = std::chrono::milliseconds(600);
    /// Time without use after which a server has forgotten an object. With
    /// 60 s an object that once left its server in a burst used several servers
    /// for good, more objects than they remember.
    Duration mObjectMemory = std::chrono::seconds(3);
    /// Objects remembered per server.
    std::size_t mObjectLimit = 128;
    /// A server is silent if it gives no answer for this multiple of the
    /// longest time that a request usually takes, and for at least mSilence.
    double mSilenceFactor = 1.5;
    Duration mSilence = std::chrono::milliseconds(500);
  };

  explicit BackendPool(Options aOptions);

  /// True if the entry is new or changed. A later start of a known server
  /// forgets what was known of the earlier one.
  bool Upsert(const BackendEntry& aEntry, TimePoint aNow);
  /// True if the server was known.
  bool Remove(const BackendId& aBackend);
  void SetEvacuated(const FailureDomainId& aDomain, bool aIsEvacuated);
  bool IsEvacuated(const FailureDomainId& aDomain) const;

  Backend* Find(const BackendId& aBackend);
  const Backend* Find(const BackendId& aBackend) const;
  /// Every server of a service, in order of identifier.
  const std::vector<Backend*>& BackendsOfService(
    const ServiceId& aService) const;
  const std::map<BackendId, std::unique_ptr<Backend>>& All() const
  {
    return mBackends;
  }
  std::vector<ServiceId> Services() const;

  /// Whether new work may go there: registered as ready, its failure domain
  /// not evacuated, not ejected.
  bool IsUsable(const Backend& aBackend, TimePoint aNow) const;
  /// As IsUsable, whatever this VM's own failures say.
  bool IsOffered(const Backend& aBackend) const;
  bool IsCold(const Backend& aBackend, TimePoint aNow) const;
  /// Requests there, this VM's own and an estimate of the others'.
  double Load(const Backend& aBackend, TimePoint aNow) const;
  /// Present estimate of the factor by which it is slower than usual.
  double Slowness(const Backend& aBackend, TimePoint aNow) const;
  /// Whether requests wait there and no answer has come for long.
  bool IsSilent(const Backend& aBackend,
                Duration aLongest,
                TimePoint aNow) const;
  bool IsWarm(const Backend& aBackend,
              ObjectHash aObject,
              TimePoint aNow) const;

  void OnSent(Backend& aBackend, ObjectHash aObject, TimePoint aNow);
  /// A request of this VM ended there. aHasAnswered tells whether the server
  /// sent something.
  void OnAttemptEnded(Backend& aBackend, bool aHasAnswered, TimePoint aNow);
  void OnLoad(Backend& aBackend, const LoadSample& aLoad, TimePoint aNow);
  /// aRatio is observed over expected service time.
  void OnSuccess(Backend& aBackend, double aRatio, TimePoint aNow);
  /// A request ended without an answer after aRatio times the expected service
  /// time: a slow server gives no other sample before its callers' deadlines.
  void OnTimeout(Backend& aBackend, double aRatio, TimePoint aNow);
  /// An answer failed, or a connection broke. True if it got ejected.
  bool OnFailure(Backend& aBackend, TimePoint aNow);
  /// It cannot be reached, or is not the server that was registered.
  void Eject(Backend& aBackend, TimePoint aNow);
  /// No request goes there until a health check, which is due at once.
  void Suspect(Backend& aBackend, TimePoint aNow);
  void OnProbe(Backend& aBackend, bool aIsHealthy, TimePoint aNow);
  /// Servers whose ejection has ended and that need a health check.
  std::vector<Backend*> TakeProbesDue(TimePoint aNow);

private:
  void Reindex();
  void AddRatio(Backend& aBackend, double aRatio, TimePoint aNow);

  Options mOptions;
  std::map<BackendId, std::unique_ptr<Backend>> mBackends;
  std::unordered_map<ServiceId, std::vector<Backend*>> mByService;
  std::set<FailureDomainId> mEvacuated;
};

} // namespace cranberrywing::gateway
