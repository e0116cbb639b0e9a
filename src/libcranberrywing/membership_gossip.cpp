// Builds gossip and applies received updates to the member list.
#include "cranberrywing/membership.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <limits>

namespace cranberrywing {

namespace {

/// Size of an encoded string's length field.
constexpr std::size_t kLengthBytes = 8;
/// Estimated size of an envelope with an empty gossip, including its names.
constexpr std::size_t kEnvelopeBytes = 160;
constexpr std::size_t kDomainContactBytes = 6;

std::size_t EncodedSize(const MemberUpdate& aUpdate)
{
  constexpr std::size_t kStrings = 5;
  constexpr std::size_t kFixedBytes = 17;
  return kStrings * kLengthBytes + kFixedBytes +
         aUpdate.mMember.mVm.mName.size() + aUpdate.mAddress.size() +
         aUpdate.mRegion.mName.size() + aUpdate.mFailureDomain.mName.size() +
         aUpdate.mSite.mName.size();
}

/// Whether aNew replaces aOld for the same process. Leaving is final until
/// death; otherwise the higher version is newer, and for equal versions the
/// worse state was learned later.
bool Replaces(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aOld.mState == MemberState::Leaving) {
    return false;
  }
  if (aNew.mState == MemberState::Leaving) {
    return true;
  }
  if (aNew.mVersion != aOld.mVersion) {
    return aNew.mVersion > aOld.mVersion;
  }
  return aNew.mState > aOld.mState;
}

std::uint16_t ToTenths(Duration aAge)
{
  constexpr Duration kTenth = std::chrono::milliseconds(100);
  // Rounded up, so that an age is never understated.
  const auto tenths = (aAge + kTenth - Duration(1)) / kTenth;
  const auto limit = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min<Duration::rep>(tenths, limit));
}

} // namespace

std::uint32_t Membership::TransmitLimit() const
{
  return 4 * static_cast<std::uint32_t>(std::bit_width(mMembers.size() + 1));
}

void Membership::QueueUpdate(const VmId& aVm)
{
  const auto it = std::find_if(
    mUpdateQueue.begin(), mUpdateQueue.end(), [&](const QueuedUpdate& aQueued) {
      return aQueued.mVm == aVm;
    });
  if (it != mUpdateQueue.end()) {
    it->mSent = 0;
    return;
  }
  mUpdateQueue.push_back({ .mVm = aVm });
}

std::optional<MemberUpdate> Membership::UpdateOf(const VmId& aVm) const
{
  if (const Member* member = Find(aVm)) {
    return member->mUpdate;
  }
  const auto it = mTombstones.find(aVm);
  if (it == mTombstones.end()) {
    return std::nullopt;
  }
  MemberUpdate update;
  update.mMember = { aVm, it->second.mIncarnation };
  update.mState = MemberState::Dead;
  return update;
}

void Membership::FillHeader(Gossip& aGossip, TimePoint aNow) const
{
  aGossip.mVersion = mHooks.mVersion();
  if (const auto age = FreshestStoreContact(aNow)) {
    const auto ms = std::chrono::ceil<Milliseconds>(*age);
    aGossip.mStoreContactAgeMs = static_cast<std::uint64_t>(ms.count());
  }
  aGossip.mKnownMembers = static_cast<std::uint32_t>(mMembers.size());
  aGossip.mMembersHash = GetDerived().mMembersHash;
  aGossip.mDomains.reserve(mDomainContacts.size());
  for (const auto& [domain, heard] : mDomainContacts) {
    aGossip.mDomains.push_back(
      { .mDomain = domain, .mAgeTenths = ToTenths(aNow - heard) });
  }
  aGossip.mUpdates.push_back(mOptions.mSelf);
}

