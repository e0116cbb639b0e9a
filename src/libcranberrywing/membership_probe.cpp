// Probing, suspicion timeouts and joining.
#include "cranberrywing/membership.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Number of periods after the start in which a VM probes several peers per
/// period, to learn the member list quickly.
constexpr std::uint64_t kJoinPeriods = 5;
constexpr std::size_t kJoinFanOut = 3;
/// Number of periods between probes of a seed that is not a member. These
/// probes merge two groups of VMs that do not know each other.
constexpr std::uint64_t kSeedPeriods = 10;
/// Maximum number of full member lists sent per period. A list of 460 members
/// takes 46 KB.
constexpr std::uint32_t kMaxFullListsPerPeriod = 4;

} // namespace

Duration Membership::ScaleTimeout(Duration aTimeout) const
{
  return aTimeout * (1 + mHealthPenalty);
}

void Membership::DetectPause(TimePoint aNow)
{
  constexpr Duration kMaxTickGap = std::chrono::milliseconds(250);
  constexpr Duration kIgnoreArrivals = std::chrono::seconds(1);
  if (mLastTick && aNow - *mLastTick > kMaxTickGap) {
    // Replies that arrived during the pause have not been read yet, so all
    // timeouts are extended by its length.
    const Duration gap = aNow - *mLastTick;
    for (PendingProbe& probe : mProbes) {
      probe.mFailsAt += gap;
    }
    for (Suspicion& suspicion : mSuspicions) {
      suspicion.mExpiresAt += gap;
    }
    mIgnoreArrivalsUntil = aNow + kIgnoreArrivals;
  }
  mLastTick = aNow;
}

void Membership::Tick(TimePoint aNow, EffectList& aOut)
{
  if (!mLastTick) {
    // Random initial delay, so that VMs started together do not probe in
    // lockstep.
    std::uniform_int_distribution<Duration::rep> delay(
      0, mOptions.mProbePeriod.count() / 4);
    mNextPeriod = aNow + Duration(delay(mRandom));
  }
  DetectPause(aNow);
  CheckProbes(aNow, aOut);
  CheckSuspicions(aNow, aOut);
  if (aNow >= mNextPeriod) {
    mNextPeriod = std::max(mNextPeriod + mOptions.mProbePeriod, aNow);
    StartPeriod(aNow, aOut);
  }
}

void Membership::StartPeriod(TimePoint aNow, EffectList& aOut)
{
  mFullListsSent = 0;
  ++mPeriods;
  std::erase_if(
    mRelays, [aNow](const Relay& aRelay) { return aRelay.mExpiresAt <= aNow; });
  const bool isAlone = !mLastAnswer;
  if (isAlone || mPeriods % kSeedPeriods == 0) {
    ContactSeeds(aNow, aOut);
  }
  const std::size_t probes = mPeriods <= kJoinPeriods ? kJoinFanOut : 1;
  for (std::size_t i = 0; i < probes; ++i) {
    if (const auto target = NextTarget()) {
      StartProbe(*target, aNow, aOut);
    }
  }
  if (const auto target = PickDomainProbeTarget(aNow)) {
    StartProbe(*target, aNow, aOut);
  }
  if (mMismatches >= kListRequestThreshold) {
    // The probes of this period have requested full lists.
    mMismatches = 0;
  }
}

bool Membership::NeedsFullList() const
{
  return mMembers.empty() || mMismatches >= kListRequestThreshold;
}

void Membership::ContactSeeds(TimePoint aNow, EffectList& aOut)
{
  std::vector<const VmSettings*> unknown;
  for (const VmSettings& seed : mOptions.mSeeds) {
    if (seed.mVm != Self().mVm && !mMembers.contains(seed.mVm)) {
      unknown.push_back(&seed);
    }
  }
  std::shuffle(unknown.begin(), unknown.end(), mRandom);
  const std::size_t count = mLastAnswer ? 1 : kJoinFanOut;
  unknown.resize(std::min(unknown.size(), count));
  for (const VmSettings* seed : unknown) {
    const std::uint64_t sequence = mNextSequence++;
    mProbes.push_back({ .mSequence = sequence,
                        .mTarget = seed->mVm,
                        .mSentAt = aNow,
                        .mFailsAt = aNow + ScaleTimeout(mOptions.mProbePeriod),
                        .mIndirectSent = true });
    aOut.push_back(effect::SendMessage{
      .mTo = seed->mVm,
      .mAddress = seed->mAddress,
      .mPort = seed->mPeerPort,
      .mMessage = message::Probe{ .mSequence = sequence,
                                  .mRequestsFullList = NeedsFullList(),
                                  .mGossip = MakeGossip(&seed->mVm, aNow) } });
  }
}

