// Measures how many requests within an account's rate are refused because the
// rate is divided among VMs. 11 VMs receive 0.9 of the rate, distributed by
// Zipf's law with a new order of the VMs every few seconds. Compares token
// transfers with a static division, with adaptive fractions alone and with one
// bucket for the whole fleet, which is the optimum for any division.
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
constexpr double kLoadFactor = 0.9;
constexpr double kZipfExponent = 1;

/// How the account's rate is divided among the VMs.
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

/// Parameters of an account and of the network.
struct AccountScenario
{
  double mRate = 0;
  double mBurst = 0;
  /// Number of VMs that hold a fraction if transfers are enabled; the others
  /// borrow tokens.
  std::size_t mHolders = kVms;
  /// Interval at which the order of the VMs by load is shuffled.
  Duration mReorderInterval = std::chrono::seconds(5);
  /// Maximum one-way delay between two VMs; the delays are distributed
  /// uniformly from 0.25 ms on.
  Duration mMaxDelay = std::chrono::milliseconds(10);
  /// Fraction of messages lost.
  double mLossProbability = 0;
  /// Not measured, since buckets start empty.
  Duration mWarmUp = std::chrono::seconds(10);
};

/// Measurements of one run or of several.
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
                                const AccountScenario& aAccount,
                                std::uint64_t aSeed)
{
  RateFleet::Options options;
  options.mSize = aMode == Mode::OneBucket ? 1 : kVms;
  options.mSeed = aSeed;
  options.mRate = aAccount.mRate;
  options.mBurst = aAccount.mBurst;
  options.mMaxDelay = aAccount.mMaxDelay;
  options.mLossProbability = aAccount.mLossProbability;
  options.mTransfersEnabled =
    aMode == Mode::Transfers || aMode == Mode::StaticTransfers;
  if (options.mTransfersEnabled) {
    options.mHolders = aAccount.mHolders;
  }
  options.mStaticFractions =
    aMode == Mode::Static || aMode == Mode::StaticTransfers;
  return options;
}

/// Poisson arrivals at a fixed rate, distributed over the VMs by Zipf's law.
class Arrivals
{
public:
  Arrivals(RateFleet& aFleet,
           std::uint64_t aSeed,
           double aRate,
           Duration aReorderInterval)
    : mFleet(aFleet)
    , mRandom(aSeed)
    , mInterarrival(aRate)
    , mReorderInterval(aReorderInterval)
  {
    std::vector<double> weights;
    for (std::size_t i = 0; i < kVms; ++i) {
      const auto rank = static_cast<double>(i + 1);
      weights.push_back(1 / std::pow(rank, kZipfExponent));
      mVmOrder.push_back(i);
    }
    mRankDistribution = { weights.begin(), weights.end() };
  }

  /// Generates arrivals for the given time.
  void GenerateArrivals(Duration aDuration)
  {
    const TimePoint end = mFleet.Queue().Now() + aDuration;
    while (mFleet.Queue().Now() < end) {
      if (mFleet.Queue().Now() >= mNextReorder) {
        std::shuffle(mVmOrder.begin(), mVmOrder.end(), mRandom);
        mNextReorder = mFleet.Queue().Now() + mReorderInterval;
      }
      mFleet.RunFor(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(mInterarrival(mRandom))));
      mFleet.Arrive(mVmOrder[mRankDistribution(mRandom)] % mFleet.Size());
    }
  }

private:
  RateFleet& mFleet;
  std::mt19937_64 mRandom;
  std::exponential_distribution<double> mInterarrival;
  std::discrete_distribution<std::size_t> mRankDistribution;
  std::vector<std::size_t> mVmOrder;
  Duration mReorderInterval;
  TimePoint mNextReorder{};
};

Outcome Run(Mode aMode,
            const AccountScenario& aAccount,
            std::uint64_t aSeed,
            Duration aRunDuration)
{
  RateFleet fleet(FleetOptions(aMode, aAccount, aSeed));
  Arrivals arrivals(
    fleet, aSeed, kLoadFactor * aAccount.mRate, aAccount.mReorderInterval);
  arrivals.GenerateArrivals(aAccount.mWarmUp);
  const std::uint64_t arrived = fleet.Log().Arrivals();
  const std::uint64_t refusals = fleet.Log().Refusals();
  const std::uint64_t messages = fleet.Messages();
  const auto waits = static_cast<std::ptrdiff_t>(fleet.Log().Waits().size());
  const auto start = std::chrono::steady_clock::now();
  arrivals.GenerateArrivals(aRunDuration);
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - start;
  return { .mArrivals = fleet.Log().Arrivals() - arrived,
           .mRefusals = fleet.Log().Refusals() - refusals,
           .mMessages = fleet.Messages() - messages,
           .mWaits = { fleet.Log().Waits().begin() + waits,
                       fleet.Log().Waits().end() },
           .mExcess = MaxExcess(
             fleet.Log().Admissions(), aAccount.mRate, aAccount.mBurst),
           .mSeconds = std::chrono::duration<double>(aRunDuration).count(),
           .mProcessorSeconds = elapsed.count() };
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

void Report(Mode aMode, const AccountScenario& aAccount, Duration aRunDuration)
{
  Outcome total;
  std::string bySeed;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Run(aMode, aAccount, seed, aRunDuration);
    total.Add(outcome);
    char text[32];
    std::snprintf(text, sizeof text, " %.3f", outcome.RefusedPercent());
    bySeed += text;
  }
  const auto arrivals = static_cast<double>(total.mArrivals);
  std::printf(
    "%-25s %6.0f %6.0f %7zu %9.4f %8.2f %8.1f %9.1f %7.1f %8.2f  %s\n",
    ToString(aMode),
    aAccount.mRate,
    aAccount.mBurst,
    aAccount.mHolders,
    total.RefusedPercent(),
    100.0 * static_cast<double>(total.mWaits.size()) / arrivals,
    QuantileMs(total.mWaits, 0.99),
    static_cast<double>(total.mMessages) / total.mSeconds / kVms,
    1e6 * total.mProcessorSeconds / total.mSeconds / kVms,
    total.mExcess,
    bySeed.c_str());
}

