/// \file
/// Mirrors the platform's store: lists all items once, then watches for
/// changes, and keeps this VM's own entry alive under a lease.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cranberrywing/gateway/store_carry.h"
#include "cranberrywing/gateway/store_mirror.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

namespace store_call {

/// Reads the items after a key, as many as the store returns in one answer.
struct ListPage
{
  std::string mAfterKey;
};

/// Long poll: returns the changes after a revision as soon as there are any, or
/// nothing after mWait.
struct Watch
{
  std::int64_t mAfterRevision = 0;
  Milliseconds mWait{};
};

struct GrantLease
{
  Milliseconds mTtl{};
};

struct RenewLease
{
  std::int64_t mLease = 0;
};

struct RevokeLease
{
  std::int64_t mLease = 0;
};

/// Sets a key of this VM unconditionally, under a lease unless mLease is zero.
struct Put
{
  std::string mKey;
  std::string mValue;
  std::int64_t mLease = 0;
};

} // namespace store_call

using StoreCall = std::variant<store_call::ListPage,
                               store_call::Watch,
                               store_call::GrantLease,
                               store_call::RenewLease,
                               store_call::RevokeLease,
                               store_call::Put>;

enum class StoreStatus : std::uint8_t
{
  Ok,
  /// The lease has expired.
  NotFound,
  /// The requested changes are no longer in the store's history.
  HistoryCompacted,
  /// The store rejected the call and changed nothing.
  Refused,
  /// The answer to a read is larger than a VM takes.
  TooLarge,
  /// No usable answer; a write may have been carried out.
  NoAnswer,
};

struct StoreReply
{
  StoreStatus mStatus = StoreStatus::NoAnswer;
  /// Number of times that the store was restored from a copy; revisions of
  /// different epochs cannot be compared. nullopt if there is no answer or it
  /// does not tell; it then counts as one of the latest epoch.
  std::optional<std::int64_t> mEpoch;
  /// Revision of the store at the time of a read.
  std::int64_t mRevision = 0;
  std::vector<StoreItem> mItems;
  std::vector<StoreChange> mChanges;
  bool mHasMore = false;
  std::int64_t mLease = 0;
  Milliseconds mTtl{};
  /// Revision of a write.
  std::int64_t mWrittenRevision = 0;
};

/// Whether and how a VM reads changes from the store itself.
enum class StoreFollowing : std::uint8_t
{
  /// Only the own entry is kept; changes come from other VMs.
  Off,
  /// Failed calls are repeated seldom: other VMs deliver changes, or many VMs
  /// are waiting for the store to return.
  Patient,
  /// Failed calls are repeated soon.
  Eager,
};

/// Each channel has at most one call in progress. Follow is for listings and
/// watches, Lease for this VM's own entries and their lease.
enum class StoreChannel : std::uint8_t
{
  Follow,
  Lease,
};

/// The store came back from a copy and was read again.
struct StoreRestore
{
  StorePosition mBefore;
  StorePosition mAfter;
  /// Number of entries that are kept although the copy does not hold them.
  std::size_t mCarried = 0;
};

/// Callbacks, all called from within the follower's own methods.
struct StoreFollowerHooks
{
  /// Starts a call; its reply has to be passed to OnReply with the same
  /// channel. A new call replaces one in progress on the channel, whose reply
  /// must then not be passed on.
  std::function<void(StoreChannel, const StoreCall&, Duration aTimeout)> mCall;
  std::function<void(const StoreChange&)> mOnChange;
  /// A listing is complete; all its items have been delivered.
  std::function<void()> mOnListingComplete;
  /// The store became reachable or unreachable.
  std::function<void(bool)> mOnReachabilityChange;
  std::function<void(const StoreRestore&)> mOnRestored;
  /// The store holds an item that is older than the state in force of its key,
  /// which stays in force, or another one than this VM wrote under its own key,
  /// which is written again.
  std::function<void(const StoreItem&)> mOnOutdatedWrite;
  /// Whether a key's entry is bound to a lease: it may expire during an outage
  /// of the store and be written again soon after.
  std::function<bool(const std::string&)> mIsLeaseBound;
  /// As in StoreCarryHooks.
  std::function<bool(const std::string&)> mIsKept;
  /// As in StoreCarryHooks.
  std::function<std::optional<WriterVersion>(const StoreItem&)> mVersion;
};

