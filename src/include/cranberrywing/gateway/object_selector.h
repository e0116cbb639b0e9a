/// \file
/// Selects a backend server by object affinity and load.
///
/// Servers cache the objects that they handled recently, so all VMs should
/// send an object to the same few servers. Rendezvous hashing of (object,
/// server) gives all VMs the same preference order without coordination, and
/// adding or removing a server moves only that server's objects. A server with
/// a rate limit gets as many objects as its rate allows for. Among the
/// first servers of the order, the one with the lowest expected completion
/// time, including penalties for rank and cache misses, is selected. Servers at
/// which the object was placed (ObjectPlacement) come before the order.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Hash of an object's name within a service; never zero. Thread-safe.
ObjectHash HashObject(const ServiceId& aService, std::string_view aObject);

/// Maps an object uniformly to [0, 1), for RegionPlan. Thread-safe.
double PositionOf(ObjectHash aObject);

/// Expected service times at a server of normal speed.
struct ExpectedTimes
{
  /// At a server that is known to have the object cached.
  Duration mWarm = std::chrono::milliseconds(100);
  /// At a server of which this is not known.
  Duration mUnknown = std::chrono::milliseconds(300);
  /// Mean over the requests in a server's queue.
  Duration mMean = std::chrono::milliseconds(150);
  /// Tail latency: an upper bound of nearly all answers, including those of
  /// servers that did not have the object cached.
  Duration mTailLatency = std::chrono::milliseconds(600);
};

/// A selected server, with the expected times.
struct Selection
{
  Backend* mBackend = nullptr;
  /// Expected queueing time.
  Duration mWait{};
  /// Expected queueing time plus service time.
  Duration mTotal{};
  /// Rank in the object's preference order, from 0.
  std::size_t mRank = 0;
};

/// Stateless except for its options. Not thread-safe, since it reads the pool.
class ObjectSelector
{
public:
  struct Options
  {
    /// Number of servers, from the first of the order, that are assumed to have
    /// the object cached before this VM sent it there: other VMs do.
    std::size_t mAssumedWarmServers = 1;
    /// Maximum number of servers considered per object. A server caches few
    /// objects, so more servers per object would evict each
    /// other's objects.
    std::size_t mMaxCandidates = 3;
    /// Penalty per rank in the order; avoids needless changes of server.
    Duration mRankCost = std::chrono::milliseconds(20);
    /// Penalty for a cache miss, as a multiple of the additional service time
    /// that it causes. Under load, that time also delays the requests queued
    /// behind the miss, which then move to other servers and miss there. Of
    /// 0.5, 1, 2 and 4, the values 2 and 4 give equal results.
    double mMissCost = 3;
    /// Factor on the service time of a server in its cold start.
    double mColdFactor = 2;
    /// Added to the queueing time of a silent server (BackendPool::IsSilent).
    Duration mSilenceCost = std::chrono::seconds(10);
  };

  explicit ObjectSelector(Options aOptions);

  /// Selects the server with the lowest cost among aCandidates, all of which
  /// may serve the request; nullopt if there are none. For a request without an
  /// object all candidates are considered, and aRequestHash breaks ties between
  /// them. aPlaced are the servers at which the object is placed, as
  /// Backend::mLifetimeHash; those that are no candidates are ignored.
  std::optional<Selection> Choose(
    const BackendPool& aPool,
    std::vector<Backend*> aCandidates,
    ObjectHash aObject,
    const ExpectedTimes& aTimes,
    TimePoint aNow,
    std::uint64_t aRequestHash = 0,
    std::span<const std::uint64_t> aPlaced = {}) const;

private:
  /// Whether the server is expected to have the object cached. The servers with
  /// a rank below aAssumedWarm are.
  static bool IsAssumedWarm(const BackendPool& aPool,
                            const Backend& aBackend,
                            std::size_t aRank,
                            std::size_t aAssumedWarm,
                            ObjectHash aObject,
                            TimePoint aNow);
  /// Estimates queueing time and service time at the server.
  Selection Evaluate(const BackendPool& aPool,
                     Backend& aBackend,
                     std::size_t aRank,
                     std::size_t aAssumedWarm,
                     ObjectHash aObject,
                     const ExpectedTimes& aTimes,
                     TimePoint aNow) const;

  Options mOptions;
};

} // namespace cranberrywing::gateway
