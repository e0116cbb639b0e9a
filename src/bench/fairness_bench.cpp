// Measures fair queueing: the latency of the worst-served client account while
// one account sends 5 times its rate, compared with first come first served and
// with no limit, and the CPU cost of the queue. Several daemons share the
// backend servers; each account sends to four daemons, as lookups would direct
// it.
#include <benchmark/benchmark.h>
#include <cstdio>
#include <memory>
#include <string>
#include <unordered_map>

#include "bench/queueing_model.h"
#include "cranberrywing/backend_health.h"
#include "cranberrywing/backend_selector.h"
#include "cranberrywing/fair_queue.h"

using namespace cranberrywing;
using namespace cranberrywing::bench;

namespace {

constexpr std::size_t kDaemons = 11;
/// Daemons that one account sends to.
constexpr std::size_t kDaemonsPerAccount = 4;
constexpr std::size_t kServers = 30;
constexpr std::size_t kWorkers = 8;
/// Mean service time in seconds.
constexpr double kServiceTime = 0.02;
/// Requests per second of all servers.
constexpr double kCapacity = kServers * kWorkers / kServiceTime;
/// Factor by which the first account exceeds its rate.
constexpr double kOverloadFactor = 5;
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr Duration kReportAge = std::chrono::seconds(5);
constexpr Duration kProbeLatency = std::chrono::milliseconds(6);
constexpr Duration kWarmUp = std::chrono::seconds(30);
constexpr Duration kRunDuration = std::chrono::seconds(90);
/// Longer, since a single account sends too few requests for a stable p99.
constexpr Duration kAloneRunDuration = std::chrono::seconds(180);

/// Rates of the accounts as fractions of the capacity. The first account sends
/// kOverloadFactor times its rate, which brings the total to 1.4 times the
/// capacity.
constexpr double kRates[] = { 0.2, 0.15, 0.1, 0.05, 0.04, 0.03, 0.02, 0.01 };
constexpr std::size_t kAccounts = std::size(kRates);

const ServiceId kService("ordering");
const RegionId kRegion("accra");

enum class Policy
{
  FairQueueing,
  /// The same concurrency limit with one queue for all accounts.
  FirstComeFirstServed,
  /// No adaptive concurrency limit: requests go to the servers at once, up to
  /// the servers' connection limits.
  NoLimit,
};

AccountId AccountName(std::size_t aIndex)
{
  return AccountId("account-" + std::to_string(aIndex));
}

SettingsSnapshot MakeSettings()
{
  SettingsSnapshot settings;
  ServiceSettings& service = settings.mServices[kService];
  service.mService = kService;
  for (std::size_t n = 0; n < kServers; ++n) {
    BackendSettings backend;
    backend.mBackend = BackendId("ord-" + std::to_string(n));
    backend.mRegion = kRegion;
    backend.mFailureDomain = FailureDomainId(n % 2 == 0 ? "a" : "b");
    service.mBackends.push_back(backend);
  }
  for (std::size_t n = 0; n < kAccounts; ++n) {
    AccountSettings& account = settings.mAccounts[AccountName(n)];
    account.mAccount = AccountName(n);
  }
  return settings;
}

/// The components of a daemon that queue requests and select servers.
struct Daemon
{
  Daemon(std::uint64_t aSeed,
         Policy aPolicy,
         const SettingsSnapshot& aSettings,
         TimePoint aNow)
    : mHealth({ .mSeed = aSeed })
    , mQueue({ .mConcurrency = { .mIsAdaptive = aPolicy != Policy::NoLimit },
               .mUtilization =
                 [this](const ServiceId& aService, TimePoint aTime) {
                   return mHealth.Utilization(
                     aService, kRegion, kReportAge, aTime);
                 } })
    , mSelector({ .mSeed = aSeed }, mHealth)
  {
    EffectList out;
    mQueue.Apply(aSettings);
    mHealth.Apply(aSettings, aNow, out);
    mSelector.Apply(aSettings);
  }

  BackendHealth mHealth;
  FairQueue mQueue;
  BackendSelector mSelector;
};

struct RunOptions
{
  Policy mPolicy = Policy::FairQueueing;
  /// Requests per second of each account.
  std::vector<double> mRates;
  std::uint64_t mSeed = 1;
  Duration mDuration = kRunDuration;
};

struct AccountResult
{
  std::vector<double> mLatencies;
  std::uint64_t mSent = 0;
  std::uint64_t mRefused = 0;
};

/// One simulation run of all daemons, servers and accounts.
class Run
{
public:
  explicit Run(RunOptions aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
    , mResults(kAccounts)
  {
    const SettingsSnapshot settings = MakeSettings();
    for (std::size_t n = 0; n < kServers; ++n) {
      mServers.push_back(std::make_unique<ModelServer>(
        mLoop,
        ModelServer::Options{
          kWorkers, kServiceTime, mOptions.mSeed * 1000 + n }));
    }
    for (std::size_t n = 0; n < kDaemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>(
        mOptions.mSeed * 100 + n, mOptions.mPolicy, settings, mLoop.Now()));
    }
  }