void PrintHeader(const char* aTitle)
{
  std::printf("\n%s\n", aTitle);
  std::printf("%-25s %6s %6s %7s %9s %8s %8s %9s %7s %8s  %s\n",
              "mode",
              "rate",
              "burst",
              "holders",
              "refused%",
              "waited%",
              "p99 ms",
              "msg/s/VM",
              "us/s/VM",
              "excess",
              "refused% by seed");
}

/// Prints the store calls for one account of which every VM holds a fraction:
/// after all VMs start at once, and in steady state.
void ReportStoreCalls(std::size_t aSize)
{
  RateFleet::Options options;
  options.mSize = aSize;
  RateFleet fleet(options);
  int seconds = 0;
  std::uint64_t maxWrites = 0;
  std::uint64_t maxReads = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  while (fleet.TotalUsedFraction() < kWholeShare / 100 * 99 && seconds < 600) {
    fleet.RunFor(std::chrono::seconds(1));
    maxReads = std::max(maxReads, fleet.Store().Reads() - reads);
    maxWrites = std::max(maxWrites, fleet.Store().Writes() - writes);
    reads = fleet.Store().Reads();
    writes = fleet.Store().Writes();
    ++seconds;
  }
  fleet.RunFor(std::chrono::seconds(60));
  reads = fleet.Store().Reads();
  writes = fleet.Store().Writes();
  constexpr int kSteadySeconds = 120;
  fleet.RunFor(std::chrono::seconds(kSteadySeconds));
  std::printf(
    "%6zu %10d %10llu %10llu %10.2f %10.3f\n",
    aSize,
    seconds,
    static_cast<unsigned long long>(maxReads),
    static_cast<unsigned long long>(maxWrites),
    static_cast<double>(fleet.Store().Reads() - reads) / kSteadySeconds,
    static_cast<double>(fleet.Store().Writes() - writes) / kSteadySeconds);
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const std::chrono::seconds time(aArgumentCount > 1 ? std::atoi(aArguments[1])
                                                     : 120);
  std::printf("%zu VMs, load %.1f of the rate, Zipf exponent %.0f, seeds 1-%d, "
              "%d s each\n",
              kVms,
              kLoadFactor,
              kZipfExponent,
              static_cast<int>(kSeeds),
              static_cast<int>(time.count()));

  PrintHeader("A new order of the VMs every 5 s");
  for (const Mode mode : kModes) {
    Report(mode, { .mRate = 200, .mBurst = 100 }, time);
  }
  PrintHeader("Namibia: up to 17.5 ms one way; 1% of messages lost");
  constexpr std::size_t kHolders[] = { 11, 4 };
  for (const std::size_t holders : kHolders) {
    Report(Mode::Transfers,
           { .mRate = 200,
             .mBurst = 100,
             .mHolders = holders,
             .mMaxDelay = std::chrono::microseconds(17'500),
             .mLossProbability = 0.01 },
           time);
  }
  PrintHeader("Accounts of other sizes, and fewer VMs with a fraction");
  constexpr AccountScenario kAccounts[] = {
    { .mRate = 200, .mBurst = 100, .mHolders = 4 },
    { .mRate = 200, .mBurst = 100, .mHolders = 2 },
    { .mRate = 1000, .mBurst = 500, .mHolders = 11 },
    { .mRate = 200, .mBurst = 20, .mHolders = 11 },
    { .mRate = 200, .mBurst = 20, .mHolders = 1 },
    { .mRate = 20, .mBurst = 10, .mHolders = 11 },
    { .mRate = 20, .mBurst = 10, .mHolders = 1 },
    { .mRate = 50, .mBurst = 5, .mHolders = 11 },
    { .mRate = 50, .mBurst = 5, .mHolders = 1 },
  };
  for (const AccountScenario& account : kAccounts) {
    Report(Mode::OneBucket, account, time);
    Report(Mode::Static, account, time);
    Report(Mode::Transfers, account, time);
  }
  PrintHeader("An order that stays, counted after 10 minutes");
  for (const Mode mode : kModes) {
    Report(mode,
           { .mRate = 200,
             .mBurst = 100,
             .mReorderInterval = std::chrono::hours(24),
             .mWarmUp = std::chrono::minutes(10) },
           time);
  }
  std::printf("\nStore calls of one account that every VM holds: seconds until "
              "99%% is held, most in a second until then, and per second "
              "later; seed 1\n%6s %10s %10s %10s %10s %10s\n",
              "VMs",
              "seconds",
              "reads",
              "writes",
              "reads/s",
              "writes/s");
  constexpr std::size_t kSizes[] = { 11, 50, 115, 230, 460 };
  for (const std::size_t size : kSizes) {
    ReportStoreCalls(size);
  }
  return 0;
}
