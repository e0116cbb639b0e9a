// Explanations of lookups.
#include "cranberrywing/steering.h"

namespace cranberrywing {

LookupTrace Steering::Trace(const event::LookupArrived& aEvent,
                            TimePoint aNow) const
{
  // Lookup refreshes its view of the VMs, which a const call must not do.
  Steering copy = *this;
  LookupTrace trace;
  trace.mAnswer = copy.Lookup(aEvent, aNow);
  if (!mSettings) {
    return trace;
  }
  const SiteId* const site =
    mBlocks ? mBlocks->Find(aEvent.mClientAddress) : nullptr;
  if (site) {
    trace.mSite = *site;
  }
  trace.mPreferredRegion = copy.PreferredRegion(site);
  trace.mHasSubset = mSettings->mAccounts.contains(aEvent.mAccount);
  if (!aEvent.mIdempotencyKey.empty()) {
    trace.mExecutionOwner = mHooks.mExecutionOwner(
      aEvent.mAccount, aEvent.mRoute, aEvent.mIdempotencyKey);
  }
  const RegionTargets* const used = copy.NearestRegion(site);
  for (const auto& [id, region] : copy.mRegions) {
    if (&region == used) {
      trace.mRegion = id;
    }
  }
  if (!used) {
    return trace;
  }
  trace.mRegionVms = used->mTargets.size();
  if (site && used->mBySite.contains(*site)) {
    trace.mSiteVms = used->mBySite.at(*site).size();
  }
  return trace;
}

} // namespace cranberrywing