/// Driven by Tick and OnReply; performs no I/O itself. Not thread-safe.
class StoreFollower
{
public:
  struct Options
  {
    /// Key of this VM's leased entry; empty to write no entry.
    std::string mOwnKey;
    std::string mOwnValue;
    /// Key of this VM's permanent roster entry, from which processes that start
    /// later learn which VMs exist. Written once, with mOwnValue.
    std::string mRosterKey;
    /// Maximum wait of a watch while other VMs confirm this VM's copy. It is
    /// long because each call is charged; lease renewals, at a tenth of a
    /// watch's price, detect an outage meanwhile.
    Milliseconds mWatchWait{ 5000 };
    /// The same while no other VM does: time after which the store has to
    /// answer again. A lost answer is noticed after this time and mCallTimeout.
    Milliseconds mConfirmInterval{ 500 };
    Duration mCallTimeout = std::chrono::milliseconds(1000);
    /// Pause after changes, so that the next watch returns several at once.
    Duration mBatchDelay = std::chrono::milliseconds(500);
    /// Replaces mCallTimeout during an outage: a VM has to learn of changes
    /// soon after the store is reachable again.
    Duration mOutageCallTimeout = std::chrono::milliseconds(500);
    Duration mRetryDelay = std::chrono::milliseconds(150);
    Duration mMaxRetryDelay = std::chrono::milliseconds(300);
    /// Replaces both unless the follower is eager. Jitter is added.
    Duration mPatientRetryDelay = std::chrono::milliseconds(1000);
    /// The same for the own entry. While other VMs hear this one, its entry is
    /// not needed soon.
    Duration mLeaseRetryDelay = std::chrono::milliseconds(1600);
    Milliseconds mLeaseTtl{ 4000 };
    Duration mRenewInterval = std::chrono::milliseconds(1300);
    /// Replaces mRenewInterval while this VM reads the store for others.
    Duration mFollowingRenewInterval = std::chrono::milliseconds(500);
    /// Time after an outage within which servers have restored their expired
    /// entries.
    Duration mRestoreTime = std::chrono::milliseconds(2100);
    /// After a restore of the store each VM writes its own entries again after
    /// a random part of this time, so that not all write at once.
    Duration mRewriteTime = std::chrono::milliseconds(600);
    StoreCarry::Options mCarry{};
    /// Fraction of the lease-bound entries whose simultaneous removal is taken
    /// as a result of a store outage.
    double mMassLossFraction = 0.3;
    std::uint64_t mSeed = 1;
  };

  StoreFollower(Options aOptions, StoreFollowerHooks aHooks);

  /// Starts the first calls.
  void Start(TimePoint aNow);
  /// Starts calls that are due and delivers removals whose delay has passed.
  void Tick(TimePoint aNow);
  /// Handles the reply to the channel's call in progress.
  void OnReply(StoreChannel aChannel, const StoreReply& aReply, TimePoint aNow);
  /// Applies changes that another VM read from the store. Ignored if they do
  /// not follow the known position. A full copy also completes the initial
  /// listing, and that after a restore of the store.
  void OnDelta(const StoreDelta& aDelta, TimePoint aNow);
  /// Reads the store itself, or leaves that to other VMs. The first listing is
  /// always read. A watch in progress is not ended.
  void SetFollowing(StoreFollowing aFollowing, TimePoint aNow);
  /// Whether this VM has to confirm its copy itself, by short watches. Replaces
  /// a long watch in progress: its answer may have been lost.
  void SetConfirming(bool aIsConfirming, TimePoint aNow);
  /// Reads the changes once, without waiting for any, while this VM does not
  /// follow the store. A failed call is not repeated.
  void ReadOnce(TimePoint aNow);
  /// Replaces the value of the own entry.
  void SetOwnValue(std::string aValue, TimePoint aNow);
  /// Revokes the lease, which removes the own entry. No reply is needed.
  void RevokeLease();

  bool IsStoreReachable() const { return mIsReachable; }
  /// Store position up to which all changes were delivered or are pending.
  StorePosition KnownPosition() const { return mMirror.GetPosition(); }
  /// Time at which the store last told this VM its changes, or that there are
  /// none; nullopt if this VM does not follow it or cannot reach it. Answers to
  /// other calls say nothing about changes.
  std::optional<TimePoint> ConfirmedAt() const;
  const StoreMirror& Mirror() const { return mMirror; }
  /// Entries that are kept although the store holds an older state.
  const StoreCarry& Carried() const { return mCarried; }
  /// The changes after a position as they are passed on to another VM.
  StoreDelta ChangesAfter(StorePosition aPosition, TimePoint aNow) const;

private:
  enum class FollowState : std::uint8_t
  {
    Listing,
    Watching,
  };

  enum class EpochCheck : std::uint8_t
  {
    Known,
    /// The answer is the first of a later epoch.
    New,
    /// The answer is of an earlier epoch and must be ignored.
    Outdated,
  };

