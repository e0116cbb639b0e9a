#include "cranberrywing/backend_selector.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Weight of one sample in a server's average. Taking slower samples at once
/// instead raised the median by 3% without a slow server, because single late
/// answers are noise.
constexpr double kGain = 0.1;
/// Time without a sample after which half of a server's distance from the
/// usual latency is forgotten, so that a server that has recovered gets work.
constexpr double kForgetHalfLife = 10;
/// A failed exchange raises the average by this factor.
constexpr double kFailurePenalty = 2;
constexpr double kLongestLatency = 60;
/// Lower bounds of a latency: in a cost, so that the in-flight count decides
/// between servers without samples, and before a failure's penalty.
constexpr double kShortestLatency = 1e-6;
constexpr double kPenalizedLatency = 0.01;
/// Age at which a load report has half its weight.
constexpr double kLoadHalfLife = 2;
/// Draws of a usable, free and warm server before all are compared.
constexpr int kDraws = 6;

template<class Value>
bool Contains(const std::vector<Value>& aValues, const Value& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

} // namespace

BackendSelector::BackendSelector(Options aOptions, const BackendHealth& aHealth)
  : mOptions(aOptions)
  , mHealth(aHealth)
  , mRandom(aOptions.mSeed)
{
}

void BackendSelector::Apply(const SettingsSnapshot& aSettings)
{
  std::unordered_map<BackendId, Candidate> previous;
  previous.swap(mCandidates);
  mGroups.clear();
  for (const auto& [id, service] : aSettings.mServices) {
    for (const BackendSettings& backend : service.mBackends) {
      auto node = previous.extract(backend.mBackend);
      if (node) {
        mCandidates.insert(std::move(node));
      }
      Candidate& candidate = mCandidates[backend.mBackend];
      candidate.mSettings = backend;
      Group* group = FindGroup(id, backend.mRegion);
      if (group == nullptr) {
        group = &mGroups.emplace_back();
        group->mService = id;
        group->mRegion = backend.mRegion;
      }
      group->mMembers.push_back(&candidate);
    }
  }
  // Servers that left the settings keep their count until their exchanges end.
  for (auto& [id, candidate] : previous) {
    if (candidate.mInFlight > 0) {
      mCandidates.emplace(id, candidate);
    }
  }
  RefreshStatus();
}

void BackendSelector::RefreshStatus()
{
  for (auto& [id, candidate] : mCandidates) {
    candidate.mStatus = mHealth.Find(id);
  }
  mGeneration = mHealth.Generation();
}

const BackendSettings* BackendSelector::Select(const SelectionRequest& aRequest,
                                               TimePoint aNow)
{
  if (mGeneration != mHealth.Generation()) {
    RefreshStatus();
  }
  mLastSelect = aNow;
  Group* group = FindGroup(aRequest.mService, aRequest.mRegion);
  if (group == nullptr) {
    return nullptr;
  }
  const bool avoids =
    !aRequest.mAvoidedDomains.empty() || !aRequest.mAvoidedBackends.empty();
  Candidate* chosen = nullptr;
  if (avoids) {
    chosen = BestOf(*group, aRequest, aNow);
  } else if (mOptions.mPolicy == SelectionPolicy::TwoChoices) {
    chosen = TwoChoices(*group, aNow);
  } else if (mOptions.mPolicy == SelectionPolicy::RoundRobin) {
    chosen = RoundRobin(*group);
  } else {
    chosen = LeastReportedLoad(*group);
  }
  return chosen == nullptr ? nullptr : &chosen->mSettings;
}

void BackendSelector::OnDispatch(const BackendId& aBackend)
{
  const auto it = mCandidates.find(aBackend);
  if (it == mCandidates.end()) {
    return;
  }
  if (it->second.mInFlight == 0) {
    it->second.mProgress = mLastSelect;
  }
  ++it->second.mInFlight;
}

void BackendSelector::OnFinish(const BackendId& aBackend,
                               std::optional<Duration> aLatency)
{
  const auto it = mCandidates.find(aBackend);
  if (it == mCandidates.end()) {
    return;
  }
  Candidate& candidate = it->second;
  candidate.mInFlight -= candidate.mInFlight > 0 ? 1 : 0;
  candidate.mProgress = mLastSelect;
  const double known = PresentLatency(candidate, mLastSelect);
  candidate.mSampled = mLastSelect;
  if (!aLatency) {
    const double penalty = std::max(known, kPenalizedLatency) * kFailurePenalty;
    candidate.mLatency = std::min(penalty, kLongestLatency);
    return;
  }
  const double sample = ToSeconds(*aLatency);
  mUsualLatency = mUsualLatency == 0
                    ? sample
                    : mUsualLatency + kGain * (sample - mUsualLatency);
  candidate.mLatency = known == 0 ? sample : known + kGain * (sample - known);
}

std::uint32_t BackendSelector::InFlight(const BackendId& aBackend) const
{
  const auto it = mCandidates.find(aBackend);
  return it == mCandidates.end() ? 0 : it->second.mInFlight;
}

