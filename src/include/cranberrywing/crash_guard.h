/// \file
/// Blocks requests that end the backend servers that run them (design 3.7).
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Names a request by route and content. Thread-safe.
ContentDigest FingerprintRequest(const RouteId& aRoute,
                                 const RequestContent& aContent);

/// Not thread-safe; owned by the reducer.
class CrashGuard
{
public:
  struct Options
  {
    /// Distinct servers lost before a request is blocked.
    std::size_t mCrashThreshold = 2;
    Duration mBlockTime = std::chrono::minutes(10);
    /// Time after a failure within which the server must be found dead.
    Duration mConfirmationTime = std::chrono::seconds(10);
  };

  explicit CrashGuard(Options aOptions);

  bool IsBlocked(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// Whether the request has ended its connections to as many servers as lead
  /// to a block, though they are not known to have died yet: it must not be
  /// tried on a further one.
  bool IsSuspect(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// A connection ended without an answer while the server ran the request.
  void OnReset(const ContentDigest& aFingerprint,
               const BackendId& aBackend,
               TimePoint aNow);
  /// The server refuses connections or fails its probe: it has died, so its
  /// recent resets count against the requests that it ran.
  void OnServerDown(const BackendId& aBackend,
                    TimePoint aNow,
                    EffectList& aOut);
  /// The request was answered: it does not end servers. Requests that ran on a
  /// server when another one ended it are cleared by their next attempt.
  void OnSuccess(const ContentDigest& aFingerprint);
  void OnMessage(const message::RequestBlock& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Blocks made here, and servers lost to requests that were not cleared,
  /// since the last call; to be told to all peers.
  std::vector<message::RequestBlock> TakeNewBlocks();

private:
  /// A connection that ended while a server ran the request.
  struct Reset
  {
    BackendId mBackend;
    TimePoint mTime{};
  };

  /// What speaks against a request.
  struct Suspect
  {
    std::vector<Reset> mResets;
    /// Servers that were lost while they ran it, here or elsewhere.
    std::vector<BackendId> mLost;
    TimePoint mUntil{};
  };

  /// A loss that peers are told of unless the request is cleared before.
  struct Crash
  {
    ContentDigest mFingerprint;
    BackendId mBackend;
    TimePoint mTime{};
  };

  struct DigestHash
  {
    std::size_t operator()(const ContentDigest& aDigest) const
    {
      return static_cast<std::size_t>(aDigest.mLow);
    }
  };

  template<class Value>
  using DigestMap = std::unordered_map<ContentDigest, Value, DigestHash>;

  /// Whether the loss led to a block.
  bool RecordCrash(const ContentDigest& aFingerprint,
                   const BackendId& aBackend,
                   TimePoint aNow);
  void ReportCrashes(TimePoint aNow);
  void Block(const ContentDigest& aFingerprint, TimePoint aUntil);

  Options mOptions;
  DigestMap<Suspect> mSuspects;
  DigestMap<TimePoint> mBlocks;
  std::deque<Crash> mUnreportedCrashes;
  std::vector<message::RequestBlock> mNewBlocks;
  TimePoint mNextSweep{};
};

} // namespace cranberrywing
