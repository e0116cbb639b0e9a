// Many clients send long bodies at the same time.
#include "deployment.h"

using namespace rig;

namespace {

constexpr std::size_t kBodyBytes = 60'000'000;
constexpr int kUsualUploads = 3;
constexpr int kBurstUploads = 5;
constexpr int kOrderClients = 12;

} // namespace

int main(int aCount, char** aArguments)
{
  Deployment deployment(aCount > 1 ? aArguments[1] : "record.txt");
  deployment.mStore.Put("op/config", Policy{}.Text());
  std::vector<std::shared_ptr<Instance>> instances;
  for (const char* const zone :
       { "accra-osu", "accra-tema", "kumasi-adum", "kumasi-suame" }) {
    for (int n = 0; n < 3; ++n) {
      instances.push_back(deployment.AddInstance(
        "shopdesk", zone, { .mSlots = 4, .mWorkMs = 640 }));
      instances.back()->Start();
    }
  }
  const auto machine = deployment.AddMachine("accra-osu");
  deployment.AddMachine("kumasi-adum");
  deployment.AwaitReady();

  // The platform ends a process over memory_mb and starts it again.
  std::atomic<int> kills{ 0 };
  std::atomic<long> most{ 0 };
  std::atomic<std::int64_t> killedAt{ 0 };
  std::thread([&] {
    for (;;) {
      for (const auto& each : Machines()) {
        if (each->mPid == 0) {
          continue;
        }
        const long memory = each->MemoryMb();
        if (memory > most) {
          most = memory;
        }
        if (memory > each->Get().mMemoryMb) {
          Record("%s holds %ld MB, more than memory_mb = %ld: killed",
                 each->Get().mName.c_str(),
                 memory,
                 each->Get().mMemoryMb);
          ++kills;
          killedAt = NowMs();
          each->Signal(SIGKILL);
          each->WaitEnd(2000);
          SleepMs(500);
          each->Start();
        }
      }
      SleepMs(2);
    }
  }).detach();

  const auto front = Resolve(machine->mDirectory, "accra", "accra-osu");
  if (front.empty()) {
    deployment.CannotRun("the directory names no address");
  }
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> threads;
  for (int n = 0; n < kOrderClients; ++n) {
    threads.emplace_back([&, n] {
      SleepMs(55 * n);
      Client client(front.front());
      while (!isOver) {
        const Outcome outcome = client.Send("POST",
                                            "/pufi791/" + std::to_string(n),
                                            kKey,
                                            3000,
                                            std::string(1200, 'o'));
        {
          const std::lock_guard lock(mutex);
          outcomes.push_back(outcome);
        }
        Record("order    %s sent at %lld: %s %d",
               outcome.mAttempt.c_str(),
               static_cast<long long>(outcome.mSentMs),
               outcome.mEnd == ReadEnd::Whole ? "answer"
                                              : "the connection ended",
               outcome.mStatus);
        SleepMs(outcome.mEnd == ReadEnd::Whole ? 20 : 1000);
      }
    });
  }
  SleepMs(4000);
  const int uploads = IsTrouble() ? kBurstUploads : kUsualUploads;
  std::atomic<int> served{ 0 };
  std::vector<std::thread> senders;
  for (int n = 0; n < uploads; ++n) {
    senders.emplace_back([&, n] {
      Client client(front.front());
      const Outcome outcome = client.Send("POST",
                                          "/pufi791/long" + std::to_string(n),
                                          kKey,
                                          3000,
                                          std::string(kBodyBytes, 'b'));
      served += outcome.mStatus == 200 ? 1 : 0;
      Record("long     %s of %zu bytes: %s %d",
             outcome.mAttempt.c_str(),
             kBodyBytes,
             outcome.mEnd == ReadEnd::Whole ? "answer" : "no answer",
             outcome.mStatus);
    });
  }
  for (auto& each : senders) {
    each.join();
  }
  SleepMs(3000);
  isOver = true;
  for (auto& each : threads) {
    each.join();
  }
  // LOST: a request from a kept connection was passed on to a sound instance,
  // and the connection ended without an answer.
  int lost = 0;
  {
    const std::lock_guard lock(RunsMutex());
    for (const Outcome& outcome : outcomes) {
      if (outcome.mEnd == ReadEnd::Whole || outcome.mEnd == ReadEnd::Timeout) {
        continue;
      }
      for (const Run& run : Runs()) {
        if (run.mAttempt == outcome.mAttempt) {
          ++lost;
          Record("lost     %s was run by %s and never answered",
                 run.mAttempt.c_str(),
                 run.mInstance.c_str());
        }
      }
    }
  }
  Record("%d long requests of %d answered with 200, most memory %ld MB, "
         "%d processes killed, %d orders run and never answered",
         served.load(),
         uploads,
         most.load(),
         kills.load(),
         lost);
  Finish(lost > 3 ? 1 : 0, deployment.mFolder);
}
