// Isolation: what this VM knows of store contacts and of whom it can hear.
#include "cranberrywing/membership.h"

#include <algorithm>

namespace cranberrywing {

void Membership::HearDomain(std::uint32_t aDomain, TimePoint aWhen)
{
  TimePoint& heard = mDomainsHeard.try_emplace(aDomain, aWhen).first->second;
  heard = std::max(heard, aWhen);
}

void Membership::HearMember(const VmIncarnation& aFrom, TimePoint aWhen)
{
  const Member* member = Find(aFrom.mVm);
  if (member == nullptr || member->mUpdate.mMember != aFrom) {
    return;
  }
  HearDomain(DomainHash(member->mUpdate.mFailureDomain), aWhen);
}

std::optional<TimePoint> Membership::ArrivalEvidence(TimePoint aNow) const
{
  // A message that waited in the socket during a pause of this process tells
  // of a time long past, and nothing in it shows that.
  constexpr Duration kLongestTickGap = std::chrono::milliseconds(250);
  if (!mLastTick || aNow - *mLastTick > kLongestTickGap ||
      aNow < mDistrustUntil) {
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

void Membership::TakeVersion(const VmId& aFrom,
                             const ConfigurationVersion& aVersion,
                             TimePoint aNow)
{
  if (mHooks.mVersion().mRevision.mNumber >= mNewestHeard.mNumber) {
    mBehindSince.reset();
  }
  if (aVersion.mRevision.mNumber > mNewestHeard.mNumber) {
    mNewestHeard = aVersion.mRevision;
  }
  mHooks.mOnVersion(aFrom, aVersion);
  if (mHooks.mVersion().mRevision.mNumber >= mNewestHeard.mNumber) {
    mBehindSince.reset();
  } else if (!mBehindSince) {
    mBehindSince = aNow;
  }
}

bool Membership::IsBehind(Duration aLimit, TimePoint aNow) const
{
  return mBehindSince && aNow - *mBehindSince > aLimit &&
         mHooks.mVersion().mRevision.mNumber < mNewestHeard.mNumber;
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
    // Nobody else can accept a withdrawal, unless this VM has yet to find the
    // others.
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
    const auto it = mDomainsHeard.find(aDomain);
    return it != mDomainsHeard.end() && aNow - it->second <= aIsolationLimit;
  };
  const std::vector<std::uint32_t>& troubled = GetDerived().mTroubledDomains;
  return std::all_of(troubled.begin(), troubled.end(), isCovered);
}

std::optional<VmId> Membership::DomainToRefresh(TimePoint aNow)
{
  // Less than half of the default isolation limit.
  constexpr Duration kFreshEnough = std::chrono::seconds(2);
  const std::optional<Duration> contact = FreshestStoreContact(aNow);
  if (contact && *contact <= kFreshEnough) {
    return std::nullopt;
  }
  std::vector<const VmId*> candidates;
  for (const std::uint32_t domain : GetDerived().mTroubledDomains) {
    const auto it = mDomainsHeard.find(domain);
    if (it != mDomainsHeard.end() && aNow - it->second <= kFreshEnough) {
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
