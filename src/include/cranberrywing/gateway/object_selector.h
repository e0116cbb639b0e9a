/// \file
/// Choice of a backend server by the object that a request is about.
///
/// Servers that handled an object recently work faster on it, so all VMs have
/// to send it to the same few servers. Rendezvous hashing of (object, server)
/// gives each VM the same order without a message, and a change of the servers
/// moves only the objects of the changed ones. Load bounds how far down that
/// order a request goes: the server with the earliest expected answer wins.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "cranberrywing/gateway/backend_pool.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Never zero for a name that is not empty. Thread-safe.
ObjectHash HashObject(const ServiceId& aService, std::string_view aObject);

/// Place of an object in [0, 1), for RegionPlan. Thread-safe.
double PositionOf(ObjectHash aObject);

/// What a request takes at a server of usual speed.
struct ExpectedTimes
{
  /// At a server that handled the object recently.
  Duration mWarm = std::chrono::milliseconds(100);
  /// At any other.
  Duration mUnknown = std::chrono::milliseconds(300);
  /// Mean over a server's queue.
  Duration mMean = std::chrono::milliseconds(150);
  /// Nearly all answers come sooner, those of servers that did not know the
  /// object included.
  Duration mTailLatency = std::chrono::milliseconds(600);
};

struct Selection
{
  Backend* mBackend = nullptr;
  /// Time in the server's queue.
  Duration mWait{};
  /// Wait and work.
  Duration mTotal{};
  /// Place in the object's order, from 0.
  std::size_t mRank = 0;
};

/// Not thread-safe, since it reads the pool.
class ObjectSelector
{
public:
  struct Options
  {
    /// Servers per object that are taken as warm before this VM knows: the
    /// other VMs send the object there as well.
    std::size_t mReplicas = 1;
    /// Servers per object that are considered. A server remembers few objects,
    /// so that more servers per object would make each forget the others'.
    std::size_t mWidth = 3;
    /// Added per place in the order, against needless changes of server.
    Duration mRankCost = std::chrono::milliseconds(20);
    /// Added for a server that has to work on an object that is new to it, as
    /// a multiple of the additional work: under load that work keeps the
    /// requests behind it waiting, and they leave for other servers in turn.
    /// 0.5, 1, 2 and 4 were tried on the standard days; 2 and 4 are equal.
    double mMissCost = 3;
    /// Factor on the service time of a server that started just now.
    double mColdFactor = 2;
    /// Added to the wait of a server that has not answered for long.
    Duration mSilenceCost = std::chrono::seconds(10);
  };

  explicit ObjectSelector(Options aOptions);

  /// The server with the earliest expected answer among aCandidates, which
  /// are all fit for the request. Nothing if there are none. A request without
  /// an object takes any of the servers that are equally soon, in an order that
  /// follows from aRequestHash.
  std::optional<Selection> Choose(const BackendPool& aPool,
                                  std::vector<Backend*> aCandidates,
                                  ObjectHash aObject,
                                  const ExpectedTimes& aTimes,
                                  TimePoint aNow,
                                  std::uint64_t aRequestHash = 0) const;

private:
  /// Whether the server is expected to know the object.
  bool IsTakenAsWarm(const BackendPool& aPool,
                     const Backend& aBackend,
                     std::size_t aRank,
                     ObjectHash aObject,
                     TimePoint aNow) const;
  Selection Evaluate(const BackendPool& aPool,
                     Backend& aBackend,
                     std::size_t aRank,
                     ObjectHash aObject,
                     const ExpectedTimes& aTimes,
                     TimePoint aNow) const;

  Options mOptions;
};

} // namespace cranberrywing::gateway