Gossip Membership::MakeGossip(const VmId* aReceiver, TimePoint aNow)
{
  Gossip gossip;
  FillHeader(gossip, aNow);
  std::size_t bytes = kEnvelopeBytes + EncodedSize(mOptions.mSelf) +
                      gossip.mDomains.size() * kDomainContactBytes;
  const auto add = [&](const MemberUpdate& aUpdate) {
    const std::size_t size = EncodedSize(aUpdate);
    if (bytes + size > mOptions.mDatagramLimit) {
      return false;
    }
    bytes += size;
    gossip.mUpdates.push_back(aUpdate);
    return true;
  };
  // A receiver that is not considered alive is told so, so that it can refute
  // it.
  const Member* receiver = aReceiver == nullptr ? nullptr : Find(*aReceiver);
  if (receiver != nullptr && receiver->mUpdate.mState != MemberState::Alive) {
    add(receiver->mUpdate);
  }
  std::stable_sort(mUpdateQueue.begin(),
                   mUpdateQueue.end(),
                   [](const QueuedUpdate& aLeft, const QueuedUpdate& aRight) {
                     return aLeft.mSent < aRight.mSent;
                   });
  for (QueuedUpdate& queued : mUpdateQueue) {
    const auto update = UpdateOf(queued.mVm);
    if (update && !add(*update)) {
      break;
    }
    ++queued.mSent;
  }
  const std::uint32_t limit = TransmitLimit();
  std::erase_if(mUpdateQueue, [limit](const QueuedUpdate& aQueued) {
    return aQueued.mSent >= limit;
  });
  return gossip;
}

Gossip Membership::MakeFullMemberList(TimePoint aNow) const
{
  Gossip gossip;
  FillHeader(gossip, aNow);
  gossip.mUpdates.reserve(1 + mMembers.size() + mTombstones.size());
  for (const auto& [vm, member] : mMembers) {
    gossip.mUpdates.push_back(member.mUpdate);
  }
  for (const auto& [vm, tombstone] : mTombstones) {
    if (!mMembers.contains(vm)) {
      gossip.mUpdates.push_back(*UpdateOf(vm));
    }
  }
  return gossip;
}

void Membership::CompareMembers(const Gossip& aGossip)
{
  const bool isSame = aGossip.mMembersHash == GetDerived().mMembersHash;
  mMismatches = isSame ? 0 : mMismatches + 1;
  // A sender that knows many more members means that this VM is still joining
  // and needs the full list at once; small differences are normal while updates
  // propagate.
  if (std::size_t{ aGossip.mKnownMembers } * 15 > (mMembers.size() + 1) * 16) {
    mMismatches = std::max(mMismatches, kListRequestThreshold);
  }
}

void Membership::ApplyGossip(const VmIncarnation& aFrom,
                             const Gossip& aGossip,
                             std::optional<TimePoint> aContactTime,
                             bool aForward,
                             TimePoint aNow,
                             EffectList& aOut)
{
  mLastMessage = aNow;
  for (const MemberUpdate& update : aGossip.mUpdates) {
    ApplyUpdate(update, aForward, aNow, aOut);
  }
  CompareMembers(aGossip);
  NotePeerVersion(aFrom.mVm, aGossip.mVersion, aNow);
  if (!aContactTime) {
    return;
  }
  NoteMemberContact(aFrom, *aContactTime);
  if (aGossip.mStoreContactAgeMs != Gossip::kNoContact) {
    // Ages above a day make no difference, and the bound prevents overflow in
    // the subtraction.
    constexpr std::uint64_t kMaxContactAgeMs = 86'400'000;
    const auto age = std::min(aGossip.mStoreContactAgeMs, kMaxContactAgeMs);
    const TimePoint contact =
      *aContactTime - Milliseconds(static_cast<Milliseconds::rep>(age));
    mStoreContact = std::max(mStoreContact.value_or(contact), contact);
  }
  for (const DomainContact& domain : aGossip.mDomains) {
    NoteDomainContact(domain.mDomain,
                      *aContactTime - Milliseconds(100) * domain.mAgeTenths);
  }
}

void Membership::ApplySelfUpdate(const MemberUpdate& aUpdate, EffectList& aOut)
{
  MemberUpdate& self = mOptions.mSelf;
  const bool isOlder =
    aUpdate.mMember.mIncarnation.mNumber < Self().mIncarnation.mNumber;
  if (isOlder || self.mState == MemberState::Leaving) {
    return;
  }
  const bool isLater =
    aUpdate.mMember.mIncarnation.mNumber > Self().mIncarnation.mNumber;
  if (isLater || aUpdate.mState == MemberState::Dead) {
    if (!mDeclaredDead) {
      Record("declared_dead",
             aUpdate.mMember,
             isLater ? "later_process" : "proof_of_death",
             aOut);
    }
    mDeclaredDead = true;
    return;
  }
  if (aUpdate.mState == MemberState::Alive ||
      aUpdate.mVersion < self.mVersion) {
    return;
  }
  self.mVersion = aUpdate.mVersion + 1;
  mHealthPenalty = std::min(mHealthPenalty + 1, mOptions.mMaxHealthPenalty);
}

