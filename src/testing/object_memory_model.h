/// \file
/// A service of queueing backend servers that each remember a limited number
/// of objects and work faster on those, in simulated time. Tests and
/// benchmarks offer it the same arrivals under different choices of a server.
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

struct ObjectMemoryLoad
{
  std::size_t mServers = 12;
  std::uint32_t mSlots = 4;
  /// Objects that a server remembers; the least recently used goes first.
  std::size_t mRemembered = 60;
  std::size_t mObjects = 400;
  Duration mWarm = std::chrono::milliseconds(150);
  /// Time for an object that the server does not remember.
  Duration mMiss = std::chrono::milliseconds(500);
  /// What the VM expects of a server that it has not sent the object to. Other
  /// VMs send the object there, so that most such answers that it sees are
  /// fast.
  Duration mUnknown = std::chrono::milliseconds(180);
  Duration mTarget = std::chrono::milliseconds(400);
  Duration mTimeout = std::chrono::milliseconds(1500);
  /// Arrivals over what the servers could take if they knew every object.
  double mLoad = 0.8;
  Duration mTime = std::chrono::seconds(60);
  std::uint64_t mSeed = 1;
};

struct ObjectMemoryResult
{
  std::size_t mArrivals = 0;
  std::size_t mRefused = 0;
  std::size_t mInTarget = 0;
  std::size_t mMisses = 0;

  double WithinTarget() const { return Part(mInTarget); }
  double Refused() const { return Part(mRefused); }
  double Misses() const { return Part(mMisses); }

private:
  double Part(std::size_t aCount) const
  {
    return static_cast<double>(aCount) /
           static_cast<double>(std::max<std::size_t>(1, mArrivals));
  }
};

/// One decider that knows the load of every server. Not thread-safe.
class ObjectMemoryModel
{
public:
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
              .mTailLatency = aLoad.mMiss }
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

  ObjectMemoryResult Run()
  {
    const double perSecond =
      mLoad.mLoad * static_cast<double>(mLoad.mServers * mLoad.mSlots) /
      std::chrono::duration<double>(mLoad.mWarm).count();
    std::exponential_distribution<double> gap(perSecond);
    std::uniform_int_distribution<std::size_t> object(1, mLoad.mObjects);
    const TimePoint end = mNow + mLoad.mTime;
    while (mNow < end) {
      const TimePoint arrival =
        mNow + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap(mRandom)));
      FinishUntil(arrival);
      mNow = arrival;
      Arrive(HashObject(mService, std::to_string(object(mRandom))));
    }
    FinishUntil(end + std::chrono::minutes(10));
    return mResult;
  }

private:
  struct Job
  {
    ObjectHash mObject = 0;
    TimePoint mArrivedAt{};
  };

  struct Server
  {
    Backend* mBackend = nullptr;
    std::uint32_t mRunning = 0;
    std::queue<Job> mWaiting;
    /// Most recently used first.
    std::list<ObjectHash> mMemory;
  };

  struct End
  {
    TimePoint mAt{};
    std::size_t mServer = 0;
    Job mJob;
    Duration mWork{};

    bool operator>(const End& aOther) const { return mAt > aOther.mAt; }
  };

  void Arrive(ObjectHash aObject)
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
        Start(n);
      }
    }
  }

  void Start(std::size_t aServer)
  {
    Server& server = mServers[aServer];
    while (server.mRunning < mLoad.mSlots && !server.mWaiting.empty()) {
      const Job job = server.mWaiting.front();
      server.mWaiting.pop();
      ++server.mRunning;
      const auto it =
        std::find(server.mMemory.begin(), server.mMemory.end(), job.mObject);
      const bool isKnown = it != server.mMemory.end();
      if (isKnown) {
        server.mMemory.erase(it);
      } else {
        ++mResult.mMisses;
      }
      server.mMemory.push_front(job.mObject);
      if (server.mMemory.size() > mLoad.mRemembered) {
        server.mMemory.pop_back();
      }
      const Duration work = isKnown ? mLoad.mWarm : mLoad.mMiss;
      mEnds.push({ mNow + work, aServer, job, work });
    }
  }

  void FinishUntil(TimePoint aTime)
  {
    while (!mEnds.empty() && mEnds.top().mAt <= aTime) {
      const End end = mEnds.top();
      mEnds.pop();
      mNow = end.mAt;
      Server& server = mServers[end.mServer];
      --server.mRunning;
      mPool.OnAttemptEnded(*server.mBackend, true, mNow);
      if (mNow - end.mJob.mArrivedAt <= mLoad.mTarget) {
        ++mResult.mInTarget;
      }
      Start(end.mServer);
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
  std::priority_queue<End, std::vector<End>, std::greater<>> mEnds;
  ObjectMemoryResult mResult;
};

/// The choice of ObjectSelector with the given options.
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

/// The less loaded of two servers drawn at random, whatever the object.
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
