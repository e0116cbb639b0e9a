/// \file
/// Simulation of backend servers with a queue and an object cache, in virtual
/// time. A server cache is LRU, and a request for a cached object is faster.
/// Tests and benchmarks compare server selection policies on equal arrivals.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/gateway/admission.h"
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
  /// Distinct objects; each request draws one uniformly at random.
  std::size_t mObjects = 400;
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
    const TimePoint end = mNow + mLoad.mRunDuration;
    while (mNow < end) {
      const TimePoint arrival =
        mNow + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap(mRandom)));
      CompleteUntil(arrival);
      mNow = arrival;
      HandleArrival(HashObject(mService, std::to_string(object(mRandom))));
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
  };

  struct Completion
  {
    TimePoint mEndsAt{};
    std::size_t mServer = 0;
    Job mJob;
    Duration mServiceTime{};

    bool operator>(const Completion& aOther) const
    {
      return mEndsAt > aOther.mEndsAt;
    }
  };

  void HandleArrival(ObjectHash aObject)
  {
    ++mResult.mArrivals;
    const auto selection =
      mChoice(mPool, mPool.BackendsOfService(mService), aObject, mTimes, mNow);
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
      mCompletions.push({ mNow + serviceTime, aServer, job, serviceTime });
    }
  }

  void CompleteUntil(TimePoint aTime)
  {
    while (!mCompletions.empty() && mCompletions.top().mEndsAt <= aTime) {
      const Completion end = mCompletions.top();
      mCompletions.pop();
      mNow = end.mEndsAt;
      Server& server = mServers[end.mServer];
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
