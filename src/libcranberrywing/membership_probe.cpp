// Probe rounds, suspicions and joining.
#include "cranberrywing/membership.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Periods after its start in which a VM probes several peers at a time, to
/// learn the members quickly.
constexpr std::uint64_t kJoinPeriods = 5;
constexpr std::size_t kJoinFanOut = 3;
/// Periods between probes of a seed that is no member, which reunite two
/// groups that know nothing of each other.
constexpr std::uint64_t kSeedPeriods = 10;
/// Whole member lists sent in one period. A list of 460 members has 46 KB.
constexpr std::uint32_t kListsPerPeriod = 4;

} // namespace

Duration Membership::Scaled(Duration aTimeout) const
{
  return aTimeout * (1 + mHealthPenalty);
}

void Membership::NotePause(TimePoint aNow)
{
  constexpr Duration kLongestTickGap = std::chrono::milliseconds(250);
  constexpr Duration kDistrust = std::chrono::seconds(1);
  if (mLastTick && aNow - *mLastTick > kLongestTickGap) {
    // Answers that came during the pause are still to be read, so nothing is
    // concluded from their absence.
    const Duration gap = aNow - *mLastTick;
    for (PendingProbe& probe : mProbes) {
      probe.mFailsAt += gap;
    }
    for (Suspicion& suspicion : mSuspicions) {
      suspicion.mExpiresAt += gap;
    }
    mDistrustUntil = aNow + kDistrust;
  }
  mLastTick = aNow;
}

void Membership::Tick(TimePoint aNow, EffectList& aOut)
{
  if (!mLastTick) {
    // Spread over the period, so that a fleet started at once does not probe
    // in step.
    std::uniform_int_distribution<Duration::rep> delay(
      0, mOptions.mProbePeriod.count() / 4);
    mNextPeriod = aNow + Duration(delay(mRandom));
  }
  NotePause(aNow);
  CheckProbes(aNow, aOut);
  CheckSuspicions(aNow, aOut);
  if (aNow >= mNextPeriod) {
    mNextPeriod = std::max(mNextPeriod + mOptions.mProbePeriod, aNow);
    StartPeriod(aNow, aOut);
  }
}

void Membership::StartPeriod(TimePoint aNow, EffectList& aOut)
{
  mListsThisPeriod = 0;
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
  if (const auto target = DomainToRefresh(aNow)) {
    StartProbe(*target, aNow, aOut);
  }
  if (mDifferences >= kLastingDifferences) {
    // The probes of this period asked for lists.
    mDifferences = 0;
  }
}

bool Membership::WantsList() const
{
  return mMembers.empty() || mDifferences >= kLastingDifferences;
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
                        .mFailsAt = aNow + Scaled(mOptions.mProbePeriod),
                        .mIndirectSent = true });
    aOut.push_back(effect::SendMessage{
      .mTo = seed->mVm,
      .mAddress = seed->mAddress,
      .mPort = seed->mPeerPort,
      .mMessage = message::Probe{ .mSequence = sequence,
                                  .mRequestsFullList = WantsList(),
                                  .mGossip = MakeGossip(&seed->mVm, aNow) } });
  }
}

std::optional<VmId> Membership::NextTarget()
{
  if (mRound.empty()) {
    for (const auto& [vm, member] : mMembers) {
      mRound.push_back(vm);
    }
    std::shuffle(mRound.begin(), mRound.end(), mRandom);
  }
  if (mRound.empty()) {
    return std::nullopt;
  }
  VmId target = std::move(mRound.back());
  mRound.pop_back();
  return target;
}

void Membership::SendProbe(const VmId& aTarget,
                           std::uint64_t aSequence,
                           TimePoint aNow,
                           EffectList& aOut)
{
  Send(aTarget,
       message::Probe{ .mSequence = aSequence,
                       .mRequestsFullList = WantsList(),
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
  // Others are asked about a member only while it is thought alive.
  mProbes.push_back({ .mSequence = sequence,
                      .mTarget = aTarget,
                      .mSentAt = aNow,
                      .mFailsAt = aNow + Scaled(mOptions.mProbePeriod),
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

void Membership::AskOthers(PendingProbe& aProbe,
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
  // Whoever heard nobody at all in the meantime may itself be the cause.
  if (mLastMessage <= aProbe.mSentAt) {
    mHealthPenalty = std::min(mHealthPenalty + 1, mOptions.mMaxHealthPenalty);
  }
  SetState(it->second, MemberState::Suspect, "no_answer", aNow, aOut);
  Spread(aProbe.mTarget);
}

void Membership::CheckProbes(TimePoint aNow, EffectList& aOut)
{
  for (PendingProbe& probe : mProbes) {
    if (!probe.mIndirectSent &&
        aNow - probe.mSentAt >= Scaled(mOptions.mProbeTimeout)) {
      AskOthers(probe, aNow, aOut);
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
      Spread(suspicion.mMember.mVm);
    }
  }
  std::erase_if(mSuspicions, [aNow](const Suspicion& aSuspicion) {
    return aNow >= aSuspicion.mExpiresAt;
  });
}

void Membership::SendWholeList(const VmId& aTo,
                               TimePoint aNow,
                               EffectList& aOut)
{
  if (mListsThisPeriod >= kListsPerPeriod) {
    return;
  }
  ++mListsThisPeriod;
  effect::SendMessage send;
  send.mTo = aTo;
  send.mTransport = effect::Transport::Stream;
  send.mMessage =
    message::ProbeAck{ .mTarget = Self(), .mGossip = MakeWholeList(aNow) };
  aOut.push_back(std::move(send));
}

void Membership::OnMessage(const VmIncarnation& aFrom,
                           const message::Probe& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  TakeGossip(aFrom, aMessage.mGossip, ArrivalEvidence(aNow), true, aNow, aOut);
  effect::SendMessage reply;
  reply.mTo = aFrom.mVm;
  Gossip gossip = MakeGossip(&aFrom.mVm, aNow);
  if (IsDead(aFrom)) {
    // A process that is declared dead is told, at the address that it named.
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
    SendWholeList(aFrom.mVm, aNow, aOut);
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
  std::optional<TimePoint> evidence;
  if (probe != mProbes.end()) {
    // The answer was made after the probe was sent, however long it took.
    evidence = probe->mSentAt;
    mLastAnswer = std::max(mLastAnswer.value_or(*evidence), *evidence);
    mHealthPenalty -= mHealthPenalty > 0 ? 1 : 0;
    mProbes.erase(probe);
  }
  // Whole lists have no sequence; their many updates are not passed on.
  const bool isList = aMessage.mSequence == 0;
  TakeGossip(aFrom, aMessage.mGossip, evidence, !isList, aNow, aOut);
  if (evidence) {
    HearMember(aMessage.mTarget, *evidence);
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
  TakeGossip(aFrom, aMessage.mGossip, ArrivalEvidence(aNow), true, aNow, aOut);
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
