// Measures server selection: the latency with one slow server out of 30 that
// still reports itself healthy, and the CPU cost of a selection. As in
// production, several daemons with selectors of their own share the servers, so
// that each sees only a tenth of the traffic.
#include <benchmark/benchmark.h>
#include <cstdio>
#include <memory>
#include <string>

#include "bench/queueing_model.h"
#include "cranberrywing/backend_health.h"
#include "cranberrywing/backend_selector.h"

using namespace cranberrywing;
using namespace cranberrywing::bench;

namespace {

constexpr std::size_t kDaemons = 10;
constexpr std::size_t kServers = 30;
/// Mean service time in seconds.
constexpr double kServiceTime = 0.02;
constexpr std::size_t kWorkers = 4;
constexpr Duration kWarmUp = std::chrono::seconds(10);
constexpr Duration kRunDuration = std::chrono::seconds(70);
constexpr Duration kProbeLatency = std::chrono::milliseconds(6);

const ServiceId kService("ordering");
const RegionId kRegion("accra");

BackendId ServerName(std::size_t aIndex)
{
  return BackendId("ord-" + std::to_string(aIndex));
}

SettingsSnapshot MakeSettings(std::size_t aServers)
{
  SettingsSnapshot settings;
  ServiceSettings& service = settings.mServices[kService];
  service.mService = kService;
  for (std::size_t n = 0; n < aServers; ++n) {
    BackendSettings backend;
    backend.mBackend = ServerName(n);
    backend.mRegion = kRegion;
    backend.mFailureDomain = FailureDomainId(n % 2 == 0 ? "a" : "b");
    backend.mCapacity = static_cast<double>(kWorkers) / kServiceTime;
    service.mBackends.push_back(backend);
  }
  return settings;
}

/// Whether the policy also ejects servers by latency; the baselines do not.
bool EjectsByLatency(SelectionPolicy aPolicy)
{
  return aPolicy == SelectionPolicy::TwoChoices;
}

/// The components of a daemon that select servers.
struct Daemon
{
  Daemon(std::uint64_t aSeed,
         SelectionPolicy aPolicy,
         const SettingsSnapshot& aSettings,
         TimePoint aNow)
    : mHealth({ .mSeed = aSeed,
                .mLatencyFactor = EjectsByLatency(aPolicy) ? 3.0 : 0.0 })
    , mSelector({ .mSeed = aSeed, .mPolicy = aPolicy }, mHealth)
  {
    EffectList out;
    mHealth.Apply(aSettings, aNow, out);
    mSelector.Apply(aSettings);
  }

  BackendHealth mHealth;
  BackendSelector mSelector;
  std::unique_ptr<Arrivals> mArrivals;
};

struct RunOptions
{
  SelectionPolicy mPolicy = SelectionPolicy::TwoChoices;
  /// Utilization of all servers if none is slow, from 0 to 1.
  double mUtilization = 0.6;
  /// Factor of the slow server's service time; 0 for a run without the server.
  double mSlowFactor = 0;
  std::uint64_t mSeed = 1;
};

/// One simulation run of all daemons and servers.
class Run
{
public:
  explicit Run(RunOptions aOptions)
    : mOptions(aOptions)
  {
    const bool hasSlow = mOptions.mSlowFactor > 0;
    const std::size_t count = hasSlow ? kServers : kServers - 1;
    const SettingsSnapshot settings = MakeSettings(count);
    for (std::size_t n = 0; n < count; ++n) {
      ModelServer::Options options;
      options.mWorkers = kWorkers;
      options.mSeed = mOptions.mSeed * 1000 + n;
      options.mServiceTime = kServiceTime;
      if (hasSlow && n == 0) {
        options.mServiceTime *= mOptions.mSlowFactor;
      }
      mServers.push_back(std::make_unique<ModelServer>(mLoop, options));
      mReports.emplace_back();
    }
    for (std::size_t n = 0; n < kDaemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>(
        mOptions.mSeed * 100 + n, mOptions.mPolicy, settings, mLoop.Now()));
    }
  }

  void Execute()
  {
    const double rate =
      mOptions.mUtilization * kServers * kWorkers / kServiceTime;
    for (std::size_t n = 0; n < kDaemons; ++n) {
      Daemon& daemon = *mDaemons[n];
      daemon.mArrivals =
        std::make_unique<Arrivals>(mLoop, mOptions.mSeed * 10 + n);
      daemon.mArrivals->Start([rate] { return rate / kDaemons; },
                              [this, &daemon] { Send(daemon); });
      Tick(daemon);
    }
    TakeReports();
    mStart = mLoop.Now() + kWarmUp;
    mLoop.RunUntil(mLoop.Now() + kRunDuration);
    // The latency of a request without an answer is its age.
    for (SentRequest& sent : mSent) {
      sent.mLatency =
        sent.mLatency == 0 ? Seconds(mLoop.Now() - sent.mTime) : sent.mLatency;
    }
  }

  /// Quantile (0 to 1) of the latency in seconds.
  double Latency(double aQuantile) const
  {
    std::vector<double> latencies;
    for (const SentRequest& sent : mSent) {
      latencies.push_back(sent.mLatency);
    }
    return Quantile(std::move(latencies), aQuantile);
  }

