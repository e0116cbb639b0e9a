/// \file
/// Decides which VMs read the platform's store and which learn its changes from
/// other VMs.
///
/// The VMs of a group, a failure domain or a small region, elect one of them to
/// follow the store. The first of all elected VMs reads it often, and confirms
/// to the other elected ones, whose watches are long, that they have missed no
/// change. The others ask it for its store revision and for how long
/// ago the store confirmed it, and are told unasked when the revision changes.
/// A VM whose revision is lower pulls the difference. A VM without a recent
/// confirmation reads the store itself, so that a VM that dies, is paused or is
/// turned away by the store delays others only by the age limit.
///
/// Ages count from the contact with the store, through all VMs on the way, so
/// that VMs cannot confirm old information to each other. A receiver counts
/// from the time of its question, so that a slow network cannot make an answer
/// look more recent than it is.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cranberrywing/gateway/fleet_view.h"
#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::gateway {

/// Deterministic; not thread-safe. Owned by the gateway.
class StoreRelay
{
public:
  struct Options
  {
    VmRecord mSelf;
    /// Age of the last confirmation above which a VM reads the store itself.
    Duration mAgeLimit = std::chrono::milliseconds(1500);
    /// Added to mAgeLimit for each VM that precedes this one in its group, up
    /// to mMaxSteps, so that not all start at once.
    Duration mAgeStep = std::chrono::milliseconds(60);
    std::size_t mMaxSteps = 6;
    /// Replaces mAgeLimit at an elected VM, as the age above which it reads the
    /// store often. mAgeStep is added for each elected VM that precedes it.
    Duration mElectedAgeLimit = std::chrono::milliseconds(1100);
    /// Interval of queries. It grows with a group of more than mUsualGroup VMs,
    /// up to mMaxQueryInterval, to limit the load of the elected VM.
    Duration mQueryInterval = std::chrono::milliseconds(250);
    Duration mMaxQueryInterval = std::chrono::milliseconds(500);
    /// Interval of an elected VM's queries to the first elected one.
    Duration mElectedQueryInterval = std::chrono::milliseconds(125);
    std::size_t mUsualGroup = 25;
    /// Age above which further VMs are asked besides the elected one.
    Duration mDoubtAge = std::chrono::milliseconds(900);
    /// Number of further VMs that are asked at a time.
    std::size_t mFurtherQueries = 2;
    /// Regions with at most this many VMs form one group.
    std::size_t mSmallRegion = 8;
    /// Interval of unasked beacons to VMs of the group that are silent: they
    /// may have restarted without reaching the store, and then know no other
    /// VM.
    Duration mNewsInterval = std::chrono::milliseconds(500);
    /// Time for which a VM that has just started leaves it to the store to tell
    /// the first copy.
    Duration mFirstCopyDelay = std::chrono::milliseconds(1000);
    /// Interval at which the groups are computed again.
    Duration mGroupInterval = std::chrono::milliseconds(200);
    /// Minimum time between the starts of pulls.
    Duration mPullInterval = std::chrono::milliseconds(100);
    /// The same after a failed pull.
    Duration mPullRetryDelay = std::chrono::milliseconds(250);
    /// Minimum time between pulls for the entries that another VM keeps since a
    /// restore of the store.
    Duration mCarriedPullInterval = std::chrono::milliseconds(2000);
    /// Time for reading large changes from the store before they are pulled
    /// from another VM after all.
    Duration mLargeReadTime = std::chrono::milliseconds(900);
    /// Time after a beacon in which changes are pulled from its sender.
    Duration mSourceValidity = std::chrono::milliseconds(1200);
    /// Difference of two confirmations that is ignored.
    Duration mAgeTolerance = std::chrono::milliseconds(300);
    /// Time after which the beacon of a VM is forgotten.
    Duration mSourceRetention = std::chrono::seconds(10);
  };

  explicit StoreRelay(Options aOptions);

  /// Sets the state of this VM's own follower.
  void SetProgress(const StoreProgress& aProgress);
  /// Stores the beacon of another VM. An answer to a query confirms this VM's
  /// copy as of the time of the query.
  void OnBeacon(const VmIncarnation& aFrom,
                const message::StoreBeacon& aBeacon,
                TimePoint aNow);
  /// Recomputes the groups if that is due.
  void Tick(const FleetView& aFleet, TimePoint aNow);
  /// How this VM has to follow the store now.
  StoreFollowing Following(TimePoint aNow) const;
  /// Whether this VM has to read the store often while it follows it, because
  /// no other VM confirms its copy soon enough.
  bool IsConfirming(TimePoint aNow) const;
  /// Returns the pull to start now, if any. OnPullEnded has to follow.
  std::optional<StorePull> TakePull(TimePoint aNow);
  void OnPullEnded(PullResult aResult, TimePoint aNow);
  /// VMs to which a query has to be sent now.
  std::vector<RelayEndpoint> TakeQueries(TimePoint aNow);
  /// Content of a query that is sent now.
  message::StoreQuery Query(TimePoint aNow) const;
  /// VMs to which a beacon has to be sent unasked: because the revision has
  /// changed, or because they are silent.
  std::vector<RelayEndpoint> TakeReceivers(TimePoint aNow);
  /// Content of a beacon that is sent unasked. It confirms nothing.
  message::StoreBeacon News() const;
  /// Answer to a query; nullopt if this VM has no confirmed copy.
  std::optional<message::StoreBeacon> Answer(const message::StoreQuery& aQuery,
                                             TimePoint aNow) const;