Duration BackendSelector::Latency(const BackendId& aBackend) const
{
  const auto it = mCandidates.find(aBackend);
  const double seconds = it == mCandidates.end() ? 0 : it->second.mLatency;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

BackendSelector::Group* BackendSelector::FindGroup(const ServiceId& aService,
                                                   const RegionId& aRegion)
{
  for (Group& group : mGroups) {
    if (group.mService == aService && group.mRegion == aRegion) {
      return &group;
    }
  }
  return nullptr;
}

bool BackendSelector::IsFree(const Candidate& aCandidate) const
{
  return aCandidate.mStatus != nullptr && aCandidate.mStatus->mUsable &&
         aCandidate.mInFlight < aCandidate.mSettings.mConnections;
}

BackendSelector::Candidate* BackendSelector::Draw(Group& aGroup,
                                                  const Candidate* aOther,
                                                  TimePoint aNow)
{
  std::uniform_int_distribution<std::size_t> place(0,
                                                   aGroup.mMembers.size() - 1);
  std::uniform_real_distribution<double> part(0, 1);
  for (int n = 0; n < kDraws; ++n) {
    Candidate* candidate = aGroup.mMembers[place(mRandom)];
    if (candidate == aOther || !IsFree(*candidate)) {
      continue;
    }
    // A cold server is drawn as rarely as it is warm.
    const double warmth = candidate->mStatus->SlowStartFactor(aNow);
    if (warmth >= 1 || part(mRandom) < warmth) {
      return candidate;
    }
  }
  return nullptr;
}

BackendSelector::Candidate* BackendSelector::TwoChoices(Group& aGroup,
                                                        TimePoint aNow)
{
  Candidate* first = Draw(aGroup, nullptr, aNow);
  // The second choice is another server: with two servers, drawing the same
  // one twice would send a quarter of the requests to one that hangs.
  Candidate* second = Draw(aGroup, first, aNow);
  if (first == nullptr || second == nullptr) {
    return BestOf(aGroup, {}, aNow);
  }
  return Cost(*second, aNow) < Cost(*first, aNow) ? second : first;
}

BackendSelector::Candidate* BackendSelector::RoundRobin(Group& aGroup)
{
  for (std::size_t n = 0; n < aGroup.mMembers.size(); ++n) {
    aGroup.mNext = (aGroup.mNext + 1) % aGroup.mMembers.size();
    Candidate* candidate = aGroup.mMembers[aGroup.mNext];
    if (IsFree(*candidate)) {
      return candidate;
    }
  }
  return nullptr;
}

BackendSelector::Candidate* BackendSelector::LeastReportedLoad(Group& aGroup)
{
  Candidate* least = nullptr;
  double leastLoad = 0;
  for (Candidate* candidate : aGroup.mMembers) {
    if (!IsFree(*candidate)) {
      continue;
    }
    const auto& report = candidate->mStatus->mLoad;
    const double load = report ? report->mUtilization : 0;
    if (least == nullptr || load < leastLoad) {
      least = candidate;
      leastLoad = load;
    }
  }
  return least;
}

BackendSelector::Candidate* BackendSelector::BestOf(
  Group& aGroup,
  const SelectionRequest& aRequest,
  TimePoint aNow)
{
  // Ranked by what the request avoids, then by cost.
  Candidate* best = nullptr;
  int bestRank = 0;
  double bestCost = 0;
  for (Candidate* candidate : aGroup.mMembers) {
    if (!IsFree(*candidate)) {
      continue;
    }
    const BackendSettings& settings = candidate->mSettings;
    const bool sameServer =
      Contains(aRequest.mAvoidedBackends, settings.mBackend);
    const bool sameDomain =
      Contains(aRequest.mAvoidedDomains, settings.mFailureDomain);
    const int rank = (sameServer ? 2 : 0) + (sameDomain ? 1 : 0);
    const double cost =
      Cost(*candidate, aNow) / candidate->mStatus->SlowStartFactor(aNow);
    const bool isBetter = best == nullptr || rank < bestRank ||
                          (rank == bestRank && cost < bestCost);
    if (isBetter) {
      best = candidate;
      bestRank = rank;
      bestCost = cost;
    }
  }
  return best;
}

double BackendSelector::PresentLatency(const Candidate& aCandidate,
                                       TimePoint aNow) const
{
  if (aCandidate.mLatency == 0) {
    return mUsualLatency;
  }
  const double age = ToSeconds(aNow - aCandidate.mSampled);
  if (age < kForgetHalfLife / 10) {
    return aCandidate.mLatency;
  }
  const double kept = std::exp2(-age / kForgetHalfLife);
  return mUsualLatency + kept * (aCandidate.mLatency - mUsualLatency);
}

double BackendSelector::Cost(const Candidate& aCandidate, TimePoint aNow) const
{
  double latency = PresentLatency(aCandidate, aNow);
  if (aCandidate.mInFlight > 0) {
    // A server that hangs reports no latency; the time since it last ended
    // an exchange is a lower bound of it.
    latency = std::max(latency, ToSeconds(aNow - aCandidate.mProgress));
  }
  double cost =
    (aCandidate.mInFlight + 1.0) * std::max(latency, kShortestLatency);
  const BackendStatus& status = *aCandidate.mStatus;
  if (status.mLoad) {
    const double age = std::max(0.0, ToSeconds(aNow - status.mLoadTime));
    const double weight = kLoadHalfLife / (kLoadHalfLife + age);
    const double load = std::clamp(status.mLoad->mUtilization, 0.0, 2.0);
    cost *= 1 + weight * load;
  }
  return cost;
}

} // namespace cranberrywing
