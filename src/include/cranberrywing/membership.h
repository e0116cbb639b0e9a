/// \file
/// Failure detection and gossip between VMs (design 3.2). Reachability
/// steers work; only proof of death releases what a process owned.
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

/// A VM as this VM knows it. Its state is never Dead: a process that is
/// proven to have ended is no member.
struct Member
{
  MemberUpdate mUpdate;
  /// When the present state was learned.
  TimePoint mSince{};
};

struct MembershipHooks
{
  std::function<ConfigurationVersion()> mVersion;
  /// Age of this VM's own last store contact.
  std::function<std::optional<Duration>()> mStoreContactAge;
  /// A peer told its configuration version.
  std::function<void(const VmId&, const ConfigurationVersion&)> mOnVersion;
  /// A process is proven to have ended.
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
    /// Greatest local health penalty; timeouts grow by up to this factor
    /// plus one.
    std::uint32_t mMaxHealthPenalty = 4;
  };

  Membership(Options aOptions, MembershipHooks aHooks);

  const VmIncarnation& Self() const { return mOptions.mSelf.mMember; }
  const MemberUpdate& SelfUpdate() const { return mOptions.mSelf; }

  /// Every known VM but this one, in order of name.
  const std::map<VmId, Member>& Members() const { return mMembers; }
  const Member* Find(const VmId& aVm) const;
  /// Alive or suspect, and not leaving: fit for new work.
  bool IsUsable(const VmId& aVm) const;
  /// The same of a member at hand, without a search by name.
  bool IsUsable(const Member& aMember) const;
  /// Usable members, this VM included.
  std::size_t UsableCount() const;
  /// Up to aCount distinct random usable peers.
  std::vector<VmId> PickPeers(std::size_t aCount);
  /// Whether the process is proven to have ended.
  bool IsDead(const VmIncarnation& aProcess) const;
  /// Whether peers hold a proof that this very process has ended: the
  /// platform's list dropped it, or a later process has its name. It should
  /// stop, since others take over what it owned.
  bool IsDeclaredDead() const { return mDeclaredDead; }
  /// Whether this VM has one of the two greatest rendezvous weights of its
  /// failure domain.
  bool IsStoreWatcher() const;
  /// Whether this VM may trust its knowledge of keys (design 3.1):
  ///
  /// - a store contact at most aIsolationLimit old is known; or
  /// - peers answer, and every failure domain with a member that is out of
  ///   reach was heard from, through another member, within the limit.
  ///
  /// In the second case the store is down for all of them. It relies on
  /// MayAcceptEdits being obeyed. A zero limit makes this always true.
  bool IsCurrent(Duration aIsolationLimit, TimePoint aNow) const;
  /// Whether edits of the settings may be taken here: a peer answered this VM
  /// within the limit, or there is no peer. A VM that only the operator and
  /// the store can reach must not accept a withdrawal, since the others could
  /// not learn of it.
  bool MayAcceptEdits(Duration aIsolationLimit, TimePoint aNow) const;
  /// Age of the freshest store contact known, own or heard; nullopt if none.
  std::optional<Duration> FreshestStoreContact(TimePoint aNow) const;
  /// Extra timeouts that this VM grants peers because its own probes fail.
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
  /// A final Leave counts as proof of death: the process itself says that it
  /// has ended its work.
  void OnMessage(const VmIncarnation& aFrom,
                 const message::Leave& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  /// Proves the death of a VM that earlier lists had, that two lists in a
  /// row lack, and that is out of reach or leaving. A list that lags behind
  /// a VM's start therefore proves nothing.
  void OnVmList(const event::VmListReceived& aEvent,
                TimePoint aNow,
                EffectList& aOut);
  /// Probes the VM at once.
  void OnPeerUnreachable(const VmId& aVm, TimePoint aNow, EffectList& aOut);

  /// Tells peers that this VM stops; aFinal when the process exits now.
  void Leave(bool aFinal, TimePoint aNow, EffectList& aOut);

private:
  /// Messages in a row from senders that know other members, after which the
  /// whole list is asked for. News of a join or death reaches all before.
  static constexpr std::uint32_t kLastingDifferences = 24;

  /// A probe of this VM that was not answered yet.
  struct PendingProbe
  {
    std::uint64_t mSequence = 0;
    VmId mTarget;
    TimePoint mSentAt{};
    TimePoint mFailsAt{};
    bool mIndirectSent = false;
  };

  /// A probe sent for another VM.
  struct Relay
  {
    std::uint64_t mSequence = 0;
    VmIncarnation mRequester;
    std::uint64_t mRequesterSequence = 0;
    TimePoint mExpiresAt{};
  };

  /// An update to be passed on.
  struct Rumor
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

  /// What the platform's lists said of a VM.
  struct Listing
  {
    bool mLeaving = false;
    std::uint32_t mAbsentReads = 0;
  };

  /// Values computed from mMembers, kept until it changes.
  struct Derived
  {
    bool mValid = false;
    std::size_t mUsableCount = 1;
    bool mIsStoreWatcher = true;
    /// Failure domains with a member out of reach.
    std::vector<std::uint32_t> mTroubledDomains;
    /// Other members that are not leaving.
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
  void NotePause(TimePoint aNow);
  Duration Scaled(Duration aTimeout) const;
  void StartPeriod(TimePoint aNow, EffectList& aOut);
  void ContactSeeds(TimePoint aNow, EffectList& aOut);
  std::optional<VmId> NextTarget();
  void SendProbe(const VmId& aTarget,
                 std::uint64_t aSequence,
                 TimePoint aNow,
                 EffectList& aOut);
  void StartProbe(const VmId& aTarget, TimePoint aNow, EffectList& aOut);
  void AskOthers(PendingProbe& aProbe, TimePoint aNow, EffectList& aOut);
  void OnProbeFailed(const PendingProbe& aProbe,
                     TimePoint aNow,
                     EffectList& aOut);
  void CheckProbes(TimePoint aNow, EffectList& aOut);
  void CheckSuspicions(TimePoint aNow, EffectList& aOut);
  void SendWholeList(const VmId& aTo, TimePoint aNow, EffectList& aOut);
  std::vector<VmId> SamplePeers(std::size_t aCount, const VmId* aExcept);

  // membership_gossip.cpp
  Gossip MakeGossip(const VmId* aAbout, TimePoint aNow);
  Gossip MakeWholeList(TimePoint aNow) const;
  void FillHeader(Gossip& aGossip, TimePoint aNow) const;
  std::uint32_t SpreadLimit() const;
  void Spread(const VmId& aVm);
  std::optional<MemberUpdate> UpdateOf(const VmId& aVm) const;
  void TakeGossip(const VmIncarnation& aFrom,
                  const Gossip& aGossip,
                  std::optional<TimePoint> aEvidence,
                  bool aSpread,
                  TimePoint aNow,
                  EffectList& aOut);
  void TakeUpdate(const MemberUpdate& aUpdate,
                  bool aSpread,
                  TimePoint aNow,
                  EffectList& aOut);
  void TakeOwnUpdate(const MemberUpdate& aUpdate, EffectList& aOut);
  bool WantsList() const;
  void CompareMembers(const Gossip& aGossip);
  void TakeVersion(const VmId& aFrom,
                   const ConfigurationVersion& aVersion,
                   TimePoint aNow);
  void AddMember(const MemberUpdate& aUpdate, TimePoint aNow, EffectList& aOut);
  void SetState(Member& aMember,
                MemberState aState,
                std::string_view aReason,
                TimePoint aNow,
                EffectList& aOut);
  /// Takes the process by value: callers name it from the member that this
  /// erases.
  void DeclareDead(VmIncarnation aProcess,
                   std::string_view aReason,
                   bool aSpread,
                   TimePoint aNow,
                   EffectList& aOut);

  // membership_currency.cpp
  /// A member to be probed out of turn, because its failure domain has a
  /// member out of reach and was not heard from lately.
  std::optional<VmId> DomainToRefresh(TimePoint aNow);
  void HearDomain(std::uint32_t aDomain, TimePoint aWhen);
  void HearMember(const VmIncarnation& aFrom, TimePoint aWhen);
  std::optional<TimePoint> ArrivalEvidence(TimePoint aNow) const;
  bool IsBehind(Duration aLimit, TimePoint aNow) const;

  Options mOptions;
  MembershipHooks mHooks;
  std::map<VmId, Member> mMembers;
  std::mt19937_64 mRandom;

  std::unordered_map<VmId, Tombstone> mTombstones;
  std::unordered_map<VmId, Listing> mListings;
  std::vector<Rumor> mRumors;
  std::vector<PendingProbe> mProbes;
  std::vector<Relay> mRelays;
  std::vector<Suspicion> mSuspicions;
  /// Members not yet probed in this round, the next at the end.
  std::vector<VmId> mRound;
  std::uint64_t mNextSequence = 1;
  std::uint64_t mPeriods = 0;
  std::uint32_t mHealthPenalty = 0;
  std::uint32_t mListsThisPeriod = 0;
  TimePoint mNextPeriod{};
  /// When a message last came from anyone.
  TimePoint mLastMessage{};
  /// Messages in a row whose sender knew other members.
  std::uint32_t mDifferences = 0;
  std::optional<TimePoint> mLastTick;
  bool mDeclaredDead = false;

  /// Messages that arrive before this moment may have waited in the socket
  /// while the process was paused.
  TimePoint mDistrustUntil{};
  std::optional<TimePoint> mStoreContact;
  std::unordered_map<std::uint32_t, TimePoint> mDomainsHeard;
  std::uint32_t mOwnDomain = 0;
  std::optional<TimePoint> mLastAnswer;
  Revision mNewestHeard;
  std::optional<TimePoint> mBehindSince;
  mutable Derived mDerived;
};

} // namespace cranberrywing