  /// Age of the newest confirmation that this VM knows of, its own included;
  /// nullopt if it knows none.
  std::optional<Duration> Age(TimePoint aNow) const;
  /// Last time at which this VM's copy had not been confirmed within the age
  /// limit; nullopt if never.
  std::optional<TimePoint> UnconfirmedAt() const { return mUnconfirmedAt; }

private:
  /// Contact of another VM with the store.
  struct Confirmation
  {
    TimePoint mAt{};
    /// OrderOf of the VM that had the contact.
    std::uint64_t mOrigin = 0;
    bool mIsOriginElected = false;
  };

  /// A beacon as last received from one VM.
  struct Source
  {
    RelayEndpoint mEndpoint;
    StorePosition mPosition;
    std::uint64_t mCarriedDigest = 0;
    TimePoint mHeardAt{};
    /// nullopt if the last beacon was sent unasked.
    std::optional<Confirmation> mConfirmation;
  };

  /// This VM's view of the groups.
  struct Groups
  {
    /// Usable other VMs of this VM's group, in the group's order.
    std::vector<RelayEndpoint> mMates;
    /// Other VMs of the group, which are silent, leaving or have no entry.
    std::vector<RelayEndpoint> mSilentMates;
    /// The elected VMs of the other groups, in the same order.
    std::vector<RelayEndpoint> mOtherElected;
    /// Number of mOtherElected that precede this VM.
    std::size_t mElectedRank = 0;
    /// Number of usable VMs that precede this VM in its group.
    std::size_t mRank = 0;
  };

  Groups FindGroups(const FleetView& aFleet, TimePoint aNow) const;
  /// Takes over the latest confirmation of a revision that this VM has.
  void UpdateConfirmation();
  /// The latest confirmation of this VM's copy, by itself or by another VM.
  std::optional<Confirmation> Latest() const;
  /// Whether the latest confirmation is this VM's own and it still follows the
  /// store.
  bool IsOrigin() const;
  /// Whether the VM keeps entries since the last restore of the store that this
  /// VM may not know.
  bool HasUnknownEntries(const Source& aSource, TimePoint aNow) const;
  bool IsElected() const { return mGroups.mRank == 0; }
  /// Whether this VM is the elected one that confirms the copies of the others.
  bool IsFirstElected() const
  {
    return IsElected() && mGroups.mElectedRank == 0;
  }
  /// Whether another VM has confirmed this VM's copy within aLimit and
  /// mAgeStep for each of the preceding VMs.
  bool IsConfirmedByOther(Duration aLimit,
                          std::size_t aPreceding,
                          TimePoint aNow) const;

  Options mOptions;
  std::uint64_t mSelfHash = 0;
  StoreProgress mProgress;
  Groups mGroups;
  TimePoint mNextGroups{};
  std::map<VmId, Source> mSources;
  /// Last time at which the store confirmed this VM's copy to this VM itself.
  std::optional<TimePoint> mOwnConfirmedAt;
  /// Latest confirmation by another VM that covers this VM's copy.
  std::optional<Confirmation> mConfirmation;

  bool mIsPulling = false;
  VmId mPulledFrom;
  /// Source::mCarriedDigest of the pull in progress, and of the last one that
  /// succeeded: its entries are known, even if this VM did not keep them all.
  std::uint64_t mPulledDigest = 0;
  std::uint64_t mKnownDigest = 0;
  TimePoint mNextCarriedPull{};
  /// VM whose last pull failed; others are preferred.
  VmId mFailedSource;
  TimePoint mNextPull{};
  /// Since when large changes are being read from the store.
  std::optional<TimePoint> mLargeSince;

  TimePoint mNextQuery{};
  /// Position in the list of further VMs to ask.
  std::size_t mNextFurther = 0;
  /// Position in the last beacon that was sent unasked.
  StorePosition mSentPosition;
  TimePoint mNextNews{};
  std::optional<TimePoint> mStartedAt;
  std::optional<TimePoint> mUnconfirmedAt;
};

} // namespace cranberrywing::gateway