std::optional<VmId> Membership::NextTarget()
{
  if (mProbeOrder.empty()) {
    for (const auto& [vm, member] : mMembers) {
      mProbeOrder.push_back(vm);
    }
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), mRandom);
  }
  if (mProbeOrder.empty()) {
    return std::nullopt;
  }
  VmId target = std::move(mProbeOrder.back());
  mProbeOrder.pop_back();
  return target;
}

void Membership::SendProbe(const VmId& aTarget,
                           std::uint64_t aSequence,
                           TimePoint aNow,
                           EffectList& aOut)
{
  Send(aTarget,
       message::Probe{ .mSequence = aSequence,
                       .mRequestsFullList = NeedsFullList(),
                       .mGossip = MakeGossip(&aTarget, aNow) },
       aOut);
}

void Membership::StartProbe(const VmId& aTarget,
                            TimePoint aNow,
                            EffectList& aOut)
{
  const Member* member = Find(aTarget);
  const bool isAlive =
    member != nullptr && member->mUpdate.mState == MemberState::Alive;
  const std::uint64_t sequence = mNextSequence++;
  // Indirect probes are sent only for a member that is considered alive.
  mProbes.push_back({ .mSequence = sequence,
                      .mTarget = aTarget,
                      .mSentAt = aNow,
                      .mFailsAt = aNow + ScaleTimeout(mOptions.mProbePeriod),
                      .mIndirectSent = !isAlive });
  SendProbe(aTarget, sequence, aNow, aOut);
}

std::vector<VmId> Membership::SamplePeers(std::size_t aCount,
                                          const VmId* aExcept)
{
  std::vector<const VmId*> usable;
  usable.reserve(mMembers.size());
  for (const auto& [vm, member] : mMembers) {
    if (IsUsable(member) && (aExcept == nullptr || vm != *aExcept)) {
      usable.push_back(&vm);
    }
  }
  std::vector<const VmId*> chosen;
  std::sample(usable.begin(),
              usable.end(),
              std::back_inserter(chosen),
              static_cast<std::ptrdiff_t>(aCount),
              mRandom);
  std::shuffle(chosen.begin(), chosen.end(), mRandom);
  std::vector<VmId> peers;
  for (const VmId* vm : chosen) {
    peers.push_back(*vm);
  }
  return peers;
}

void Membership::SendIndirectProbes(PendingProbe& aProbe,
                                    TimePoint aNow,
                                    EffectList& aOut)
{
  aProbe.mIndirectSent = true;
  for (const VmId& peer :
       SamplePeers(mOptions.mIndirectProbes, &aProbe.mTarget)) {
    Send(peer,
         message::ProbeRequest{ .mSequence = aProbe.mSequence,
                                .mTarget = aProbe.mTarget,
                                .mGossip = MakeGossip(&peer, aNow) },
         aOut);
  }
}

void Membership::OnProbeFailed(const PendingProbe& aProbe,
                               TimePoint aNow,
                               EffectList& aOut)
{
  const auto it = mMembers.find(aProbe.mTarget);
  if (it == mMembers.end() || it->second.mUpdate.mState != MemberState::Alive) {
    return;
  }
  // If no message arrived from any VM since the probe, this VM itself may be at
  // fault.
  if (mLastMessage <= aProbe.mSentAt) {
    mHealthPenalty = std::min(mHealthPenalty + 1, mOptions.mMaxHealthPenalty);
  }
  SetState(it->second, MemberState::Suspect, "no_answer", aNow, aOut);
  QueueUpdate(aProbe.mTarget);
}

void Membership::CheckProbes(TimePoint aNow, EffectList& aOut)
{
  for (PendingProbe& probe : mProbes) {
    if (!probe.mIndirectSent &&
        aNow - probe.mSentAt >= ScaleTimeout(mOptions.mProbeTimeout)) {
      SendIndirectProbes(probe, aNow, aOut);
    }
  }
  const auto failed = std::stable_partition(
    mProbes.begin(), mProbes.end(), [aNow](const PendingProbe& aProbe) {
      return aNow < aProbe.mFailsAt;
    });
  const std::vector<PendingProbe> ended(failed, mProbes.end());
  mProbes.erase(failed, mProbes.end());
  for (const PendingProbe& probe : ended) {
    OnProbeFailed(probe, aNow, aOut);
  }
}

