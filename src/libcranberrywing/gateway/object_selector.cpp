#include "cranberrywing/gateway/object_selector.h"

#include <algorithm>
#include <cmath>

#include "duration_math.h"

namespace cranberrywing::gateway {

using detail::Scale;

namespace {

/// Number of different 64-bit hashes.
constexpr double kHashRange = 18446744073709551616.0;

/// Combines two 64-bit hashes with the finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t n = aLeft ^ (aRight * 0x9e3779b97f4a7c15ULL);
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31U);
}

/// Position of a server in an object's weighted rendezvous order; the lowest is
/// first. A server with half the weight of the others is first for half as many
/// objects, and with equal weights the order is that of Mix, reversed.
double OrderOf(std::uint64_t aKey, const Backend& aBackend)
{
  const double draw =
    (static_cast<double>(Mix(aKey, aBackend.mHash)) + 1) / kHashRange;
  return -std::log(draw) / aBackend.mRateWeight;
}

/// Moves the first aWidth servers of the object's order to the front, sorted.
void MoveFirstOfOrder(std::vector<Backend*>& aCandidates,
                      std::size_t aWidth,
                      std::uint64_t aKey)
{
  const auto middle = static_cast<std::ptrdiff_t>(aWidth);
  const bool hasWeights =
    std::any_of(aCandidates.begin(),
                aCandidates.end(),
                [](const Backend* aEach) { return aEach->mRateWeight != 1; });
  if (!hasWeights) {
    std::partial_sort(aCandidates.begin(),
                      aCandidates.begin() + middle,
                      aCandidates.end(),
                      [aKey](const Backend* aLeft, const Backend* aRight) {
                        return Mix(aKey, aLeft->mHash) >
                               Mix(aKey, aRight->mHash);
                      });
    return;
  }
  std::vector<std::pair<double, Backend*>> ordered;
  ordered.reserve(aCandidates.size());
  for (Backend* const each : aCandidates) {
    ordered.emplace_back(OrderOf(aKey, *each), each);
  }
  std::partial_sort(ordered.begin(), ordered.begin() + middle, ordered.end());
  for (std::size_t n = 0; n < aWidth; ++n) {
    aCandidates[n] = ordered[n].second;
  }
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
  return static_cast<double>(Mix(aObject, 1)) / kHashRange;
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
  double factor =
    std::max(aPool.Slowness(aBackend, aNow), aPool.TimeFactor(aBackend, aNow));
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
  MoveFirstOfOrder(aCandidates, width, key);
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
