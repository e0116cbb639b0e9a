// The answers to one round of watches are lost; then the configuration changes.
#include "deployment.h"

using namespace rig;

namespace {

constexpr std::int64_t kImpairmentMs = 700;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kConfigApplyMs = 2500;

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
        SleepMs(60);
      }
    });
  }
  SleepMs(3000);

  // The disruption: answers of the platform's store are lost.
  std::atomic<int> lost{ 0 };
  const int answersBefore = store.mAnswers;
  const std::int64_t start = NowMs();
  const std::int64_t end = start + kImpairmentMs;
  std::mutex lossMutex;
  if (IsTrouble()) {
    store.mLosesAnswer = [&](const Message& aRequest, const Reply&) {
      const std::string target = aRequest.Target();
      if (NowMs() < start || NowMs() >= end ||
          target.rfind("/cranberrywing/kv-watch", 0) != 0) {
        return false;
      }
      ++lost;
      Record("store    the answer to a watch is lost");
      return true;
    };
  }
  SleepUntil(end);
  const int answers = store.mAnswers - answersBefore;
  Record("store    the impairment is over: %d of %d answers lost",
         lost.load(),
         answers);
  if (IsTrouble() && (lost == 0 || lost > 0.35 * answers)) {
    deployment.CannotRun("the share of lost answers is not within 0.35");
  }
  SleepMs(100);

  // The operator moves the route and takes a key away.
  policy.mVersion = 12;
  policy.mPayService = "shopdesk";
  policy.mTenants[1].as_array()[1] = json::array{};
  store.Put("op/config", policy.Text());
  const std::int64_t acked = NowMs();
  Record("operator r12 is acknowledged: /leda220/ goes to shopdesk, the key of "
         "molu31 is withdrawn");
  const std::int64_t judgedFrom =
    std::max(acked + kConfigApplyMs, end + kStableWindowMs);
  SleepMs(8000);
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
    if (each.mOutcome.mSentMs <= judgedFrom) {
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
  Record("%d requests judged, from %lld ms after the ack: %d run by the old "
         "service, %d with the withdrawn key, the last sent %lld ms after it",
         judged,
         static_cast<long long>(judgedFrom - acked),
         oldService,
         oldKey,
         static_cast<long long>(last > 0 ? last - acked : 0));
  if (judged < 50) {
    deployment.CannotRun("too few requests were judged");
  }
  Finish(oldService + oldKey > 0 ? 1 : 0, deployment.mFolder);
}