  void Call(StoreChannel aChannel, const StoreCall& aCall);
  void ContinueFollow(TimePoint aNow);
  /// Maximum wait of a watch that starts now.
  Milliseconds WatchWait(TimePoint aNow) const;
  /// Starts a call instead of the one in progress.
  void ReplaceFollowCall(TimePoint aNow);
  void OnFollowReply(const StoreReply& aReply, TimePoint aNow);
  void Apply(const StoreChange& aChange, bool aIsMassLoss, TimePoint aNow);
  /// Records whether the store is reachable and reports a change.
  void SetReachable(bool aIsReached, TimePoint aNow);
  /// Delivers a set of changes that the store or another VM reported together.
  void ApplyChanges(const std::vector<StoreChange>& aChanges, TimePoint aNow);
  /// Delivers the values in force of mChangedKeys.
  void DeliverChangedKeys();
  /// Starts to read the store from the beginning.
  void StartListing(TimePoint aNow);
  /// Replaces the known items by a complete listing.
  void ApplyListing(std::int64_t aRevision, TimePoint aNow);
  void FinishListing(std::int64_t aRevision);
  Duration NextRetryDelay();
  /// aDelay plus up to half of it at random.
  Duration AddJitter(Duration aDelay);

  // store_follower_removals.cpp
  void ApplyRemoval(const std::string& aKey, bool aIsMassLoss, TimePoint aNow);
  /// Whether so many lease-bound entries were removed at once that an outage of
  /// the store is the likely cause.
  bool IsMassLoss(const std::vector<std::string>& aRemoved) const;
  /// Delivers pending removals whose entry was not restored in time.
  void ApplyDueRemovals(TimePoint aNow);

  // store_follower_restore.cpp
  /// Replaces the known items by the first listing of an epoch, which is older
  /// than what is known.
  void ApplyRestoredListing(std::int64_t aRevision, TimePoint aNow);
  /// Compares an answer's epoch with the latest known one. If it is later, the
  /// own entries are written again.
  EpochCheck CheckEpoch(const StoreReply& aReply, TimePoint aNow);
  /// Whether the mirror holds a copy of an epoch that has ended.
  bool IsMirrorOutdated() const;
  /// Delivers a key's state in force without delay.
  void Deliver(const StoreChange& aChange);
  /// Delivers the store's state of keys that are no longer kept.
  void ApplyExpiredEntries(TimePoint aNow);
  void MergeCarried(const std::vector<CarriedEntry>& aEntries, TimePoint aNow);

  // store_follower_lease.cpp
  /// Forgets the lease, and that the own entries are in the store.
  void ForgetOwnEntries(TimePoint aNow);
  void ContinueLease(TimePoint aNow);
  void OnLeaseReply(const StoreReply& aReply, TimePoint aNow);
  /// Writes the own entry again if it was removed or replaced: by a write of
  /// this VM or of its former process that was carried out late, or because it
  /// was bound to the former process's lease.
  void RestoreOwnEntry(const StoreChange& aChange, TimePoint aNow);
  /// Brings a lease call forward that waits to be repeated after a failure.
  void HastenLeaseCall(TimePoint aNow);

  Options mOptions;
  StoreFollowerHooks mHooks;
  std::mt19937_64 mRandom;
  StoreMirror mMirror;
  StoreCarry mCarried;
  /// Latest epoch that the store or another VM told; nullopt before the first
  /// answer. Later than the mirror's while the store is read anew.
  std::optional<std::int64_t> mEpoch;

  StoreFollowing mFollowing = StoreFollowing::Eager;
  bool mReadsOnce = false;
  bool mIsConfirming = true;
  FollowState mState = FollowState::Listing;
  std::string mAfterKey;
  /// Keys of which a set of changes that is being applied has set values. They
  /// are delivered once, with the value in force afterwards.
  std::set<std::string> mChangedKeys;
  /// Items of the listing in progress.
  std::map<std::string, StoreItem> mListedItems;
  std::int64_t mListRevision = 0;
  /// Revision of each delivered key.
  std::map<std::string, std::int64_t> mDeliveredRevisions;
  /// Removals that are delayed because the entry may be restored, with the time
  /// at which they are delivered.
  std::map<std::string, TimePoint> mPendingRemovals;
  std::int64_t mRevision = 0;
  bool mIsFollowCallPending = false;
  /// State in which the call in progress was started.
  FollowState mFollowCallState = FollowState::Listing;
  /// Epoch of the revision that a watch in progress continues from.
  std::int64_t mFollowCallEpoch = 0;
  /// Maximum wait of a watch in progress; 0 for a listing.
  Milliseconds mFollowCallWait{};
  TimePoint mNextFollowCall{};
  Duration mRetryDelay{};
  bool mIsReachable = false;
  TimePoint mConfirmedAt{};
  bool mHadOutage = false;
  TimePoint mReachableAgainAt{};

  bool mIsLeaseCallPending = false;
  TimePoint mNextLeaseCall{};
  bool mHasLeaseCallFailed = false;
  std::int64_t mLease = 0;
  bool mIsOwnWritten = false;
  /// Revision with which the own entry was written.
  std::int64_t mOwnRevision = 0;
  bool mIsRosterWritten = false;
  StoreCall mLeaseCall;
  /// mEpoch when the call was started.
  std::optional<std::int64_t> mLeaseCallEpoch;
};

} // namespace cranberrywing::gateway
