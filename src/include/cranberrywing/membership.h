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
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// A VM as this VM knows it.
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
  };

  Membership(Options aOptions, MembershipHooks aHooks);

  const VmIncarnation& Self() const { return mOptions.mSelf.mMember; }
  const MemberUpdate& SelfUpdate() const { return mOptions.mSelf; }

  /// Every known VM but this one, in order of name.
  const std::map<VmId, Member>& Members() const { return mMembers; }
  const Member* Find(const VmId& aVm) const;
  /// Alive or suspect, and not leaving: fit for new work.
  bool IsUsable(const VmId& aVm) const;
  /// Usable members, this VM included.
  std::size_t UsableCount() const;
  /// Up to aCount distinct random usable peers.
  std::vector<VmId> PickPeers(std::size_t aCount);
  /// Whether the process is proven to have ended.
  bool IsDead(const VmIncarnation& aProcess) const;
  /// Whether this VM has one of the two greatest rendezvous weights of its
  /// failure domain.
  bool IsStoreWatcher() const;
  /// Whether this VM may trust its knowledge of keys (design 3.1).
  bool IsCurrent(Duration aIsolationLimit, TimePoint aNow) const;
  /// Age of the freshest store contact known, own or heard; nullopt if none.
  std::optional<Duration> FreshestStoreContact(TimePoint aNow) const;

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
  void OnMessage(const VmIncarnation& aFrom,
                 const message::Leave& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnVmList(const event::VmListReceived& aEvent,
                TimePoint aNow,
                EffectList& aOut);
  void OnPeerUnreachable(const VmId& aVm, TimePoint aNow, EffectList& aOut);

  /// Tells peers that this VM stops; aFinal when the process exits now.
  void Leave(bool aFinal, TimePoint aNow, EffectList& aOut);

private:
  Options mOptions;
  MembershipHooks mHooks;
  std::map<VmId, Member> mMembers;
  std::mt19937_64 mRandom;
};

} // namespace cranberrywing
