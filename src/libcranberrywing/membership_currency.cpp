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
  const std::string& domain = member->mUpdate.mFailureDomain.mName;
  HearDomain(static_cast<std::uint32_t>(HashBytes(domain)), aWhen);
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

bool Membership::MayAcceptEdits(Duration aIsolationLimit, TimePoint aNow) const
{
  if (aIsolationLimit <= Duration::zero() || GetDerived().mPeers == 0) {
    return true;
  }
  return mLastAnswer && aNow - *mLastAnswer <= aIsolationLimit;
}

} // namespace cranberrywing
