// Measures build time, memory and lookup time of the client block table, and
// the time of a steering decision, at the sizes that the design states
// (design 1.6, 3.10).
#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <random>
#include <string>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/steering.h"

namespace {

using namespace cranberrywing;

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kSites = 110;
constexpr std::int64_t kSmallBlocks = 300'000;
constexpr std::int64_t kMediumBlocks = 600'000;
constexpr std::int64_t kLargeBlocks = 1'200'000;
constexpr std::int64_t kCurrentVms = 11;
constexpr std::int64_t kDesignVms = 460;
/// About 700 KB encoded, below the store's limit of one megabyte for a value.
constexpr std::size_t kBlocksPerShard = 100'000;
/// Large, so that the CPU's branch predictor cannot learn the searches. A power
/// of two, so that the index wraps with a mask.
constexpr std::size_t kAddresses = 1 << 16;

std::string SiteName(std::size_t aNumber)
{
  return "site-" + std::to_string(aNumber);
}

/// Ascending blocks with prefixes of 24 to 28 bits and gaps between them,
/// assigned to random sites.
std::vector<ClientBlockShard> MakeShards(std::size_t aBlocks)
{
  std::mt19937_64 random(kSeed);
  std::uniform_int_distribution<std::uint16_t> site(0, kSites - 1);
  std::uniform_int_distribution<int> prefix(24, 28);
  std::vector<ClientBlockShard> shards;
  for (std::size_t n = 0; n < aBlocks; ++n) {
    if (n % kBlocksPerShard == 0) {
      shards.emplace_back();
      for (std::size_t s = 0; s < kSites; ++s) {
        shards.back().mSites.emplace_back(SiteName(s));
      }
    }
    const auto first = static_cast<std::uint32_t>((n + 1) << 8);
    shards.back().mBlocks.push_back(
      { .mFirstAddress = first,
        .mPrefixLength = static_cast<std::uint8_t>(prefix(random)),
        .mSite = site(random) });
  }
  return shards;
}

/// Table of the given size, built once and then shared by the benchmarks.
std::shared_ptr<const ClientBlockTable> SharedTable(std::int64_t aBlocks)
{
  static std::map<std::int64_t, std::shared_ptr<const ClientBlockTable>>
    sTables;
  auto& table = sTables[aBlocks];
  if (!table) {
    const auto shards = MakeShards(static_cast<std::size_t>(aBlocks));
    table = std::make_shared<ClientBlockTable>(
      ClientBlockTable::Build(shards).value());
  }
  return table;
}

/// Addresses near the start of random blocks; most of them lie in a block.
std::vector<std::uint32_t> MakeAddresses(std::int64_t aBlocks)
{
  std::mt19937_64 random(kSeed + 1);
  std::uniform_int_distribution<std::uint32_t> block(
    1, static_cast<std::uint32_t>(aBlocks));
  std::uniform_int_distribution<std::uint32_t> offset(0, 31);
  std::vector<std::uint32_t> addresses;
  for (std::size_t n = 0; n < kAddresses; ++n) {
    addresses.push_back((block(random) << 8) + offset(random));
  }
  return addresses;
}

void BuildTable(benchmark::State& aState)
{
  const auto shards = MakeShards(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    auto table = ClientBlockTable::Build(shards);
    benchmark::DoNotOptimize(table);
  }
  const auto table = SharedTable(aState.range(0));
  aState.counters["bytes"] = static_cast<double>(table->MemoryBytes());
  aState.counters["bytes/block"] = static_cast<double>(table->MemoryBytes()) /
                                   static_cast<double>(table->BlockCount());
}

void FindSite(benchmark::State& aState)
{
  const auto table = SharedTable(aState.range(0));
  const auto addresses = MakeAddresses(aState.range(0));
  std::size_t n = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table->Find(addresses[n++ % kAddresses]));
  }
}

/// VMs in 3 regions on one site each for the current fleet's size; in 5 regions
/// on all sites for the design's size.
std::vector<SteeringTarget> MakeTargets(std::int64_t aVms)
{
  const std::size_t regions = aVms == kCurrentVms ? 3 : 5;
  std::vector<SteeringTarget> targets;
  for (std::size_t n = 0; n < static_cast<std::size_t>(aVms); ++n) {
    const std::size_t site = n % kSites;
    targets.push_back(
      { .mVm = VmId("vm-" + std::to_string(n)),
        .mRegion = RegionId("region-" + std::to_string(site % regions)),
        .mSite = SiteId(SiteName(site)),
        .mAddress = "10.0.0.1",
        .mPort = 7001 });
  }
  return targets;
}

SettingsSnapshotPtr MakeSettings()
{
  auto settings = std::make_shared<SettingsSnapshot>();
  const AccountId account("kumasi-shops");
  settings->mAccounts[account].mAccount = account;
  return settings;
}

/// Arguments: blocks, VMs, and whether the account is known. For a known
/// account its subset of the region's VMs is ranked instead of the site's VMs.
void SteeringLookup(benchmark::State& aState)
{
  Steering steering(
    { .mRegion = RegionId("region-0") },
    { .mTargets = [&] { return MakeTargets(aState.range(1)); },
      .mExecutionOwner =
        [](const AccountId&, const RouteId&, const std::string&) {
          return std::optional<VmId>();
        } });
  steering.Apply(MakeSettings());
  steering.SetClientBlocks(SharedTable(aState.range(0)));
  const auto addresses = MakeAddresses(aState.range(0));
  event::LookupArrived lookup;
  lookup.mAccount = AccountId(aState.range(2) == 1 ? "kumasi-shops" : "other");
  lookup.mRoute = RouteId("lookup-price");
  std::size_t n = 0;
  for (auto _ : aState) {
    lookup.mClientAddress = addresses[n++ % kAddresses];
    benchmark::DoNotOptimize(steering.Lookup(lookup, TimePoint{}));
  }
}

BENCHMARK(BuildTable)
  ->ArgName("blocks")
  ->Arg(kSmallBlocks)
  ->Arg(kMediumBlocks)
  ->Arg(kLargeBlocks)
  ->Unit(benchmark::kMillisecond);
BENCHMARK(FindSite)
  ->ArgName("blocks")
  ->Arg(kSmallBlocks)
  ->Arg(kMediumBlocks)
  ->Arg(kLargeBlocks);
BENCHMARK(SteeringLookup)
  ->ArgNames({ "blocks", "vms", "subset" })
  ->ArgsProduct({ { kSmallBlocks, kMediumBlocks, kLargeBlocks },
                  { kCurrentVms, kDesignVms },
                  { 0, 1 } });

} // namespace

BENCHMARK_MAIN();
