// Measures membership at several fleet sizes, with all members in this process
// on an in-memory network in virtual time: messages and bytes sent, CPU time,
// memory, the time until all members know of a crash and of a new configuration
// version, false suspicions under message loss, and the detection of isolation
// from the store.
//
// Usage: membership_bench [seeds]
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "testing/membership_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;

namespace {

/// Fleet sizes in VMs.
constexpr std::size_t kSizes[] = { 11, 50, 115, 230, 460 };
constexpr std::size_t kDomains = 19;
constexpr std::size_t kRegions = 5;
/// Time after which a fleet whose VMs all start at once is in steady state.
constexpr Duration kSettleTime = std::chrono::seconds(60);
/// Length of the measurement in steady state.
constexpr Duration kSteadyDuration = std::chrono::seconds(60);

/// Costs in steady state; rates are per second and daemon unless stated.
struct Costs
{
  double mMessages = 0;
  double mBytes = 0;
  double mMicroseconds = 0;
  double mBytesPerMember = 0;
  double mSuspicionsPerHour = 0;
  double mUnreachablePerHour = 0;
};

MembershipFleet::Options FleetOptions(std::size_t aSize, std::uint64_t aSeed)
{
  MembershipFleet::Options options;
  options.mSize = aSize;
  options.mRegions = aSize == 11 ? 3 : kRegions;
  options.mDomains = aSize == 11 ? 6 : kDomains;
  options.mSeed = aSeed;
  return options;
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::uint64_t Total(MembershipFleet& aFleet,
                    std::uint64_t MembershipFleet::Node::*aCounter)
{
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    total += aFleet.At(i).*aCounter;
  }
  return total;
}

/// Heap bytes that one member uses per member that it knows.
double MeasureMemory(std::size_t aSize)
{
  MembershipFleet fleet(FleetOptions(aSize, 1));
  const std::size_t empty = mallinfo2().uordblks;
  fleet.RunFor(kSettleTime);
  // The network's share is negligible: it holds a few messages.
  const std::size_t full = mallinfo2().uordblks;
  const auto n = static_cast<double>(aSize);
  return static_cast<double>(full - empty) / n / n;
}

Costs MeasureCosts(std::size_t aSize, double aLoss, bool aCountBytes)
{
  MembershipFleet::Options options = FleetOptions(aSize, 1);
  options.mLossProbability = aLoss;
  options.mCountBytes = aCountBytes;
  MembershipFleet fleet(options);
  fleet.RunFor(kSettleTime);
  const auto messages = Total(fleet, &MembershipFleet::Node::mMessages);
  const auto bytes = Total(fleet, &MembershipFleet::Node::mBytes);
  const auto suspicions = Total(fleet, &MembershipFleet::Node::mSuspicions);
  const auto unreachable = Total(fleet, &MembershipFleet::Node::mUnreachable);
  const auto start = std::chrono::steady_clock::now();
  fleet.RunFor(kSteadyDuration);
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  const double daemonSeconds =
    static_cast<double>(aSize) * Seconds(kSteadyDuration);
  const auto rate = [&](std::uint64_t aAfter, std::uint64_t aBefore) {
    return static_cast<double>(aAfter - aBefore) / daemonSeconds;
  };
  return {
    .mMessages =
      rate(Total(fleet, &MembershipFleet::Node::mMessages), messages),
    .mBytes = rate(Total(fleet, &MembershipFleet::Node::mBytes), bytes),
    .mMicroseconds = elapsed.count() / daemonSeconds,
    .mBytesPerMember = MeasureMemory(aSize),
    .mSuspicionsPerHour =
      3600 *
      rate(Total(fleet, &MembershipFleet::Node::mSuspicions), suspicions),
    .mUnreachablePerHour =
      3600 *
      rate(Total(fleet, &MembershipFleet::Node::mUnreachable), unreachable),
  };
}

/// Crashes a VM. Returns the time until every other member considers it
/// unusable.
Duration TimeToCrashKnown(MembershipFleet& aFleet, std::size_t aVm)
{
  const VmId vm = MembershipFleet::VmIdOf(aVm);
  const TimePoint start = aFleet.Now();
  aFleet.Crash(aVm);
  for (;;) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    bool isDetected = true;
    for (std::size_t i = 0; i < aFleet.Size() && isDetected; ++i) {
      isDetected = i == aVm || !aFleet.MembershipOf(i).IsUsable(vm);
    }
    if (isDetected) {
      return aFleet.Now() - start;
    }
  }
}

/// Restarts a VM. Returns the time until it knows all members.
Duration TimeToJoin(MembershipFleet& aFleet, std::size_t aVm)
{
  const TimePoint start = aFleet.Now();
  aFleet.Start(aVm);
  while (aFleet.MembershipOf(aVm).Members().size() + 1 < aFleet.Size()) {
    aFleet.RunFor(std::chrono::milliseconds(5));
  }
  return aFleet.Now() - start;
}

