// Explanation part of Steering.
#include "cranberrywing/steering.h"

namespace cranberrywing {

LookupTrace Steering::Trace(const event::LookupArrived& aEvent,
                            TimePoint aNow) const
{
  // Lookup may refresh the targets, which a const call must not do.
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
  const RegionTargets* const chosen = copy.NearestRegion(site);
  for (const auto& [id, region] : copy.mRegions) {
    if (&region == chosen) {
      trace.mRegion = id;
    }
  }
  if (!chosen) {
    return trace;
  }
  trace.mRegionVms = chosen->mTargets.size();
  if (site && chosen->mBySite.contains(*site)) {
    trace.mSiteVms = chosen->mBySite.at(*site).size();
  }
  return trace;
}

} // namespace cranberrywing
