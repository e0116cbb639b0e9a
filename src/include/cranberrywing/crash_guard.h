/// \file
/// Detects and blocks requests that crash the backend servers that run them
/// (design 3.7).
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Digest of a request's route, method, target and body. Headers are not
/// included. Thread-safe.
ContentDigest FingerprintRequest(const RouteId& aRoute,
                                 const RequestContent& aContent);

/// Counts the backend servers that crashed while running a request, by the
/// request's fingerprint, and blocks the request once the count reaches a
/// threshold. Peers share blocks and single crashes. Not thread-safe; owned by
/// the reducer.
class CrashGuard
{
public:
  struct Options
  {
    /// Number of distinct servers whose crash blocks a request.
    std::size_t mCrashThreshold = 2;
    Duration mBlockTime = std::chrono::minutes(10);
    /// Time after a connection reset within which the server must be found down
    /// for the reset to count as a crash.
    Duration mConfirmationTime = std::chrono::seconds(10);
  };

  explicit CrashGuard(Options aOptions);

  bool IsBlocked(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// Whether the servers that crashed while running the request, together with
  /// those that recently reset its connection but are not known to be down yet,
  /// reach the threshold. Such a request must not be sent to another server.
  bool IsSuspect(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// Records that a server closed the connection without an answer while it
  /// ran the request.
  void OnReset(const ContentDigest& aFingerprint,
               const BackendId& aBackend,
               TimePoint aNow);
  /// Call when a server refuses connections or fails its probe. Its recent
  /// resets then count as crashes caused by the requests that it ran.
  void OnServerDown(const BackendId& aBackend,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Clears the request, since a server has answered it. A request that only
  /// happened to run on a server while another request crashed it is cleared in
  /// this way by its next attempt.
  void OnSuccess(const ContentDigest& aFingerprint);
  void OnMessage(const message::RequestBlock& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Returns and clears the messages to send to all peers: new blocks, and
  /// server crashes attributed to requests that have not been cleared.
  std::vector<message::RequestBlock> TakePeerMessages();

private:
  /// A connection that a server closed while it ran the request.
  struct Reset
  {
    BackendId mBackend;
    TimePoint mTime{};
  };

  /// Resets and crashes attributed to a request that is not blocked yet.
  struct Suspect
  {
    std::vector<Reset> mResets;
    /// Servers that crashed while they ran the request, seen by this VM or by
    /// peers.
    std::vector<BackendId> mCrashedServers;
    TimePoint mExpiry{};
  };

  /// A server crash that is reported to peers unless the request is cleared
  /// first.
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

  /// Adds a crash to the request's count. Returns whether it led to a block.
  bool RecordCrash(const ContentDigest& aFingerprint,
                   const BackendId& aBackend,
                   TimePoint aNow);
  void ReportCrashes(TimePoint aNow);
  void Block(const ContentDigest& aFingerprint, TimePoint aUntil);

  Options mOptions;
  DigestMap<Suspect> mSuspects;
  DigestMap<TimePoint> mBlocks;
  std::deque<Crash> mUnreportedCrashes;
  std::vector<message::RequestBlock> mPeerMessages;
  TimePoint mNextSweep{};
};

} // namespace cranberrywing
