// Isolation checks: tracks contacts with the store and with other failure
// domains to decide whether this VM may have missed a withdrawal.
#include "cranberrywing/membership.h"

#include <algorithm>

namespace cranberrywing {

void Membership::NoteDomainContact(std::uint32_t aDomain, TimePoint aWhen)
{
  TimePoint& heard = mDomainContacts.try_emplace(aDomain, aWhen).first->second;
  heard = std::max(heard, aWhen);
}

void Membership::NoteMemberContact(const VmIncarnation& aFrom, TimePoint aWhen)
{
  const Member* member = Find(aFrom.mVm);
  if (member == nullptr || member->mUpdate.mMember != aFrom) {
    return;
  }
  NoteDomainContact(DomainHash(member->mUpdate.mFailureDomain), aWhen);
}

std::optional<TimePoint> Membership::TrustedArrivalTime(TimePoint aNow) const
{
  // A message that was queued in the socket while this process was paused may
  // be arbitrarily old, and nothing in it shows that.
  constexpr Duration kMaxTickGap = std::chrono::milliseconds(250);
  if (!mLastTick || aNow - *mLastTick > kMaxTickGap ||
      aNow < mIgnoreArrivalsUntil) {
    return std::nullopt;
  }
  return aNow;
}

std::optional<Duration> Membership::FreshestStoreContact(TimePoint aNow) const
{
  std::optional<Duration> age = mHooks.mStoreContactAge();
  if (mStoreContact && (!age || aNow - *mStoreContact < *age)) {
    age = aNow - *mStoreContact;
  }
  return age;
}

void Membership::NotePeerVersion(const VmId& aFrom,
                                 const ConfigurationVersion& aVersion,
                                 TimePoint aNow)
{
  if (mHooks.mVersion().mRevision.mNumber >= mNewestSeenRevision.mNumber) {
    mBehindSince.reset();
  }
  if (aVersion.mRevision.mNumber > mNewestSeenRevision.mNumber) {
    mNewestSeenRevision = aVersion.mRevision;
  }
  mHooks.mOnVersion(aFrom, aVersion);
  if (mHooks.mVersion().mRevision.mNumber >= mNewestSeenRevision.mNumber) {
    mBehindSince.reset();
  } else if (!mBehindSince) {
    mBehindSince = aNow;
  }
}

bool Membership::IsBehind(Duration aLimit, TimePoint aNow) const
{
  return mBehindSince && aNow - *mBehindSince > aLimit &&
         mHooks.mVersion().mRevision.mNumber < mNewestSeenRevision.mNumber;
}

bool Membership::IsCurrent(Duration aIsolationLimit, TimePoint aNow) const
{
  if (aIsolationLimit <= Duration::zero()) {
    return true;
  }
  if (IsBehind(aIsolationLimit, aNow)) {
    return false;
  }
  const std::optional<Duration> contact = FreshestStoreContact(aNow);
  if (!contact) {
    return false;
  }
  if (*contact <= aIsolationLimit) {
    return true;
  }
  if (GetDerived().mPeers == 0) {
    // Without peers nobody else can accept a withdrawal, unless this VM has not
    // found the other VMs yet.
    return std::all_of(
      mOptions.mSeeds.begin(),
      mOptions.mSeeds.end(),
      [this](const VmSettings& aSeed) { return aSeed.mVm == Self().mVm; });
  }
  if (!mLastAnswer || aNow - *mLastAnswer > aIsolationLimit) {
    return false;
  }
  const auto isCovered = [&](std::uint32_t aDomain) {
    if (aDomain == mOwnDomain) {
      return true;
    }
    const auto it = mDomainContacts.find(aDomain);
    return it != mDomainContacts.end() && aNow - it->second <= aIsolationLimit;
  };
  const std::vector<std::uint32_t>& degraded = GetDerived().mDegradedDomains;
  return std::all_of(degraded.begin(), degraded.end(), isCovered);
}

std::optional<VmId> Membership::PickDomainProbeTarget(TimePoint aNow)
{
  // Less than half of the default isolation limit of 5 s.
  constexpr Duration kMaxFreshAge = std::chrono::seconds(2);
  const std::optional<Duration> contact = FreshestStoreContact(aNow);
  if (contact && *contact <= kMaxFreshAge) {
    return std::nullopt;
  }
  std::vector<const VmId*> candidates;
  for (const std::uint32_t domain : GetDerived().mDegradedDomains) {
    const auto it = mDomainContacts.find(domain);
    if (it != mDomainContacts.end() && aNow - it->second <= kMaxFreshAge) {
      continue;
    }
    for (const auto& [vm, member] : mMembers) {
      if (member.mUpdate.mState == MemberState::Alive &&
          DomainHash(member.mUpdate.mFailureDomain) == domain) {
        candidates.push_back(&vm);
      }
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  return *candidates[index(mRandom)];
}

bool Membership::MayAcceptEdits(Duration aIsolationLimit, TimePoint aNow) const
{
  if (aIsolationLimit <= Duration::zero() || GetDerived().mPeers == 0) {
    return true;
  }
  return mLastAnswer && aNow - *mLastAnswer <= aIsolationLimit;
}

} // namespace cranberrywing