  void Execute()
  {
    for (std::size_t n = 0; n < kAccounts; ++n) {
      if (mOptions.mRates[n] <= 0) {
        continue;
      }
      mArrivals.push_back(
        std::make_unique<Arrivals>(mLoop, mOptions.mSeed * 10 + n));
      mArrivals.back()->Start([this, n] { return mOptions.mRates[n]; },
                              [this, n] { Arrive(n); });
    }
    mReports.resize(kServers);
    TakeReports();
    Tick();
    mStart = mLoop.Now() + kWarmUp;
    mLoop.RunUntil(mLoop.Now() + mOptions.mDuration);
  }

  const AccountResult& Result(std::size_t aAccount) const
  {
    return mResults[aAccount];
  }
  /// Finished requests per second after the warm-up.
  double Throughput() const
  {
    return static_cast<double>(mFinished) /
           Seconds(mOptions.mDuration - kWarmUp);
  }

private:
  struct Request
  {
    std::size_t mAccount = 0;
    TimePoint mArrived{};
  };

  void Arrive(std::size_t aAccount)
  {
    std::uniform_int_distribution<std::size_t> daemonOfAccount(
      0, kDaemonsPerAccount - 1);
    Daemon& daemon =
      *mDaemons[(aAccount * 3 + daemonOfAccount(mRandom)) % kDaemons];
    const RequestId id{ ++mLastRequest };
    const bool isCounted = mLoop.Now() >= mStart;
    mResults[aAccount].mSent += isCounted ? 1 : 0;
    const bool isFair = mOptions.mPolicy == Policy::FairQueueing;
    const AccountId account = AccountName(isFair ? aAccount : 0);
    mRequests[id] = { aAccount, mLoop.Now() };
    if (!daemon.mQueue.Push({ id, kService, account, mLoop.Now() + kTimeout },
                            mLoop.Now())) {
      Refuse(id);
    }
    RunQueued(daemon);
  }

  void RunQueued(Daemon& aDaemon)
  {
    while (const auto next = aDaemon.mQueue.Pop(kService, mLoop.Now())) {
      const BackendSettings* chosen =
        aDaemon.mSelector.Select({ kService, kRegion, {}, {} }, mLoop.Now());
      if (chosen == nullptr) {
        aDaemon.mQueue.Finish(kService, next->mAccount, mLoop.Now());
        Refuse(next->mRequest);
        continue;
      }
      Dispatch(aDaemon, *next, chosen->mBackend);
    }
  }

  void Dispatch(Daemon& aDaemon,
                const QueuedRequest& aRequest,
                const BackendId& aBackend)
  {
    const std::size_t index = std::stoul(aBackend.mName.substr(4));
    aDaemon.mSelector.OnDispatch(aBackend);
    mServers[index]->Submit(
      [this, &aDaemon, aRequest, aBackend](Duration aTime) {
        aDaemon.mSelector.OnFinish(aBackend, aTime);
        aDaemon.mHealth.OnSuccess(aBackend, aTime, mLoop.Now());
        aDaemon.mQueue.Finish(kService, aRequest.mAccount, mLoop.Now());
        Finish(aRequest.mRequest);
        RunQueued(aDaemon);
      });
  }

  void Finish(RequestId aId)
  {
    const auto node = mRequests.extract(aId);
    const Request& request = node.mapped();
    if (request.mArrived >= mStart) {
      mResults[request.mAccount].mLatencies.push_back(
        Seconds(mLoop.Now() - request.mArrived));
    }
    mFinished += mLoop.Now() >= mStart ? 1 : 0;
  }

  void Refuse(RequestId aId)
  {
    const auto node = mRequests.extract(aId);
    const Request& request = node.mapped();
    mResults[request.mAccount].mRefused += request.mArrived >= mStart ? 1 : 0;
  }

  void Tick()
  {
    for (const auto& daemon : mDaemons) {
      EffectList out;
      daemon->mHealth.Tick(mLoop.Now(), out);
      for (const Effect& effect : out) {
        if (const auto* probe = std::get_if<effect::ProbeBackend>(&effect)) {
          AnswerProbe(*daemon, probe->mBackend);
        }
      }
      for (const QueuedRequest& expired :
           daemon->mQueue.TakeExpired(mLoop.Now())) {
        Refuse(expired.mRequest);
      }
    }
    mLoop.After(event::kTickInterval, [this] { Tick(); });
  }

