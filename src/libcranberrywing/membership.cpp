#include "cranberrywing/membership.h"

#include <algorithm>

namespace cranberrywing {

namespace {

bool IsSuspectOrUnreachable(MemberState aState)
{
  return aState == MemberState::Suspect || aState == MemberState::Unreachable;
}

std::uint64_t ProcessHash(const VmIncarnation& aProcess)
{
  return HashBytes(aProcess.mVm.mName, aProcess.mIncarnation.mNumber);
}

} // namespace

std::uint32_t Membership::DomainHash(const FailureDomainId& aDomain)
{
  return static_cast<std::uint32_t>(HashBytes(aDomain.mName));
}

Membership::Membership(Options aOptions, MembershipHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
  , mOwnDomain(DomainHash(mOptions.mSelf.mFailureDomain))
{
}

const Member* Membership::Find(const VmId& aVm) const
{
  const auto it = mMembers.find(aVm);
  return it == mMembers.end() ? nullptr : &it->second;
}

bool Membership::IsUsable(const Member& aMember) const
{
  const MemberState state = aMember.mUpdate.mState;
  if (state != MemberState::Alive && state != MemberState::Suspect) {
    return false;
  }
  const auto it = mVmListStates.find(aMember.mUpdate.mMember.mVm);
  return it == mVmListStates.end() || !it->second.mLeaving;
}

bool Membership::IsUsable(const VmId& aVm) const
{
  if (aVm == Self().mVm) {
    return mOptions.mSelf.mState == MemberState::Alive;
  }
  const Member* member = Find(aVm);
  return member != nullptr && IsUsable(*member);
}

std::size_t Membership::UsableCount() const
{
  return GetDerived().mUsableCount;
}

bool Membership::IsStoreWatcher() const
{
  return GetDerived().mIsStoreWatcher;
}

bool Membership::IsDead(const VmIncarnation& aProcess) const
{
  if (aProcess.mVm == Self().mVm) {
    return aProcess.mIncarnation.mNumber < Self().mIncarnation.mNumber;
  }
  const Member* member = Find(aProcess.mVm);
  if (member != nullptr && aProcess.mIncarnation.mNumber <
                             member->mUpdate.mMember.mIncarnation.mNumber) {
    return true;
  }
  const auto it = mTombstones.find(aProcess.mVm);
  return it != mTombstones.end() &&
         aProcess.mIncarnation.mNumber <= it->second.mIncarnation.mNumber;
}

std::vector<VmId> Membership::PickPeers(std::size_t aCount)
{
  return SamplePeers(aCount, nullptr);
}

const Membership::Derived& Membership::GetDerived() const
{
  if (mDerived.mValid) {
    return mDerived;
  }
  mDerived = Derived{};
  mDerived.mValid = true;
  const bool usable = IsUsable(Self().mVm);
  mDerived.mUsableCount = usable ? 1 : 0;
  const std::string& domain = mOptions.mSelf.mFailureDomain.mName;
  const std::uint64_t own = RendezvousWeight(domain, Self().mVm.mName);
  std::size_t heavier = 0;
  mDerived.mMembersHash = ProcessHash(Self());
  for (const auto& [vm, member] : mMembers) {
    const MemberUpdate& update = member.mUpdate;
    mDerived.mMembersHash ^= ProcessHash(update.mMember);
    const bool isSameDomain = update.mFailureDomain.mName == domain;
    if (IsSuspectOrUnreachable(update.mState)) {
      mDerived.mDegradedDomains.push_back(DomainHash(update.mFailureDomain));
    }
    if (update.mState != MemberState::Leaving) {
      ++mDerived.mPeers;
    }
    if (!IsUsable(member)) {
      continue;
    }
    ++mDerived.mUsableCount;
    if (isSameDomain && RendezvousWeight(domain, vm.mName) > own) {
      ++heavier;
    }
  }
  std::vector<std::uint32_t>& degraded = mDerived.mDegradedDomains;
  std::sort(degraded.begin(), degraded.end());
  degraded.erase(std::unique(degraded.begin(), degraded.end()), degraded.end());
  mDerived.mIsStoreWatcher = usable && heavier < 2;
  return mDerived;
}

void Membership::Send(const VmId& aTo, Message aMessage, EffectList& aOut)
{
  effect::SendMessage send;
  send.mTo = aTo;
  send.mMessage = std::move(aMessage);
  aOut.push_back(std::move(send));
}

void Membership::Record(const char* aName,
                        const VmIncarnation& aMember,
                        std::string_view aReason,
                        EffectList& aOut) const
{
  aOut.push_back(effect::RecordTimeline{
    .mName = aName,
    .mFields = {
      { "vm", aMember.mVm.mName },
      { "incarnation", std::to_string(aMember.mIncarnation.mNumber) },
      { "reason", std::string(aReason) } } });
}

void Membership::OnMessage(const VmIncarnation& aFrom,
                           const message::Leave& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  if (IsDead(aFrom) || aFrom.mVm == Self().mVm) {
    return;
  }
  if (aMessage.mFinal) {
    DeclareDead(aFrom, "final_leave", true, aNow, aOut);
    return;
  }
  const auto it = mMembers.find(aFrom.mVm);
  if (it == mMembers.end() || it->second.mUpdate.mMember != aFrom) {
    return;
  }
  if (it->second.mUpdate.mState != MemberState::Leaving) {
    SetState(it->second, MemberState::Leaving, "leave", aNow, aOut);
    QueueUpdate(aFrom.mVm);
  }
}

void Membership::OnVmList(const event::VmListReceived& aEvent,
                          TimePoint aNow,
                          EffectList& aOut)
{
  for (auto& [vm, listing] : mVmListStates) {
    ++listing.mAbsentReads;
  }
  for (const event::VmListEntry& entry : aEvent.mEntries) {
    mVmListStates[entry.mVm] = { .mLeaving = entry.mLeaving };
  }
  mDerived.mValid = false;
  // One list without the VM may come from a replica that is behind the VM's
  // start, so two in a row are required.
  constexpr std::uint32_t kAbsentReads = 2;
  std::vector<VmId> gone;
  for (const auto& [vm, listing] : mVmListStates) {
    if (listing.mAbsentReads >= kAbsentReads) {
      gone.push_back(vm);
    }
  }
  std::sort(
    gone.begin(), gone.end(), [](const VmId& aLeft, const VmId& aRight) {
      return aLeft.mName < aRight.mName;
    });
  for (const VmId& vm : gone) {
    const Member* member = Find(vm);
    if (member == nullptr) {
      mVmListStates.erase(vm);
      continue;
    }
    const MemberState state = member->mUpdate.mState;
    if (state == MemberState::Unreachable || state == MemberState::Leaving) {
      mVmListStates.erase(vm);
      DeclareDead(member->mUpdate.mMember, "vm_list", true, aNow, aOut);
    }
  }
}

void Membership::OnPeerUnreachable(const VmId& aVm,
                                   TimePoint aNow,
                                   EffectList& aOut)
{
  const Member* member = Find(aVm);
  if (member == nullptr || member->mUpdate.mState != MemberState::Alive) {
    return;
  }
  const bool isProbed = std::any_of(
    mProbes.begin(), mProbes.end(), [&](const PendingProbe& aProbe) {
      return aProbe.mTarget == aVm;
    });
  if (!isProbed) {
    StartProbe(aVm, aNow, aOut);
  }
}

void Membership::Leave(bool aFinal, TimePoint, EffectList& aOut)
{
  mOptions.mSelf.mState = MemberState::Leaving;
  mDerived.mValid = false;
  // Sent to several peers, since a datagram may be lost and nothing is
  // retransmitted at exit.
  std::size_t count = 3;
  for (std::size_t n = mMembers.size(); n > 0; n /= 2) {
    ++count;
  }
  for (const VmId& peer : SamplePeers(count, nullptr)) {
    Send(peer, message::Leave{ .mFinal = aFinal }, aOut);
  }
}

} // namespace cranberrywing