/// Publishes a configuration version at one member. Returns the time until each
/// member knows it.
std::vector<Duration> TimesToVersion(MembershipFleet& aFleet, std::size_t aVm)
{
  const TimePoint start = aFleet.Now();
  aFleet.Publish(aVm, aFleet.At(aVm).mVersion.mRevision.mNumber + 1);
  const auto targetRevision = aFleet.At(aVm).mVersion.mRevision.mNumber;
  for (;;) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    std::vector<Duration> times;
    for (std::size_t i = 0; i < aFleet.Size(); ++i) {
      if (aFleet.At(i).mVersion.mRevision.mNumber >= targetRevision) {
        times.push_back(aFleet.At(i).mVersionLearnedAt - start);
      }
    }
    if (times.size() == aFleet.Size()) {
      return times;
    }
  }
}

double Quantile(std::vector<Duration>& aTimes, double aQuantile)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto last = static_cast<double>(aTimes.size() - 1);
  return Seconds(aTimes[static_cast<std::size_t>(aQuantile * last + 0.5)]);
}

/// Prints join, crash detection and version propagation times of one size.
void ReportTimes(std::size_t aSize, std::uint64_t aSeeds, double aLoss)
{
  std::vector<Duration> joins;
  std::vector<Duration> crashes;
  std::vector<Duration> probed;
  std::vector<Duration> pushed;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    MembershipFleet::Options options = FleetOptions(aSize, seed);
    options.mLossProbability = aLoss;
    for (const bool isPushed : { false, true }) {
      options.mPushVersions = isPushed;
      MembershipFleet fleet(options);
      fleet.RunFor(kSettleTime / 2);
      std::vector<Duration>& times = isPushed ? pushed : probed;
      const std::vector<Duration> versionTimes =
        TimesToVersion(fleet, seed % aSize);
      times.insert(times.end(), versionTimes.begin(), versionTimes.end());
      if (isPushed) {
        joins.push_back(TimeToJoin(fleet, (seed * 3) % aSize));
        crashes.push_back(TimeToCrashKnown(fleet, (seed * 7) % aSize));
      }
    }
  }
  std::printf("%6zu %5.0f%% %9.3f %9.3f %9.2f %9.2f %9.2f %9.2f %9.3f %9.3f\n",
              aSize,
              100 * aLoss,
              Quantile(joins, 0.5),
              Quantile(joins, 0.99),
              Quantile(crashes, 0.5),
              Quantile(crashes, 0.99),
              Quantile(probed, 0.5),
              Quantile(probed, 0.99),
              Quantile(pushed, 0.5),
              Quantile(pushed, 0.99));
}

/// Age of the store contact above which a VM is not current.
constexpr Duration kIsolationLimit = std::chrono::seconds(5);

/// Samples of running VMs, and how many of them were not current.
struct CurrencySamples
{
  double mSamples = 0;
  double mNotCurrent = 0;

  double Percent() const { return 100 * mNotCurrent / mSamples; }
};

bool IsCurrent(MembershipFleet& aFleet, std::size_t aVm)
{
  return aFleet.MembershipOf(aVm).IsCurrent(kIsolationLimit, aFleet.Now());
}

/// Runs the fleet for aDuration, samples the running VMs of one network group
/// and appends the ages of their freshest store contact to aAges.
CurrencySamples Sample(MembershipFleet& aFleet,
                       Duration aDuration,
                       int aGroup,
                       std::vector<Duration>& aAges)
{
  CurrencySamples currency;
  const Duration step = std::chrono::milliseconds(200);
  for (Duration passed{}; passed < aDuration; passed += step) {
    aFleet.RunFor(step);
    for (std::size_t i = 0; i < aFleet.Size(); ++i) {
      const MembershipFleet::Node& node = aFleet.At(i);
      if (!node.mRunning || node.mGroup != aGroup) {
        continue;
      }
      currency.mSamples += 1;
      currency.mNotCurrent += IsCurrent(aFleet, i) ? 0 : 1;
      aAges.push_back(
        aFleet.MembershipOf(i).FreshestStoreContact(aFleet.Now()).value());
    }
  }
  return currency;
}

/// Cuts a region off from the network. Returns the time until each of its VMs
/// stops being current and so refuses requests.
std::vector<Duration> TimesToRefusal(MembershipFleet& aFleet)
{
  const RegionId region = aFleet.At(1).mSelf.mRegion;
  std::vector<std::size_t> isolated;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (aFleet.At(i).mSelf.mRegion == region) {
      aFleet.At(i).mGroup = 1;
      isolated.push_back(i);
    }
  }
  const TimePoint start = aFleet.Now();
  std::vector<Duration> times;
  while (!isolated.empty()) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    std::erase_if(isolated, [&](std::size_t aVm) {
      const bool refuses = !IsCurrent(aFleet, aVm);
      if (refuses) {
        times.push_back(aFleet.Now() - start);
      }
      return refuses;
    });
  }
  return times;
}

