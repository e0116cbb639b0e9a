/// \file
/// Simulation of backend servers with a queue and an object cache, in virtual
/// time. A server cache is LRU, and a request for a cached object is faster.
/// Some servers may fail and come back with empty caches. Tests and benchmarks
/// compare server selection policies on equal arrivals.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/gateway/admission.h"
#include "cranberrywing/gateway/object_placement.h"
#include "cranberrywing/gateway/object_selector.h"

namespace cranberrywing::gateway::testing {

/// Parameters of a run.
struct ObjectMemoryLoad
{
  std::size_t mServers = 12;
  /// Concurrent requests per server.
  std::uint32_t mSlots = 4;
  /// Objects in a server's cache; the least recently used is evicted first.
  std::size_t mCacheCapacity = 60;
  /// Distinct objects; each request draws one at random.
  std::size_t mObjects = 400;
  /// The object of rank n has the weight n^-mSkew.
  double mSkew = 0;
  /// Service time of a request for a cached object.
  Duration mWarm = std::chrono::milliseconds(150);
  /// Service time of a request for an object that is not cached.
  Duration mMissLatency = std::chrono::milliseconds(500);
  /// Service time that the VM expects of a server to which it has not sent the
  /// object itself. Close to mWarm: other VMs send the object there, so that it
  /// is mostly cached.
  Duration mUnknown = std::chrono::milliseconds(180);
  Duration mTarget = std::chrono::milliseconds(400);
  Duration mTimeout = std::chrono::milliseconds(1500);
  /// Arrival rate relative to the capacity of the servers if every object were
  /// cached.
  double mLoad = 0.8;
  Duration mRunDuration = std::chrono::seconds(60);
  /// Number of servers that fail together; their requests are lost.
  std::size_t mFailingServers = 0;
  /// Since the start of the run.
  Duration mFailsAt = std::chrono::seconds(20);
  Duration mReturnsAt = std::chrono::seconds(35);
  std::uint64_t mSeed = 1;
};

/// Counts of a run, and the same as fractions of the arrivals.
struct ObjectMemoryResult
{
  std::size_t mArrivals = 0;
  std::size_t mRefused = 0;
  std::size_t mWithinTarget = 0;
  std::size_t mMisses = 0;

  double WithinTarget() const { return FractionOfArrivals(mWithinTarget); }
  double Refused() const { return FractionOfArrivals(mRefused); }
  double Misses() const { return FractionOfArrivals(mMisses); }

private:
  double FractionOfArrivals(std::size_t aCount) const
  {
    return static_cast<double>(aCount) /
           static_cast<double>(std::max<std::size_t>(1, mArrivals));
  }
};

/// Runs one VM that selects servers and knows the load of each. Not
/// thread-safe.
class ObjectMemoryModel
{
public:
  /// Selects a server for an object; none if no server can be used.
  using Choice = std::function<std::optional<Selection>(
    const BackendPool& aPool,
    const std::vector<Backend*>& aServers,
    ObjectHash aObject,
    const ExpectedTimes& aTimes,
    TimePoint aNow)>;

  ObjectMemoryModel(ObjectMemoryLoad aLoad, Choice aChoice)
    : mLoad(aLoad)
    , mChoice(std::move(aChoice))
    , mServers(aLoad.mServers)
    , mRandom(aLoad.mSeed)
    , mTimes{ .mWarm = aLoad.mWarm,
              .mUnknown = aLoad.mUnknown,
              .mMean = aLoad.mWarm,
              .mTailLatency = aLoad.mMissLatency }
  {
    for (std::size_t n = 0; n < aLoad.mServers; ++n) {
      mPool.Upsert({ .mBackend = BackendId("server-" + std::to_string(n)),
                     .mService = mService,
                     .mAddress = "10.0.0.1",
                     .mPort = static_cast<std::uint16_t>(1000 + n),
                     .mSlots = aLoad.mSlots },
                   mNow);
    }
    const std::vector<Backend*>& backends = mPool.BackendsOfService(mService);
    for (std::size_t n = 0; n < backends.size(); ++n) {
      mServers[n].mBackend = backends[n];
    }
  }

