// Refusals of requests within rate: 11 VMs, arrivals skewed over the VMs by
// Zipf's law with a new order every few seconds, at 0.9 of the rate. Compares
// transfers with static division, with fractions that adapt alone and with
// one bucket for the whole fleet, which is the best that any division can do.
//
// Usage: rates_bench [seconds per run]
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "testing/rate_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;

namespace {

constexpr std::size_t kVms = 11;
constexpr std::uint64_t kSeeds = 5;
constexpr double kLoad = 0.9;
constexpr double kZipfExponent = 1;
constexpr Duration kOrderPeriod = std::chrono::seconds(5);
/// Buckets start empty, so the first seconds are not counted.
constexpr Duration kWarmUp = std::chrono::seconds(10);

enum class Mode
{
  OneBucket,
  Static,
  Adaptive,
  StaticTransfers,
  Transfers,
};

constexpr Mode kModes[] = {
  Mode::OneBucket,       Mode::Static,    Mode::Adaptive,
  Mode::StaticTransfers, Mode::Transfers,
};

const char* ToString(Mode aMode)
{
  switch (aMode) {
    case Mode::OneBucket:
      return "one bucket";
    case Mode::Static:
      return "static division";
    case Mode::Adaptive:
      return "adaptive fractions alone";
    case Mode::StaticTransfers:
      return "static + transfers";
    case Mode::Transfers:
      return "adaptive + transfers";
  }
  return "";
}

struct Account
{
  double mRate;
  double mBurst;
};

struct Outcome
{
  std::uint64_t mArrivals = 0;
  std::uint64_t mRefusals = 0;
  std::uint64_t mMessages = 0;
  std::vector<Duration> mWaits{};
  double mExcess = -1e9;
  double mSeconds = 0;
  double mProcessorSeconds = 0;

  void Add(const Outcome& aOther)
  {
    mArrivals += aOther.mArrivals;
    mRefusals += aOther.mRefusals;
    mMessages += aOther.mMessages;
    mWaits.insert(mWaits.end(), aOther.mWaits.begin(), aOther.mWaits.end());
    mExcess = std::max(mExcess, aOther.mExcess);
    mSeconds += aOther.mSeconds;
    mProcessorSeconds += aOther.mProcessorSeconds;
  }

  double RefusedPercent() const
  {
    return 100.0 * static_cast<double>(mRefusals) /
           static_cast<double>(mArrivals);
  }
};

RateFleet::Options FleetOptions(Mode aMode,
                                Account aAccount,
                                std::uint64_t aSeed)
{
  RateFleet::Options options;
  options.mSize = aMode == Mode::OneBucket ? 1 : kVms;
  options.mSeed = aSeed;
  options.mRate = aAccount.mRate;
  options.mBurst = aAccount.mBurst;
  options.mTransfers =
    aMode == Mode::Transfers || aMode == Mode::StaticTransfers;
  options.mStaticFractions =
    aMode == Mode::Static || aMode == Mode::StaticTransfers;
  return options;
}

/// Poisson arrivals until the duration has passed.
void Offer(RateFleet& aFleet,
           std::mt19937_64& aRandom,
           double aRate,
           Duration aDuration)
{
  std::exponential_distribution<double> gap(aRate);
  std::vector<double> weights;
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    weights.push_back(1 / std::pow(static_cast<double>(i + 1), kZipfExponent));
    order.push_back(i);
  }
  std::discrete_distribution<std::size_t> rank(weights.begin(), weights.end());
  const TimePoint end = aFleet.Queue().Now() + aDuration;
  TimePoint nextOrder{};
  while (aFleet.Queue().Now() < end) {
    if (aFleet.Queue().Now() >= nextOrder) {
      std::shuffle(order.begin(), order.end(), aRandom);
      nextOrder = aFleet.Queue().Now() + kOrderPeriod;
    }
    aFleet.RunFor(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(aRandom))));
    aFleet.Arrive(order[rank(aRandom)]);
  }
}

Outcome Run(Mode aMode, Account aAccount, std::uint64_t aSeed, Duration aTime)
{
  RateFleet fleet(FleetOptions(aMode, aAccount, aSeed));
  std::mt19937_64 random(aSeed);
  Offer(fleet, random, kLoad * aAccount.mRate, kWarmUp);
  const std::uint64_t arrivals = fleet.Arrivals();
  const std::uint64_t refusals = fleet.Refusals();
  const std::uint64_t messages = fleet.Messages();
  const auto waits = static_cast<std::ptrdiff_t>(fleet.Waits().size());
  const auto start = std::chrono::steady_clock::now();
  Offer(fleet, random, kLoad * aAccount.mRate, aTime);
  const std::chrono::duration<double> used =
    std::chrono::steady_clock::now() - start;
  return { .mArrivals = fleet.Arrivals() - arrivals,
           .mRefusals = fleet.Refusals() - refusals,
           .mMessages = fleet.Messages() - messages,
           .mWaits = { fleet.Waits().begin() + waits, fleet.Waits().end() },
           .mExcess = GreatestExcess(
             fleet.Admissions(), aAccount.mRate, aAccount.mBurst),
           .mSeconds = std::chrono::duration<double>(aTime).count(),
           .mProcessorSeconds = used.count() };
}

double QuantileMs(std::vector<Duration> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto index = static_cast<std::size_t>(aQuantile * last);
  return std::chrono::duration<double, std::milli>(aValues[index]).count();
}

void Report(Mode aMode, Account aAccount, Duration aTime)
{
  Outcome total;
  std::string bySeed;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Run(aMode, aAccount, seed, aTime);
    total.Add(outcome);
    char text[32];
    std::snprintf(text, sizeof text, " %.3f", outcome.RefusedPercent());
    bySeed += text;
  }
  std::printf("%-25s %6.0f %6.0f %9.4f %8.2f %8.1f %9.1f %7.1f %8.1f  %s\n",
              ToString(aMode),
              aAccount.mRate,
              aAccount.mBurst,
              total.RefusedPercent(),
              100.0 * static_cast<double>(total.mWaits.size()) /
                static_cast<double>(total.mArrivals),
              QuantileMs(total.mWaits, 0.99),
              static_cast<double>(total.mMessages) / total.mSeconds / kVms,
              1e6 * total.mProcessorSeconds / total.mSeconds / kVms,
              total.mExcess,
              bySeed.c_str());
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const int seconds = aArgumentCount > 1 ? std::atoi(aArguments[1]) : 120;
  std::printf("%zu VMs, load %.1f of the rate, Zipf %.1f in a new order every "
              "%lld s, seeds 1-%llu, %d s each\n",
              kVms,
              kLoad,
              kZipfExponent,
              static_cast<long long>(kOrderPeriod / std::chrono::seconds(1)),
              static_cast<unsigned long long>(kSeeds),
              seconds);
  std::printf("%-25s %6s %6s %9s %8s %8s %9s %7s %8s  %s\n",
              "mode",
              "rate",
              "burst",
              "refused%",
              "waited%",
              "p99 ms",
              "msg/s/VM",
              "us/s/VM",
              "excess",
              "refused% by seed");
  constexpr Account kAccounts[] = {
    { 200, 100 }, { 1000, 500 }, { 200, 20 }, { 20, 10 }, { 50, 5 },
  };
  for (const Account account : kAccounts) {
    for (const Mode mode : kModes) {
      Report(mode, account, std::chrono::seconds(seconds));
    }
  }
  return 0;
}
