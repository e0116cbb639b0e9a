#include "cranberrywing/backend_selector.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Weight of one sample in a server's smoothed latency. Adopting slower samples
/// immediately raised the median latency by 3% without any slow server, because
/// single slow answers are noise.
constexpr double kLatencyGain = 0.1;
/// Half-life, without samples, of the difference between a server's latency and
/// the mean, so that a server that has recovered receives requests again.
constexpr double kLatencyHalfLifeSeconds = 10;
/// Factor on the smoothed latency after a failed request.
constexpr double kFailurePenalty = 2;
constexpr double kMaxLatencySeconds = 60;
/// Lower bound of the latency in a server's cost. It is above zero, so that the
/// number of requests in flight decides between servers without samples.
constexpr double kMinLatencySeconds = 1e-6;
/// Lower bound of a latency to which a failure's penalty is applied.
constexpr double kMinPenalizedSeconds = 0.01;
/// Age at which the weight of a load report is halved.
constexpr double kLoadHalfLifeSeconds = 2;
/// Random draws of a usable, free server before all servers are compared.
constexpr int kMaxDraws = 6;

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
  // Servers removed from the settings are kept until their requests in flight
  // have ended.
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
  const bool hasExclusions =
    !aRequest.mAvoidedDomains.empty() || !aRequest.mAvoidedBackends.empty();
  Candidate* chosen = nullptr;
  if (hasExclusions) {
    chosen = SelectBest(*group, aRequest, aNow);
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
    it->second.mLastProgress = mLastSelect;
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
  candidate.mLastProgress = mLastSelect;
  const double latency = DecayedLatency(candidate, mLastSelect);
  candidate.mLastSample = mLastSelect;
  if (!aLatency) {
    const double penalty =
      std::max(latency, kMinPenalizedSeconds) * kFailurePenalty;
    candidate.mLatency = std::min(penalty, kMaxLatencySeconds);
    return;
  }
  const double sample = ToSeconds(*aLatency);
  mMeanLatency = mMeanLatency == 0
                   ? sample
                   : mMeanLatency + kLatencyGain * (sample - mMeanLatency);
  candidate.mLatency =
    latency == 0 ? sample : latency + kLatencyGain * (sample - latency);
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

BackendSelector::Candidate* BackendSelector::DrawRandom(Group& aGroup,
                                                        const Candidate* aOther,
                                                        TimePoint aNow)
{
  std::uniform_int_distribution<std::size_t> index(0,
                                                   aGroup.mMembers.size() - 1);
  std::uniform_real_distribution<double> probability(0, 1);
  for (int n = 0; n < kMaxDraws; ++n) {
    Candidate* candidate = aGroup.mMembers[index(mRandom)];
    if (candidate == aOther || !IsFree(*candidate)) {
      continue;
    }
    // A server in slow start is accepted with a probability equal to its
    // slow-start factor.
    const double factor = candidate->mStatus->SlowStartFactor(aNow);
    if (factor >= 1 || probability(mRandom) < factor) {
      return candidate;
    }
  }
  return nullptr;
}

BackendSelector::Candidate* BackendSelector::TwoChoices(Group& aGroup,
                                                        TimePoint aNow)
{
  Candidate* first = DrawRandom(aGroup, nullptr, aNow);
  // The two choices must differ: if the same server could be drawn twice, a
  // group of two would send a quarter of the requests to a server that hangs.
  Candidate* second = DrawRandom(aGroup, first, aNow);
  if (first == nullptr || second == nullptr) {
    return SelectBest(aGroup, {}, aNow);
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

BackendSelector::Candidate* BackendSelector::SelectBest(
  Group& aGroup,
  const SelectionRequest& aRequest,
  TimePoint aNow)
{
  // Compare by what the request avoids first, then by cost.
  Candidate* best = nullptr;
  int bestRank = 0;
  double bestCost = 0;
  for (Candidate* candidate : aGroup.mMembers) {
    if (!IsFree(*candidate)) {
      continue;
    }
    const BackendSettings& settings = candidate->mSettings;
    const bool isAvoidedServer =
      Contains(aRequest.mAvoidedBackends, settings.mBackend);
    const bool isAvoidedDomain =
      Contains(aRequest.mAvoidedDomains, settings.mFailureDomain);
    const int rank = (isAvoidedServer ? 2 : 0) + (isAvoidedDomain ? 1 : 0);
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

double BackendSelector::DecayedLatency(const Candidate& aCandidate,
                                       TimePoint aNow) const
{
  if (aCandidate.mLatency == 0) {
    return mMeanLatency;
  }
  const double age = ToSeconds(aNow - aCandidate.mLastSample);
  if (age < kLatencyHalfLifeSeconds / 10) {
    return aCandidate.mLatency;
  }
  const double retained = std::exp2(-age / kLatencyHalfLifeSeconds);
  return mMeanLatency + retained * (aCandidate.mLatency - mMeanLatency);
}

double BackendSelector::Cost(const Candidate& aCandidate, TimePoint aNow) const
{
  double latency = DecayedLatency(aCandidate, aNow);
  if (aCandidate.mInFlight > 0) {
    // A server that hangs yields no latency samples; the time since its last
    // completion is a lower bound of its latency.
    latency = std::max(latency, ToSeconds(aNow - aCandidate.mLastProgress));
  }
  double cost =
    (aCandidate.mInFlight + 1.0) * std::max(latency, kMinLatencySeconds);
  const BackendStatus& status = *aCandidate.mStatus;
  if (status.mLoad) {
    const double age = std::max(0.0, ToSeconds(aNow - status.mLoadTime));
    const double weight = kLoadHalfLifeSeconds / (kLoadHalfLifeSeconds + age);
    const double load = std::clamp(status.mLoad->mUtilization, 0.0, 2.0);
    cost *= 1 + weight * load;
  }
  return cost;
}

} // namespace cranberrywing
