/// \file
/// Detects and blocks requests that crash the backend servers that run them
/// (design 3.7).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Digest of a request's route, method, target and body. Headers are not
/// included. Thread-safe.
ContentDigest FingerprintRequest(const RouteId& aRoute,
                                 const RequestContent& aContent);

/// An attempt whose connection the server closed without an answer.
struct LostAttempt
{
  BackendId mBackend;
  /// Identifies the server's process; zero if the processes that run under the
  /// server's identifier cannot be told apart.
  std::uint64_t mLifetime = 0;
  TimePoint mSentAt{};
  TimePoint mLostAt{};
};

/// Counts the processes of backend servers that crashed while running a
/// request, by the request's fingerprint, and blocks the request once the count
/// reaches a threshold. Crashes during attempts that overlap in time count
/// once, since they may have a common cause such as a loss of power. Peers
/// share blocks, single crashes, and answers that clear a request. Not
/// thread-safe; owned by the reducer.
class CrashGuard
{
public:
  struct Options
  {
    /// Number of processes whose crash blocks a request.
    std::size_t mCrashThreshold = 2;
    Duration mBlockTime = std::chrono::minutes(10);
    /// Time after a connection reset within which the server must be found down
    /// for the reset to count as a crash.
    Duration mConfirmationTime = std::chrono::seconds(10);
  };

  explicit CrashGuard(Options aOptions);

  bool IsBlocked(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// Call when a request arrives. Returns whether it is blocked; if so, its
  /// block lasts for another mBlockTime, and thus as long as callers go on
  /// sending the request.
  bool OnArrival(const ContentDigest& aFingerprint, TimePoint aNow);
  /// Whether the processes that crashed while running the request, together
  /// with those that recently reset its connection but are not known to have
  /// ended yet, reach the threshold. Such a request must not be sent to another
  /// server.
  bool IsSuspect(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// Records that a server closed the connection without an answer while it
  /// ran the request.
  void OnReset(const ContentDigest& aFingerprint, const LostAttempt& aAttempt);
  /// Call when a server refuses connections or fails its probe. Its recent
  /// resets then count as crashes caused by the requests that it ran.
  void OnServerDown(const BackendId& aBackend,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Call when another process runs under the server's identifier: recent
  /// resets by earlier ones then count as crashes, although the server may
  /// never have been found down.
  void OnServerRestarted(const BackendId& aBackend,
                         std::uint64_t aLifetime,
                         TimePoint aNow,
                         EffectList& aOut);
  /// Clears the request, since a server has answered it. A request that only
  /// happened to run on a server while another request crashed it is cleared in
  /// this way by its next attempt.
  void OnSuccess(const ContentDigest& aFingerprint, TimePoint aNow);
  /// Returns whether the message has blocked a request that was not blocked.
  bool OnMessage(const message::RequestBlock& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Returns and clears the messages to send to all peers: new blocks, server
  /// crashes attributed to requests that have not been cleared, and requests
  /// that have been cleared.
  std::vector<message::RequestBlock> TakePeerMessages();
  /// Blocks to tell a VM that has just started. With very many blocks these are
  /// some of them, others at each call.
  std::vector<message::RequestBlock> NextBlocks(TimePoint aNow);
  /// As NextBlocks once per second, and otherwise empty. Sent to one VM after
  /// the other, these reach those that have missed a block or were cut off when
  /// it was told.
  std::vector<message::RequestBlock> TakeBlocksToRepeat(TimePoint aNow);
  std::size_t BlockCount() const { return mBlocks.size(); }

private:
  /// The crash of a process during an attempt.
  struct Crash
  {
    /// Names the process, as message::RequestBlock::mLost does.
    BackendId mProcess;
    TimePoint mSentAt{};
    TimePoint mLostAt{};
  };

  /// Resets and crashes attributed to a request that is not blocked yet.
  struct Suspect
  {
    std::vector<LostAttempt> mResets;
    /// Seen by this VM or by peers; one for each process.
    std::vector<Crash> mCrashes;
    /// Whether peers may have counted crashes.
    bool mIsKnownToPeers = false;
    /// When a server answered the request, if that cleared it. Losses until
    /// then do not count, although peers may report them later.
    TimePoint mClearedAt = TimePoint::min();
    TimePoint mExpiry{};
  };

  /// A server crash that is reported to peers unless the request is cleared
  /// first.
  struct Report
  {
    ContentDigest mFingerprint;
    Crash mCrash;
    TimePoint mTime{};
  };

  using Filter = std::function<bool(const LostAttempt&)>;

  struct DigestHash
  {
    std::size_t operator()(const ContentDigest& aDigest) const
    {
      return static_cast<std::size_t>(aDigest.mLow);
    }
  };

  template<class Value>
  using DigestMap = std::unordered_map<ContentDigest, Value, DigestHash>;

  static Crash ToCrash(const LostAttempt& aAttempt);
  /// Whether there is a crash of the same process.
  static bool Contains(const std::vector<Crash>& aCrashes, const Crash& aCrash);
  /// Adds the crash unless there is one of the same process.
  static void AddUnique(std::vector<Crash>& aCrashes, const Crash& aCrash);
  /// Largest number of the crashes whose attempts did not overlap.
  static std::size_t CountSeparate(std::vector<Crash> aCrashes);
  /// Counts the recent resets that the filter accepts as crashes.
  void ConfirmResets(const Filter& aFilter, TimePoint aNow, EffectList& aOut);
  /// Adds a crash to the request's count. Returns whether it led to a block.
  bool RecordCrash(const ContentDigest& aFingerprint,
                   const Crash& aCrash,
                   TimePoint aNow);
  /// Forgets all losses until now.
  void Clear(Suspect& aSuspect, TimePoint aNow);
  void ReportCrashes(TimePoint aNow);
  /// Returns whether the request was not blocked before. With the maximum
  /// number of blocks, the one that ends first gives way.
  bool Block(const ContentDigest& aFingerprint, TimePoint aUntil);

  Options mOptions;
  DigestMap<Suspect> mSuspects;
  DigestMap<TimePoint> mBlocks;
  std::deque<Report> mUnreported;
  std::vector<message::RequestBlock> mPeerMessages;
  TimePoint mNextSweep{};
  TimePoint mNextRepeat{};
  /// The last block that NextBlocks returned.
  ContentDigest mLastTold;
};

} // namespace cranberrywing