  void AnswerProbe(Daemon& aDaemon, const BackendId& aBackend)
  {
    mLoop.After(kProbeLatency, [this, &aDaemon, aBackend] {
      EffectList out;
      const std::size_t index = std::stoul(aBackend.mName.substr(4));
      aDaemon.mHealth.OnHealth({ aBackend, true, false }, mLoop.Now(), out);
      aDaemon.mHealth.OnLoad({ aBackend, mReports[index] }, mLoop.Now());
    });
  }

  /// Takes the servers' load reports once per second; each covers the second
  /// before.
  void TakeReports()
  {
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      mReports[n] = mServers[n]->TakeReport();
    }
    mLoop.After(std::chrono::seconds(1), [this] { TakeReports(); });
  }

  RunOptions mOptions;
  std::mt19937_64 mRandom;
  EventLoop mLoop;
  std::vector<std::unique_ptr<ModelServer>> mServers;
  std::vector<event::LoadReport> mReports;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::vector<std::unique_ptr<Arrivals>> mArrivals;
  std::unordered_map<RequestId, Request> mRequests;
  std::vector<AccountResult> mResults;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mFinished = 0;
  TimePoint mStart{};
};

/// Rates of all accounts, the first one above its rate.
std::vector<double> MixedRates()
{
  std::vector<double> rates;
  for (const double fraction : kRates) {
    rates.push_back(fraction * kCapacity);
  }
  rates[0] *= kOverloadFactor;
  return rates;
}

/// Rates with one account sending alone.
std::vector<double> AloneRates(std::size_t aAccount)
{
  std::vector<double> rates(kAccounts, 0);
  rates[aAccount] = kRates[aAccount] * kCapacity;
  return rates;
}

void PrintTable(std::uint64_t aSeed)
{
  std::vector<double> alone(kAccounts);
  for (std::size_t n = 1; n < kAccounts; ++n) {
    Run run({ Policy::FairQueueing, AloneRates(n), aSeed, kAloneRunDuration });
    run.Execute();
    alone[n] = Quantile(run.Result(n).mLatencies, 0.99);
  }
  struct Row
  {
    const char* mName;
    Policy mPolicy;
  };
  const Row rows[] = {
    { "fair queueing", Policy::FairQueueing },
    { "first come first served", Policy::FirstComeFirstServed },
    { "no limit", Policy::NoLimit },
  };
  std::printf("seed %llu\n%-24s %10s %10s %7s %11s %11s %8s\n",
              static_cast<unsigned long long>(aSeed),
              "policy",
              "worst p99",
              "alone p99",
              "ratio",
              "refused max",
              "refused 5x",
              "used");
  for (const Row& row : rows) {
    Run run({ row.mPolicy, MixedRates(), aSeed, kRunDuration });
    run.Execute();
    double worst = 0;
    double worstP99 = 0;
    double worstAlone = 0;
    double refused = 0;
    const auto refusedPercent = [&](std::size_t aAccount) {
      const AccountResult& result = run.Result(aAccount);
      return 100 * static_cast<double>(result.mRefused) /
             static_cast<double>(result.mSent);
    };
    for (std::size_t n = 1; n < kAccounts; ++n) {
      const double p99 = Quantile(run.Result(n).mLatencies, 0.99);
      refused = std::max(refused, refusedPercent(n));
      if (p99 / alone[n] > worst) {
        worst = p99 / alone[n];
        worstP99 = p99;
        worstAlone = alone[n];
      }
    }
    std::printf("%-24s %7.1f ms %7.1f ms %7.2f %10.2f%% %10.2f%% %7.1f%%\n",
                row.mName,
                worstP99 * 1e3,
                worstAlone * 1e3,
                worst,
                refused,
                refusedPercent(0),
                100 * run.Throughput() / kCapacity);
  }
}

void PushPopFinish(benchmark::State& aState)
{
  FairQueue queue({});
  queue.Apply(MakeSettings());
  TimePoint now{};
  std::uint64_t id = 0;
  const QueuedRequest request{
    RequestId{}, kService, AccountName(1), TimePoint(std::chrono::hours(1000))
  };
  for (auto _ : aState) {
    now += std::chrono::microseconds(1);
    QueuedRequest next = request;
    next.mRequest = RequestId{ ++id };
    queue.Push(next, now);
    benchmark::DoNotOptimize(queue.Pop(kService, now));
    queue.Finish(kService, request.mAccount, now);
  }
}
BENCHMARK(PushPopFinish);

} // namespace

int main(int aCount, char** aArguments)
{
  benchmark::Initialize(&aCount, aArguments);
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    PrintTable(seed);
  }
  benchmark::RunSpecifiedBenchmarks();
}
