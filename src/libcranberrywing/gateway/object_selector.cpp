#include "cranberrywing/gateway/object_selector.h"

#include <algorithm>

#include "duration_math.h"

namespace cranberrywing::gateway {

using detail::Scale;

namespace {

/// Combines two 64-bit hashes with the finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t n = aLeft ^ (aRight * 0x9e3779b97f4a7c15ULL);
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31U);
}

} // namespace

ObjectHash HashObject(const ServiceId& aService, std::string_view aObject)
{
  const std::uint64_t seed = HashBytes(aService.mName);
  const ObjectHash hash = HashBytes(aObject, seed);
  return hash == 0 ? 1 : hash;
}

double PositionOf(ObjectHash aObject)
{
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(Mix(aObject, 1)) / kRange;
}

ObjectSelector::ObjectSelector(Options aOptions)
  : mOptions(aOptions)
{
}

bool ObjectSelector::IsAssumedWarm(const BackendPool& aPool,
                                   const Backend& aBackend,
                                   std::size_t aRank,
                                   ObjectHash aObject,
                                   TimePoint aNow) const
{
  return aRank < mOptions.mAssumedWarmServers ||
         aPool.IsWarm(aBackend, aObject, aNow);
}

Selection ObjectSelector::Evaluate(const BackendPool& aPool,
                                   Backend& aBackend,
                                   std::size_t aRank,
                                   ObjectHash aObject,
                                   const ExpectedTimes& aTimes,
                                   TimePoint aNow) const
{
  const bool isWarm = IsAssumedWarm(aPool, aBackend, aRank, aObject, aNow);
  double factor = aPool.Slowness(aBackend, aNow);
  if (aPool.IsCold(aBackend, aNow)) {
    factor *= mOptions.mColdFactor;
  }
  const double slots = std::max(1u, aBackend.mEntry.mSlots);
  const double queued = aPool.Load(aBackend, aNow) + 1 - slots;
  Selection selection{ .mBackend = &aBackend, .mRank = aRank };
  if (queued > 0) {
    selection.mWait = Scale(aTimes.mMean, factor * queued / slots);
  }
  if (aPool.IsSilent(aBackend, aTimes.mTailLatency, aNow)) {
    selection.mWait += mOptions.mSilenceCost;
  }
  selection.mTotal =
    selection.mWait +
    Scale(isWarm || aObject == 0 ? aTimes.mWarm : aTimes.mUnknown, factor);
  return selection;
}

std::optional<Selection> ObjectSelector::Choose(
  const BackendPool& aPool,
  std::vector<Backend*> aCandidates,
  ObjectHash aObject,
  const ExpectedTimes& aTimes,
  TimePoint aNow,
  std::uint64_t aRequestHash) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::uint64_t key = aObject == 0 ? aRequestHash : aObject;
  const std::size_t width =
    aObject == 0 ? aCandidates.size()
                 : std::min(mOptions.mMaxCandidates, aCandidates.size());
  std::partial_sort(aCandidates.begin(),
                    aCandidates.begin() + static_cast<std::ptrdiff_t>(width),
                    aCandidates.end(),
                    [key](const Backend* aLeft, const Backend* aRight) {
                      return Mix(key, aLeft->mHash) > Mix(key, aRight->mHash);
                    });
  std::optional<Selection> best;
  Duration bestCost{};
  for (std::size_t n = 0; n < width; ++n) {
    const Selection selection =
      Evaluate(aPool, *aCandidates[n], n, aObject, aTimes, aNow);
    Duration cost = selection.mTotal;
    if (aObject != 0) {
      cost += mOptions.mRankCost * static_cast<Duration::rep>(n);
      if (!IsAssumedWarm(aPool, *aCandidates[n], n, aObject, aNow)) {
        cost += Scale(aTimes.mTailLatency - aTimes.mWarm, mOptions.mMissCost);
      }
    }
    if (!best || cost < bestCost) {
      best = selection;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace cranberrywing::gateway