  /// Runs the simulation; to be called once.
  ObjectMemoryResult Run()
  {
    const double perSecond =
      mLoad.mLoad * static_cast<double>(mLoad.mServers * mLoad.mSlots) /
      std::chrono::duration<double>(mLoad.mWarm).count();
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_int_distribution<std::size_t> object(1, mLoad.mObjects);
    std::vector<double> weights;
    for (std::size_t n = 1; n <= mLoad.mObjects; ++n) {
      weights.push_back(std::pow(static_cast<double>(n), -mLoad.mSkew));
    }
    std::discrete_distribution<std::size_t> skewedObject(weights.begin(),
                                                         weights.end());
    const TimePoint start = mNow;
    const TimePoint end = mNow + mLoad.mRunDuration;
    while (mNow < end) {
      const TimePoint arrival =
        mNow + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap(mRandom)));
      CompleteUntil(arrival);
      mNow = arrival;
      SetFailed(mNow >= start + mLoad.mFailsAt &&
                mNow < start + mLoad.mReturnsAt);
      const std::size_t drawn =
        mLoad.mSkew == 0 ? object(mRandom) : skewedObject(mRandom) + 1;
      HandleArrival(HashObject(mService, std::to_string(drawn)));
    }
    CompleteUntil(end + std::chrono::minutes(10));
    return mResult;
  }

private:
  struct Job
  {
    ObjectHash mObject = 0;
    TimePoint mArrivalTime{};
  };

  struct Server
  {
    Backend* mBackend = nullptr;
    std::uint32_t mRunningCount = 0;
    std::queue<Job> mWaiting;
    /// Most recently used first.
    std::list<ObjectHash> mCachedObjects;
    bool mIsFailed = false;
    std::int64_t mFailures = 0;
  };

  struct Completion
  {
    TimePoint mEndsAt{};
    std::size_t mServer = 0;
    Job mJob;
    /// Server::mFailures at the start of the request.
    std::int64_t mFailures = 0;

    bool operator>(const Completion& aOther) const
    {
      return mEndsAt > aOther.mEndsAt;
    }
  };

  void SetFailed(bool aIsFailed)
  {
    for (std::size_t n = 0; n < mLoad.mFailingServers; ++n) {
      Server& server = mServers[n];
      if (server.mIsFailed == aIsFailed) {
        continue;
      }
      server.mIsFailed = aIsFailed;
      if (aIsFailed) {
        for (auto jobs = server.mRunningCount + server.mWaiting.size();
             jobs > 0;
             --jobs) {
          mPool.OnAttemptEnded(*server.mBackend, true, mNow);
        }
        server.mRunningCount = 0;
        server.mWaiting = {};
        server.mCachedObjects.clear();
        ++server.mFailures;
      } else {
        BackendEntry entry = server.mBackend->mEntry;
        entry.mStartedMs = server.mFailures;
        mPool.Upsert(entry, mNow);
      }
    }
  }

  std::vector<Backend*> UsableServers() const
  {
    std::vector<Backend*> usable;
    for (const Server& each : mServers) {
      if (!each.mIsFailed) {
        usable.push_back(each.mBackend);
      }
    }
    return usable;
  }

  void HandleArrival(ObjectHash aObject)
  {
    ++mResult.mArrivals;
    const auto selection =
      mChoice(mPool, UsableServers(), aObject, mTimes, mNow);
    if (!selection || !DecideAdmission({ .mPriority = 1,
                                         .mTimeLeft = mLoad.mTimeout,
                                         .mTargetLatency = mLoad.mTarget,
                                         .mWait = selection->mWait,
                                         .mTotal = selection->mTotal })
                         .mIsAdmitted) {
      ++mResult.mRefused;
      return;
    }
    mPool.OnSent(*selection->mBackend, aObject, mNow);
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      if (mServers[n].mBackend == selection->mBackend) {
        mServers[n].mWaiting.push({ aObject, mNow });
        StartWaitingJobs(n);
      }
    }
  }

  void StartWaitingJobs(std::size_t aServer)
  {
    Server& server = mServers[aServer];
    while (server.mRunningCount < mLoad.mSlots && !server.mWaiting.empty()) {
      const Job job = server.mWaiting.front();
      server.mWaiting.pop();
      ++server.mRunningCount;
      const auto it = std::find(server.mCachedObjects.begin(),
                                server.mCachedObjects.end(),
                                job.mObject);
      const bool isCached = it != server.mCachedObjects.end();
      if (isCached) {
        server.mCachedObjects.erase(it);
      } else {
        ++mResult.mMisses;
      }
      server.mCachedObjects.push_front(job.mObject);
      if (server.mCachedObjects.size() > mLoad.mCacheCapacity) {
        server.mCachedObjects.pop_back();
      }
      const Duration serviceTime = isCached ? mLoad.mWarm : mLoad.mMissLatency;
      mCompletions.push({ mNow + serviceTime, aServer, job, server.mFailures });
    }
  }

  void CompleteUntil(TimePoint aTime)
  {
    while (!mCompletions.empty() && mCompletions.top().mEndsAt <= aTime) {
      const Completion end = mCompletions.top();
      mCompletions.pop();
      mNow = end.mEndsAt;
      Server& server = mServers[end.mServer];
      if (end.mFailures != server.mFailures) {
        continue;
      }
      --server.mRunningCount;
      mPool.OnAttemptEnded(*server.mBackend, true, mNow);
      if (mNow - end.mJob.mArrivalTime <= mLoad.mTarget) {
        ++mResult.mWithinTarget;
      }
      StartWaitingJobs(end.mServer);
    }
  }

  const ServiceId mService{ "ordering" };
  ObjectMemoryLoad mLoad;
  Choice mChoice;
  std::vector<Server> mServers;
  std::mt19937_64 mRandom;
  ExpectedTimes mTimes;
  BackendPool mPool{ {} };
  TimePoint mNow{ std::chrono::seconds(100) };
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    mCompletions;
  ObjectMemoryResult mResult;
};

