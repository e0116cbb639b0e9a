// Measures at-most-once execution: CPU time per claim and per ticket, store
// writes per claim with group commit compared with one record per request,
// memory per claim and per stored answer, and the store calls of a whole fleet.
// All arrivals are in simulated time; the seed is fixed.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <random>

#include "bench/execution_owner.h"
#include "testing/execution_fleet.h"

namespace {

using namespace cranberrywing;
using namespace cranberrywing::execution_bench;
using namespace std::chrono_literals;

/// Reply latency of the store in the group commit benchmark.
constexpr Milliseconds kStoreLatency{ 5 };

std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks;
}

ExecutionRequest MakeRequest(std::uint64_t aNumber, TimePoint aNow)
{
  ExecutionRequest request;
  request.mRequest = RequestId{ aNumber };
  request.mAccount = AccountId("kumasi-shops");
  request.mRoute = RouteId("restock");
  request.mContent = ContentDigest{ aNumber, aNumber };
  request.mDeadline = aNow + 10s;
  return request;
}

AnswerContentPtr MakeAnswer(std::size_t aBytes)
{
  AnswerContent answer;
  answer.mStatus = 200;
  answer.mHeaders = { { "Content-Type", "application/json" } };
  answer.mBody.assign(aBytes, 'x');
  return std::make_shared<const AnswerContent>(answer);
}

/// Each iteration takes one request through claim, commit, decision and answer.
void Claims(benchmark::State& aState)
{
  Owner owner;
  const AnswerContentPtr answer = MakeAnswer(200);
  std::uint64_t number = 0;
  for (auto _ : aState) {
    ExecutionRequest request = MakeRequest(++number, owner.mNow);
    request.mIdempotencyKey = "order-" + std::to_string(number);
    owner.Begin(request);
    if (number % 100 == 0) {
      // Each commit carries 100 claims, as at a rate of 1,000 claims per
      // second.
      owner.Step(100ms);
    }
    for (const auto& decision : owner.mExecutions.TakeDecisions()) {
      if (decision.mRun) {
        owner.Answer(decision.mRequest, answer);
      }
    }
  }
  aState.SetItemsProcessed(aState.iterations());
}

/// Each iteration issues, verifies, runs and answers one ticket.
void Tickets(benchmark::State& aState)
{
  Owner owner;
  const AnswerContentPtr answer = MakeAnswer(200);
  std::uint64_t number = 0;
  for (auto _ : aState) {
    ExecutionRequest request = MakeRequest(++number, owner.mNow);
    request.mTicket =
      owner.mExecutions
        .IssueTicket(request.mAccount, request.mRoute, owner.mNow)
        .value();
    owner.Begin(request);
    owner.Answer(request.mRequest, answer);
    benchmark::DoNotOptimize(owner.mExecutions.TakeDecisions());
  }
  aState.SetItemsProcessed(aState.iterations());
}

/// One owner of all slots under Poisson arrivals for one simulated minute.
class CommitLoad
{
public:
  CommitLoad(double aRate, std::size_t aClaimsPerCommit)
    : mOwner(aClaimsPerCommit)
    , mInterarrival(aRate)
  {
    mOwner.mStoreLatency = kStoreLatency;
  }

  void Run()
  {
    const TimePoint start = mOwner.mNow;
    double next = mInterarrival(mRandom);
    while (mOwner.mNow < start + kLoadTime) {
      mOwner.Step(1ms);
      const std::chrono::duration<double> elapsed = mOwner.mNow - start;
      for (; next <= elapsed.count(); next += mInterarrival(mRandom)) {
        Begin();
      }
      TakeDecisions();
    }
    std::sort(mWaits.begin(), mWaits.end());
  }

  void Report(benchmark::State& aState) const
  {
    const ExecutionCounters& counters = mOwner.mExecutions.Counters();
    const auto commits = static_cast<double>(counters.mCommits);
    const std::chrono::duration<double> time = kLoadTime;
    aState.counters["writes/s"] = commits / time.count();
    aState.counters["writes/claim"] =
      commits / static_cast<double>(counters.mClaims);
    aState.counters["wait_p50_ms"] = mWaits[mWaits.size() / 2];
    aState.counters["wait_p99_ms"] = mWaits[mWaits.size() * 99 / 100];
    aState.counters["refused_%"] = 100.0 * static_cast<double>(mRefused) /
                                   static_cast<double>(mWaits.size());
  }

private:
  static constexpr std::chrono::seconds kLoadTime{ 60 };

  void Begin()
  {
    ExecutionRequest request = MakeRequest(++mNumber, mOwner.mNow);
    request.mIdempotencyKey = "order-" + std::to_string(mNumber);
    mStartTimes[request.mRequest] = mOwner.mNow;
    mOwner.Begin(request);
  }