  /// Fraction of the requests that went to the slow server.
  double SlowShare() const
  {
    const auto slow =
      std::count_if(mSent.begin(), mSent.end(), [](const SentRequest& aSent) {
        return aSent.mIsSlow;
      });
    return static_cast<double>(slow) / static_cast<double>(mSent.size());
  }

private:
  struct SentRequest
  {
    TimePoint mTime{};
    bool mIsSlow = false;
    /// Seconds; zero until the answer.
    double mLatency = 0;
  };

  void Send(Daemon& aDaemon)
  {
    const BackendSettings* chosen =
      aDaemon.mSelector.Select({ kService, kRegion, {}, {} }, mLoop.Now());
    if (chosen == nullptr) {
      return;
    }
    const BackendId backend = chosen->mBackend;
    const std::size_t index = std::stoul(backend.mName.substr(4));
    aDaemon.mSelector.OnDispatch(backend);
    const std::size_t position = mSent.size();
    const bool isCounted = mLoop.Now() >= mStart;
    if (isCounted) {
      const bool isSlow = index == 0 && mOptions.mSlowFactor > 0;
      mSent.push_back({ mLoop.Now(), isSlow, 0 });
    }
    mServers[index]->Submit(
      [this, &aDaemon, backend, position, isCounted](Duration aTime) {
        aDaemon.mSelector.OnFinish(backend, aTime);
        aDaemon.mHealth.OnSuccess(backend, aTime, mLoop.Now());
        if (isCounted) {
          mSent[position].mLatency = Seconds(aTime);
        }
      });
  }

  void Tick(Daemon& aDaemon)
  {
    EffectList out;
    aDaemon.mHealth.Tick(mLoop.Now(), out);
    for (const Effect& effect : out) {
      if (const auto* probe = std::get_if<effect::ProbeBackend>(&effect)) {
        AnswerProbe(aDaemon, probe->mBackend);
      }
    }
    mLoop.After(event::kTickInterval, [this, &aDaemon] { Tick(aDaemon); });
  }

  /// Answers a health probe: all servers, the slow one too, report healthy.
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
  /// before. The slow server reports the load of the next server, so that the
  /// reports do not reveal it.
  void TakeReports()
  {
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      mReports[n] = mServers[n]->TakeReport();
    }
    if (mOptions.mSlowFactor > 0) {
      mReports[0] = mReports[1];
    }
    mLoop.After(std::chrono::seconds(1), [this] { TakeReports(); });
  }

  RunOptions mOptions;
  EventLoop mLoop;
  std::vector<std::unique_ptr<ModelServer>> mServers;
  std::vector<event::LoadReport> mReports;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  TimePoint mStart{};
  std::vector<SentRequest> mSent;
};

void PrintTable(std::uint64_t aSeed, double aUtilization)
{
  std::printf("seed %llu, utilization %.2f\n",
              static_cast<unsigned long long>(aSeed),
              aUtilization);
  struct Row
  {
    const char* mName;
    SelectionPolicy mPolicy;
  };
  const Row rows[] = {
    { "two choices", SelectionPolicy::TwoChoices },
    { "round robin", SelectionPolicy::RoundRobin },
    { "least reported load", SelectionPolicy::LeastReportedLoad },
  };
  std::printf("%-20s %5s %9s %9s %9s %9s %6s %6s %7s\n",
              "policy",
              "slow",
              "p50 ms",
              "p99 ms",
              "p50 base",
              "p99 base",
              "p50 x",
              "p99 x",
              "share");
  for (const Row& row : rows) {
    Run base({ row.mPolicy, aUtilization, 0, aSeed });
    base.Execute();
    for (const double slowFactor : { 2.0, 3.0, 5.0, 10.0 }) {
      Run run({ row.mPolicy, aUtilization, slowFactor, aSeed });
      run.Execute();
      std::printf("%-20s %4.0fx %9.2f %9.2f %9.2f %9.2f %6.2f %6.2f %6.2f%%\n",
                  row.mName,
                  slowFactor,
                  run.Latency(0.5) * 1e3,
                  run.Latency(0.99) * 1e3,
                  base.Latency(0.5) * 1e3,
                  base.Latency(0.99) * 1e3,
                  run.Latency(0.5) / base.Latency(0.5),
                  run.Latency(0.99) / base.Latency(0.99),
                  run.SlowShare() * 100);
    }
  }
}

void SelectAndFinish(benchmark::State& aState)
{
  const SettingsSnapshot settings = MakeSettings(kServers);
  Daemon daemon(1, SelectionPolicy::TwoChoices, settings, TimePoint{});
  TimePoint now{};
  const SelectionRequest request{ kService, kRegion, {}, {} };
  for (auto _ : aState) {
    now += std::chrono::microseconds(1);
    const BackendSettings* chosen = daemon.mSelector.Select(request, now);
    const BackendId& backend = chosen->mBackend;
    daemon.mSelector.OnDispatch(backend);
    daemon.mSelector.OnFinish(backend, std::chrono::milliseconds(10));
    daemon.mHealth.OnSuccess(backend, std::chrono::milliseconds(10), now);
  }
}
BENCHMARK(SelectAndFinish);

} // namespace

int main(int aCount, char** aArguments)
{
  benchmark::Initialize(&aCount, aArguments);
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    PrintTable(seed, 0.6);
    PrintTable(seed, 0.85);
  }
  benchmark::RunSpecifiedBenchmarks();
}
