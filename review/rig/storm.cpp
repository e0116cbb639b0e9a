// A large configuration changes in quick succession.
#include "deployment.h"

using namespace rig;

namespace {

constexpr std::int64_t kGapMs = 60;
constexpr std::int64_t kStormMs = 1500;
constexpr std::int64_t kConfigApplyMs = 2500;
constexpr std::size_t kValueBytes = 1048576;
constexpr int kFurtherRoutes = 6300;

struct Sent
{
  Outcome mOutcome;
  std::string mKey;
};

} // namespace

int main(int aCount, char** aArguments)
{
  Deployment deployment(aCount > 1 ? aArguments[1] : "record.txt");
  Store& store = deployment.mStore;
  Policy policy;
  policy.mFurtherRoutes = kFurtherRoutes;
  store.Put("op/config", policy.Text());
  std::vector<std::shared_ptr<Instance>> instances;
  for (const auto& [zone, region] : Zones()) {
    for (const char* const service :
         { "shopdesk", "shopdesk", "ledger", "ledger" }) {
      instances.push_back(
        deployment.AddInstance(service, zone, { .mSlots = 4, .mWorkMs = 50 }));
      instances.back()->Start();
      SleepMs(61);
    }
  }
  for (const auto& [zone, region] : Zones()) {
    deployment.AddMachine(zone);
  }
  deployment.AwaitReady();

  std::mutex mutex;
  std::vector<Sent> sent;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < 12; ++n) {
    threads.emplace_back([&, n] {
      const Machine& machine = *Machines()[n / 2];
      const std::string key = n % 2 == 0 ? kKey : kOtherKey;
      const auto fronts =
        Resolve(machine.mDirectory, machine.Get().mRegion, machine.Get().mZone);
      if (fronts.empty()) {
        return;
      }
      Client client(fronts[n % fronts.size()]);
      while (!isOver) {
        const Outcome outcome = client.Send("PUT",
                                            "/leda220/" + std::to_string(n),
                                            key,
                                            1500,
                                            std::string(1200, 'p'));
        Record("pay      %s sent at %lld with the key of %s: %d",
               outcome.mAttempt.c_str(),
               static_cast<long long>(outcome.mSentMs),
               key == kKey ? "kaje80" : "molu31",
               outcome.mStatus);
        {
          const std::lock_guard lock(mutex);
          sent.push_back({ outcome, key });
        }
        SleepMs(150);
      }
    });
  }
  SleepMs(3000);

  // Planned work: configurations come in quick succession. The last one moves
  // the route and takes a key away.
  const std::int64_t start = NowMs();
  int written = 0;
  if (IsTrouble()) {
    for (std::int64_t at = start; at < start + kStormMs; at += kGapMs) {
      policy.mVersion += 3;
      policy.mOrderTimeout = written % 2 == 0 ? "2900ms" : "3000ms";
      const std::string text = policy.Text();
      SleepUntil(at);
      store.Put("op/config", text);
      ++written;
    }
  }
  policy.mVersion += 3;
  policy.mPayService = "shopdesk";
  policy.mTenants[1].as_array()[1] = json::array{};
  const std::string text = policy.Text();
  if (text.size() > kValueBytes) {
    deployment.CannotRun("the configuration is larger than value_bytes");
  }
  store.Put("op/config", text);
  const std::int64_t acked = NowMs();
  Record(
    "operator r%d of %zu bytes is acknowledged, after %d others in %lld ms: "
    "/leda220/ goes to shopdesk, the key of molu31 is withdrawn",
    policy.mVersion,
    text.size(),
    written,
    static_cast<long long>(acked - start));
  SleepMs(25'000);
  isOver = true;
  for (auto& each : threads) {
    each.join();
  }

  // CONFIG: sent later than config_apply after the ack, by machines in touch.
  int judged = 0;
  int oldService = 0;
  int oldKey = 0;
  std::int64_t last = 0;
  std::map<std::string, std::string> runBy;
  {
    const std::lock_guard lock(RunsMutex());
    for (const Run& run : Runs()) {
      runBy[run.mAttempt] = run.mInstance;
    }
  }
  for (const Sent& each : sent) {
    if (each.mOutcome.mSentMs <= acked + kConfigApplyMs) {
      continue;
    }
    ++judged;
    const auto run = runBy.find(each.mOutcome.mAttempt);
    if (run == runBy.end()) {
      continue;
    }
    const bool isOldService = run->second.rfind("i-ledger", 0) == 0;
    const bool isOldKey = each.mKey == kOtherKey;
    oldService += isOldService ? 1 : 0;
    oldKey += isOldKey ? 1 : 0;
    if (isOldService || isOldKey) {
      last = std::max(last, each.mOutcome.mSentMs);
      Record("broken   %s, sent %lld ms after the ack, was run by %s%s",
             each.mOutcome.mAttempt.c_str(),
             static_cast<long long>(each.mOutcome.mSentMs - acked),
             run->second.c_str(),
             isOldKey ? " with the withdrawn key" : "");
    }
  }
  Record("%d requests judged: %d run by the old service, %d with the withdrawn "
         "key, the last sent %lld ms after the ack",
         judged,
         oldService,
         oldKey,
         static_cast<long long>(last > 0 ? last - acked : 0));
  if (judged < 50) {
    deployment.CannotRun("too few requests were judged");
  }
  Finish(oldService + oldKey > 0 ? 1 : 0, deployment.mFolder);
}
