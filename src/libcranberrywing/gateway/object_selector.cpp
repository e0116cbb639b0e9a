#include "cranberrywing/gateway/object_selector.h"

#include <algorithm>
#include <cmath>

#include "duration_math.h"
#include "object_order.h"

namespace cranberrywing::gateway {

using detail::Mix;
using detail::Scale;

namespace {

/// Number of different 64-bit hashes.
constexpr double kHashRange = 18446744073709551616.0;

/// Position of a server in an object's weighted rendezvous order; the lowest is
/// first. A server with half the weight of the others is first for half as many
/// objects, and with equal weights the order is that of Mix, reversed.
double OrderOf(std::uint64_t aKey, const Backend& aBackend)
{
  const double draw =
    (static_cast<double>(Mix(aKey, aBackend.mHash)) + 1) / kHashRange;
  return -std::log(draw) / aBackend.mRateWeight;
}

/// Moves the placed servers to the front, in the order of aPlaced, and returns
/// their number.
std::size_t MovePlacedToFront(std::span<Backend*> aCandidates,
                              std::span<const std::uint64_t> aPlaced)
{
  std::size_t count = 0;
  for (const std::uint64_t lifetime : aPlaced) {
    const auto rest = aCandidates.subspan(count);
    const auto it =
      std::find_if(rest.begin(), rest.end(), [&](const Backend* aEach) {
        return aEach->mLifetimeHash == lifetime;
      });
    if (it != rest.end()) {
      std::swap(*it, rest.front());
      ++count;
    }
  }
  return count;
}

/// Fraction of the server's slots that are busy; above 1 with a queue.
double BusyFraction(const BackendPool& aPool,
                    const Backend& aBackend,
                    TimePoint aNow)
{
  return aPool.Load(aBackend, aNow) / std::max(1U, aBackend.mEntry.mSlots);
}

/// Moves the first aWidth servers of the object's order to the front, sorted.
void MoveFirstOfOrder(std::span<Backend*> aCandidates,
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
                                   std::size_t aAssumedWarm,
                                   ObjectHash aObject,
                                   TimePoint aNow)
{
  return aRank < aAssumedWarm || aPool.IsWarm(aBackend, aObject, aNow);
}

Selection ObjectSelector::Evaluate(const BackendPool& aPool,
                                   Backend& aBackend,
                                   std::size_t aRank,
                                   std::size_t aAssumedWarm,
                                   ObjectHash aObject,
                                   const ExpectedTimes& aTimes,
                                   TimePoint aNow) const
{
  const bool isWarm =
    IsAssumedWarm(aPool, aBackend, aRank, aAssumedWarm, aObject, aNow);
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
  std::uint64_t aRequestHash,
  std::span<const std::uint64_t> aPlaced) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::uint64_t key = aObject == 0 ? aRequestHash : aObject;
  const std::size_t placed =
    aObject == 0 ? 0 : MovePlacedToFront(aCandidates, aPlaced);
  // Placed servers share the first rank.
  const std::size_t sameRank = placed == 0 ? 0 : placed - 1;
  const std::size_t width =
    aObject == 0
      ? aCandidates.size()
      : std::min(mOptions.mMaxCandidates + sameRank, aCandidates.size());
  if (width > placed) {
    MoveFirstOfOrder(
      std::span(aCandidates).subspan(placed), width - placed, key);
  }
  const std::size_t assumedWarm =
    placed == 0 ? mOptions.mAssumedWarmServers : placed;
  std::optional<Selection> best;
  Duration bestCost{};
  for (std::size_t n = 0; n < width; ++n) {
    const Selection selection =
      Evaluate(aPool, *aCandidates[n], n, assumedWarm, aObject, aTimes, aNow);
    Duration cost = selection.mTotal;
    if (aObject != 0) {
      cost += mOptions.mRankCost *
              static_cast<Duration::rep>(n < placed ? 0 : n - sameRank);
      if (!IsAssumedWarm(
            aPool, *aCandidates[n], n, assumedWarm, aObject, aNow)) {
        cost += Scale(aTimes.mTailLatency - aTimes.mWarm, mOptions.mMissCost);
      }
    }
    // Placed servers with free slots have equal costs. The first one would be
    // used up before the next one gets a request.
    const bool isLessBusy = best && n < placed && cost == bestCost &&
                            BusyFraction(aPool, *aCandidates[n], aNow) <
                              BusyFraction(aPool, *best->mBackend, aNow);
    if (!best || cost < bestCost || isLessBusy) {
      best = selection;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace cranberrywing::gateway
