#include "cranberrywing/gateway/caller_vms.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace cranberrywing::gateway {

namespace {

/// Fraction of the fastest link's rate from which a link counts as fast.
constexpr double kFastFraction = 0.5;
/// When one of three VMs fails, two are left until its callers have moved.
constexpr std::size_t kMinFastVms = 3;
constexpr std::size_t kMinFastFailureDomains = 2;

bool IsKnown(double aLinkMbps)
{
  return std::isfinite(aLinkMbps) && aLinkMbps > 0;
}

/// Returns whether VmsForLargeResponses names a VM of those given. The result
/// refers to aLinks.
auto NamedBy(const std::map<RegionId, RegionLinks>& aLinks)
{
  return [&aLinks](const VmRecord& aVm) {
    const RegionLinks& links = aLinks.at(aVm.mRegion);
    return links.IsFast(aVm.mLinkMbps) || !links.HasEnoughFastVms();
  };
}

} // namespace

bool RegionLinks::HasEnoughFastVms() const
{
  return mFastVms >= kMinFastVms &&
         mFastFailureDomains >=
           std::min(mFailureDomains, kMinFastFailureDomains);
}

bool RegionLinks::IsFast(double aLinkMbps) const
{
  return !IsKnown(aLinkMbps) || aLinkMbps >= kFastFraction * mFastestMbps;
}

std::map<RegionId, RegionLinks> SummarizeLinks(
  const std::vector<VmRecord>& aUsable)
{
  struct Domains
  {
    std::set<FailureDomainId> mAll;
    std::set<FailureDomainId> mFast;
  };
  std::map<RegionId, RegionLinks> links;
  for (const VmRecord& vm : aUsable) {
    RegionLinks& region = links[vm.mRegion];
    ++region.mVms;
    if (IsKnown(vm.mLinkMbps)) {
      region.mFastestMbps = std::max(region.mFastestMbps, vm.mLinkMbps);
    }
  }
  std::map<RegionId, Domains> domains;
  for (const VmRecord& vm : aUsable) {
    RegionLinks& region = links[vm.mRegion];
    domains[vm.mRegion].mAll.insert(vm.mFailureDomain);
    if (region.IsFast(vm.mLinkMbps)) {
      ++region.mFastVms;
      domains[vm.mRegion].mFast.insert(vm.mFailureDomain);
    }
  }
  for (auto& [id, region] : links) {
    region.mFailureDomains = domains[id].mAll.size();
    region.mFastFailureDomains = domains[id].mFast.size();
  }
  return links;
}

std::vector<VmRecord> VmsForLargeResponses(const std::vector<VmRecord>& aUsable)
{
  const auto links = SummarizeLinks(aUsable);
  std::vector<VmRecord> named;
  std::copy_if(
    aUsable.begin(), aUsable.end(), std::back_inserter(named), NamedBy(links));
  return named;
}

CallerVms::CallerVms(Options aOptions)
  : mOptions(aOptions)
{
}

void CallerVms::Observe(const std::vector<VmRecord>& aUsable, TimePoint aNow)
{
  const auto links = SummarizeLinks(aUsable);
  const auto isNamed = NamedBy(links);
  for (const VmRecord& vm : aUsable) {
    if (isNamed(vm)) {
      mNamedAt[vm.mVm] = aNow;
    }
  }
  std::erase_if(mNamedAt, [&](const auto& aEntry) {
    return aNow - aEntry.second >= mOptions.mHoldTime;
  });
}

std::vector<VmRecord> CallerVms::Choose(const std::vector<VmRecord>& aUsable,
                                        TimePoint aNow) const
{
  const auto links = SummarizeLinks(aUsable);
  const auto isNamed = NamedBy(links);
  std::vector<VmRecord> named;
  for (const VmRecord& vm : aUsable) {
    const auto it = mNamedAt.find(vm.mVm);
    const bool isHeld =
      it != mNamedAt.end() && aNow - it->second < mOptions.mHoldTime;
    if (isNamed(vm) || isHeld) {
      named.push_back(vm);
    }
  }
  return named;
}

} // namespace cranberrywing::gateway
