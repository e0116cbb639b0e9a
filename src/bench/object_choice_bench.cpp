// Compares server selection by object with two random choices, on the same
// arrivals at servers that cache objects. Simulated time and fixed seeds; the
// counters are fractions of the arrivals.
#include <benchmark/benchmark.h>

#include "testing/object_memory_model.h"

namespace {

using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;

void Report(benchmark::State& aState, const ObjectMemoryResult& aResult)
{
  aState.counters["in_target"] = aResult.WithinTarget();
  aState.counters["refused"] = aResult.Refused();
  aState.counters["misses"] = aResult.Misses();
}

ObjectMemoryLoad MakeLoad(const benchmark::State& aState)
{
  return { .mLoad = static_cast<double>(aState.range(0)) / 100 };
}

/// Argument: load in percent of the capacity.
void TwoRandomChoices(benchmark::State& aState)
{
  for (auto _ : aState) {
    Report(
      aState,
      ObjectMemoryModel(MakeLoad(aState), ChooseLeastLoadedOfTwo(1)).Run());
  }
}

/// Arguments: load in percent of the capacity, and the cost of a cache miss in
/// tenths of the request's work.
void ByObject(benchmark::State& aState)
{
  const ObjectSelector::Options options{
    .mMissCost = static_cast<double>(aState.range(1)) / 10
  };
  for (auto _ : aState) {
    Report(aState,
           ObjectMemoryModel(MakeLoad(aState), ChooseByObject(options)).Run());
  }
}

BENCHMARK(TwoRandomChoices)->Arg(30)->Arg(60)->Arg(80)->Arg(100)->Arg(130);
BENCHMARK(ByObject)->ArgsProduct({ { 30, 60, 80, 100, 130 }, { 0, 5, 30 } });

} // namespace

BENCHMARK_MAIN();