  void TakeDecisions()
  {
    for (const auto& decision : mOwner.mExecutions.TakeDecisions()) {
      const std::chrono::duration<double, std::milli> wait =
        mOwner.mNow - mStartTimes.at(decision.mRequest);
      mWaits.push_back(wait.count());
      mRefused += decision.mRun ? 0 : 1;
      EffectList out;
      mOwner.mExecutions.OnOutcomeUnknown(decision.mRequest, mOwner.mNow, out);
    }
    // Drop the decisions that follow from the unknown outcomes.
    mOwner.mExecutions.TakeDecisions();
  }

  Owner mOwner;
  std::mt19937_64 mRandom{ kSeed };
  std::exponential_distribution<double> mInterarrival;
  std::unordered_map<RequestId, TimePoint> mStartTimes;
  std::vector<double> mWaits;
  std::size_t mRefused = 0;
  std::uint64_t mNumber = 0;
};

/// Arguments: claims per second, and whether each claim is committed as a
/// record of its own (the baseline).
void GroupCommit(benchmark::State& aState)
{
  const bool isBaseline = aState.range(1) == 1;
  for (auto _ : aState) {
    CommitLoad load(static_cast<double>(aState.range(0)),
                    isBaseline ? 1 : kMaxBatchClaims);
    load.Run();
    load.Report(aState);
  }
}

/// Heap bytes per claim. Argument: number of claims.
void ClaimMemory(benchmark::State& aState)
{
  const auto count = static_cast<std::uint64_t>(aState.range(0));
  for (auto _ : aState) {
    Owner owner;
    const std::size_t before = AllocatedBytes();
    for (std::uint64_t n = 1; n <= count; ++n) {
      ExecutionRequest request = MakeRequest(n, owner.mNow);
      request.mIdempotencyKey = "order-" + std::to_string(n);
      owner.Begin(request);
      if (n % 1'000 == 0) {
        owner.Step(100ms);
        for (const auto& decision : owner.mExecutions.TakeDecisions()) {
          EffectList out;
          owner.mExecutions.OnOutcomeUnknown(
            decision.mRequest, owner.mNow, out);
        }
        owner.mExecutions.TakeDecisions();
      }
    }
    owner.Step(11s);
    aState.counters["bytes/claim"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(owner.mExecutions.RecordCount());
  }
}

/// Heap bytes per stored answer. Argument: size of an answer's body in bytes.
void AnswerMemory(benchmark::State& aState)
{
  constexpr int kAnswers = 100'000;
  const auto bodyBytes = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    AnswerStore store(std::size_t{ 1 } << 32);
    const std::size_t before = AllocatedBytes();
    for (std::uint64_t n = 0; n < kAnswers; ++n) {
      const ExecutionId id{ DigestContent(std::to_string(n)) };
      store.Put(n % 64, id, MakeAnswer(bodyBytes), TimePoint{ 1s });
    }
    aState.counters["bytes/answer"] =
      static_cast<double>(AllocatedBytes() - before) / kAnswers;
    aState.counters["counted"] = static_cast<double>(store.Bytes()) / kAnswers;
  }
}

/// Store calls of a whole fleet without load. Argument: number of VMs.
void FleetStoreCalls(benchmark::State& aState)
{
  const auto count = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    execution_testing::Fleet fleet(count);
    fleet.Run(30s);
    const auto total = [&fleet] {
      std::size_t calls = 0;
      for (const auto& [vm, node] : fleet.mNodes) {
        calls += node.mStoreCalls;
      }
      return static_cast<double>(calls);
    };
    double before = total();
    fleet.Run(60s);
    aState.counters["calls/s"] = (total() - before) / 60;
    std::size_t watches = 0;
    for (const auto& [vm, node] : fleet.mNodes) {
      watches += node.mIsWatching ? 1 : 0;
    }
    aState.counters["watches"] = static_cast<double>(watches);
    // Highest number of calls in one second while the slots of a failed owner
    // are taken over.
    fleet.Kill(*fleet.OwnerOf(0u));
    double most = 0;
    for (int n = 0; n < 10; ++n) {
      before = total();
      fleet.Run(1s);
      most = std::max(most, total() - before);
    }
    aState.counters["takeover_max/s"] = most;
  }
}

BENCHMARK(Claims)->Unit(benchmark::kMicrosecond);
BENCHMARK(Tickets)->Unit(benchmark::kMicrosecond);
BENCHMARK(GroupCommit)
  ->ArgNames({ "rate", "baseline" })
  ->ArgsProduct({ { 2, 8, 20, 100, 1'000, 5'000 }, { 0, 1 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(ClaimMemory)
  ->Arg(250'000)
  ->Arg(800'000)
  ->Arg(1'000'000)
  ->Arg(1'600'000)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(AnswerMemory)->Arg(200)->Arg(4'000)->Iterations(1);
BENCHMARK(FleetStoreCalls)
  ->Arg(11)
  ->Arg(115)
  ->Arg(460)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
