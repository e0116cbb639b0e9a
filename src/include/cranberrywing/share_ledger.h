/// \file
/// Ledger of this process's fractions of shared quantities, which are recorded
/// in the store (design 3.3). The fractions in one record never add up to more
/// than the whole, whatever messages are lost and however long a holder is
/// paused.
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
  /// Number of VMs that hold or request the named share, including this VM.
  std::function<std::size_t(const std::string&)> mExpectedHolders;
};

/// Counters since the start of the process, for metrics and reports.
struct ShareCounters
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  /// Writes that failed because another holder had changed the record.
  std::uint64_t mConflicts = 0;
  /// Calls without an answer of the store.
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
    /// Time between reviews, which compare the fraction with the demand.
    Duration mReviewInterval = std::chrono::seconds(30);
    Duration mRetryInterval = std::chrono::milliseconds(500);
    /// Time for which a process limits itself to a smaller fraction before it
    /// records in the store that the rest is free, and time from learning of a
    /// process's death until its fraction is reclaimed. It must exceed the
    /// validity of a token transfer with its drift margin (510 ms): until then,
    /// tokens that were lent under the larger fraction may still be used.
    Duration mReleaseDelay = std::chrono::milliseconds(600);
    /// Initial reads per second by all holders together when they start at the
    /// same time. Each read causes a write, and some cause write conflicts: at
    /// 60 reads per second, 460 holders made 127 writes in a second; at 30,
    /// half as many.
    double mInitialReadsPerSecond = 30;
  };

  ShareLedger(Options aOptions, ShareLedgerHooks aHooks);

  /// Requests a fraction of the named quantity, which is granted later.
  /// Idempotent.
  void Acquire(const std::string& aName);
  /// Releases the fraction. Idempotent.
  void Release(const std::string& aName);
  /// Schedules a review within a few seconds instead of after the review
  /// interval, because the number of expected holders changed; a new holder
  /// then receives its fraction sooner.
  void RequestEarlyReview(const std::string& aName, TimePoint aNow);
  /// This process's fraction in millionths; zero until the store has granted
  /// it.
  std::uint32_t Fraction(const std::string& aName) const;
  /// Reports the mean utilization of the fraction since the last call: 1 if all
  /// of it was used, above 1 if more was demanded.
  void ReportUtilization(const std::string& aName, double aUtilization);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Reclaims the fractions of a dead process after the release delay.
  void OnDeath(const VmIncarnation& aProcess, TimePoint aNow, EffectList& aOut);
  /// Releases all fractions before a planned stop of the process.
  void ReleaseAll(TimePoint aNow, EffectList& aOut);
  /// Whether the release by ReleaseAll is complete.
  bool IsReleased() const;

  /// The record as last read, for reports; null if it was never read.
  const ShareRecord* Record(const std::string& aName) const;
  const ShareCounters& Counters() const { return mCounters; }

private:
  /// A write whose answer was lost. It may still take effect while the record
  /// has the revision that the write compares with.
  struct UnresolvedWrite
  {
    std::int64_t mComparedRevision = 0;
    /// Minimum own fraction that the record may contain.
    std::uint32_t mMinFraction = 0;
  };

  /// This process limits itself to a smaller fraction than the record contains.
  struct Reduction
  {
    std::uint32_t mFraction = 0;
    TimePoint mSince{};
  };

  struct DeadHolder
  {
    VmIncarnation mHolder;
    TimePoint mKnownSince{};
  };

  struct Share
  {
    bool mIsRequested = true;
    std::optional<ShareRecord> mRecord{};
    std::int64_t mModRevision = 0;
    /// Fraction that this process certainly holds, in millionths.
    std::uint32_t mUsable = 0;
    std::optional<UnresolvedWrite> mUnresolvedWrite{};
    std::optional<Reduction> mReduction{};
    std::vector<DeadHolder> mDeadHolders{};
    /// Time of the next read of the record; nullopt if it has to be scheduled.
    std::optional<TimePoint> mNextRead{};
    double mUtilizationSum = 0;
    std::uint32_t mUtilizationSamples = 0;
    std::optional<TimePoint> mUtilizationSince{};
    /// Smoothed utilization over the last few review intervals; nullopt before
    /// the end of the first.
    std::optional<double> mMeanUtilization{};
    /// Consecutive write conflicts, and consecutive reviews that found the
    /// fraction too small.
    std::uint32_t mConflicts = 0;
    std::uint32_t mShortReviews = 0;
  };

  /// The call to the store that is in flight; there is at most one.
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
  void OnCallFailure(const Call& aCall, bool aMayHaveSucceeded, TimePoint aNow);
  void ApplyRecord(const std::string& aName,
                   Share& aShare,
                   const std::vector<StoreEntry>& aEntries,
                   EffectList& aOut);
  void UpdateDeadHolders(Share& aShare, TimePoint aNow) const;
  std::size_t ReclaimRank(const Share& aShare,
                          const VmIncarnation& aDead) const;
  void Review(const std::string& aName,
              Share& aShare,
              TimePoint aNow,
              EffectList& aOut);
  void UpdateMeanUtilization(Share& aShare, TimePoint aNow) const;
  void ScheduleReclaim(Share& aShare, TimePoint aNow) const;
  void ScheduleReview(Share& aShare, bool aIsShort, TimePoint aNow);
  bool IsFullyReleased(const Share& aShare) const;

  Options mOptions;
  ShareLedgerHooks mHooks;
  std::mt19937_64 mRandom;
  std::map<std::string, Share> mShares;
  std::optional<Call> mCall;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextOperation = 1;
  /// Consecutive failed calls, and the time before which the store is not
  /// called again.
  std::uint32_t mFailures = 0;
  TimePoint mBackOffUntil{};
  bool mIsReleasingAll = false;
  ShareCounters mCounters;
};

} // namespace cranberrywing
