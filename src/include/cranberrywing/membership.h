/// \file
/// SWIM-style failure detection and gossip between VMs (design 3.2).
/// Reachability decides where work is sent; what a process owned is released
/// only when the process is proven dead.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Another VM as known to this VM. Its state is never Dead: a process that is
/// proven dead is removed from the members.
struct Member
{
  MemberUpdate mUpdate;
  /// When the current state was learned.
  TimePoint mSince{};
};

struct MembershipHooks
{
  std::function<ConfigurationVersion()> mVersion;
  /// Age of this VM's own last contact with the store.
  std::function<std::optional<Duration>()> mStoreContactAge;
  /// Called when a peer reports its configuration version.
  std::function<void(const VmId&, const ConfigurationVersion&)> mOnVersion;
  /// Called when a process is proven dead.
  std::function<void(const VmIncarnation&)> mOnDeath;
};

/// Not thread-safe; owned by the reducer.
class Membership
{
public:
  struct Options
  {
    MemberUpdate mSelf;
    std::vector<VmSettings> mSeeds;
    std::uint64_t mSeed = 1;
    Duration mProbePeriod = std::chrono::seconds(1);
    Duration mProbeTimeout = std::chrono::milliseconds(300);
    std::size_t mIndirectProbes = 3;
    std::size_t mDatagramLimit = 1200;
    /// Maximum local health penalty. Timeouts are multiplied by one plus the
    /// penalty.
    std::uint32_t mMaxHealthPenalty = 4;
  };

  Membership(Options aOptions, MembershipHooks aHooks);

  const VmIncarnation& Self() const { return mOptions.mSelf.mMember; }
  const MemberUpdate& SelfUpdate() const { return mOptions.mSelf; }

