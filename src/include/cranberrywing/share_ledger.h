/// \file
/// Fractions of shared quantities, recorded in the store (design 3.3). The
/// fractions of one record never add up to more than the whole, whatever
/// messages are lost and however long a holder is paused.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/share_record.h"

namespace cranberrywing {

struct ShareLedgerHooks
{
  std::function<bool(const VmIncarnation&)> mIsDead;
  /// Number of VMs that hold or want the named share, this VM included.
  std::function<std::size_t(const std::string&)> mExpectedHolders;
};

/// Counters since the start, for metrics and reports.
struct ShareCounters
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  /// Writes that lost a race.
  std::uint64_t mConflicts = 0;
  /// Calls that the store did not answer.
  std::uint64_t mFailures = 0;
};

/// Not thread-safe; owned by the reducer.
class ShareLedger
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/shares/";
    std::uint64_t mSeed = 1;
    /// Time between looks at whether a fraction fits the demand.
    Duration mReviewInterval = std::chrono::seconds(30);
    Duration mRetryInterval = std::chrono::milliseconds(500);
    /// Time for which a process keeps to a smaller fraction before the store
    /// is told that the rest is free, and from learning of a death until the
    /// dead process's fraction is taken. Above the validity of a token
    /// transfer with its drift margin (510 ms): until then, tokens that were
    /// lent under the larger fraction may still be used.
    Duration mReleaseDelay = std::chrono::milliseconds(600);
    /// First reads per second of all holders together after they start at
    /// once. Each leads to a write and some to lost races: with 60, 460
    /// holders made 127 writes in a second, with 30 half of that.
    double mStartReadsPerSecond = 30;
  };

  ShareLedger(Options aOptions, ShareLedgerHooks aHooks);

  /// Starts to hold a fraction of the named quantity. Idempotent.
  void Acquire(const std::string& aName);
  /// Gives the fraction back. Idempotent.
  void Release(const std::string& aName);
  /// The number of expected holders changed: looks at the record within a few
  /// seconds instead of at the next review, so that a newcomer waits less.
  void RequestEarlyReview(const std::string& aName, TimePoint aNow);
  /// This process's fraction in millionths; zero until the store granted it.
  std::uint32_t Fraction(const std::string& aName) const;
  /// Tells the mean use of the fraction since the last call, where 1 is all
  /// of it; above 1 when more was wanted.
  void ReportUtilization(const std::string& aName, double aUse);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Takes back what a dead process held.
  void OnDeath(const VmIncarnation& aProcess, TimePoint aNow, EffectList& aOut);
  /// Gives all fractions back, for a planned stop.
  void ReleaseAll(TimePoint aNow, EffectList& aOut);
  bool IsReleased() const;

  /// The record as last read, for reports; null if never read.
  const ShareRecord* Record(const std::string& aName) const;
  const ShareCounters& Counters() const { return mCounters; }

private:
  /// A write whose answer was lost. It may still take effect as long as the
  /// record has the revision that it compares with.
  struct Unsettled
  {
    std::int64_t mComparedRevision = 0;
    /// Least own fraction that the record may have.
    std::uint32_t mLeast = 0;
  };

  /// This process keeps to a smaller fraction than the record says.
  struct Lowering
  {
    std::uint32_t mFraction = 0;
    TimePoint mSince{};
  };

  struct EndedHolder
  {
    VmIncarnation mHolder;
    TimePoint mKnownSince{};
  };

  struct Share
  {
    bool mWanted = true;
    std::optional<ShareRecord> mRecord{};
    std::int64_t mModRevision = 0;
    /// What this process is sure to hold.
    std::uint32_t mUsable = 0;
    std::optional<Unsettled> mUnsettled{};
    std::optional<Lowering> mLowering{};
    std::vector<EndedHolder> mEnded{};
    /// When to read the record next; nullopt if to be chosen.
    std::optional<TimePoint> mDue{};
    double mUseSum = 0;
    std::uint32_t mUseCount = 0;
    std::optional<TimePoint> mUseSince{};
    /// Mean use over the last few review intervals; nullopt before the first
    /// has passed.
    std::optional<double> mUse{};
    /// Lost races, and reviews without enough, in a row.
    std::uint32_t mConflicts = 0;
    std::uint32_t mShortReviews = 0;
  };

  /// The one call to the store that is in flight.
  struct Call
  {
    std::uint64_t mNumber = 0;
    std::string mName;
    TimePoint mSentAt{};
    bool mIsWrite = false;
    std::int64_t mComparedRevision = 0;
    std::uint32_t mOldFraction = 0;
    std::uint32_t mNewFraction = 0;
  };

  Duration Jittered(Duration aDuration);
  std::uint32_t OwnFraction(const Share& aShare) const;
  void UpdateUsable(const std::string& aName, Share& aShare, EffectList& aOut);
  void Schedule(const std::string& aName, Share& aShare, TimePoint aNow);
  void StartNextCall(TimePoint aNow, EffectList& aOut);
  void CallStore(StoreTxn aTxn, Call aCall, EffectList& aOut);
  void Read(const std::string& aName, TimePoint aNow, EffectList& aOut);
  void Write(const std::string& aName,
             Share& aShare,
             ShareRecord aRecord,
             TimePoint aNow,
             EffectList& aOut);
  void OnFailure(const Call& aCall, bool aMayHaveEffect, TimePoint aNow);
  void TakeRecord(const std::string& aName,
                  Share& aShare,
                  const std::vector<StoreEntry>& aEntries,
                  EffectList& aOut);
  void NoteEnded(Share& aShare, TimePoint aNow) const;
  std::size_t ReclaimRank(const Share& aShare,
                          const VmIncarnation& aEnded) const;
  void Review(const std::string& aName,
              Share& aShare,
              TimePoint aNow,
              EffectList& aOut);
  void AverageUse(Share& aShare, TimePoint aNow) const;
  void HastenReclaim(Share& aShare, TimePoint aNow) const;
  void ScheduleReview(Share& aShare, bool aIsShort, TimePoint aNow);
  bool IsGone(const Share& aShare) const;

  Options mOptions;
  ShareLedgerHooks mHooks;
  std::mt19937_64 mRandom;
  std::map<std::string, Share> mShares;
  std::optional<Call> mCall;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextOperation = 1;
  /// Failed calls in a row, and when the store may be tried again.
  std::uint32_t mFailures = 0;
  TimePoint mNotBefore{};
  bool mReturning = false;
  ShareCounters mCounters;
};

} // namespace cranberrywing
