/// \file
/// Ownership of the slots into which non-idempotent executions are partitioned
/// (design 3.4). The slot record in the store, with owner and epoch, is
/// authoritative; leases only indicate liveness.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/slot_record.h"

namespace cranberrywing {

/// Callbacks of SlotTable to other components.
struct SlotTableHooks
{
  std::function<bool(const VmIncarnation&)> mIsDead;
  std::function<bool(const VmId&)> mIsUsable;
  /// Usable VMs with their failure domains, this VM included.
  std::function<std::vector<std::pair<VmId, FailureDomainId>>()> mCandidates;
  /// Called when this process becomes the owner in the given epoch. Executions
  /// must load the slot's claims before it runs anything.
  std::function<void(std::uint32_t, std::uint64_t, TimePoint, EffectList&)>
    mOnAcquired;
  /// Called when this process is no longer the owner.
  std::function<void(std::uint32_t, TimePoint, EffectList&)> mOnLost;
};

/// Tracks the owners of all slots, takes over slots of dead owners and hands
/// slots over to other VMs.
///
/// Store layout, all under Options::mStorePrefix so that one range read and
/// one watch cover it:
/// - `count`: number of slots, written once with the first slot record;
/// - `<slot>`: owner and epoch (slot_record.h);
/// - `live/<vm>/<incarnation>`: live key, bound to the lease of an owner or
///   candidate.
///
/// Candidates are the FleetSettings::mSlotOwners VMs that ChooseSlotOwners
/// returns. Candidates and owners hold a lease and a watch. All other VMs read
/// the range at start, every mRefreshInterval, and, with backoff, when an owner
/// has become unusable or Refresh was called.
///
/// Not thread-safe; owned by the reducer.
class SlotTable
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/slots/";
    Duration mLeaseTime = std::chrono::seconds(3);
    /// Delay before slots that never had an owner are taken over, so that VMs
    /// that start at the same time share them.
    Duration mStartupDelay = std::chrono::seconds(1);
    /// Time for which another VM must have been the preferred owner before a
    /// slot is handed over to it. Membership views converge well within it.
    Duration mRebalanceDelay = std::chrono::seconds(10);
    /// Interval between reads by VMs that hold no watch.
    Duration mRefreshInterval = std::chrono::seconds(30);
    /// Initial backoff between reads on demand; doubled up to mRefreshInterval.
    Duration mRefreshBackoff = std::chrono::seconds(2);
    /// Time after which a store call without a reply is treated as lost.
    Duration mCallTimeout = std::chrono::seconds(5);
    /// Time without changes or progress notifications after which a watch is
    /// treated as broken.
    Duration mWatchTimeout = std::chrono::seconds(5);
  };

  SlotTable(Options aOptions, SlotTableHooks aHooks);

  void Apply(const SettingsSnapshot& aSettings);
  /// Number of slots as recorded in the store, or as configured if there is no
  /// record. A setting that differs from the record is ignored, since each
  /// idempotency key must always map to the same slot.
  std::uint32_t SlotCount() const;
  /// Owner as last read from the store; nullopt if there is none.
  std::optional<SlotOwner> Owner(std::uint32_t aSlot) const;
  /// Whether this process owns the slot according to its current view.
  bool IsOwner(std::uint32_t aSlot) const;
  /// Whether this process owns the slot and no other process can have taken it
  /// over, because this process's lease has not expired on any clock. False
  /// does not imply a takeover.
  bool IsConfirmedOwner(std::uint32_t aSlot, TimePoint aNow) const;
  /// Slots that this process owns, in ascending order.
  std::vector<std::uint32_t> OwnedSlots() const;
  /// Whether the current owner received the slot by a planned handover.
  bool IsHandedOver(std::uint32_t aSlot) const;
  /// Fencing condition for transactions of the slot's owner: the slot record's
  /// store key and its mod revision as last known to this process.
  StoreCompare Fence(std::uint32_t aSlot) const;
  /// Call when a fenced transaction failed. Reads the slot record again.
  void OnFenceFailed(std::uint32_t aSlot, TimePoint aNow, EffectList& aOut);
  /// Call when the known owners may be out of date, for example because one of
  /// them refused a request with NotOwner. Reads them again, with backoff.
  void Refresh();

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnWatch(const event::StoreWatchFired& aEvent,
               TimePoint aNow,
               EffectList& aOut);
  void OnDeath(const VmIncarnation& aProcess, TimePoint aNow, EffectList& aOut);
  /// Starts handing all slots over to other VMs, for a drain. Each slot is
  /// served until its record has changed, so during a store outage all are.
  void ReleaseAll(TimePoint aNow, EffectList& aOut);
  /// Whether ReleaseAll has completed: all slots have been handed over and the
  /// handover messages had time to be sent, or no other VM can take them.
  bool IsReleased() const;

