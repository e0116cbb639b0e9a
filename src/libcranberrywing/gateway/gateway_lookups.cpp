// Which VMs callers are directed to.
#include <algorithm>
#include <sstream>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

/// Time for which lookups of a region with more VMs than an answer holds name
/// the same ones, since callers close connections to a VM that a later answer
/// leaves out.
constexpr Duration kTargetChoiceTime = std::chrono::minutes(1);

/// Callers of a lookup that names a single VM ask again so many times earlier.
constexpr int kSingleTargetDivisor = 3;

/// Interval at which the choice of VMs for large responses is noted. A change
/// that lasts less long does not delay leaving VMs out.
constexpr Duration kCallerVmsInterval = std::chrono::milliseconds(500);

/// Time after the registrations are known within which all usable VMs of the
/// own region are heard: each sends a message every 1.2 s or more often. Until
/// then, few fast VMs seem usable; if that was noted, this VM would name slow
/// ones for longer than the others of its region.
constexpr Duration kFirstMessagesTime = std::chrono::seconds(3);

/// Link rate for the log; empty if unknown.
std::string RateText(double aLinkMbps)
{
  std::ostringstream text;
  if (aLinkMbps > 0) {
    text << aLinkMbps;
  }
  return text.str();
}

} // namespace

bool Gateway::HasStarted() const
{
  return mPolicy && mHasRegistrations && !mStoppingSince;
}

bool Gateway::IsReady() const
{
  return HasStarted() &&
         (!mServerReach.IsCutOff() || !mFleet.HasReachingPeer(mNow));
}

OwnState Gateway::OwnLookupState() const
{
  return { .mIsReady = HasStarted(), .mIsCutOff = mServerReach.IsCutOff() };
}

std::vector<VmRecord> Gateway::ChooseCallerVms(std::vector<VmRecord> aUsable,
                                               TimePoint aNow) const
{
  return mPolicy && mPolicy->HasLargeAnswers()
           ? mCallerVms.Choose(aUsable, aNow)
           : std::move(aUsable);
}

std::vector<VmRecord> Gateway::CallerTargets(const RegionId& aRegion,
                                             std::size_t aMaxCount,
                                             TimePoint aNow) const
{
  std::vector<VmRecord> targets = ChooseCallerVms(
    mFleet.CallerTargets(aRegion, OwnLookupState(), aNow), aNow);
  if (targets.size() > aMaxCount) {
    const std::string item =
      mOptions.mSelf.mVm.mName + '\n' +
      std::to_string(aNow.time_since_epoch() / kTargetChoiceTime);
    std::vector<std::pair<std::uint64_t, VmRecord>> ranked;
    for (VmRecord& target : targets) {
      const std::uint64_t weight = RendezvousWeight(item, target.mVm.mName);
      ranked.emplace_back(weight, std::move(target));
    }
    std::nth_element(ranked.begin(),
                     ranked.begin() + static_cast<std::ptrdiff_t>(aMaxCount),
                     ranked.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first > aRight.first;
                     });
    targets.clear();
    for (std::size_t n = 0; n < aMaxCount; ++n) {
      targets.push_back(std::move(ranked[n].second));
    }
  }
  return targets;
}

CallerVmCounts Gateway::CountCallerVms(TimePoint aNow) const
{
  const std::vector<VmRecord> usable =
    mFleet.CallerTargets(mOptions.mSelf.mRegion, OwnLookupState(), aNow);
  const std::vector<VmRecord> named = ChooseCallerVms(usable, aNow);
  return { .mNamed = named.size(),
           .mLeftOut = usable.size() - named.size(),
           .mNamesSelf =
             std::any_of(named.begin(), named.end(), [&](const auto& aVm) {
               return aVm.mVm == mOptions.mSelf.mVm;
             }) };
}

void Gateway::UpdateCallerVms()
{
  const bool hasLargeAnswers = mPolicy && mPolicy->HasLargeAnswers();
  if (!hasLargeAnswers && !mRecordedCallerVms) {
    return;
  }
  if (mNow < mNextCallerVms || !mHasRegistrations ||
      mNow - mRegistrationsAt < kFirstMessagesTime) {
    return;
  }
  mNextCallerVms = mNow + kCallerVmsInterval;
  if (hasLargeAnswers) {
    mCallerVms.Observe(mFleet.CallerTargets(OwnLookupState(), mNow), mNow);
  } else {
    mCallerVms.Clear();
  }
  const CallerVmCounts counts = CountCallerVms(mNow);
  if (counts != mRecordedCallerVms) {
    RecordCallerVms(counts);
  }
  mRecordedCallerVms = hasLargeAnswers ? std::optional(counts) : std::nullopt;
}

void Gateway::RecordCallerVms(const CallerVmCounts& aCounts)
{
  const RegionId& region = mOptions.mSelf.mRegion;
  const RegionLinks links = SummarizeLinks(
    mFleet.CallerTargets(region, OwnLookupState(), mNow))[region];
  Record(
    "caller_vms",
    { { "region", region.mName },
      { "named", std::to_string(aCounts.mNamed) },
      { "usable", std::to_string(aCounts.mNamed + aCounts.mLeftOut) },
      { "names_self", aCounts.mNamesSelf ? "1" : "0" },
      { "own_mbps", RateText(mOptions.mSelf.mLinkMbps) },
      { "fastest_mbps", RateText(links.mFastestMbps) },
      { "fast", std::to_string(links.mFastVms) },
      { "fast_failure_domains", std::to_string(links.mFastFailureDomains) } });
}

Duration Gateway::LookupLifetime(std::size_t aTargets) const
{
  // Callers that know a single VM have no other if that one cannot serve them.
  return aTargets > 1 ? mOptions.mLookupLifetime
                      : mOptions.mLookupLifetime / kSingleTargetDivisor;
}

} // namespace cranberrywing::gateway
