// Measures the cost of a configuration change at the largest size that the
// design allows (design 1.6), and of the settings lookups that each request
// makes.

#include <benchmark/benchmark.h>
#include <string>

#include "cranberrywing/keys.h"
#include "cranberrywing/settings.h"
#include "libcranberrywing/configuration_delta.h"

namespace {

using namespace cranberrywing;

constexpr int kRegions = 5;
constexpr int kFailureDomains = 19;
constexpr int kVms = 460;
constexpr int kServices = 4;
constexpr int kBackends = 250;
constexpr int kAccounts = 40;
constexpr std::string_view kPepper = "pepper-for-benchmarks";

std::string ToString(int aNumber)
{
  return std::to_string(aNumber);
}

std::string Location(int aNumber)
{
  const int domain = aNumber % kFailureDomains;
  return "region: r" + ToString(domain % kRegions) + ", failure_domain: d" +
         ToString(domain);
}

std::string KeyOf(int aAccount)
{
  return "key-" + ToString(aAccount);
}

void AddRegions(std::string& aText)
{
  aText += "regions:\n";
  for (int region = 0; region < kRegions; ++region) {
    aText += "  r" + ToString(region) + ": {failure_domains: [";
    for (int d = region; d < kFailureDomains; d += kRegions) {
      aText += (d == region ? "d" : ", d") + ToString(d);
    }
    aText += "]}\n";
  }
}

void AddAccounts(std::string& aText)
{
  aText += "accounts:\n";
  for (int n = 0; n < kAccounts; ++n) {
    aText += "  a" + ToString(n) +
             ": {rate: 100, burst: 100, keys: [{name: k, " +
             "digest: " + DigestKey(KeyOf(n), kPepper).mHex + "}]}\n";
  }
}

void AddServices(std::string& aText)
{
  aText += "services:\n";
  for (int s = 0; s < kServices; ++s) {
    const std::string name = "s" + ToString(s);
    aText += "  " + name + ":\n    routes: {" + name + "-get: {path: /" + name +
             ", idempotent: true}}\n    backends:\n";
    for (int n = 0; n < kBackends; ++n) {
      aText += "      " + name + "-" + ToString(n) + ": {" + Location(n) +
               ", address: 10." + ToString(s) + ".0." + ToString(n) +
               ", port: 9000, connections: 400, capacity: 100}\n";
    }
  }
}

void AddVms(std::string& aText)
{
  aText += "vms:\n";
  for (int n = 0; n < kVms; ++n) {
    aText += "  vm-" + ToString(n) + ": {" + Location(n) + ", site: site-" +
             ToString(n % 110) + ", address: 10.9." + ToString(n / 250) + "." +
             ToString(n % 250) +
             ", caller_port: 80, peer_port: 81, admin_port: 82}\n";
  }
}

/// Settings document of the largest size, with some overrides.
std::string MakeDocument()
{
  std::string text = "format: 1\nfleet: {key_pepper: ";
  text += kPepper;
  text += "}\n";
  AddRegions(text);
  AddAccounts(text);
  AddServices(text);
  AddVms(text);
  return text + "root:\n  timeout: 5s\n  regions: {r1: {timeout: 4s, accounts: "
                "{a1: {timeout: 3s}}}}\n";
}

void ParseDocument(benchmark::State& aState)
{
  const std::string text = MakeDocument();
  for (auto _ : aState) {
    const auto settings = ParseSettings(text, Revision{ 1 });
    if (!settings) {
      aState.SkipWithError(settings.error().mMessage.c_str());
      return;
    }
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseDocument)->Unit(benchmark::kMillisecond);

void MakeDelta(benchmark::State& aState)
{
  const std::string before = MakeDocument();
  std::string after = before;
  after.replace(after.find("burst: 100"), 10, "burst: 200");
  after.replace(after.rfind("timeout: 5s"), 11, "timeout: 6s");
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = detail::EstimatedSize(detail::MakeLineEdits(before, after));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(MakeDelta)->Unit(benchmark::kMillisecond);

void EditOneSetting(benchmark::State& aState)
{
  const std::string text = MakeDocument();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EditSetting(text, "accounts/a7/rate", "5"));
  }
}
BENCHMARK(EditOneSetting)->Unit(benchmark::kMillisecond);

void ResolveRoute(benchmark::State& aState)
{
  const auto settings = *ParseSettings(MakeDocument(), Revision{ 1 });
  const RegionId region("r1");
  const AccountId account("a2");
  for (auto _ : aState) {
    const RouteSettings* route = settings->FindRoute("GET", "/s2/item?x=1");
    benchmark::DoNotOptimize(settings->Resolve(*route, region, account));
  }
}
BENCHMARK(ResolveRoute);

void IdentifyKey(benchmark::State& aState)
{
  KeyTable keys;
  keys.Apply(**ParseSettings(MakeDocument(), Revision{ 1 }));
  const std::string key = KeyOf(17);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(keys.Identify(key));
  }
}
BENCHMARK(IdentifyKey);

} // namespace

BENCHMARK_MAIN();