void Membership::CheckSuspicions(TimePoint aNow, EffectList& aOut)
{
  for (const Suspicion& suspicion : mSuspicions) {
    if (aNow < suspicion.mExpiresAt) {
      continue;
    }
    const auto it = mMembers.find(suspicion.mMember.mVm);
    if (it == mMembers.end()) {
      continue;
    }
    const MemberUpdate& update = it->second.mUpdate;
    if (update.mMember == suspicion.mMember &&
        update.mState == MemberState::Suspect &&
        update.mVersion == suspicion.mVersion) {
      SetState(
        it->second, MemberState::Unreachable, "suspicion_expired", aNow, aOut);
      QueueUpdate(suspicion.mMember.mVm);
    }
  }
  std::erase_if(mSuspicions, [aNow](const Suspicion& aSuspicion) {
    return aNow >= aSuspicion.mExpiresAt;
  });
}

void Membership::SendFullMemberList(const VmId& aTo,
                                    TimePoint aNow,
                                    EffectList& aOut)
{
  if (mFullListsSent >= kMaxFullListsPerPeriod) {
    return;
  }
  ++mFullListsSent;
  effect::SendMessage send;
  send.mTo = aTo;
  send.mTransport = effect::Transport::Stream;
  send.mMessage =
    message::ProbeAck{ .mTarget = Self(), .mGossip = MakeFullMemberList(aNow) };
  aOut.push_back(std::move(send));
}

void Membership::OnMessage(const VmIncarnation& aFrom,
                           const message::Probe& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  ApplyGossip(
    aFrom, aMessage.mGossip, TrustedArrivalTime(aNow), true, aNow, aOut);
  effect::SendMessage reply;
  reply.mTo = aFrom.mVm;
  Gossip gossip = MakeGossip(&aFrom.mVm, aNow);
  if (IsDead(aFrom)) {
    // A process that was declared dead is told so, at the address that its
    // probe gave.
    if (const auto update = UpdateOf(aFrom.mVm)) {
      gossip.mUpdates.push_back(*update);
    }
    if (!aMessage.mGossip.mUpdates.empty()) {
      reply.mAddress = aMessage.mGossip.mUpdates.front().mAddress;
      reply.mPort = aMessage.mGossip.mUpdates.front().mPeerPort;
    }
  }
  reply.mMessage = message::ProbeAck{ .mSequence = aMessage.mSequence,
                                      .mTarget = Self(),
                                      .mGossip = std::move(gossip) };
  aOut.push_back(std::move(reply));
  if (aMessage.mRequestsFullList) {
    SendFullMemberList(aFrom.mVm, aNow, aOut);
  }
}

void Membership::OnMessage(const VmIncarnation& aFrom,
                           const message::ProbeAck& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  const auto probe = std::find_if(
    mProbes.begin(), mProbes.end(), [&](const PendingProbe& aProbe) {
      return aProbe.mSequence == aMessage.mSequence &&
             aProbe.mTarget == aMessage.mTarget.mVm;
    });
  std::optional<TimePoint> contactTime;
  if (probe != mProbes.end()) {
    // The answer is at least as recent as the sending of the probe, however
    // long it was in transit.
    contactTime = probe->mSentAt;
    mLastAnswer = std::max(mLastAnswer.value_or(*contactTime), *contactTime);
    mHealthPenalty -= mHealthPenalty > 0 ? 1 : 0;
    mProbes.erase(probe);
  }
  // Full lists have no sequence number; their many updates are not gossiped
  // further.
  const bool isList = aMessage.mSequence == 0;
  ApplyGossip(aFrom, aMessage.mGossip, contactTime, !isList, aNow, aOut);
  if (contactTime) {
    NoteMemberContact(aMessage.mTarget, *contactTime);
  }
  const auto relay =
    std::find_if(mRelays.begin(), mRelays.end(), [&](const Relay& aRelay) {
      return aRelay.mSequence == aMessage.mSequence;
    });
  if (relay == mRelays.end() || aMessage.mTarget != aFrom) {
    return;
  }
  const VmId& requester = relay->mRequester.mVm;
  Send(requester,
       message::ProbeAck{ .mSequence = relay->mRequesterSequence,
                          .mTarget = aMessage.mTarget,
                          .mGossip = MakeGossip(&requester, aNow) },
       aOut);
  mRelays.erase(relay);
}

void Membership::OnMessage(const VmIncarnation& aFrom,
                           const message::ProbeRequest& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  ApplyGossip(
    aFrom, aMessage.mGossip, TrustedArrivalTime(aNow), true, aNow, aOut);
  if (!mMembers.contains(aMessage.mTarget) || !mMembers.contains(aFrom.mVm)) {
    return;
  }
  const std::uint64_t sequence = mNextSequence++;
  mRelays.push_back({ .mSequence = sequence,
                      .mRequester = aFrom,
                      .mRequesterSequence = aMessage.mSequence,
                      .mExpiresAt = aNow + mOptions.mProbePeriod * 5 });
  SendProbe(aMessage.mTarget, sequence, aNow, aOut);
}

} // namespace cranberrywing