  /// All known VMs except this one, ordered by name.
  const std::map<VmId, Member>& Members() const { return mMembers; }
  const Member* Find(const VmId& aVm) const;
  /// Whether a VM may get new work: it is alive or suspect, and not leaving.
  bool IsUsable(const VmId& aVm) const;
  /// The same for a given member, without a lookup by name.
  bool IsUsable(const Member& aMember) const;
  /// Number of usable members, including this VM.
  std::size_t UsableCount() const;
  /// Returns up to aCount distinct usable peers, chosen at random.
  std::vector<VmId> PickPeers(std::size_t aCount);
  /// Whether the process is proven dead.
  bool IsDead(const VmIncarnation& aProcess) const;
  /// Whether peers consider this very process proven dead: the platform's VM
  /// list no longer has it, or a later process runs under its name. The process
  /// should stop, since others take over what it owned.
  bool IsDeclaredDead() const { return mDeclaredDead; }
  /// Whether this VM watches the store: it has one of the two greatest
  /// rendezvous weights among the usable VMs of its failure domain.
  bool IsStoreWatcher() const;
  /// Whether this VM's key table is recent enough to accept keys (design 3.1).
  /// False while no store contact is known at all, and if a newer configuration
  /// has been known for longer than aIsolationLimit without being active here.
  /// Otherwise true if
  ///
  /// - a store contact at most aIsolationLimit old is known;
  /// - there are no peers, and the seeds name no VM but this one; or
  /// - peers answer, and every other failure domain with a suspect or
  ///   unreachable member was heard from within the limit, by this VM or by a
  ///   peer.
  ///
  /// In the last case the store is down for all of them, so no withdrawal can
  /// have been missed as long as every VM obeys MayAcceptEdits. With a zero
  /// limit the result is always true.
  bool IsCurrent(Duration aIsolationLimit, TimePoint aNow) const;
  /// Whether this VM may accept edits of the settings: a peer answered it
  /// within the limit, or there are no peers. A VM that only the operator and
  /// the store can reach must not accept a withdrawal of a key, since other VMs
  /// could not learn of it.
  bool MayAcceptEdits(Duration aIsolationLimit, TimePoint aNow) const;
  /// Age of the most recent store contact known, of this VM or reported by a
  /// peer; nullopt if there was none.
  std::optional<Duration> FreshestStoreContact(TimePoint aNow) const;
  /// Number of extra timeouts that this VM grants its peers, raised when its
  /// own probes fail.
  std::uint32_t HealthPenalty() const { return mHealthPenalty; }

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::Probe& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ProbeAck& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ProbeRequest& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  /// A final Leave counts as proof of death, since the process itself reports
  /// that it has ended its work.
  void OnMessage(const VmIncarnation& aFrom,
                 const message::Leave& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  /// Declares a VM dead if earlier lists contained it, two consecutive lists do
  /// not, and it is unreachable or leaving. A stale list from before a VM's
  /// start therefore proves nothing.
  void OnVmList(const event::VmListReceived& aEvent,
                TimePoint aNow,
                EffectList& aOut);
  /// Probes the VM immediately.
  void OnPeerUnreachable(const VmId& aVm, TimePoint aNow, EffectList& aOut);

  /// Tells peers that this VM is stopping. aFinal: the process has ended its
  /// work and exits now.
  void Leave(bool aFinal, TimePoint aNow, EffectList& aOut);

private:
  /// Number of consecutive messages from senders with a different member list
  /// after which the full list is requested. Gossip of a join or a death
  /// normally reaches all members before that.
  static constexpr std::uint32_t kListRequestThreshold = 24;

  /// A probe sent by this VM that has not been answered yet.
  struct PendingProbe
  {
    std::uint64_t mSequence = 0;
    VmId mTarget;
    TimePoint mSentAt{};
    TimePoint mFailsAt{};
    bool mIndirectSent = false;
  };

  /// A probe sent on behalf of another VM.
  struct Relay
  {
    std::uint64_t mSequence = 0;
    VmIncarnation mRequester;
    std::uint64_t mRequesterSequence = 0;
    TimePoint mExpiresAt{};
  };

  /// An update waiting to be gossiped.
  struct QueuedUpdate
  {
    VmId mVm;
    std::uint32_t mSent = 0;
  };

  struct Suspicion
  {
    VmIncarnation mMember;
    std::uint32_t mVersion = 0;
    TimePoint mExpiresAt{};
  };

  struct Tombstone
  {
    Incarnation mIncarnation;
    TimePoint mSince{};
  };

  /// State of a VM according to the platform's VM lists.
  struct VmListState
  {
    bool mLeaving = false;
    std::uint32_t mAbsentReads = 0;
  };

  /// Values derived from mMembers, cached until it changes.
  struct Derived
  {
    bool mValid = false;
    std::size_t mUsableCount = 1;
    bool mIsStoreWatcher = true;
    /// Hashes of the failure domains with a suspect or unreachable member.
    std::vector<std::uint32_t> mDegradedDomains;
    /// Number of other members that are not leaving.
    std::size_t mPeers = 0;
    std::uint64_t mMembersHash = 0;
  };

  // membership.cpp
  static std::uint32_t DomainHash(const FailureDomainId& aDomain);
  const Derived& GetDerived() const;
  static void Send(const VmId& aTo, Message aMessage, EffectList& aOut);
  void Record(const char* aName,
              const VmIncarnation& aMember,
              std::string_view aReason,
              EffectList& aOut) const;

  // membership_probe.cpp
  void DetectPause(TimePoint aNow);
  Duration ScaleTimeout(Duration aTimeout) const;
  void StartPeriod(TimePoint aNow, EffectList& aOut);
  void ContactSeeds(TimePoint aNow, EffectList& aOut);
  std::optional<VmId> NextTarget();
  void SendProbe(const VmId& aTarget,
                 std::uint64_t aSequence,
                 TimePoint aNow,
                 EffectList& aOut);
  void StartProbe(const VmId& aTarget, TimePoint aNow, EffectList& aOut);
  void SendIndirectProbes(PendingProbe& aProbe,
                          TimePoint aNow,
                          EffectList& aOut);
  void OnProbeFailed(const PendingProbe& aProbe,
                     TimePoint aNow,
                     EffectList& aOut);
  void CheckProbes(TimePoint aNow, EffectList& aOut);
  void CheckSuspicions(TimePoint aNow, EffectList& aOut);
  void SendFullMemberList(const VmId& aTo, TimePoint aNow, EffectList& aOut);
  std::vector<VmId> SamplePeers(std::size_t aCount, const VmId* aExcept);

  // membership_gossip.cpp
  Gossip MakeGossip(const VmId* aReceiver, TimePoint aNow);
  Gossip MakeFullMemberList(TimePoint aNow) const;
  void FillHeader(Gossip& aGossip, TimePoint aNow) const;
  std::uint32_t TransmitLimit() const;
  void QueueUpdate(const VmId& aVm);
  std::optional<MemberUpdate> UpdateOf(const VmId& aVm) const;
  void ApplyGossip(const VmIncarnation& aFrom,
                   const Gossip& aGossip,
                   std::optional<TimePoint> aContactTime,
                   bool aForward,
                   TimePoint aNow,
                   EffectList& aOut);
  void ApplyUpdate(const MemberUpdate& aUpdate,
                   bool aForward,
                   TimePoint aNow,
                   EffectList& aOut);
  void ApplySelfUpdate(const MemberUpdate& aUpdate, EffectList& aOut);
  bool NeedsFullList() const;
  void CompareMembers(const Gossip& aGossip);
  void NotePeerVersion(const VmId& aFrom,
                       const ConfigurationVersion& aVersion,
                       TimePoint aNow);
  void AddMember(const MemberUpdate& aUpdate, TimePoint aNow, EffectList& aOut);
  void SetState(Member& aMember,
                MemberState aState,
                std::string_view aReason,
                TimePoint aNow,
                EffectList& aOut);
  /// Takes the process by value, since callers pass it from the member that
  /// this function erases.
  void DeclareDead(VmIncarnation aProcess,
                   std::string_view aReason,
                   bool aForward,
                   TimePoint aNow,
                   EffectList& aOut);

  // membership_currency.cpp
  /// Picks a member to probe in addition to the regular one: one whose failure
  /// domain has a suspect or unreachable member and no recent contact.
  std::optional<VmId> PickDomainProbeTarget(TimePoint aNow);
  void NoteDomainContact(std::uint32_t aDomain, TimePoint aWhen);
  void NoteMemberContact(const VmIncarnation& aFrom, TimePoint aWhen);
  std::optional<TimePoint> TrustedArrivalTime(TimePoint aNow) const;
  bool IsBehind(Duration aLimit, TimePoint aNow) const;

  Options mOptions;
  MembershipHooks mHooks;
  std::map<VmId, Member> mMembers;
  std::mt19937_64 mRandom;

  std::unordered_map<VmId, Tombstone> mTombstones;
  std::unordered_map<VmId, VmListState> mVmListStates;
  std::vector<QueuedUpdate> mUpdateQueue;
  std::vector<PendingProbe> mProbes;
  std::vector<Relay> mRelays;
  std::vector<Suspicion> mSuspicions;
  /// Members not yet probed in this round; the next one is at the end.
  std::vector<VmId> mProbeOrder;
  std::uint64_t mNextSequence = 1;
  std::uint64_t mPeriods = 0;
  std::uint32_t mHealthPenalty = 0;
  std::uint32_t mFullListsSent = 0;
  TimePoint mNextPeriod{};
  /// Time of the last message from any VM.
  TimePoint mLastMessage{};
  /// Number of consecutive messages whose sender had a different member list.
  std::uint32_t mMismatches = 0;
  std::optional<TimePoint> mLastTick;
  bool mDeclaredDead = false;

  /// Messages that arrive before this time may have been queued in the socket
  /// while the process was paused.
  TimePoint mIgnoreArrivalsUntil{};
  std::optional<TimePoint> mStoreContact;
  std::unordered_map<std::uint32_t, TimePoint> mDomainContacts;
  std::uint32_t mOwnDomain = 0;
  std::optional<TimePoint> mLastAnswer;
  Revision mNewestSeenRevision;
  std::optional<TimePoint> mBehindSince;
  mutable Derived mDerived;
};

} // namespace cranberrywing
