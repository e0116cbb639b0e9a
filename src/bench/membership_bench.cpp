// Costs and speed of membership at growing fleet sizes, with every member in
// this process on an in-memory network with virtual time: bytes and messages
// sent, processor time, memory, time until all know of a crash and of a new
// configuration version, and false suspicions under loss.
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

constexpr std::size_t kSizes[] = { 11, 50, 115, 230, 460 };
constexpr std::size_t kDomains = 19;
constexpr std::size_t kRegions = 5;
/// Time until a fleet started at once has settled.
constexpr Duration kSettle = std::chrono::seconds(60);
constexpr Duration kSteady = std::chrono::seconds(60);

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

/// Heap bytes of one member's whole state, per member that it knows.
double MeasureMemory(std::size_t aSize)
{
  MembershipFleet fleet(FleetOptions(aSize, 1));
  const std::size_t empty = mallinfo2().uordblks;
  fleet.RunFor(kSettle);
  // What the network itself holds is a few messages.
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
  fleet.RunFor(kSettle);
  const auto messages = Total(fleet, &MembershipFleet::Node::mMessages);
  const auto bytes = Total(fleet, &MembershipFleet::Node::mBytes);
  const auto suspicions = Total(fleet, &MembershipFleet::Node::mSuspicions);
  const auto unreachable = Total(fleet, &MembershipFleet::Node::mUnreachable);
  const auto start = std::chrono::steady_clock::now();
  fleet.RunFor(kSteady);
  const std::chrono::duration<double, std::micro> used =
    std::chrono::steady_clock::now() - start;
  const double daemonSeconds = static_cast<double>(aSize) * Seconds(kSteady);
  const auto rate = [&](std::uint64_t aAfter, std::uint64_t aBefore) {
    return static_cast<double>(aAfter - aBefore) / daemonSeconds;
  };
  return {
    .mMessages =
      rate(Total(fleet, &MembershipFleet::Node::mMessages), messages),
    .mBytes = rate(Total(fleet, &MembershipFleet::Node::mBytes), bytes),
    .mMicroseconds = used.count() / daemonSeconds,
    .mBytesPerMember = MeasureMemory(aSize),
    .mSuspicionsPerHour =
      3600 *
      rate(Total(fleet, &MembershipFleet::Node::mSuspicions), suspicions),
    .mUnreachablePerHour =
      3600 *
      rate(Total(fleet, &MembershipFleet::Node::mUnreachable), unreachable),
  };
}

/// Time until every living member finds the VM out of reach.
Duration TimeToCrashKnown(MembershipFleet& aFleet, std::size_t aVm)
{
  const VmId vm = MembershipFleet::VmIdOf(aVm);
  const TimePoint start = aFleet.Now();
  aFleet.Crash(aVm);
  for (;;) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    bool isKnown = true;
    for (std::size_t i = 0; i < aFleet.Size() && isKnown; ++i) {
      isKnown = i == aVm || !aFleet.MembershipOf(i).IsUsable(vm);
    }
    if (isKnown) {
      return aFleet.Now() - start;
    }
  }
}

/// Time until a restarted VM knows all members.
Duration TimeToJoin(MembershipFleet& aFleet, std::size_t aVm)
{
  const TimePoint start = aFleet.Now();
  aFleet.Start(aVm);
  while (aFleet.MembershipOf(aVm).Members().size() + 1 < aFleet.Size()) {
    aFleet.RunFor(std::chrono::milliseconds(5));
  }
  return aFleet.Now() - start;
}

/// Times until each member knows a version that one member publishes.
std::vector<Duration> TimesToVersion(MembershipFleet& aFleet, std::size_t aVm)
{
  const TimePoint start = aFleet.Now();
  aFleet.Publish(aVm, aFleet.At(aVm).mVersion.mRevision.mNumber + 1);
  const auto wanted = aFleet.At(aVm).mVersion.mRevision.mNumber;
  for (;;) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    std::vector<Duration> times;
    for (std::size_t i = 0; i < aFleet.Size(); ++i) {
      if (aFleet.At(i).mVersion.mRevision.mNumber >= wanted) {
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
      fleet.RunFor(kSettle / 2);
      std::vector<Duration>& times = isPushed ? pushed : probed;
      const std::vector<Duration> found = TimesToVersion(fleet, seed % aSize);
      times.insert(times.end(), found.begin(), found.end());
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

constexpr Duration kIsolationLimit = std::chrono::seconds(5);

/// VMs with an index above aFirst that run, and those that are not current.
struct Currency
{
  double mSamples = 0;
  double mNotCurrent = 0;

  double Percent() const { return 100 * mNotCurrent / mSamples; }
};

bool IsCurrent(MembershipFleet& aFleet, std::size_t aVm)
{
  return aFleet.MembershipOf(aVm).IsCurrent(kIsolationLimit, aFleet.Now());
}

/// Runs on, sampling the running VMs of one group, and notes the ages of
/// their freshest store contact.
Currency Sample(MembershipFleet& aFleet,
                Duration aDuration,
                int aGroup,
                std::vector<Duration>& aAges)
{
  Currency currency;
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

/// Cuts a region off and tells when its VMs cease to be current.
std::vector<Duration> TimesToRefusal(MembershipFleet& aFleet)
{
  const RegionId region = aFleet.At(1).mSelf.mRegion;
  std::vector<std::size_t> cut;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (aFleet.At(i).mSelf.mRegion == region) {
      aFleet.At(i).mGroup = 1;
      cut.push_back(i);
    }
  }
  const TimePoint start = aFleet.Now();
  std::vector<Duration> times;
  while (!cut.empty()) {
    aFleet.RunFor(std::chrono::milliseconds(50));
    std::erase_if(cut, [&](std::size_t aVm) {
      const bool refuses = !IsCurrent(aFleet, aVm);
      if (refuses) {
        times.push_back(aFleet.Now() - start);
      }
      return refuses;
    });
  }
  return times;
}

void ReportIsolation(std::size_t aSize)
{
  MembershipFleet::Options options = FleetOptions(aSize, 1);
  options.mLossProbability = 0.02;
  std::vector<Duration> ages;
  std::vector<Duration> ignored;
  MembershipFleet fleet(options);
  fleet.RunFor(kSettle / 2);
  const Currency steady = Sample(fleet, kSettle / 2, 0, ages);
  fleet.Crash(3);
  const Currency crash = Sample(fleet, kSettle / 2, 0, ignored);
  std::vector<Duration> refusals = TimesToRefusal(fleet);
  const Currency others = Sample(fleet, kSettle / 2, 0, ignored);

  MembershipFleet outage(options);
  outage.RunFor(kSettle / 2);
  outage.SetStoreGroup(-1);
  const Currency down = Sample(outage, kSettle / 2, 0, ignored);
  outage.Crash(3);
  const Currency downCrash = Sample(outage, kSettle / 2, 0, ignored);
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
              Seconds(kSteady),
              Seconds(kSettle));
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