private:
  enum class Release : std::uint8_t
  {
    None,
    /// To be handed over in the next transaction.
    Due,
    /// The transaction is in flight.
    Writing,
  };

  struct Slot
  {
    std::optional<SlotRecord> mRecord;
    /// The record exists but cannot be decoded; the slot is not taken over.
    bool mIsUnreadable = false;
    std::int64_t mModRevision = 0;
    /// Since when the owner has had no live key.
    std::optional<TimePoint> mOrphanedSince;
    /// Since when another VM has been the preferred owner.
    std::optional<TimePoint> mMisplacedSince;
    bool mIsOwned = false;
    std::uint64_t mOwnedEpoch = 0;
    Release mRelease = Release::None;
    TimePoint mNextReleaseAttempt{};
  };

  enum class Call : std::uint8_t
  {
    Read,
    Grant,
    PutLive,
    KeepAlive,
    Revoke,
    TakeOver,
    HandOver,
  };

  struct PendingCall
  {
    Call mCall = Call::Read;
    TimePoint mSentAt{};
  };

  enum class LeaseState : std::uint8_t
  {
    None,
    Granted,
    /// The live key is in the store.
    Held,
  };

  // slots.cpp
  void Send(Call aCall, StoreCall aRequest, TimePoint aNow, EffectList& aOut);
  void SendTxn(Call aCall, StoreTxn aTxn, TimePoint aNow, EffectList& aOut);
  bool IsPending(Call aCall) const;
  void ExpireCalls(TimePoint aNow, EffectList& aOut);
  void OnReply(Call aCall,
               const Result<StoreReply>& aReply,
               TimePoint aNow,
               EffectList& aOut);
  bool OwnsAnySlot() const;
  bool NeedsLease() const;
  std::string SlotKey(std::uint32_t aSlot) const;
  std::string LiveKey(const VmIncarnation& aProcess) const;

  // slots_view.cpp
  StoreRange FullRange() const;
  void TickView(TimePoint aNow, EffectList& aOut);
  void Read(TimePoint aNow, EffectList& aOut);
  void StartWatch(TimePoint aNow, EffectList& aOut);
  bool IsViewCurrent(TimePoint aNow) const;
  bool HasUnusableOwner() const;
  bool IsOwnerLost(TimePoint aNow) const;
  void ApplyRange(const StoreReply& aReply, TimePoint aNow, EffectList& aOut);
  void ApplyEntry(const StoreEntry& aEntry);
  void ApplyCount(const StoreEntry& aEntry);
  void ApplySlot(std::uint32_t aSlot, const StoreEntry& aEntry);
  void Reconcile(TimePoint aNow, EffectList& aOut);
  void ReconcileSlot(std::uint32_t aSlot, TimePoint aNow, EffectList& aOut);

  // slots_lease.cpp
  void TickLease(TimePoint aNow, EffectList& aOut);
  void GrantLease(TimePoint aNow, EffectList& aOut);
  void PutLiveKey(TimePoint aNow, EffectList& aOut);
  void KeepLeaseAlive(TimePoint aNow, EffectList& aOut);
  void RevokeLease(TimePoint aNow, EffectList& aOut);
  void OnGrantReply(const Result<StoreReply>& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnPutLiveReply(const Result<StoreReply>& aReply,
                      TimePoint aNow,
                      EffectList& aOut);
  void OnKeepAliveReply(const Result<StoreReply>& aReply);

  // slots_ownership.cpp
  void EvaluateOwnership(TimePoint aNow, EffectList& aOut);
  void UpdateOrphans(TimePoint aNow);
  bool IsLive(const VmIncarnation& aProcess) const;
  bool HasLiveProcess(const VmId& aVm) const;
  /// Candidates with a live process, preferred owner of the slot first.
  std::vector<VmId> RankLiveCandidates(std::uint32_t aSlot) const;
  bool IsProvenDead(const VmIncarnation& aOwner) const;
  bool MayTakeOver(std::uint32_t aSlot, TimePoint aNow) const;
  void TakeOverOrphans(TimePoint aNow, EffectList& aOut);
  void AddTakeover(std::uint32_t aSlot, StoreTxn& aTxn) const;

  // slots_release.cpp
  std::optional<VmIncarnation> ChooseSuccessor(std::uint32_t aSlot) const;
  void MarkForRebalance(TimePoint aNow);
  void MarkForRelease(TimePoint aNow);
  void WriteHandovers(TimePoint aNow, EffectList& aOut);
  void OnHandOverReply(const Result<StoreReply>& aReply,
                       TimePoint aNow,
                       EffectList& aOut);

  Options mOptions;
  SlotTableHooks mHooks;
  std::uint32_t mOwnerCount = 8;
  Duration mTakeoverDelay = std::chrono::seconds(3);
  std::uint32_t mConfiguredCount = 0;
  std::uint32_t mRecordedCount = 0;
  std::int64_t mCountModRevision = 0;
  std::vector<Slot> mSlots;

  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, PendingCall> mCalls;

  /// Processes with a live key.
  std::set<VmIncarnation> mLiveProcesses;
  std::vector<VmId> mCandidates;
  std::size_t mOwnedCount = 0;
  /// Since when a slot has had no usable owner.
  std::optional<TimePoint> mOwnerLostSince;
  bool mIsCandidate = false;

  bool mHasView = false;
  std::int64_t mViewRevision = 0;
  bool mIsWatching = false;
  TimePoint mLastUpdate{};
  bool mIsReadRequested = true;
  TimePoint mLastRead{};
  Duration mReadBackoff{};

  LeaseState mLeaseState = LeaseState::None;
  LeaseId mLease = LeaseId::None;
  TimePoint mNextLeaseAttempt{};
  TimePoint mLastKeepAlive{};
  TimePoint mHeldSince{};
  TimePoint mGrantSentAt{};
  /// Time at which the last call that granted or extended the lease was sent.
  TimePoint mLeaseConfirmedAt{};

  TimePoint mNextEvaluation{};
  bool mIsReleasing = false;
  TimePoint mReleaseStart{};
  TimePoint mLastSlotLost{};
  TimePoint mNow{};
};

} // namespace cranberrywing