/// Prints how often VMs are not current in steady state, after a crash, in a
/// store outage and while another region is cut off.
void ReportIsolation(std::size_t aSize)
{
  MembershipFleet::Options options = FleetOptions(aSize, 1);
  options.mLossProbability = 0.02;
  std::vector<Duration> ages;
  std::vector<Duration> ignored;
  MembershipFleet fleet(options);
  fleet.RunFor(kSettleTime / 2);
  const CurrencySamples steady = Sample(fleet, kSettleTime / 2, 0, ages);
  fleet.Crash(3);
  const CurrencySamples crash = Sample(fleet, kSettleTime / 2, 0, ignored);
  std::vector<Duration> refusals = TimesToRefusal(fleet);
  const CurrencySamples others = Sample(fleet, kSettleTime / 2, 0, ignored);

  MembershipFleet outage(options);
  outage.RunFor(kSettleTime / 2);
  outage.SetStoreGroup(-1);
  const CurrencySamples down = Sample(outage, kSettleTime / 2, 0, ignored);
  outage.Crash(3);
  const CurrencySamples downCrash = Sample(outage, kSettleTime / 2, 0, ignored);
  std::printf("%6zu %8.2f %8.2f %9.4f %9.4f %9.4f %9.4f %9.4f %9.2f %9.2f\n",
              aSize,
              Quantile(ages, 0.5),
              Quantile(ages, 0.999),
              steady.Percent(),
              crash.Percent(),
              down.Percent(),
              downCrash.Percent(),
              others.Percent(),
              Quantile(refusals, 0.5),
              Quantile(refusals, 1));
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const auto seeds = static_cast<std::uint64_t>(
    aArgumentCount > 1 ? std::atoi(aArguments[1]) : 5);

  std::printf("Steady state, per daemon; seed 1, %.0f s after %.0f s\n",
              Seconds(kSteadyDuration),
              Seconds(kSettleTime));
  std::printf("%6s %8s %8s %9s %12s %20s %14s\n",
              "size",
              "msg/s",
              "bytes/s",
              "CPU us/s",
              "B per member",
              "suspected/h 2% loss",
              "unreachable/h");
  Costs previous;
  std::size_t previousSize = 0;
  for (const std::size_t size : kSizes) {
    Costs costs = MeasureCosts(size, 0, true);
    const Costs uncounted = MeasureCosts(size, 0, false);
    const Costs lossy = MeasureCosts(size, 0.02, false);
    costs.mMicroseconds = uncounted.mMicroseconds;
    std::printf("%6zu %8.2f %8.0f %9.1f %12.0f %20.3f %14.3f\n",
                size,
                costs.mMessages,
                costs.mBytes,
                costs.mMicroseconds,
                costs.mBytesPerMember,
                lossy.mSuspicionsPerHour,
                lossy.mUnreachablePerHour);
    if (previousSize != 0) {
      const auto members = static_cast<double>(size - previousSize);
      std::printf("%6s %8.4f %8.2f %9.3f   per member added\n",
                  "slope",
                  (costs.mMessages - previous.mMessages) / members,
                  (costs.mBytes - previous.mBytes) / members,
                  (costs.mMicroseconds - previous.mMicroseconds) / members);
    }
    previous = costs;
    previousSize = size;
  }

  std::printf("\nSeconds until a restarted VM knows all, until all know of a "
              "crash, and until members know a "
              "new version from probes alone and with pushes; seeds 1-%d\n",
              static_cast<int>(seeds));
  std::printf("%6s %6s %9s %9s %9s %9s %9s %9s %9s %9s\n",
              "size",
              "loss",
              "join p50",
              "p99",
              "crash p50",
              "p99",
              "probe p50",
              "p99",
              "push p50",
              "p99");
  for (const std::size_t size : kSizes) {
    ReportTimes(size, seeds, 0);
    ReportTimes(size, seeds, 0.02);
  }

  std::printf("\nIsolation, limit %.0f s, 2%% loss, seed 1: age of the store "
              "contact, VM samples not current, and time until a region that "
              "is cut off refuses\n",
              Seconds(kIsolationLimit));
  std::printf("%6s %8s %8s %9s %9s %9s %9s %9s %9s %9s\n",
              "size",
              "age p50",
              "p99.9",
              "steady%",
              "1 crash%",
              "outage%",
              "and crash",
              "uncut%",
              "cut p50",
              "cut max");
  for (const std::size_t size : kSizes) {
    ReportIsolation(size);
  }
  return 0;
}
