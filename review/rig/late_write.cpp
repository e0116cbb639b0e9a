// A write of an instance is carried out seconds late; meanwhile the instance
// has reported that it is leaving.
#include "deployment.h"

using namespace rig;

namespace {

constexpr std::int64_t kImpairmentMs = 100;
constexpr std::int64_t kLateMs = 4600;
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kDrainMs = 2500;
constexpr std::int64_t kServesLongerMs = 500;

} // namespace

int main(int aCount, char** aArguments)
{
  Deployment deployment(aCount > 1 ? aArguments[1] : "record.txt");
  Store& store = deployment.mStore;
  store.Put("op/config", Policy{}.Text());
  std::vector<std::shared_ptr<Instance>> instances;
  for (const auto& [zone, region] : Zones()) {
    instances.push_back(deployment.AddInstance(
      "shopdesk", zone, { .mSlots = 8, .mWorkMs = 200 }));
    instances.back()->Start();
    SleepMs(61);
  }
  for (const auto& [zone, region] : Zones()) {
    deployment.AddMachine(zone);
  }
  deployment.AwaitReady();

  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < 48; ++n) {
    threads.emplace_back([&, n] {
      const Machine& machine = *Machines()[n / 8];
      const auto fronts =
        Resolve(machine.mDirectory, machine.Get().mRegion, machine.Get().mZone);
      if (fronts.empty()) {
        return;
      }
      Client client(fronts[n % fronts.size()]);
      while (!isOver) {
        const Outcome outcome = client.Send("POST",
                                            "/pufi791/" + std::to_string(n),
                                            kKey,
                                            3000,
                                            std::string(1200, 'o'));
        Record("order    %s sent at %lld: %d",
               outcome.mAttempt.c_str(),
               static_cast<long long>(outcome.mSentMs),
               outcome.mStatus);
        {
          const std::lock_guard lock(mutex);
          outcomes.push_back(outcome);
        }
        SleepMs(30);
      }
    });
  }
  SleepMs(3000);

  Instance& leaving = *instances.front();
  const std::string key = "servers/" + leaving.Get().mId;
  // The disruption: the answer to one report of the instance is lost, and the
  // report is carried out later. It is the next regular one.
  const std::int64_t lostAt = leaving.NextBeatMs();
  SleepUntil(lostAt - 20);
  const std::string before = store.Find(key);
  if (IsTrouble()) {
    const std::string report = leaving.LoseNextBeat();
    Record("store    no answer to the report of %s: %s",
           leaving.Get().mId.c_str(),
           report.c_str());
    std::thread([&store, key, report, lostAt] {
      SleepUntil(lostAt + kLateMs);
      store.Put(key, report);
      Record("store    the late report is carried out: %s", report.c_str());
    }).detach();
  }
  SleepUntil(lostAt + kImpairmentMs + kStableWindowMs);

  // Planned work: the instance reports that it leaves, serves for drain and a
  // little longer, and exits.
  leaving.Drain();
  const std::int64_t acked = NowMs();
  SleepUntil(acked + kDrainMs + kServesLongerMs);
  leaving.Leave();
  SleepMs(1500);
  isOver = true;
  for (auto& each : threads) {
    each.join();
  }

  // DRAIN: a request reaches the instance later than drain after the ack.
  int late = 0;
  int cut = 0;
  std::map<std::string, int> statusOf;
  for (const Outcome& outcome : outcomes) {
    statusOf[outcome.mAttempt] = outcome.mStatus;
  }
  const std::lock_guard lock(RunsMutex());
  for (const Run& run : Runs()) {
    if (run.mInstance != leaving.Get().mId || run.mAtMs <= acked + kDrainMs) {
      continue;
    }
    ++late;
    cut += run.mHasAnswered ? 0 : 1;
    Record("broken   %s reached %s %lld ms after the ack; the client got %d",
           run.mAttempt.c_str(),
           run.mInstance.c_str(),
           static_cast<long long>(run.mAtMs - acked),
           statusOf[run.mAttempt]);
  }
  Record("%zu orders; %d reached the instance later than drain after the ack, "
         "%d of these were cut by its exit",
         outcomes.size(),
         late,
         cut);
  if (outcomes.size() < 200) {
    deployment.CannotRun("too few orders");
  }
  Finish(late > 0 ? 1 : 0, deployment.mFolder);
}