void Membership::ApplyUpdate(const MemberUpdate& aUpdate,
                             bool aForward,
                             TimePoint aNow,
                             EffectList& aOut)
{
  const VmIncarnation& process = aUpdate.mMember;
  if (process.mVm == Self().mVm) {
    ApplySelfUpdate(aUpdate, aOut);
    return;
  }
  if (IsDead(process)) {
    return;
  }
  if (aUpdate.mState == MemberState::Dead) {
    DeclareDead(process, "gossip", aForward, aNow, aOut);
    return;
  }
  const auto it = mMembers.find(process.mVm);
  if (it != mMembers.end() && it->second.mUpdate.mMember == process) {
    Member& member = it->second;
    if (!Replaces(aUpdate, member.mUpdate)) {
      return;
    }
    const bool changes = aUpdate.mState != member.mUpdate.mState;
    member.mUpdate = aUpdate;
    if (changes) {
      SetState(member, aUpdate.mState, "gossip", aNow, aOut);
    }
  } else {
    if (it != mMembers.end()) {
      DeclareDead(
        it->second.mUpdate.mMember, "later_process", false, aNow, aOut);
    }
    AddMember(aUpdate, aNow, aOut);
  }
  if (aForward) {
    QueueUpdate(process.mVm);
  }
}

void Membership::AddMember(const MemberUpdate& aUpdate,
                           TimePoint aNow,
                           EffectList& aOut)
{
  const VmId& vm = aUpdate.mMember.mVm;
  Member& member = mMembers[vm];
  member.mUpdate = aUpdate;
  SetState(member, aUpdate.mState, "joined", aNow, aOut);
  std::uniform_int_distribution<std::size_t> place(0, mProbeOrder.size());
  mProbeOrder.insert(
    mProbeOrder.begin() + static_cast<std::ptrdiff_t>(place(mRandom)), vm);
}

void Membership::SetState(Member& aMember,
                          MemberState aState,
                          std::string_view aReason,
                          TimePoint aNow,
                          EffectList& aOut)
{
  MemberUpdate& update = aMember.mUpdate;
  update.mState = aState;
  aMember.mSince = aNow;
  mDerived.mValid = false;
  if (aState == MemberState::Suspect) {
    const auto n = static_cast<double>(mMembers.size() + 2);
    const Duration lifetime = std::chrono::duration_cast<Duration>(
      mOptions.mProbePeriod * 3 * std::log10(n));
    mSuspicions.push_back({ .mMember = update.mMember,
                            .mVersion = update.mVersion,
                            .mExpiresAt = aNow + lifetime });
  }
  static constexpr std::array<const char*, 4> kNames{
    "member_alive", "member_suspect", "member_unreachable", "member_leaving"
  };
  Record(
    kNames.at(static_cast<std::size_t>(aState)), update.mMember, aReason, aOut);
}

void Membership::DeclareDead(VmIncarnation aProcess,
                             std::string_view aReason,
                             bool aForward,
                             TimePoint aNow,
                             EffectList& aOut)
{
  // Enough for about two weeks of replaced VMs at 460 daemons.
  constexpr std::size_t kMaxTombstones = 512;
  Tombstone& tombstone = mTombstones[aProcess.mVm];
  tombstone.mIncarnation.mNumber =
    std::max(tombstone.mIncarnation.mNumber, aProcess.mIncarnation.mNumber);
  tombstone.mSince = aNow;
  if (mTombstones.size() > kMaxTombstones) {
    mTombstones.erase(
      std::min_element(mTombstones.begin(),
                       mTombstones.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mSince < aRight.second.mSince;
                       }));
  }
  const auto it = mMembers.find(aProcess.mVm);
  if (it != mMembers.end() && it->second.mUpdate.mMember.mIncarnation.mNumber <=
                                aProcess.mIncarnation.mNumber) {
    mMembers.erase(it);
    std::erase(mProbeOrder, aProcess.mVm);
  }
  mDerived.mValid = false;
  Record("member_dead", aProcess, aReason, aOut);
  if (aForward) {
    QueueUpdate(aProcess.mVm);
  }
  mHooks.mOnDeath(aProcess);
}

} // namespace cranberrywing
