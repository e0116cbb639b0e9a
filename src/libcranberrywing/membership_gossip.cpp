// What members tell each other, and how an update changes what is known.
#include "cranberrywing/membership.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <limits>

namespace cranberrywing {

namespace {

/// Bytes of an encoded string's length.
constexpr std::size_t kLengthBytes = 8;
/// Bytes of an envelope with an empty gossip, above its names.
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

/// Whether aNew about the same process replaces aOld. Leaving is final among
/// the living; else the higher version is newer, and among equal versions the
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
  // Rounded up, so that an age is never told as younger than it is.
  const auto tenths = (aAge + kTenth - Duration(1)) / kTenth;
  const auto limit = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min<Duration::rep>(tenths, limit));
}

} // namespace

std::uint32_t Membership::SpreadLimit() const
{
  return 4 * static_cast<std::uint32_t>(std::bit_width(mMembers.size() + 1));
}

void Membership::Spread(const VmId& aVm)
{
  const auto it =
    std::find_if(mRumors.begin(), mRumors.end(), [&](const Rumor& aRumor) {
      return aRumor.mVm == aVm;
    });
  if (it != mRumors.end()) {
    it->mSent = 0;
    return;
  }
  mRumors.push_back({ .mVm = aVm });
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
  aGossip.mDomains.reserve(mDomainsHeard.size());
  for (const auto& [domain, heard] : mDomainsHeard) {
    aGossip.mDomains.push_back(
      { .mDomain = domain, .mAgeTenths = ToTenths(aNow - heard) });
  }
  aGossip.mUpdates.push_back(mOptions.mSelf);
}

Gossip Membership::MakeGossip(const VmId* aAbout, TimePoint aNow)
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
  // A receiver that is thought out of reach learns it, so that it can refute.
  const Member* about = aAbout == nullptr ? nullptr : Find(*aAbout);
  if (about != nullptr && about->mUpdate.mState != MemberState::Alive) {
    add(about->mUpdate);
  }
  std::stable_sort(mRumors.begin(),
                   mRumors.end(),
                   [](const Rumor& aLeft, const Rumor& aRight) {
                     return aLeft.mSent < aRight.mSent;
                   });
  for (Rumor& rumor : mRumors) {
    const auto update = UpdateOf(rumor.mVm);
    if (update && !add(*update)) {
      break;
    }
    ++rumor.mSent;
  }
  const std::uint32_t limit = SpreadLimit();
  std::erase_if(mRumors,
                [limit](const Rumor& aRumor) { return aRumor.mSent >= limit; });
  return gossip;
}

Gossip Membership::MakeWholeList(TimePoint aNow) const
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
  mDifferences = isSame ? 0 : mDifferences + 1;
  // A large gap is a join, which cannot wait; a small one is normal while
  // news travels.
  if (std::size_t{ aGossip.mKnownMembers } * 15 > (mMembers.size() + 1) * 16) {
    mDifferences = std::max(mDifferences, kLastingDifferences);
  }
}

void Membership::TakeGossip(const VmIncarnation& aFrom,
                            const Gossip& aGossip,
                            std::optional<TimePoint> aEvidence,
                            bool aSpread,
                            TimePoint aNow,
                            EffectList& aOut)
{
  mLastMessage = aNow;
  for (const MemberUpdate& update : aGossip.mUpdates) {
    TakeUpdate(update, aSpread, aNow, aOut);
  }
  CompareMembers(aGossip);
  TakeVersion(aFrom.mVm, aGossip.mVersion, aNow);
  if (!aEvidence) {
    return;
  }
  HearMember(aFrom, *aEvidence);
  if (aGossip.mStoreContactAgeMs != Gossip::kNoContact) {
    // Ages beyond a day mean nothing more, and the bound keeps the
    // subtraction from overflowing.
    constexpr std::uint64_t kLongestAgeMs = 86'400'000;
    const auto age = std::min(aGossip.mStoreContactAgeMs, kLongestAgeMs);
    const TimePoint contact =
      *aEvidence - Milliseconds(static_cast<Milliseconds::rep>(age));
    mStoreContact = std::max(mStoreContact.value_or(contact), contact);
  }
  for (const DomainContact& domain : aGossip.mDomains) {
    HearDomain(domain.mDomain,
               *aEvidence - Milliseconds(100) * domain.mAgeTenths);
  }
}

void Membership::TakeOwnUpdate(const MemberUpdate& aUpdate, EffectList& aOut)
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

void Membership::TakeUpdate(const MemberUpdate& aUpdate,
                            bool aSpread,
                            TimePoint aNow,
                            EffectList& aOut)
{
  const VmIncarnation& process = aUpdate.mMember;
  if (process.mVm == Self().mVm) {
    TakeOwnUpdate(aUpdate, aOut);
    return;
  }
  if (IsDead(process)) {
    return;
  }
  if (aUpdate.mState == MemberState::Dead) {
    DeclareDead(process, "gossip", aSpread, aNow, aOut);
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
  if (aSpread) {
    Spread(process.mVm);
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
  std::uniform_int_distribution<std::size_t> place(0, mRound.size());
  mRound.insert(mRound.begin() + static_cast<std::ptrdiff_t>(place(mRandom)),
                vm);
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
                             bool aSpread,
                             TimePoint aNow,
                             EffectList& aOut)
{
  // About two weeks of replaced VMs at 460 daemons.
  constexpr std::size_t kMostTombstones = 512;
  Tombstone& tombstone = mTombstones[aProcess.mVm];
  tombstone.mIncarnation.mNumber =
    std::max(tombstone.mIncarnation.mNumber, aProcess.mIncarnation.mNumber);
  tombstone.mSince = aNow;
  if (mTombstones.size() > kMostTombstones) {
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
    std::erase(mRound, aProcess.mVm);
  }
  mDerived.mValid = false;
  Record("member_dead", aProcess, aReason, aOut);
  if (aSpread) {
    Spread(aProcess.mVm);
  }
  mHooks.mOnDeath(aProcess);
}

} // namespace cranberrywing