/// Returns the selection policy of ObjectSelector with the given options.
inline ObjectMemoryModel::Choice ChooseByObject(
  ObjectSelector::Options aOptions)
{
  return [selector = ObjectSelector(aOptions)](const BackendPool& aPool,
                                               const auto& aServers,
                                               ObjectHash aObject,
                                               const ExpectedTimes& aTimes,
                                               TimePoint aNow) {
    return selector.Choose(aPool, aServers, aObject, aTimes, aNow);
  };
}

/// The selection policy of ObjectSelector, but for objects that ObjectPlacement
/// has placed, of which the earliest expected response of their servers is
/// selected. Placements are updated every second, as by the placing VM.
class ChooseByPlacement
{
public:
  explicit ChooseByPlacement(ObjectPlacement::Options aOptions)
    : mPlacement(aOptions)
  {
  }

  std::optional<Selection> operator()(const BackendPool& aPool,
                                      const std::vector<Backend*>& aServers,
                                      ObjectHash aObject,
                                      const ExpectedTimes& aTimes,
                                      TimePoint aNow)
  {
    if (aNow >= mNextUpdate) {
      Update(aServers, aTimes, aNow);
    }
    mArrivalRates[aObject] += 1 / kTimeConstantSeconds;
    std::vector<Backend*> placed;
    if (const auto it = mPlacement.Placed().find(aObject);
        it != mPlacement.Placed().end()) {
      for (Backend* const each : aServers) {
        const auto& servers = it->second.mServers;
        if (std::count(servers.begin(), servers.end(), each->mLifetimeHash)) {
          placed.push_back(each);
        }
      }
    }
    return placed.empty()
             ? mSelector.Choose(aPool, aServers, aObject, aTimes, aNow)
             : mSelector.Choose(aPool, placed, 0, aTimes, aNow, aObject);
  }

  /// Placements that were decided, each of which causes cache misses.
  std::size_t Moves() const { return mMoves; }

private:
  /// Time constant of the moving average of arrivals, as in the gateway.
  static constexpr double kTimeConstantSeconds = 2;

  void Update(const std::vector<Backend*>& aServers,
              const ExpectedTimes& aTimes,
              TimePoint aNow)
  {
    mNextUpdate = aNow + std::chrono::seconds(1);
    for (auto& [object, rate] : mArrivalRates) {
      mPlacement.SetDemand(
        object,
        rate * std::chrono::duration<double>(aTimes.mWarm).count(),
        aNow);
      rate *= std::exp(-1 / kTimeConstantSeconds);
    }
    std::vector<PlacementServer> servers;
    for (const Backend* const each : aServers) {
      servers.push_back({ .mLifetime = each->mLifetimeHash,
                          .mHash = each->mHash,
                          .mSlots = static_cast<double>(each->mEntry.mSlots) });
    }
    for (const PlacedObject& each : mPlacement.Update(servers, aNow)) {
      mMoves += each.mServers.empty() ? 0 : 1;
    }
  }

  ObjectPlacement mPlacement;
  ObjectSelector mSelector{ {} };
  /// Arrivals per second.
  std::map<ObjectHash, double> mArrivalRates;
  TimePoint mNextUpdate{};
  std::size_t mMoves = 0;
};

/// Returns a policy that ignores the object and selects the less loaded of two
/// random servers.
inline ObjectMemoryModel::Choice ChooseLeastLoadedOfTwo(std::uint64_t aSeed)
{
  return [random = std::mt19937_64(aSeed),
          selector = ObjectSelector({})](const BackendPool& aPool,
                                         const auto& aServers,
                                         ObjectHash,
                                         const ExpectedTimes& aTimes,
                                         TimePoint aNow) mutable {
    std::uniform_int_distribution<std::size_t> place(0, aServers.size() - 1);
    const std::vector<Backend*> drawn{ aServers[place(random)],
                                       aServers[place(random)] };
    return selector.Choose(aPool, drawn, 0, aTimes, aNow);
  };
}

} // namespace cranberrywing::gateway::testing
